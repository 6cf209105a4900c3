package cfvrollout

import (
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Limits are the operators' bounds on a bad version.
type Limits struct {
	ExposureShare float64 // of all requests to the service between order and deadline that may reach it; 0: no bound
	ExposureSlack float64 // requests that may reach it beyond that share
}

// allowed returns how many of n requests a bad version may get.
func (l Limits) allowed(n float64) float64 { return l.ExposureShare*n + l.ExposureSlack }

// Fleet describes the endpoints of a service at one time.
type Fleet struct {
	Stable      int           // endpoints of other versions than the target
	Target      int           // endpoints of the target version
	WarmAt      time.Duration // from then on, their times tell about the version
	OldVersions []string      // versions other than the target
}

// Shares and thresholds of the policy.
const (
	baseCanaryShare = 0.05 // of a service with many requests
	maxCanaryShare  = 0.5  // of a service with so few requests that the slack covers them
	canaryPart      = 0.5  // part of the allowed share that the canary share is planned to use
	canarySlackPart = 0.5  // likewise of the slack
	guardPart       = 0.6  // part of it from which on the canary share is the base
	pausePart       = 0.85 // part of it from which on the canary share is 0
	maxCatchUp      = 2    // times the planned share that the canary share may be
	canaryChange    = 1.25 // smaller factors between two canary shares aren't worth a write
	capacityPart    = 0.5  // endpoints of the target version that more than the canary share needs, per other endpoint
	minBadToRecord  = 10   // bad responses of the target version that are worth a write
	minRequests     = 20   // requests to the service of which some must reach the target version
)

// Times of the policy.
const (
	rateDelay         = 2 * time.Second         // a leader has had the evidence of all entries for a while after this time
	evidenceDelay     = 1500 * time.Millisecond // a new leader has the entries' evidence after this time
	maxClockGap       = time.Minute             // longest time without a leader that is measured by the clocks of two VMs
	maxWriteRoom      = 3 * time.Second
	recordParts       = 10 // the elapsed time is recorded once in this part of the duration
	minRecordInterval = 2 * time.Second
	recordWrites      = 4 // likewise, at most once in the time of this many writes, since a step waits for the write before it
)

// Policy decides how one order goes on. Times are durations on the clock of its owner. It is not safe for
// concurrent use.
type Policy struct {
	limits      Limits
	order       cfvfleet.RolloutOrder
	revision    int64
	schedule    schedule
	judge       *Judge
	createdAt   time.Duration
	startedAt   time.Duration // estimated time of the order
	startMillis int64         // likewise by the clock of the leader that recorded it first
	unrecorded  time.Duration // of the elapsed time at most, if this process only knows the recorded one
	verdict     string        // why the version is rolled back; it is never withdrawn
	share       float64       // the last recorded share
	sharedAt    time.Duration // when the policy learned of it
	writeTook   time.Duration // how long the last write took
}

// NewPolicy returns the policy of an order, which other leaders may have carried out before. now is on this
// process's clock, millis is the time of day.
func NewPolicy(now time.Duration, millis int64, r *cfvfleet.Rollout, l Limits) *Policy {
	p := &Policy{
		limits: l, order: r.RolloutOrder, revision: r.Revision, schedule: newSchedule(r.Duration, l), createdAt: now, startedAt: r.LearnedAt,
		judge: NewJudge(r.Service, r.Target, r.Revision, r.Duration), share: r.Progress.Share, sharedAt: now,
	}
	p.judge.adoptRecord(pair{target: tally(r.Progress.TargetCounts), old: tally(r.Progress.OtherCounts)})
	p.adoptElapsed(r)
	if r.NotBefore == 0 && r.ProgressAt > 0 {
		p.unrecorded = max(r.Duration/recordParts, minRecordInterval)
	}
	if r.Progress.StartMillis > 0 {
		p.adoptStart(now, millis, r)
		return p
	}
	p.startMillis = millis - (now - p.startedAt).Milliseconds()
	return p
}

// adoptElapsed uses the recorded elapsed time if it is longer than the known one.
func (p *Policy) adoptElapsed(r *cfvfleet.Rollout) {
	if r.ProgressAt > 0 {
		p.startedAt = min(p.startedAt, max(r.ProgressAt-r.Progress.Elapsed, r.NotBefore))
	}
}

// adoptStart uses the recorded time of the order if more time has passed since then. It is the only measure
// of a time in which no leader was there. The clocks of two VMs may differ by seconds, so it counts only as far
// as this process doesn't know better.
func (p *Policy) adoptStart(now time.Duration, millis int64, r *cfvfleet.Rollout) {
	p.startMillis = r.Progress.StartMillis
	byClock := max(now-time.Duration(millis-p.startMillis)*time.Millisecond, r.NotBefore)
	if p.startedAt-byClock <= maxClockGap {
		p.startedAt = min(p.startedAt, byClock)
	}
}

// Revision returns the revision of the order.
func (p *Policy) Revision() int64 { return p.revision }

// Renumber adopts another revision of the same order.
func (p *Policy) Renumber(revision int64) { p.revision, p.judge.order = revision, revision }

// AddReport adds the evidence of an entry.
func (p *Policy) AddReport(r Report) { p.judge.Add(r) }

// Requests returns how many requests the target version and all versions have got.
func (p *Policy) Requests() (target, all float64) { return p.judge.Requests() }

// Describe returns the evidence on each route, for the log.
func (p *Policy) Describe() string { return p.judge.Describe() }

// Elapsed returns the estimated time since the order.
func (p *Policy) Elapsed(now time.Duration) time.Duration { return max(now-p.startedAt, 0) }

// RecordWrite tells how long it took to record a progress. What follows is decided so much earlier.
func (p *Policy) RecordWrite(took time.Duration) { p.writeTook = min(took, maxWriteRoom) }

// due reports whether a time of the schedule has come, or may have come.
func (p *Policy) due(now, at time.Duration) bool {
	return p.Elapsed(now)+p.unrecorded+p.writeTook >= at
}

// Next returns the progress to record, and false if the recorded one is to stay. A roll-out that has ended
// stays as it is, whoever ended it.
func (p *Policy) Next(now time.Duration, r *cfvfleet.Rollout, f Fleet) (next cfvfleet.RolloutProgress, changed bool) {
	p.adoptElapsed(r)
	if r.Progress.Phase != cfvfleet.RolloutRunning {
		return r.Progress, false
	}
	p.judge.Observe(now, now >= f.WarmAt)
	p.noteShare(now, r.Progress.Share)
	next = cfvfleet.RolloutProgress{
		Service: p.order.Service, OrderRevision: p.revision, Target: p.order.Target, Elapsed: p.Elapsed(now), StartMillis: p.startMillis,
		Replaced: union(r.Progress.Replaced, f.OldVersions),
	}
	known := p.judge.totals[allRoutes]
	next.TargetCounts, next.OtherCounts = cfvfleet.RolloutCounts(known.target), cfvfleet.RolloutCounts(known.old)
	if r.Established {
		return p.nextEstablished(now, r, next)
	}
	suspicion := p.decide(now, f)
	switch {
	case p.verdict != "":
		next.Phase, next.Cause = cfvfleet.RolloutRolledBack, p.verdict
	case p.complete(now, suspicion):
		next.Phase, next.Share = cfvfleet.RolloutCompleted, 1
	default:
		next.Share = p.nextShare(now, f, suspicion)
	}
	return next, p.worthRecording(r, next)
}

// nextEstablished returns the next progress of an order for the version that serves all requests anyway. There is nothing
// to compare it with, and nothing to roll back to.
func (p *Policy) nextEstablished(now time.Duration, r *cfvfleet.Rollout, next cfvfleet.RolloutProgress) (cfvfleet.RolloutProgress, bool) {
	next.Established = true
	if p.due(now, p.schedule.finish) {
		next.Phase, next.Share = cfvfleet.RolloutCompleted, 1
	}
	return next, !r.Progress.Established || p.worthRecording(r, next)
}

// noteShare notices a change of the recorded share.
func (p *Policy) noteShare(now time.Duration, share float64) {
	if share == p.share {
		return
	}
	p.share, p.sharedAt = share, now
}

// worthRecording reports whether a progress differs enough from the recorded one.
func (p *Policy) worthRecording(r *cfvfleet.Rollout, next cfvfleet.RolloutProgress) bool {
	if r.ProgressAt == 0 || next.Phase != r.Progress.Phase || next.Share != r.Progress.Share {
		return true
	}
	if bad(next.TargetCounts)-bad(r.Progress.TargetCounts) >= minBadToRecord {
		return true
	}
	return next.Elapsed-r.Progress.Elapsed >= max(p.order.Duration/recordParts, minRecordInterval, recordWrites*p.writeTook)
}

// bad returns how many responses were failures or slow.
func bad(c cfvfleet.RolloutCounts) float64 { return c.Failures + c.Slow }

// decide sets the verdict if there is reason for one, and returns the suspicion against the version.
func (p *Policy) decide(now time.Duration, f Fleet) (suspicion string) {
	if p.verdict != "" {
		return p.verdict
	}
	suspicion = p.judge.Suspicion(now)
	if suspicion == "" {
		p.verdict = p.lateVerdict(now, f)
		return ""
	}
	p.verdict = p.judge.Fault(now)
	if p.verdict == "" && p.due(now, p.schedule.decision) {
		p.verdict = suspicion
	}
	return suspicion
}

// lateVerdict returns why a version that is not suspect is rolled back when its time is nearly over, or "".
// A bad version that is completed harms all callers from then on, while a good one that is rolled back can be
// ordered again. So a version is rolled back if no entry reports anything, or if it got none of the requests that
// came. One that got few requests and showed no fault is completed, and so is one of a service with hardly any.
func (p *Policy) lateVerdict(now time.Duration, f Fleet) string {
	if !p.due(now, p.schedule.decision) || !p.hasEvidence(now) {
		return ""
	}
	if !p.hasCapacity(f) {
		return "too few endpoints run the version"
	}
	target, all := p.judge.Requests()
	switch {
	case p.share >= 1: // a leader had evidence before
		return ""
	case all == 0:
		return "no entry has reported a request"
	case target == 0 && all >= minRequests:
		return "no request has shown how the version does"
	}
	return ""
}

// complete reports whether the version replaces the others now.
func (p *Policy) complete(now time.Duration, suspicion string) bool {
	if suspicion != "" {
		return false
	}
	drain := p.schedule.finish - p.schedule.full
	if p.share >= 1 && p.due(now, p.schedule.finish) && now-p.sharedAt+p.writeTook >= drain {
		return true
	}
	return p.due(now, p.schedule.decision) && p.hasEvidence(now)
}

// hasEvidence reports whether the entries have had the time to send their evidence.
func (p *Policy) hasEvidence(now time.Duration) bool {
	_, all := p.judge.Requests()
	return all > 0 && now-p.createdAt >= evidenceDelay/2 || now-p.createdAt >= evidenceDelay
}

// hasCapacity reports whether the endpoints of the target version can serve the service.
func (p *Policy) hasCapacity(f Fleet) bool {
	return f.Target > 0 && float64(f.Target) >= capacityPart*float64(f.Stable)
}

// nextShare returns the share of the target version.
func (p *Policy) nextShare(now time.Duration, f Fleet, suspicion string) float64 {
	if f.Target == 0 {
		return p.share
	}
	if suspicion != "" {
		return min(p.canaryShare(now), max(p.share, p.baseShare()))
	}
	if p.share >= 1 || p.mayServeAll(now, f) {
		return 1
	}
	return p.canaryShare(now)
}

// mayServeAll reports whether the target version may get all requests. If that is overdue, little evidence is
// enough, but not none.
func (p *Policy) mayServeAll(now time.Duration, f Fleet) bool {
	full := min(p.schedule.full, p.schedule.finish-p.writeTook) // the roll-out is completed by another write after this one
	if !p.due(now, full) || !p.hasCapacity(f) || !p.hasEvidence(now) {
		return false
	}
	target, all := p.judge.Requests()
	switch {
	case all == 0 || target == 0 && all >= minRequests:
		return false
	case p.due(now, min((p.schedule.full+p.schedule.finish)/2, p.schedule.finish-p.writeTook)):
		return true
	}
	return now >= f.WarmAt+evidenceDelay && p.judge.Proven()
}

// baseShare is the canary share of a service with many requests.
func (p *Policy) baseShare() float64 {
	if p.limits.ExposureShare == 0 {
		return baseCanaryShare
	}
	return min(baseCanaryShare, canaryPart*p.limits.ExposureShare)
}

// canaryShare returns the share before the first step. A service with few requests gives the version more of
// them, as long as they are within the slack, since there would be no evidence otherwise.
func (p *Policy) canaryShare(now time.Duration) float64 {
	base := p.baseShare()
	target, all := p.judge.Requests()
	switch {
	case p.limits.ExposureShare == 0:
		return base
	case target > pausePart*p.limits.allowed(all):
		return 0
	case target > guardPart*p.limits.allowed(all):
		return base
	case p.share > maxCanaryShare:
		return base
	case all == 0 || now-p.createdAt < rateDelay:
		return max(base, p.share)
	}
	planned := all * float64(p.order.Duration) / float64(p.Elapsed(now))
	use := canaryPart*p.limits.ExposureShare*planned + canarySlackPart*p.limits.ExposureSlack
	average := use / planned
	remaining := max(use-target, 0) / max(planned-all, 1) // more than the average after a time without candidates or without a leader
	share := min(max(min(remaining, maxCatchUp*average), base), maxCanaryShare)
	if p.share > 0 && share < p.share*canaryChange && share > p.share/canaryChange {
		return p.share
	}
	return share
}

// union returns the sorted union of two lists.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}
