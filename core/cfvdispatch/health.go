package cfvdispatch

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Pauses of an endpoint whose connection broke or could not be made.
const (
	firstPause = 250 * time.Millisecond
	mostPause  = 2 * time.Second
)

// Figures of the judgement of endpoints that fail while their health is good.
const (
	outcomeDecay   = 0.93 // weight of the past at each outcome: about the last fourteen count
	outcomeLeast   = 4.0  // outcomes before the share is believed
	excessSpared   = 0.25 // share of failures above what is usual that is not held against it
	outcomeMemory  = 4 * time.Second
	usualForgotten = 0.995
)

// outcomes counts how an endpoint's requests ended, recent ones more than old ones.
type outcomes struct {
	total  float64
	failed float64 // beyond what the route's requests usually fail
	last   time.Duration
}

func (o *outcomes) add(now time.Duration, failure float64) {
	o.total = o.total*outcomeDecay + 1
	o.failed = o.failed*outcomeDecay + failure
	o.last = now
}

// excess returns the share of failures above the usual, fading with time so that an
// endpoint that was spared is tried again.
func (o *outcomes) excess(now time.Duration) float64 {
	if o.total < outcomeLeast {
		return 0
	}
	share := o.failed/o.total - excessSpared
	if share <= 0 {
		return 0
	}
	if age := now - o.last; age > 0 {
		share *= max(0, 1-float64(age)/float64(outcomeMemory))
	}
	return share
}

// Usual is the share of a route's requests that fail at any endpoint.
type FailureBaseline struct {
	total, failed float64
}

// Add counts one outcome and returns how far a failure exceeds the usual share.
func (u *FailureBaseline) Add(failed bool) float64 {
	share := 0.0
	if u.total > 0 {
		share = u.failed / u.total
	}
	f := 0.0
	if failed {
		f = 1
	}
	u.total = u.total*usualForgotten + 1
	u.failed = u.failed*usualForgotten + f
	if !failed {
		return 0
	}
	return max(0, 1-share)
}

// Outcome notes how a request ended; excess is what Usual.Add returned.
func (d *Dispatcher) RecordOutcome(now time.Duration, e *cfvfleet.Endpoint, excess float64) {
	d.of(e).outcomes.add(now, excess)
}

// Broken notes that a connection to the endpoint broke or could not be made. The endpoint
// is spared until the time returned, at which its health should be asked.
func (d *Dispatcher) RecordConnectionFailure(now time.Duration, e *cfvfleet.Endpoint) (ask time.Duration) {
	s := d.of(e)
	if now < s.down {
		return s.down
	}
	s.backoff = min(max(s.backoff*2, firstPause), mostPause)
	s.down = now + s.backoff
	return s.down
}

// Healthy notes the answer to a health question.
func (d *Dispatcher) RecordHealthCheck(now time.Duration, e *cfvfleet.Endpoint, healthy bool, coldFor time.Duration) {
	s := d.of(e)
	if coldFor > 0 {
		s.coldTo = now + coldFor
	}
	if healthy {
		s.down, s.backoff = 0, 0
		return
	}
	d.RecordConnectionFailure(now, e)
}

// Served notes a complete answer: the endpoint lives.
func (d *Dispatcher) RecordResponse(e *cfvfleet.Endpoint) {
	s := d.of(e)
	s.down, s.backoff = 0, 0
}

// Down reports whether an endpoint is spared at the moment.
func (d *Dispatcher) Unavailable(now time.Duration, id string) bool {
	s := d.states[id]
	return s != nil && now < s.down
}
