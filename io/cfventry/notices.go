package cfventry

import (
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvnotice"
)

// Times after which a request is told to come back if no endpoint may get it.
const (
	minNoticeRetryAfter = 50 * time.Millisecond
	unknownRetryAfter   = time.Second // this entry will send nothing to any endpoint, and others may
)

// recordNotice records what an endpoint said of itself in its response to the request.
func (q *request) recordNotice(ep *cfvfleet.Endpoint, meta cfvcall.ResponseMeta) {
	if meta.RequestID != q.meta.ID || meta.Misdirected && meta.EndpointID != ep.ID {
		return // an earlier response, or one of another process
	}
	e, n := q.entry, meta.Notice
	if n.LimitInvalid {
		e.cfg.Metrics.Count("notices.invalid", 1)
		q.logAttempt(ep, "an endpoint named a limit that is no positive number")
	}
	e.mu.Lock()
	changed := e.notices.Observe(e.cfg.Now(), q.times.sentAt, ep.Incarnation(), n)
	e.mu.Unlock()
	if changed {
		e.logNotice(ep.Incarnation(), n.Limit, n.Leaving, "response")
	}
}

// logNotice logs that an endpoint names another limit, or that it is leaving.
func (e *Entry) logNotice(id cfvfleet.Incarnation, limit float64, leaving bool, from string) {
	e.cfg.Metrics.Count("notices.changed", 1)
	e.cfg.Log.Infow("an endpoint said something new of itself", "endpoint", id.ID, "born", id.StartMillis, "requestsPerSecond", limit, "leaving", leaving, "from", from)
}

// Notices returns what peers should know of what endpoints said of themselves.
func (e *Entry) Notices() []cfvnotice.Update {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.notices.Updates(e.cfg.Now())
}

// MergeNotice records what an endpoint said to a peer.
func (e *Entry) MergeNotice(receivedAt time.Duration, u cfvnotice.Update) {
	e.mu.Lock()
	changed := e.notices.Merge(receivedAt, u)
	e.mu.Unlock()
	if changed {
		e.logNotice(u.Endpoint, u.Limit, u.Leaving, "peer")
	}
}

// blocked returns the endpoints that this entry may send nothing to now; nil if there are none. The caller must hold
// e.mu.
func (e *Entry) blocked(now time.Duration, endpoints []*cfvfleet.Endpoint) (out map[string]bool) {
	for _, ep := range endpoints {
		if e.notices.Allows(now, ep.Incarnation()) {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[ep.ID] = true
	}
	return out
}

// limited returns the endpoints that want fewer requests than usual; nil if there are none. The caller must hold e.mu.
func (e *Entry) limited(now time.Duration, endpoints []*cfvfleet.Endpoint) (out map[string]bool) {
	for _, ep := range endpoints {
		if !e.notices.Limited(now, ep.Incarnation()) {
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[ep.ID] = true
	}
	return out
}

// noticeRefusal refuses a request that this entry may send to no endpoint, because of what these said of themselves. The
// caller must hold e.mu.
func (q *request) noticeRefusal(now time.Duration, endpoints []*cfvfleet.Endpoint) *httpRefusal {
	if q.stream.hasStarted() {
		q.abortStream("no endpoint to go on at: " + string(cfverror.ReasonEndpointsLimited))
	}
	wait, ok := q.entry.notices.ShortestWait(now, endpoints)
	if !ok {
		wait = unknownRetryAfter
	}
	return q.unserved(max(wait, minNoticeRetryAfter), cfverror.ReasonEndpointsLimited, "none of %d endpoints takes more requests now", len(endpoints))
}
