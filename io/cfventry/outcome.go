package cfventry

import (
	"time"

	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
)

// recordFailure records a failed request at an endpoint.
func (q *request) recordFailure(ep *cfvfleet.Endpoint) { q.recordOutcome(ep, true) }

// recordOutcome records the result of a request at an endpoint. A success also clears the
// suspicion against the request.
func (q *request) recordOutcome(ep *cfvfleet.Endpoint, failed bool) {
	if failed && q.entry.CutOff() {
		return // the links failed
	}
	q.recordSample(ep, failed)
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	baseline := e.baselines[q.route.Name]
	if baseline == nil {
		baseline = &cfvdispatch.FailureBaseline{}
		e.baselines[q.route.Name] = baseline
	}
	e.dispatcher.RecordOutcome(e.cfg.Now(), ep, baseline.Add(failed))
	if !failed {
		e.dispatcher.RecordResponse(q.times.connectedAt, q.times.sentAt, ep, q.service.ColdFor)
		e.quarantine.RecordResponse(time.Now(), q.fingerprint)
		e.notices.RecordRun(ep.Incarnation(), e.cfg.Now()-q.times.sentAt)
	}
}

// recordCrash records that an endpoint went down while it ran the request.
func (q *request) recordCrash(ep *cfvfleet.Endpoint) {
	q.recordPartsCrash(ep)
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	q.entry.quarantine.RecordCrash(time.Now(), q.fingerprint, incarnation(ep))
}
