package cfvmove

import (
	"fmt"
	"sort"
	"time"
)

// Bounds of a judge's work.
const (
	window        = 20 * time.Second // latest evidence, to see faults that come later
	snapshotEvery = time.Second
	leastEvidence = 20 // requests of the new version before each next step
	freshFor      = 15 * time.Second
)

// Judge pools the evidence of one move. It is not safe for concurrent use.
type Judge struct {
	plan      Plan
	reports   map[string]Report // the latest of each entry's process
	snapshots []snapshot
	step      int
	stepped   tally // of the new version when the step was taken
	fresh     time.Time
	lastSeen  float64
	verdict   *Verdict
}

// series names one pool of evidence.
type series struct {
	version string
	route   string
}

type snapshot struct {
	at   time.Time
	pool map[series]tally
}

// NewJudge returns a judge of the plan that has heard nothing. share is how far the move
// has come as far as its node knows.
func NewJudge(now time.Time, p Plan, share int) *Judge {
	j := &Judge{plan: p, fresh: now, reports: make(map[string]Report), step: -1}
	for i, s := range p.steps() {
		if share >= s {
			j.step = i
		}
	}
	return j
}

// Report takes an entry's evidence. An entry's counters start with the move, since it
// counts by move.
func (j *Judge) AddReport(r Report) {
	j.reports[fmt.Sprintf("%s/%d", r.Entry, r.StartMillis)] = r
}

// Uphold has the judge keep to a verdict that another node gave.
func (j *Judge) SetVerdict(v Verdict) {
	if j.verdict == nil {
		j.verdict = &v
	}
}

// Capacity is how many endpoints of a service run the new version.
type Capacity struct {
	Moved int
	Total int
}

// carries reports whether the endpoints that have moved can carry the share. The last one
// moves once all traffic has.
func (c Capacity) carries(share int) bool {
	return c.Moved > 0 && (c.Moved*FullShare >= c.Total*share || c.Moved >= c.Total-1)
}

// allButOne is the share that endpoints are made ready for before all traffic moves.
const allButOne = FullShare - 1

// Decision is what a judge says now.
type Decision struct {
	Share      int      // of the new version, in percent
	ReadyShare int      // share that endpoints should be ready for, in percent
	Verdict    *Verdict // set once the move is taken back
	Done       bool
}

// Decide pools the evidence and says how far the move may go. The share grows by one step
// at a time: when time allows, the endpoints can carry it, and fresh evidence of the
// step before is good.
func (j *Judge) Decide(now time.Time, c Capacity) Decision {
	if j.plan.TakenBack || j.verdict != nil {
		return j.takeBack("an operator took it back")
	}
	pool := j.pool()
	j.remember(now, pool)
	if cause := j.fault(now, pool); cause != "" {
		return j.takeBack(cause)
	}
	seen := newVersion(j.plan, pool)
	if seen.requests > j.lastSeen {
		j.lastSeen = seen.requests
		j.fresh = now
	}
	steps := j.plan.steps()
	due := j.plan.due(now)
	if j.mayStep(now, due, seen, c) {
		j.step++
		j.stepped = seen
	}
	d := Decision{ReadyShare: steps[max(0, min(due, j.step+1, len(steps)-1))]}
	if j.step >= 0 {
		d.Share = steps[j.step]
	}
	if d.ReadyShare == FullShare && d.Share < FullShare {
		d.ReadyShare = allButOne
	}
	if now.Before(j.plan.Start) {
		d.ReadyShare = 0
	}
	return j.atDeadline(now, d, seen, c)
}

// mayStep reports whether the next step may be taken.
func (j *Judge) mayStep(now time.Time, due int, seen tally, c Capacity) bool {
	if j.step >= due || j.verdict != nil {
		return false
	}
	if !c.carries(j.plan.steps()[j.step+1]) {
		return false
	}
	if j.step < 0 {
		return true
	}
	return now.Sub(j.fresh) <= freshFor && seen.requests-j.stepped.requests >= leastEvidence
}

// atDeadline ends a move: done as soon as all traffic has moved and is proved there, taken
// back when that is not so at the deadline.
func (j *Judge) atDeadline(now time.Time, d Decision, seen tally, c Capacity) Decision {
	whole := d.Share == FullShare && c.Moved == c.Total
	proved := seen.requests-j.stepped.requests >= leastEvidence
	d.Done = whole && proved
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

func newVersion(p Plan, pool map[series]tally) (out tally) {
	for s, t := range pool {
		if s.version == p.To {
			out.requests += t.requests
			out.failures += t.failures
			out.slow += t.slow
		}
	}
	return out
}

func (j *Judge) pool() map[series]tally {
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

// remember keeps a snapshot a second, as long as the window.
func (j *Judge) remember(now time.Time, pool map[series]tally) {
	n := len(j.snapshots)
	if n > 0 && now.Sub(j.snapshots[n-1].at) < snapshotEvery {
		return
	}
	j.snapshots = append(j.snapshots, snapshot{now, pool})
	for len(j.snapshots) > 1 && now.Sub(j.snapshots[1].at) >= window {
		j.snapshots = j.snapshots[1:]
	}
}

// fault returns what speaks against the new version, over the whole move or its latest
// part, on any route; empty for nothing.
func (j *Judge) fault(now time.Time, pool map[series]tally) string {
	var before map[series]tally
	if len(j.snapshots) > 0 && now.Sub(j.snapshots[0].at) >= window {
		before = j.snapshots[0].pool
	}
	routes := make([]string, 0, len(pool))
	for s := range pool {
		if s.version == j.plan.To {
			routes = append(routes, s.route)
		}
	}
	sort.Strings(routes)
	for _, route := range routes {
		to, from := series{j.plan.To, route}, series{j.plan.From, route}
		if cause := compare(route, pool[to], pool[from]); cause != "" {
			return cause
		}
		if cause := compare(route, pool[to].minus(before[to]), pool[from].minus(before[from])); cause != "" {
			return cause + " of late"
		}
	}
	return ""
}

func compare(route string, to, from tally) string {
	if worse(to.failures, to.requests, from.failures, from.requests) {
		return fmt.Sprintf("%.0f of %.0f requests on %s failed", to.failures, to.requests, route)
	}
	if worse(to.slow, to.requests, from.slow, from.requests) {
		return fmt.Sprintf("%.0f of %.0f requests on %s were slow", to.slow, to.requests, route)
	}
	return ""
}
