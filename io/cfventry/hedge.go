package cfventry

import (
	"sync/atomic"
	"time"
)

// hedgeTimer cancels an attempt that gets no response in time, so that the request can be
// retried at another endpoint.
type hedgeTimer struct {
	timer   *time.Timer
	expired atomic.Bool
}

// startHedgeTimer starts the timer of an attempt. It never fires if the request is not retryable,
// has no attempt left after this one, or has started to stream.
func (q *request) startHedgeTimer(cancel func()) *hedgeTimer {
	h := &hedgeTimer{}
	if !q.route.Retryable() || q.possibleRuns+1 >= q.route.MaxAttempts || q.stream.hasStarted() {
		return h
	}
	timeout := q.timeLeft() / 2
	if q.route.LatencyObjective > 0 {
		timeout = min(timeout, hedgeFactor*q.route.LatencyObjective)
	}
	h.timer = time.AfterFunc(timeout, func() {
		h.expired.Store(true)
		cancel()
	})
	return h
}

// stop stops the timer once the endpoint responds.
func (h *hedgeTimer) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// fired reports whether the timer cancelled the attempt.
func (h *hedgeTimer) fired() bool { return h.expired.Load() }
