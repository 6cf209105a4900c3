package cfvdispatch

import (
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Backoff of an endpoint whose connection broke or could not be made.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// Limits for endpoints at which requests of peers failed.
const (
	peerReportPeriod = time.Second            // two entries must report within this time; a single one may be cut off itself
	peerAvoidTime    = 500 * time.Millisecond // the endpoint is only a fallback for this long
)

// Limits for endpoints that fail requests while they pass their health checks.
const (
	outcomeDecay    = 0.93            // weight kept by earlier outcomes at each new one: about the last fourteen count
	minOutcomes     = 4.0             // outcomes below which the share of failures is ignored
	toleratedExcess = 0.25            // share of failures above the baseline that has no effect
	outcomeFadeTime = 4 * time.Second // time without an outcome after which earlier failures have no effect
	baselineDecay   = 0.995           // weight kept by earlier outcomes of a route at each new one
)

// outcomes counts the outcomes of an endpoint's requests. Recent outcomes weigh more.
type outcomes struct {
	total     float64
	failures  float64 // reduced by the baseline of their route
	updatedAt time.Duration
}

func (o *outcomes) add(now time.Duration, failure float64) {
	o.total = o.total*outcomeDecay + 1
	o.failures = o.failures*outcomeDecay + failure
	o.updatedAt = now
}

// excess returns the share of failures above the baseline. It fades over time, so that an
// endpoint that got no requests is tried again.
func (o *outcomes) excess(now time.Duration) float64 {
	if o.total < minOutcomes {
		return 0
	}
	share := o.failures/o.total - toleratedExcess
	if share <= 0 {
		return 0
	}
	if age := now - o.updatedAt; age > 0 {
		share *= max(0, 1-float64(age)/float64(outcomeFadeTime))
	}
	return share
}

// FailureBaseline tracks the share of a route's requests that fail, over all endpoints.
type FailureBaseline struct {
	total, failed float64
}

// Add counts one outcome. It returns by how much a failure exceeds the baseline, and 0 for a
// success.
func (b *FailureBaseline) Add(failed bool) float64 {
	share := 0.0
	if b.total > 0 {
		share = b.failed / b.total
	}
	failure := 0.0
	if failed {
		failure = 1
	}
	b.total = b.total*baselineDecay + 1
	b.failed = b.failed*baselineDecay + failure
	if !failed {
		return 0
	}
	return max(0, 1-share)
}

// RecordOutcome records the outcome of a request. The argument excess is the result of
// FailureBaseline.Add.
func (d *Dispatcher) RecordOutcome(now time.Duration, e *cfvfleet.Endpoint, excess float64) {
	d.stateOf(e).outcomes.add(now, excess)
}

// RecordConnectionFailure records that a connection to the endpoint broke or could not be
// made. The endpoint is only a fallback until the returned time, when its health should be
// checked, and may be cold afterwards.
func (d *Dispatcher) RecordConnectionFailure(now time.Duration, e *cfvfleet.Endpoint) (checkAt time.Duration) {
	s := d.stateOf(e)
	s.signs.add(now)
	s.failedAt = now
	if now < s.unavailableUntil {
		return s.unavailableUntil
	}
	s.backoff = min(max(s.backoff*2, minBackoff), maxBackoff)
	s.unavailableUntil = now + s.backoff
	return s.unavailableUntil
}

// ForgetFailures makes the endpoints available again whose requests, connections or health checks failed since a time. It keeps
// that they may be cold.
func (d *Dispatcher) ForgetFailures(since time.Duration) {
	for _, s := range d.states {
		if s.failedAt >= since && s.failedAt > 0 {
			s.unavailableUntil, s.backoff, s.failedAt = 0, 0, 0
		}
		if s.outcomes.updatedAt >= since {
			s.outcomes = outcomes{}
		}
	}
}

// RecordHealthCheck records the result of a health check that was sent at a time.
func (d *Dispatcher) RecordHealthCheck(now, sentAt time.Duration, e *cfvfleet.Endpoint, healthy bool, coldFor time.Duration) {
	s := d.stateOf(e)
	if coldFor > 0 {
		s.coldUntil = now + coldFor
	}
	if !healthy {
		d.RecordConnectionFailure(now, e)
		return
	}
	s.unavailableUntil, s.backoff = 0, 0
	s.signs.recordHealthy(sentAt)
}

// RecordResponse records a complete response to a request that was sent at a time, over a connection that was opened at a time.
// It shows that the endpoint is available, but not that it is warm: coldFor is for how long an endpoint of the service is cold
// after its start.
func (d *Dispatcher) RecordResponse(connectedAt, sentAt time.Duration, e *cfvfleet.Endpoint, coldFor time.Duration) {
	s := d.stateOf(e)
	s.unavailableUntil, s.backoff = 0, 0
	s.signs.recordResponse(connectedAt, sentAt, coldFor)
}

// RecordPeerReport records that an endpoint did not take a request of a peer: it rejected the request, or the
// connection failed. If a second peer reports the same soon after, the endpoint is a fallback for a short
// time, so that not every entry has to find out by a request of its own.
func (d *Dispatcher) RecordPeerReport(now time.Duration, e *cfvfleet.Endpoint, peer string) {
	s := d.stateOf(e)
	if s.reportedBy != "" && s.reportedBy != peer && now-s.reportedAt <= peerReportPeriod {
		s.unavailableUntil = max(s.unavailableUntil, now+peerAvoidTime)
	}
	s.reportedBy, s.reportedAt = peer, now
}

// Unavailable reports whether an endpoint is in backoff and thus only a fallback.
func (d *Dispatcher) Unavailable(now time.Duration, id string) bool {
	s := d.states[id]
	return s != nil && now < s.unavailableUntil
}

// UnavailableFor returns how long an endpoint is still in backoff, and whether it has failed and not been available since.
func (d *Dispatcher) UnavailableFor(now time.Duration, id string) (left time.Duration, failing bool) {
	s := d.states[id]
	if s == nil {
		return 0, false
	}
	return max(s.unavailableUntil-now, 0), s.backoff > 0
}

// FailedSince reports whether a connection to an endpoint failed at or after a time.
func (d *Dispatcher) FailedSince(id string, since time.Duration) bool {
	s := d.states[id]
	return s != nil && s.failedAt > 0 && s.failedAt >= since
}

// Failing reports whether a connection to an endpoint has failed and it has not been available since.
func (d *Dispatcher) Failing(id string) bool {
	s := d.states[id]
	return s != nil && s.backoff > 0
}
