package cfventry

import (
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
)

// recordFailure records a failed request at an endpoint.
func (q *request) recordFailure(ep *cfvfleet.Endpoint) { q.recordOutcome(ep, true) }

// recordOutcome records the result of a request at an endpoint.
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
	if failed || q.answer.unframed && e.dispatcher.FailedSince(ep.ID, e.cfg.Now()-crashSpread) { // its end tells nothing then
		return
	}
	e.dispatcher.RecordResponse(q.times.connectedAt, q.times.sentAt, ep, q.service.ColdFor)
	e.notices.RecordRun(ep.Incarnation(), e.cfg.Now()-q.times.sentAt)
}
