// Package cfvweights decides which endpoints are ordered to load newly named weights, and
// when. Only the process that holds the duty gives orders.
package cfvweights

import (
	"cmp"
	"slices"
	"time"
)

// Mode says what becomes of requests that run while weights change.
type Mode string

// The modes that engines know.
const (
	Wait     Mode = "wait"     // they finish first
	Truncate Mode = "truncate" // they are broken off
	Retain   Mode = "retain"   // they go on under the new weights
)

// Order tells an endpoint to load weights.
type Order struct {
	Model          string
	Version        int64
	Mode           Mode
	FencingToken   int64
	ExpectedOrders int64 // orders that the endpoint had accepted, as a condition
}

// Report is what an endpoint says of its weights.
type LoadStatus struct {
	Busy           bool
	AcceptedOrders int64
	Versions       map[string]int64
}

// Result is the answer to an order.
type Result int

// The answers to an order.
const (
	Unknown Result = iota // no answer; the order may be carried out late
	Started
	Done
	Busy    // another order is under way, or orders were accepted meanwhile
	Fenced  // a holder with a higher fencing token gave orders
	Refused // malformed, or the endpoint is another one
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"unknown", "started", "done", "busy", "fenced", "refused"}[r]
}

// Target is an endpoint as the plan sees it.
type Target struct {
	ID          string
	StartMillis int64
	Version     int64 // loaded, as last heard
	Leaving     bool
	ShortPool   bool // it serves short prompts
	Running     int  // requests of this entry there
}

// Times of the plan.
const (
	loadTime  = 1200 * time.Millisecond // an order under way counts as lost after this; a load takes about 0.45 s
	retryTime = 400 * time.Millisecond  // pause after an order that was refused or lost
)

// attempt is the last order to an endpoint.
type attempt struct {
	born    int64
	version int64
	at      time.Duration
	failed  bool
}

// Plan paces the orders for one model. Times are durations on a clock that also runs while
// the machine is suspended. It is not safe for concurrent use.
type Plan struct {
	most     int // loads at once
	attempts map[string]attempt
}

// NewPlan returns a plan with at most the given number of loads at once.
func NewPlan(most int) *Plan {
	return &Plan{most: max(most, 1), attempts: make(map[string]attempt)}
}

// Next returns the endpoints that are to be ordered now.
func (p *Plan) Next(now time.Duration, wanted int64, targets []Target) []Target {
	under := 0
	var due []Target
	for _, t := range targets {
		if t.Version >= wanted || t.Leaving {
			continue
		}
		a, ok := p.attempts[t.ID]
		same := ok && a.born == t.StartMillis && a.version == wanted
		switch {
		case same && !a.failed && now-a.at < loadTime:
			under++
		case same && a.failed && now-a.at < retryTime:
		default:
			due = append(due, t)
		}
	}
	due = interleave(due)
	due = due[:min(len(due), max(p.most-under, 0))]
	for _, t := range due {
		p.attempts[t.ID] = attempt{t.StartMillis, wanted, now, false}
	}
	return due
}

// Ended notes how an order ended.
func (p *Plan) RecordResult(now time.Duration, id string, r Result) {
	a := p.attempts[id]
	a.at, a.failed = now, r != Started && r != Done
	p.attempts[id] = a
}

// interleave orders endpoints so that both lanes change at the same pace, those with the
// fewest requests first: prompts that avoid old weights then stay in their lane.
func interleave(due []Target) []Target {
	lanes := make(map[bool][]Target)
	for _, t := range due {
		lanes[t.ShortPool] = append(lanes[t.ShortPool], t)
	}
	type placed struct {
		Target
		at float64 // in its lane, from 0 to 1
	}
	var all []placed
	for _, list := range lanes {
		slices.SortFunc(list, func(a, b Target) int {
			return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.ID, b.ID))
		})
		for i, t := range list {
			all = append(all, placed{t, (float64(i) + 0.5) / float64(len(list))})
		}
	}
	slices.SortFunc(all, func(a, b placed) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.ID, b.ID)) })
	out := make([]Target, len(all))
	for i, p := range all {
		out[i] = p.Target
	}
	return out
}
