package cfventry

import (
	"sync/atomic"
	"time"
)

// hedge gives an attempt up when its endpoint stays silent although the request may run
// elsewhere.
type hedge struct {
	timer *time.Timer
	spent atomic.Bool
}

// hedgeTimer starts the wait for an answer of a repeatable request.
func (q *request) hedgeTimer(cancel func()) *hedge {
	h := &hedge{}
	if !q.route.Retryable() || q.sent+1 >= q.route.MaxAttempts || q.stream.begun() {
		return h
	}
	wait := q.left() / 2
	if q.route.LatencyObjective > 0 {
		wait = min(wait, hedgeFactor*q.route.LatencyObjective)
	}
	h.timer = time.AfterFunc(wait, func() {
		h.spent.Store(true)
		cancel()
	})
	return h
}

// stop ends the wait: the endpoint answers.
func (h *hedge) stop() {
	if h.timer != nil {
		h.timer.Stop()
	}
}

// fired reports whether the attempt was given up.
func (h *hedge) fired() bool { return h.spent.Load() }
