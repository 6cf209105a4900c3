package cfvmove

import (
	"fmt"
	"sort"
	"time"
)

// Limits and intervals of a judge.
const (
	recentWindow       = 20 * time.Second // recent evidence is also tested alone, to detect faults that appear later
	snapshotInterval   = time.Second
	minRequestsPerStep = 20 // requests of the new version that each step needs before the next one
	evidenceMaxAge     = 15 * time.Second
	oldVersionIdleTime = 3 * time.Second // without requests of the old version before its last endpoint moves
)

// Judge sums the evidence of all entries about one move and decides how the move goes on. It
// is not safe for concurrent use.
type Judge struct {
	plan           Plan
	reports        map[string]Report // the latest report by entry process
	snapshots      []snapshot
	step           int
	tallyAtStep    tally // of the new version at the time of the last step
	lastEvidenceAt time.Time
	lastRequests   float64
	lastOldAt      time.Time // of the last request of the old version
	oldRequests    float64
	fullShareAt    time.Time
	oldVersionIdle bool
	verdict        *Verdict
}

// series identifies the evidence about one version on one route.
type series struct {
	version string
	route   string
}

// snapshot holds the totals of all series at one time.
type snapshot struct {
	at     time.Time
	totals map[series]tally
}

// NewJudge returns a judge of the plan without evidence. share is the latest share of the
// move that its node knows of.
func NewJudge(now time.Time, p Plan, share int) *Judge {
	j := &Judge{plan: p, lastEvidenceAt: now, reports: make(map[string]Report), step: -1}
	for i, s := range p.steps() {
		if share >= s {
			j.step = i
		}
	}
	return j
}

// AddReport replaces the evidence of an entry's process. Entries count per move, so their
// counters start at zero with the move.
func (j *Judge) AddReport(r Report) {
	j.reports[fmt.Sprintf("%s/%d", r.Entry, r.StartMillis)] = r
}

// SetVerdict makes the judge adopt a verdict that another node gave. It does nothing if the
// judge already has a verdict.
func (j *Judge) SetVerdict(v Verdict) {
	if j.verdict == nil {
		j.verdict = &v
	}
}

// Capacity counts the endpoints of a service and those that run the new version.
type Capacity struct {
	Moved int
	Total int
}

// canServe reports whether the moved endpoints can serve the share of traffic. The last
// endpoint moves only after all traffic has moved.
func (c Capacity) canServe(share int) bool {
	return c.Moved > 0 && (c.Moved*FullShare >= c.Total*share || c.Moved >= c.Total-1)
}

// maxPartialShare is the share that endpoints load the new version for before all traffic
// has moved.
const maxPartialShare = FullShare - 1

// Decision is the current result of a judge.
type Decision struct {
	Share      int      // of the new version, in percent
	ReadyShare int      // share that endpoints should be able to serve, in percent
	Verdict    *Verdict // set once the move is taken back
	Done       bool
}

// Decide sums the evidence and returns how far the move may go. The share grows by one step
// at a time, when the step is due, the endpoints can serve it and recent evidence of the
// previous step is good.
func (j *Judge) Decide(now time.Time, c Capacity) Decision {
	if j.plan.TakenBack || j.verdict != nil {
		return j.takeBack("an operator took it back")
	}
	totals := j.totals()
	j.recordSnapshot(now, totals)
	if cause := j.findFault(now, totals); cause != "" {
		return j.takeBack(cause)
	}
	newTally := versionTally(j.plan.To, totals)
	if newTally.requests > j.lastRequests {
		j.lastRequests = newTally.requests
		j.lastEvidenceAt = now
	}
	steps := j.plan.steps()
	due := j.plan.due(now)
	if j.mayStep(now, due, newTally, c) {
		j.step++
		j.tallyAtStep = newTally
	}
	d := Decision{ReadyShare: steps[max(0, min(due, j.step+1, len(steps)-1))]}
	if j.step >= 0 {
		d.Share = steps[j.step]
	}
	if d.ReadyShare == FullShare && !j.mayMoveLastEndpoint(now, d.Share, c, totals) {
		d.ReadyShare = maxPartialShare
	}
	if now.Before(j.plan.Start) {
		d.ReadyShare = 0
	}
	return j.checkEnd(now, d, newTally, c)
}

// mayStep reports whether the next step may be taken.
func (j *Judge) mayStep(now time.Time, due int, newTally tally, c Capacity) bool {
	if j.step >= due || j.verdict != nil {
		return false
	}
	if !c.canServe(j.plan.steps()[j.step+1]) {
		return false
	}
	if j.step < 0 {
		return true
	}
	return now.Sub(j.lastEvidenceAt) <= evidenceMaxAge && newTally.requests-j.tallyAtStep.requests >= minRequestsPerStep
}

// mayMoveLastEndpoint reports whether the last endpoint may leave the old version: all traffic has
// moved, and entries have reported no request of the old version for a while, since those that have
// not heard of the full share yet still send some. The wait is at most a quarter of the time to the deadline.
// An endpoint that a previous judge has moved stays moved.
func (j *Judge) mayMoveLastEndpoint(now time.Time, share int, c Capacity, totals map[series]tally) bool {
	old := versionTally(j.plan.From, totals).requests
	if old != j.oldRequests {
		j.oldRequests, j.lastOldAt = old, now
	}
	j.oldVersionIdle = j.oldVersionIdle || (c.Total > 0 && c.Moved == c.Total)
	if share < FullShare || j.oldVersionIdle {
		return share == FullShare && j.oldVersionIdle
	}
	if j.fullShareAt.IsZero() {
		j.fullShareAt, j.lastOldAt = now, now
	}
	maxWait := j.plan.Deadline.Sub(j.fullShareAt) / 4
	j.oldVersionIdle = now.Sub(j.lastOldAt) >= min(oldVersionIdleTime, maxWait) || now.Sub(j.fullShareAt) >= maxWait
	return j.oldVersionIdle
}

// checkEnd marks the decision as done once all traffic and all endpoints have moved and the
// last step has enough evidence. If that is not so at the deadline, the move is taken back.
func (j *Judge) checkEnd(now time.Time, d Decision, newTally tally, c Capacity) Decision {
	allMoved := d.Share == FullShare && c.Moved == c.Total
	enoughEvidence := newTally.requests-j.tallyAtStep.requests >= minRequestsPerStep
	d.Done = allMoved && enoughEvidence
	if !d.Done && !now.Before(j.plan.Deadline) {
		return j.takeBack("the deadline passed before all traffic had moved")
	}
	return d
}

func (j *Judge) takeBack(cause string) Decision {
	if j.verdict == nil {
		j.verdict = &Verdict{j.plan.ID(), cause}
	}
	return Decision{Verdict: j.verdict}
}

func versionTally(version string, totals map[series]tally) (out tally) {
	for s, t := range totals {
		if s.version == version {
			out.requests += t.requests
			out.failures += t.failures
			out.slow += t.slow
		}
	}
	return out
}

func (j *Judge) totals() map[series]tally {
	out := make(map[series]tally)
	for _, r := range j.reports {
		for _, e := range r.Evidence {
			s := series{e.Version, e.Route}
			t := out[s]
			t.requests += float64(e.Requests)
			t.failures += float64(e.Failures)
			t.slow += float64(e.Slow)
			out[s] = t
		}
	}
	return out
}

// recordSnapshot keeps one snapshot per second for the length of the window.
func (j *Judge) recordSnapshot(now time.Time, totals map[series]tally) {
	n := len(j.snapshots)
	if n > 0 && now.Sub(j.snapshots[n-1].at) < snapshotInterval {
		return
	}
	j.snapshots = append(j.snapshots, snapshot{now, totals})
	for len(j.snapshots) > 1 && now.Sub(j.snapshots[1].at) >= recentWindow {
		j.snapshots = j.snapshots[1:]
	}
}

// findFault tests the new version on each route, over the whole move and over the recent
// window. It returns the cause of a verdict, or "" if it finds no fault.
func (j *Judge) findFault(now time.Time, totals map[series]tally) string {
	var before map[series]tally
	if len(j.snapshots) > 0 && now.Sub(j.snapshots[0].at) >= recentWindow {
		before = j.snapshots[0].totals
	}
	routes := make([]string, 0, len(totals))
	for s := range totals {
		if s.version == j.plan.To {
			routes = append(routes, s.route)
		}
	}
	sort.Strings(routes)
	for _, route := range routes {
		to, from := series{j.plan.To, route}, series{j.plan.From, route}
		if cause := compareTallies(route, totals[to], totals[from]); cause != "" {
			return cause
		}
		if cause := compareTallies(route, totals[to].minus(before[to]), totals[from].minus(before[from])); cause != "" {
			return cause + " of late"
		}
	}
	return ""
}

func compareTallies(route string, to, from tally) string {
	if significantlyWorse(to.failures, to.requests, from.failures, from.requests) {
		return fmt.Sprintf("%.0f of %.0f requests on %s failed", to.failures, to.requests, route)
	}
	if significantlyWorse(to.slow, to.requests, from.slow, from.requests) {
		return fmt.Sprintf("%.0f of %.0f requests on %s were slow", to.slow, to.requests, route)
	}
	return ""
}
