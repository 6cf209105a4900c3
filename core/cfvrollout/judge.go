package cfvrollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmove"
)

// Parameters of a comparison.
const (
	minStratumLength = time.Second
	maxStrata        = 120
	minRecentWindow  = 3 * time.Second
	maxRecentWindow  = 20 * time.Second
	minFailureExcess = 0.03 // share of failures beyond the expected one that counts as a fault
	minSlowExcess    = 0.15 // likewise for slow requests
	minSlowRatio     = 2    // slow requests of a faulty version, as a multiple of the expected ones
	minExpectedShare = 0.01 // share of bad requests that every version may have
	priorBad         = 0.5  // bad requests added to those counted for the old versions
	priorRequests    = 20   // requests added likewise
	stratumPrior     = 20   // requests of the whole time that are added to each stratum of the old versions
	suspicion        = 5.0  // surprise from which a version is suspect
	doubt            = 2.5  // likewise, over the whole time on all routes, if the excess is large
	minDoubtExcess   = 0.15
	allRoutes        = ""    // the sum of all routes
	standardErrors   = 2     // of the expected number of bad requests that a good version is granted
	minRouteRequests = 20    // requests to the target version on one route that show how it does there
	minRouteShare    = 0.005 // routes with a smaller share of the requests need no evidence of their own
)

// tally is a sum of evidence.
type tally cfvfleet.RolloutCounts

func (t tally) plus(o tally) tally {
	return tally{t.Requests + o.Requests, t.Failures + o.Failures, t.Slow + o.Slow}
}

func (t tally) minus(o tally) tally {
	return tally{t.Requests - o.Requests, t.Failures - o.Failures, t.Slow - o.Slow}
}

// beyond returns by how much each count exceeds that of another tally.
func (t tally) beyond(o tally) tally {
	return tally{max(t.Requests-o.Requests, 0), max(t.Failures-o.Failures, 0), max(t.Slow-o.Slow, 0)}
}

// pair is the evidence of the target version and that of the versions that it replaces.
type pair struct {
	target, old tally
}

func (p pair) plus(o pair) pair  { return pair{p.target.plus(o.target), p.old.plus(o.old)} }
func (p pair) minus(o pair) pair { return pair{p.target.minus(o.target), p.old.minus(o.old)} }

// stratum is the evidence of a short time. The versions are compared within each one, so that trouble which
// hits them alike doesn't count against the version that got more of its requests at that time.
type stratum struct {
	at     time.Duration
	routes map[string]pair
	cold   bool // the times of the target version don't tell about it
}

// process identifies one run of an entry.
type process struct {
	entry       string
	startMillis int64
}

// Judge compares the target version of one roll-out with those that it replaces. Times are durations on the
// clock of its owner. It is not safe for concurrent use.
type Judge struct {
	service, target string
	order           int64
	window          time.Duration // of the recent evidence, which is also tested alone
	stratumLength   time.Duration
	reports         map[process]map[string]pair // the latest by entry process and route
	totals          map[string]pair             // their sum by route
	recorded        pair                        // evidence on all routes that an earlier leader knew of
	lost            pair                        // what of it no process reports any more
	closed          map[string]pair             // the sum of all closed strata by route
	strata          []stratum
	cold            bool // of the open stratum
}

// NewJudge returns a judge without evidence.
func NewJudge(service, target string, order int64, duration time.Duration) *Judge {
	return &Judge{
		service: service, target: target, order: order, window: min(max(duration/5, minRecentWindow), maxRecentWindow),
		stratumLength: max(duration/maxStrata, minStratumLength), reports: make(map[process]map[string]pair), totals: make(map[string]pair), closed: make(map[string]pair),
	}
}

// Add replaces the evidence of an entry's process, unless the report is older than the last one.
func (j *Judge) Add(r Report) {
	id := process{r.Entry, r.StartMillis}
	routes := make(map[string]pair)
	for _, e := range r.Evidence {
		if e.Service != j.service || e.Order != j.order {
			continue
		}
		t := tally{float64(e.Requests), float64(e.Failures), float64(e.Slow)}
		p := pair{old: t}
		if e.Version == j.target {
			p = pair{target: t}
		}
		routes[allRoutes] = routes[allRoutes].plus(p)
		if e.Route != allRoutes {
			routes[e.Route] = routes[e.Route].plus(p)
		}
	}
	have, got := j.reports[id][allRoutes], routes[allRoutes]
	if got.target.Requests < have.target.Requests || got.old.Requests < have.old.Requests {
		return
	}
	for route, p := range j.reports[id] {
		j.totals[route] = j.totals[route].minus(p)
	}
	for route, p := range routes {
		j.totals[route] = j.totals[route].plus(p)
	}
	j.reports[id] = routes
	j.updateLost()
}

// adoptRecord adopts the evidence that an earlier leader knew of. What is reported is less than that if processes have ended.
func (j *Judge) adoptRecord(recorded pair) {
	j.recorded = recorded
	j.updateLost()
}

// updateLost counts the evidence that was recorded and is not reported any more.
func (j *Judge) updateLost() {
	reported := j.totals[allRoutes].minus(j.lost)
	j.lost = pair{target: j.recorded.target.beyond(reported.target), old: j.recorded.old.beyond(reported.old)}
	j.totals[allRoutes] = reported.plus(j.lost)
}

// Observe closes the current stratum if it is long enough. warm reports whether the times of the target version
// tell about it.
func (j *Judge) Observe(now time.Duration, warm bool) {
	j.cold = j.cold || !warm
	if n := len(j.strata); n > 0 && now-j.strata[n-1].at < j.stratumLength {
		return
	}
	j.strata = append(j.strata, j.open(now))
	j.closed, j.cold = maps.Clone(j.totals), !warm
}

// open returns the evidence since the last stratum was closed.
func (j *Judge) open(now time.Duration) stratum {
	s := stratum{at: now, routes: make(map[string]pair), cold: j.cold}
	for route, p := range j.totals {
		s.routes[route] = p.minus(j.closed[route])
	}
	return s
}

// Requests returns how many requests the target version and all versions have got.
func (j *Judge) Requests() (target, all float64) {
	p := j.totals[allRoutes]
	return p.target.Requests, p.target.Requests + p.old.Requests
}

// Describe returns the evidence on each route, for the log.
func (j *Judge) Describe() string {
	var out []string
	for _, route := range sortedKeys(j.totals) {
		if route == allRoutes {
			continue
		}
		p := j.totals[route]
		out = append(out, fmt.Sprintf("%s: %s, others %s", route, p.target.describe(), p.old.describe()))
	}
	return strings.Join(out, "; ")
}

func (t tally) describe() string {
	return fmt.Sprintf("%.0f of %.0f failed, %.0f slow", t.Failures, t.Requests, t.Slow)
}

// Fault returns why the version is bad, or "" if the evidence doesn't show it.
func (j *Judge) Fault(now time.Duration) string {
	return j.find(now, cfvmove.SignificanceThreshold)
}

// Suspicion returns why the version is probably bad, or "". It needs less evidence than a fault.
func (j *Judge) Suspicion(now time.Duration) string {
	if cause := j.find(now, suspicion); cause != "" {
		return cause
	}
	c := comparer{threshold: doubt, minExcess: minDoubtExcess}
	return c.compare(append(slices.Clip(j.strata), j.open(now)), allRoutes, j.totals[allRoutes].old)
}

// find compares the versions on each route and on all, over the whole time and over the recent window.
func (j *Judge) find(now time.Duration, threshold float64) string {
	strata := append(slices.Clip(j.strata), j.open(now))
	recent := strata
	for len(recent) > 0 && now-recent[0].at > j.window {
		recent = recent[1:]
	}
	c := comparer{threshold: threshold}
	for _, route := range sortedKeys(j.totals) {
		old := j.totals[route].old
		if cause := c.compare(strata, route, old); cause != "" {
			return cause
		}
		if route != allRoutes && targetRequests(recent, route) < minRouteRequests {
			continue // few requests in one of many windows are often bad by chance
		}
		if cause := c.compare(recent, route, old); cause != "" {
			return cause + " of late"
		}
	}
	return ""
}

// targetRequests returns how many requests the target version got on a route in some strata.
func targetRequests(strata []stratum, route string) (n float64) {
	for _, s := range strata {
		n += s.routes[route].target.Requests
	}
	return n
}

// Proven reports whether the evidence on each route that the replaced versions serve is enough to show a
// fault of the target version.
func (j *Judge) Proven() bool {
	all := j.totals[allRoutes]
	if all.target.Requests < minRouteRequests {
		return false
	}
	for _, p := range j.totals {
		if p.old.Requests >= minRouteShare*all.old.Requests && p.target.Requests < minRouteRequests {
			return false
		}
	}
	return true
}

// comparer compares the versions on one route after the other.
type comparer struct {
	threshold float64 // surprise that is needed
	minExcess float64 // smaller excesses are ignored
}

// compare returns why the target version is worse than the old ones in some strata, or "". old is the evidence
// of the old ones over the whole time.
func (c comparer) compare(strata []stratum, route string, old tally) string {
	var failures, slow comparison
	for _, s := range strata {
		p := s.routes[route]
		failures.add(p.target.Failures, p.target.Requests, p.old.Failures, p.old.Requests, expectedShare(old.Failures, old.Requests))
		if !s.cold {
			slow.add(p.target.Slow, p.target.Requests, p.old.Slow, p.old.Requests, expectedShare(old.Slow, old.Requests))
		}
	}
	switch {
	case failures.worse(c.threshold, max(minFailureExcess, c.minExcess), 1):
		return failures.describe("failed", route)
	case slow.worse(c.threshold, max(minSlowExcess, c.minExcess), minSlowRatio):
		return slow.describe("were slow", route)
	}
	return ""
}

func expectedShare(bad, requests float64) float64 {
	return max((bad+priorBad)/(requests+priorRequests), minExpectedShare)
}

// comparison is a count of bad requests of the target version and how many were to be expected, judging by
// the other versions.
type comparison struct {
	bad, requests, expected float64
	variance                float64 // of the estimate of the expected ones
}

// add counts a stratum. overall is the share of bad requests of the old versions over the whole time, which
// stands in where a stratum has few of their requests.
func (c *comparison) add(bad, n, oldBad, oldRequests, overall float64) {
	if n <= 0 {
		return
	}
	share := (oldBad + stratumPrior*overall) / (oldRequests + stratumPrior)
	share = min(max(share, minExpectedShare), 1)
	c.bad += bad
	c.requests += n
	c.expected += n * share
	c.variance += n * n * share / (oldRequests + stratumPrior)
}

// plausible returns how many bad requests a good version may well have.
func (c comparison) plausible() float64 { return c.expected + standardErrors*math.Sqrt(c.variance) }

func (c comparison) worse(threshold, minExcess, minRatio float64) bool {
	plausible := c.plausible()
	if c.requests == 0 || (c.bad-plausible)/c.requests < minExcess || c.bad < minRatio*plausible {
		return false
	}
	return cfvmove.Surprise(c.bad, plausible) > threshold
}

func (c comparison) describe(what, route string) string {
	if route == allRoutes {
		route = "all routes"
	}
	return fmt.Sprintf("%.0f of %.0f requests on %s %s, at most %.1f plausible", c.bad, c.requests, route, what, c.plausible())
}

func sortedKeys(m map[string]pair) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
