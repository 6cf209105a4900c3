// Package cfvweights decides which endpoints are ordered to load the desired weights, and
// when. Only the leader sends orders.
package cfvweights

import (
	"cmp"
	"slices"
	"time"
)

// Mode determines what happens to requests that run while weights change.
type Mode string

// The modes that engines support.
const (
	Wait     Mode = "wait"     // running requests finish first
	Truncate Mode = "truncate" // running requests are cut off
	Retain   Mode = "retain"   // running requests continue with the new weights
)

// Order is a request to an endpoint to load weights.
type Order struct {
	Model          string
	Version        int64
	Mode           Mode
	FencingToken   int64
	ExpectedOrders int64 // the endpoint accepts the order only if it has accepted this many before
}

// LoadStatus is the state of its weights that an endpoint reports.
type LoadStatus struct {
	Busy           bool
	AcceptedOrders int64
	Versions       map[string]int64
}

// Result is the outcome of an order.
type Result int

// The outcomes of an order.
const (
	Unknown Result = iota // no response; the order may still be carried out later
	Started
	Done
	Busy    // another order is in progress, or orders were accepted meanwhile
	Fenced  // a leader with a higher fencing token has sent orders
	Refused // malformed, or addressed to another endpoint
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"unknown", "started", "done", "busy", "fenced", "refused"}[r]
}

// Target is an endpoint in the input of Plan.Next.
type Target struct {
	ID          string
	StartMillis int64
	Version     int64 // the loaded version last reported
	Leaving     bool
	ShortPool   bool // serves short prompts
	Running     int  // requests of this entry at the endpoint
}

// Timeouts of orders.
const (
	loadTimeout = 1200 * time.Millisecond // an order in progress counts as lost after this; a load takes about 0.45 s
	retryDelay  = 400 * time.Millisecond  // delay after an order that was refused or lost
)

// attempt is the last order to an endpoint.
type attempt struct {
	startMillis int64
	version     int64
	changedAt   time.Duration
	failed      bool
}

// Plan limits how many endpoints load weights of one model at the same time. Times are
// durations on a clock that also runs while the VM is suspended. It is not safe for
// concurrent use.
type Plan struct {
	maxLoads int // maximum number of concurrent loads
	attempts map[string]attempt
}

// NewPlan returns a plan with at most the given number of concurrent loads, and at least one.
func NewPlan(maxLoads int) *Plan {
	return &Plan{maxLoads: max(maxLoads, 1), attempts: make(map[string]attempt)}
}

// Next returns the endpoints to send an order to now, and records the orders as in progress.
func (p *Plan) Next(now time.Duration, desired int64, targets []Target) []Target {
	inProgress := 0
	var due []Target
	for _, t := range targets {
		if t.Version >= desired || t.Leaving {
			continue
		}
		a, ok := p.attempts[t.ID]
		same := ok && a.startMillis == t.StartMillis && a.version == desired
		switch {
		case same && !a.failed && now-a.changedAt < loadTimeout:
			inProgress++
		case same && a.failed && now-a.changedAt < retryDelay:
		default:
			due = append(due, t)
		}
	}
	due = interleave(due)
	due = due[:min(len(due), max(p.maxLoads-inProgress, 0))]
	for _, t := range due {
		p.attempts[t.ID] = attempt{t.StartMillis, desired, now, false}
	}
	return due
}

// RecordResult records the outcome of an order.
func (p *Plan) RecordResult(now time.Duration, id string, r Result) {
	a := p.attempts[id]
	a.changedAt, a.failed = now, r != Started && r != Done
	p.attempts[id] = a
}

// interleave sorts endpoints so that both pools change at the same pace, and within a pool
// the endpoints with the fewest requests first. Prompts that avoid old weights then stay in
// their pool.
func interleave(due []Target) []Target {
	pools := make(map[bool][]Target)
	for _, t := range due {
		pools[t.ShortPool] = append(pools[t.ShortPool], t)
	}
	type positioned struct {
		Target
		position float64 // position in its pool, from 0 to 1
	}
	var all []positioned
	for _, pool := range pools {
		slices.SortFunc(pool, func(a, b Target) int {
			return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
		})
		for i, t := range pool {
			all = append(all, positioned{t, (float64(i) + 0.5) / float64(len(pool))})
		}
	}
	slices.SortFunc(all, func(a, b positioned) int { return cmp.Or(cmp.Compare(a.position, b.position), cmp.Compare(a.ID, b.ID)) })
	out := make([]Target, len(all))
	for i, p := range all {
		out[i] = p.Target
	}
	return out
}
