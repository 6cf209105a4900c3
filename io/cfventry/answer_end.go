package cfventry

import (
	"net/http"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// answerEnd is what the end of an attempt that may have run shows. An end that this entry, its links, the caller or the time limit
// brought about shows nothing, and is none of these.
type answerEnd int

const (
	endWhole     answerEnd = iota // the answer is as long as its length or chunks tell
	endDoubtful                   // it ended with its connection: it is whole, or its endpoint went down
	endBrokenOff                  // its endpoint went down before or in it
)

// recordEnd records what the end of an attempt shows about the request and the parts of its prompt. Every end that shows anything
// comes here. The response is nil if none had begun.
func (q *request) recordEnd(ep *cfvfleet.Endpoint, resp *http.Response, end answerEnd) {
	switch {
	case end == endBrokenOff && q.entry.leaves(ep):
		q.logAttempt(ep, "an endpoint that is leaving broke off a request")
	case end == endBrokenOff:
		q.recordCrash(ep)
	case resp.StatusCode >= http.StatusInternalServerError:
	case end == endWhole:
		q.recordAnswered()
		if resp.StatusCode/100 == 2 {
			q.recordPartsAnswered()
		}
	default:
		q.recordDoubtfulEnd(ep, resp.StatusCode/100 == 2)
	}
}

// leaves reports whether an endpoint is leaving, or has left as far as is known. It ends then with the requests that it still runs.
func (e *Entry) leaves(ep *cfvfleet.Endpoint) bool {
	var current *cfvfleet.Endpoint
	e.cfg.State.Read(func(v *cfvfleet.View) { current = v.Endpoint(ep.ID) })
	if current == nil || current.Incarnation() == ep.Incarnation() && current.Leaving {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notices.Leaving(ep.Incarnation())
}

// plainEnd returns what the end of a response shows that is no stream.
func plainEnd(resp *http.Response) answerEnd {
	if isFramed(resp) {
		return endWhole
	}
	return endDoubtful
}

// streamEnd returns what the end of a stream shows that did not end inside an event. One without events that ended with its connection
// was broken off.
func (q *request) streamEnd(resp *http.Response) answerEnd {
	switch {
	case isFramed(resp):
		return endWhole
	case q.answer.batches > 0:
		return endDoubtful
	}
	return endBrokenOff
}

// isFramed reports whether a response has a length or chunks.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// recordAnswered records that an endpoint answered the request, which ends a suspicion against it.
func (q *request) recordAnswered() {
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	q.entry.quarantine.RecordResponse(time.Now(), q.fingerprint)
}

// recordCrash records that an endpoint went down while it ran the request.
func (q *request) recordCrash(ep *cfvfleet.Endpoint) {
	e := q.entry
	e.cfg.Metrics.Count("endpoints.brokenOff", 1)
	q.logAttempt(ep, "an endpoint broke off a request",
		"service", q.service.Name, "incarnation", incarnation(ep), "parts", q.sharedPartIDs(), "batches", q.answer.batches)
	e.mu.Lock()
	defer e.mu.Unlock()
	q.answer.crashed = q.answer.batches <= 1
	e.parts.RecordCrash(e.cfg.Now(), q.service.Name, q.sharedPartIDs(), incarnation(ep), !q.answer.crashed)
	e.quarantine.RecordCrash(time.Now(), q.fingerprint, incarnation(ep))
}
