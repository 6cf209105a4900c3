package cfvfleet

import (
	"math"
	"slices"
	"time"

	"coltsfootvalve/core/cfvmirror"
)

// RolloutOrder is an operator's order to move the traffic of a service to a software version. An order without
// a target was withdrawn.
type RolloutOrder struct {
	Service  string
	Target   string // software version
	Duration time.Duration
}

// RolloutPhase is the phase of a roll-out.
type RolloutPhase int

// Phases of a roll-out.
const (
	RolloutRunning RolloutPhase = iota
	RolloutCompleted
	RolloutRolledBack
)

// RolloutCounts counts the requests of one or more versions during a roll-out, by their outcome.
type RolloutCounts struct {
	Requests, Failures, Slow float64
}

// RolloutProgress is the progress of a roll-out as the leader recorded it.
type RolloutProgress struct {
	Service       string
	OrderRevision int64 // the order that it belongs to
	Target        string
	Phase         RolloutPhase
	Share         float64       // of the requests that go to the target version, 0 to 1
	Replaced      []string      // software versions that the target replaces
	Elapsed       time.Duration // from the order to the record
	StartMillis   int64         // time of the order in Unix milliseconds, by the clock of the leader that recorded it first
	Cause         string        // of the rollback
	Established   bool          // the target served requests before the order, and no other version does
	TargetCounts  RolloutCounts // outcomes that the leader knew of
	OtherCounts   RolloutCounts // likewise of the versions that the target replaces
}

// Rollout is the roll-out of a service's software version as an entry knows it.
type Rollout struct {
	RolloutOrder
	Revision  int64         // number of the order's revision
	Formerly  int64         // the number that the same order had before the key-value store last lost it in a restore; 0: none
	LearnedAt time.Duration // when this process learned of the order
	NotBefore time.Duration // the order was not given before this time; 0: not known
	// Progress is that of this order. Until the leader has recorded any, it is running with a share of 0.
	Progress   RolloutProgress
	ProgressAt time.Duration // when this process learned of the progress; 0: there is none
	// Established is set if the target served requests before the order, and no other version does, as far as this process
	// or the leader knows.
	Established bool
	// RecordRevision is the revision of the service's record of progress, of whichever order; 0: there is none.
	RecordRevision cfvmirror.Revision
	// Unrecorded is set if the roll-out has ended and a restored key-value store has lost the record of that.
	Unrecorded bool
}

// maxOwnLag is how late a process may have learned of an order whose time it tells better than the record of progress.
const maxOwnLag = time.Second

// Elapsed returns the least time that has passed since the order. A process that was there when the order was given
// doesn't rely on the record of progress, since its leader may have judged the time by its clock.
func (r *Rollout) Elapsed(now time.Duration) time.Duration {
	elapsed := now - r.LearnedAt
	if r.ProgressAt > 0 && (r.NotBefore == 0 || r.LearnedAt-r.NotBefore > maxOwnLag) {
		recorded := r.Progress.Elapsed + now - r.ProgressAt
		if r.NotBefore > 0 {
			recorded = min(recorded, now-r.NotBefore)
		}
		elapsed = max(elapsed, recorded)
	}
	return max(elapsed, 0)
}

// Split divides the endpoints of the service into those that serve most requests and the candidates, which
// serve the roll-out's share of them. Endpoints that may not be used are in neither.
func (r *Rollout) Split(endpoints []*Endpoint) (stable, candidates []*Endpoint) {
	var target []*Endpoint
	for _, e := range endpoints {
		switch {
		case e.SoftwareVersion == r.Target:
			target = append(target, e)
		case r.Progress.Phase != RolloutCompleted || !slices.Contains(r.Progress.Replaced, e.SoftwareVersion):
			stable = append(stable, e)
		}
	}
	switch r.Progress.Phase {
	case RolloutCompleted:
		return append(stable, target...), nil
	case RolloutRolledBack:
		return stable, nil
	}
	return stable, target[:candidateCount(len(target), r.Progress.Share)]
}

// Candidates returns as many candidates as Split does, but only endpoints that are ready.
func (r *Rollout) Candidates(endpoints []*Endpoint, ready func(*Endpoint) bool) (out []*Endpoint) {
	if r.Progress.Phase != RolloutRunning {
		return nil
	}
	n := 0
	for _, e := range endpoints {
		if e.SoftwareVersion != r.Target {
			continue
		}
		n++
		if ready(e) {
			out = append(out, e)
		}
	}
	return out[:min(len(out), candidateCount(n, r.Progress.Share))]
}

// OtherVersions returns the endpoints that run another version than the target.
func (r *Rollout) OtherVersions(endpoints []*Endpoint) (out []*Endpoint) {
	for _, e := range endpoints {
		if e.SoftwareVersion != r.Target {
			out = append(out, e)
		}
	}
	return out
}

// minCandidates is the lowest number of candidates that serve a share, so that long and short prompts can go to
// different ones.
const minCandidates = 2

// candidateCount returns how many endpoints of the target version serve a share of the requests. With as many
// as the share needs, each one is as busy as it will be after the roll-out, so faults that depend on the load
// show before.
func candidateCount(target int, share float64) int {
	if share <= 0 {
		return 0
	}
	return min(max(int(math.Ceil(share*float64(target))), minCandidates), target)
}

// rolloutState is the order and the recorded progress of one service. Either may arrive first.
type rolloutState struct {
	order          RolloutOrder
	revision       cfvmirror.Revision
	former         []int64 // numbers that the order had before restores of the store
	learnedAt      time.Duration
	notBefore      time.Duration
	progress       *RolloutProgress // nil: not recorded, or removed
	progressAt     time.Duration
	recordRevision cfvmirror.Revision
	unrecorded     bool
}

func (v *View) applyRolloutOrder(now time.Duration, revision cfvmirror.Revision, o RolloutOrder) bool {
	s := v.rollouts[o.Service]
	if revision <= s.revision {
		return false
	}
	if o.Target != "" && o == s.order && revision.History() > s.revision.History() {
		s.former, s.revision = append(slices.Clone(s.former), s.revision.Number()), revision // the operator has written a lost order again
	} else {
		s.order, s.revision, s.former, s.learnedAt, s.notBefore = o, revision, nil, now, 0
	}
	v.rollouts[o.Service] = s
	return true
}

// isOrder reports whether the number of a revision is that of the order, or was before a restore.
func (s rolloutState) isOrder(number int64) bool {
	return number == s.revision.Number() || slices.Contains(s.former, number)
}

// SetRolloutsNotBefore records that the orders that this process learned of at time now were not given before
// another time.
func (v *View) SetRolloutsNotBefore(now, notBefore time.Duration) {
	for service, s := range v.rollouts {
		if s.learnedAt == now && s.notBefore == 0 {
			s.notBefore = notBefore
			v.rollouts[service] = s
		}
	}
}

// applyRolloutProgress applies a record of progress. One without a target was removed.
func (v *View) applyRolloutProgress(now time.Duration, revision cfvmirror.Revision, p RolloutProgress) bool {
	s := v.rollouts[p.Service]
	lost := s.losesEnd(revision, p)
	if !lost {
		s.progress, s.progressAt = &p, now
	}
	s.recordRevision, s.unrecorded = revision, lost
	if p.Target == "" {
		s.recordRevision = 0
		if !lost {
			s.progress = nil
		}
	}
	v.rollouts[p.Service] = s
	return true
}

// losesEnd reports whether a record of a restored key-value store is one from before the end of the roll-out that is known.
// A roll-out that has ended stays as it is.
func (s rolloutState) losesEnd(revision cfvmirror.Revision, p RolloutProgress) bool {
	if s.progress == nil || s.progress.Phase == RolloutRunning || revision.History() <= s.recordRevision.History() && !s.unrecorded {
		return false
	}
	sameOrder := p.OrderRevision == s.progress.OrderRevision || s.isOrder(p.OrderRevision) && s.isOrder(s.progress.OrderRevision)
	return p.Target == "" || p.Phase == RolloutRunning && p.Target == s.progress.Target && sameOrder
}

// Rollout returns the newest roll-out of a service, which may have ended; nil if none is ordered.
func (v *View) Rollout(service string) *Rollout {
	s, ok := v.rollouts[service]
	if !ok {
		return nil
	}
	if s.order.Target == "" {
		return s.ended()
	}
	r := &Rollout{
		RolloutOrder: s.order, Revision: s.revision.Number(), LearnedAt: s.learnedAt, NotBefore: s.notBefore,
		RecordRevision: s.recordRevision, Unrecorded: s.unrecorded,
	}
	if n := len(s.former); n > 0 {
		r.Formerly = s.former[n-1]
	}
	if s.progress != nil && s.isOrder(s.progress.OrderRevision) && s.progress.Target == s.order.Target {
		r.Progress, r.ProgressAt = *s.progress, s.progressAt
	}
	r.Established = r.Progress.Phase == RolloutRunning && (r.Progress.Established || v.updateEstablished(service).names[r.Target])
	return r
}

// ended returns the roll-out that ended before its order was withdrawn; nil if there is none. A version that was
// rolled back stays out, and so do the versions that were replaced.
func (s rolloutState) ended() *Rollout {
	if s.progress == nil || s.progress.Phase == RolloutRunning {
		return nil
	}
	return &Rollout{
		RolloutOrder: RolloutOrder{Service: s.progress.Service, Target: s.progress.Target}, Revision: s.progress.OrderRevision,
		Progress: *s.progress, ProgressAt: s.progressAt, RecordRevision: s.recordRevision, Unrecorded: s.unrecorded,
	}
}

// Rollouts returns the newest roll-out of each service that has one, sorted by service.
func (v *View) Rollouts() []*Rollout {
	var out []*Rollout
	for service := range v.rollouts {
		if r := v.Rollout(service); r != nil {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *Rollout) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return out
}
