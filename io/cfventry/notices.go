package cfventry

import (
	"net/http"
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
func (q *request) recordNotice(ep *cfvfleet.Endpoint, meta cfvcall.ResponseMeta, status int) {
	if meta.RequestID != q.meta.ID || meta.Misdirected && meta.EndpointID != ep.ID {
		return // an earlier response, or one of another process
	}
	e, n := q.entry, meta.Notice
	if n.LimitInvalid {
		e.cfg.Metrics.Count("notices.invalid", 1)
		q.logAttempt(ep, "an endpoint named a limit that is no positive number")
	}
	if n.BrittleInvalid {
		e.cfg.Metrics.Count("notices.invalid", 1)
		q.logAttempt(ep, "an endpoint named a number of rejections that is not positive")
	}
	e.mu.Lock()
	changed := e.notices.Observe(e.cfg.Now(), q.times.sentAt, ep.Incarnation(), n)
	if meta.NotRun && !meta.Misdirected && status == http.StatusServiceUnavailable {
		e.notices.RecordRejection(e.cfg.Now(), ep.Incarnation())
	}
	e.mu.Unlock()
	if changed {
		e.logNotice(ep.Incarnation(), n, "response")
	}
}

// logNotice logs that an endpoint names another limit or number of rejections, or that it is leaving.
func (e *Entry) logNotice(id cfvfleet.Incarnation, n cfvnotice.Notice, from string) {
	e.cfg.Metrics.Count("notices.changed", 1)
	e.cfg.Log.Infow("an endpoint said something new of itself", "endpoint", id.ID, "born", id.StartMillis, "requestsPerSecond", n.Limit, "rejectionsPerSecond", n.Brittle, "leaving", n.Leaving, "from", from)
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
	if !changed {
		return
	}
	n := cfvnotice.Notice{Leaving: u.Kind == cfvnotice.Leaving}
	if u.Kind == cfvnotice.Brittle {
		n.Brittle = u.Limit
	} else {
		n.Limit = u.Limit
	}
	e.logNotice(u.Endpoint, n, "peer")
}

// blocked returns the endpoints that this entry may send nothing to now; nil if there are none. Slots of brittle endpoints are
// borrowed only while no endpoint that isn't excluded has a free one of this entry's part. The caller must hold e.mu.
func (e *Entry) blocked(now time.Duration, endpoints []*cfvfleet.Endpoint, excluded map[string]bool) (out map[string]bool) {
	e.notices.AssumeBrittle(now, endpoints)
	out, free := e.blockedWith(now, endpoints, excluded, neverBorrow)
	if !free && e.notices.AnyBrittle(endpoints) {
		out, _ = e.blockedWith(now, endpoints, excluded, e.cfg.Random)
	}
	return out
}

// neverBorrow stands for the random number of a request that borrows no slot.
func neverBorrow() float64 { return 1 }

// blockedWith does the same with a source of random numbers for borrowing, and reports whether an endpoint is left.
func (e *Entry) blockedWith(now time.Duration, endpoints []*cfvfleet.Endpoint, excluded map[string]bool, random func() float64) (out map[string]bool, free bool) {
	for _, ep := range endpoints {
		if e.notices.Allows(now, ep.Incarnation()) && e.brittleWait(now, ep, random) == 0 {
			free = free || !excluded[ep.ID]
			continue
		}
		if out == nil {
			out = make(map[string]bool)
		}
		out[ep.ID] = true
	}
	return out, free
}

// brittleWait returns how long this entry has to wait until it may send a request to an endpoint that bears few rejections. The
// argument random returns a random number in [0, 1). The caller must hold e.mu.
func (e *Entry) brittleWait(now time.Duration, ep *cfvfleet.Endpoint, random func() float64) time.Duration {
	own, all := e.dispatcher.LocalLoad(ep.ID).Running, e.dispatcher.TotalLoad(ep.ID).Running
	return e.notices.BrittleWait(now, ep, own, all-own, random)
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
	q.entry.notices.RecordRefusal(now, endpoints)
	wait, ok := q.entry.notices.ShortestWait(now, endpoints, func(ep *cfvfleet.Endpoint) time.Duration {
		return q.entry.brittleWait(now, ep, neverBorrow)
	})
	if !ok {
		wait = unknownRetryAfter
	}
	return q.retryLater(max(wait, minNoticeRetryAfter), cfverror.ReasonEndpointsLimited, "none of %d endpoints takes more requests now", len(endpoints))
}
