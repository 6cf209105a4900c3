package cfvrollout

import (
	"cmp"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmove"
)

// Sample is the outcome of one request at an endpoint.
type Sample struct {
	Service string
	Route   string
	Version string // software version of the endpoint
	Failed  bool
	Warm    bool // the endpoint has served for a while, so its times tell about its version
	Mixed   bool // the endpoint also serves much larger requests, so First tells little

	Work   int           // size of what the endpoint does until it answers
	Behind time.Duration // for which the endpoint is expected to work on other requests before
	First  time.Duration // until the whole answer, or until the first event of a stream
	Event  int           // mean size of a stream's events
	Pace   time.Duration // shortest time between events of a stream, which other requests at the endpoint delay least; 0: not measured
}

// Counter counts the evidence of one entry process. It also keeps baselines of the times of requests while
// no roll-out is running, so that a new version is compared from its first request on. It is not safe for
// concurrent use.
type Counter struct {
	baselines map[routeKey]*routeBaseline
	evidence  map[seriesKey]*Evidence
	orders    map[string]int64 // order that the evidence is about, by service
	rejected  map[string]int64 // order whose target this process found worse, by service
}

type routeKey struct{ service, route string }

type seriesKey struct{ service, version, route string }

// routeBaseline holds the times of a route's requests at the versions that are not being rolled out.
type routeBaseline struct {
	first *cfvmove.Baseline // by work
	pace  *cfvmove.Baseline // by event
}

// NewCounter returns a counter without evidence.
func NewCounter() *Counter {
	return &Counter{
		baselines: make(map[routeKey]*routeBaseline), evidence: make(map[seriesKey]*Evidence),
		orders: make(map[string]int64), rejected: make(map[string]int64),
	}
}

// Record counts a sample and returns why the target of the service's roll-out is clearly worse by this
// process's evidence alone; empty if it is not, or was found so before. The roll-out may be nil.
func (c *Counter) Record(r *cfvfleet.Rollout, s Sample) (cause string) {
	running := r != nil && r.Progress.Phase == cfvfleet.RolloutRunning
	slow := c.compare(s, running && s.Version == r.Target)
	if !running {
		return ""
	}
	c.startOrder(r)
	c.count(r.Revision, s, slow)
	if s.Version != r.Target || c.Rejected(r.Service, r.Revision) {
		return ""
	}
	if cause = c.findFault(r, s.Route); cause != "" {
		c.rejected[r.Service] = r.Revision
	}
	return cause
}

// behindFactor allows for the error of Sample.Behind.
const behindFactor = 1.5

// compare reports whether an answer is slow, and adds its times to the baseline unless it came from the
// version that is rolled out.
func (c *Counter) compare(s Sample, target bool) (slow bool) {
	if s.Failed || !s.Warm {
		return false
	}
	key := routeKey{s.Service, s.Route}
	b := c.baselines[key]
	if b == nil {
		b = &routeBaseline{first: cfvmove.NewBaseline(), pace: cfvmove.NewBaseline()}
		c.baselines[key] = b
	}
	slow = !s.Mixed && b.first.IsSlow(s.Work, s.First-time.Duration(behindFactor*float64(s.Behind))) || s.Pace > 0 && b.pace.IsSlow(s.Event, s.Pace)
	if target {
		return slow
	}
	if !s.Mixed {
		b.first.Record(s.Work, s.First)
	}
	if s.Pace > 0 {
		b.pace.Record(s.Event, s.Pace)
	}
	return slow
}

// startOrder drops the evidence about an earlier order of the service.
func (c *Counter) startOrder(r *cfvfleet.Rollout) {
	c.renumber(r)
	if c.orders[r.Service] == r.Revision {
		return
	}
	c.orders[r.Service] = r.Revision
	for key := range c.evidence {
		if key.service == r.Service {
			delete(c.evidence, key)
		}
	}
}

// renumber keeps the evidence about an order that has got another revision.
func (c *Counter) renumber(r *cfvfleet.Rollout) {
	if r.Formerly == 0 {
		return
	}
	if c.rejected[r.Service] == r.Formerly {
		c.rejected[r.Service] = r.Revision
	}
	if c.orders[r.Service] != r.Formerly {
		return
	}
	c.orders[r.Service] = r.Revision
	for key, e := range c.evidence {
		if key.service == r.Service {
			e.Order = r.Revision
		}
	}
}

func (c *Counter) count(order int64, s Sample, slow bool) {
	key := seriesKey{s.Service, s.Version, s.Route}
	e := c.evidence[key]
	if e == nil {
		e = &Evidence{Service: s.Service, Order: order, Version: s.Version, Route: s.Route}
		c.evidence[key] = e
	}
	e.Requests++
	if s.Failed {
		e.Failures++
	}
	if slow {
		e.Slow++
	}
}

// minOldRequests is how many requests of the other versions are needed to compare the target with them.
const minOldRequests = 20

// findFault compares the target of a roll-out with the other versions on a route.
func (c *Counter) findFault(r *cfvfleet.Rollout, route string) (cause string) {
	var p pair
	for key, e := range c.evidence {
		if key.service != r.Service || key.route != route {
			continue
		}
		t := tally{float64(e.Requests), float64(e.Failures), float64(e.Slow)}
		if key.version == r.Target {
			p.target = p.target.plus(t)
		} else {
			p.old = p.old.plus(t)
		}
	}
	if p.old.Requests < minOldRequests {
		return ""
	}
	all := []stratum{{routes: map[string]pair{route: p}}}
	return comparer{threshold: cfvmove.SignificanceThreshold}.compare(all, route, p.old)
}

// Rejected reports whether this process found the target of an order clearly worse.
func (c *Counter) Rejected(service string, order int64) bool {
	return c.rejected[service] == order && order > 0
}

// Evidence returns the evidence about the roll-outs that are running, sorted.
func (c *Counter) Evidence(rollouts []*cfvfleet.Rollout) (out []Evidence) {
	running := make(map[string]int64, len(rollouts))
	for _, r := range rollouts {
		c.renumber(r)
		if r.Progress.Phase == cfvfleet.RolloutRunning {
			running[r.Service] = r.Revision
		}
	}
	for _, e := range c.evidence {
		if running[e.Service] == e.Order {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return out
}
