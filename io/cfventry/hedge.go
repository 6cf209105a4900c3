package cfventry

import (
	"sync"
	"sync/atomic"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// hedgeTimer cancels an attempt that gets no response in time, so that the request can be
// retried at another endpoint. An attempt at an endpoint that is only loaded is not cancelled:
// its prefill would be lost, and the retry would add to the load.
type hedgeTimer struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	expired atomic.Bool
}

// startHedgeTimer starts the timer of an attempt. It never fires if the request is not retryable,
// has no attempt left after this one, or has started to stream.
func (q *request) startHedgeTimer(ep *cfvfleet.Endpoint, cancel func()) *hedgeTimer {
	h := &hedgeTimer{}
	if !q.route.Retryable() || q.possibleRuns+1 >= q.route.MaxAttempts || q.stream.hasStarted() {
		return h
	}
	timeout, again := q.timeLeft()/2, q.timeLeft()/4
	if objective := q.route.LatencyObjective; objective > 0 {
		timeout, again = min(timeout, hedgeFactor*objective), objective
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(timeout, func() { q.checkHedge(h, ep, again, cancel) })
	return h
}

// checkHedge cancels the attempt unless the endpoint is loaded. In that case it checks again after
// the given time, as long as a retry can still succeed.
func (q *request) checkHedge(h *hedgeTimer, ep *cfvfleet.Endpoint, again time.Duration, cancel func()) {
	e := q.entry
	e.mu.Lock()
	loaded := e.dispatcher.Loaded(e.cfg.Now(), ep, q.promptTokens(), q.route.LatencyObjective)
	e.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.stopped:
	case !loaded:
		h.expired.Store(true)
		cancel()
	case q.timeLeft() > 2*again:
		e.cfg.Metrics.Count("hedges.postponed", 1)
		h.timer.Reset(again)
	}
}

// stop stops the timer once the endpoint responds.
func (h *hedgeTimer) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.timer != nil {
		h.timer.Stop()
	}
}

// fired reports whether the timer cancelled the attempt.
func (h *hedgeTimer) fired() bool { return h.expired.Load() }
