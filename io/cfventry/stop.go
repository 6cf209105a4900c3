package cfventry

import (
	"context"
	"errors"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvlimit"
)

// Times of a planned stop.
const (
	drainDelay     = 2500 * time.Millisecond // the load balancer notices after two readiness probes, one second apart
	shutdownMargin = 400 * time.Millisecond  // before the platform kills the process
	answerTime     = 300 * time.Millisecond  // before that, to answer the requests that still run
	durationMargin = 100 * time.Millisecond  // a request may take longer than the longest recent one by so much
	durationPart   = 4                       // and by one part in so many
)

// errStopping is the cause with which the contexts of all requests end before the entry stops.
var errStopping = errors.New("the entry stops")

// Stop shuts the entry down gracefully. It reports not ready, keeps serving until the load balancer has stopped sending
// connections, and then ends each connection once the requests that were read from it are answered. Requests that can't end
// before the process does are refused as not run, and those that still run shortly before are answered.
func (e *Entry) Stop(ctx context.Context) error {
	start := e.cfg.Now()
	end := start + e.cfg.Limits.ShutdownTimeout - shutdownMargin
	e.stopAt.Store(int64(end - answerTime))
	e.stopping.Store(true)
	e.cfg.Log.Infow("the entry is shutting down", "running", e.running.Load())
	ending := time.AfterFunc(end-answerTime-start, func() { e.endRequests(errStopping) })
	defer ending.Stop()
	cfvclock.Sleep(ctx, drainDelay)
	drainCtx, cancel := context.WithTimeout(ctx, end-e.cfg.Now())
	defer cancel()
	_ = e.listener.Close() // fails only if it is closed already
	err := e.callers.Drain(drainCtx)
	e.awaitHandedOver(drainCtx)
	if errors.Is(err, context.DeadlineExceeded) && e.running.Load() == 0 {
		err = nil // only connections without a complete request are left
	}
	e.cfg.Log.Infow("the entry has shut down", "running", e.running.Load(), "tookMillis", (e.cfg.Now() - start).Milliseconds())
	return errors.Join(err, e.callerServer.Close(), e.readyServer.Close())
}

// announceClose tells the caller that the connection closes after the response if the entry stops.
func (q *request) announceClose() {
	if q.entry.stopping.Load() {
		q.w.Header().Set("Connection", "close")
	}
}

// stopTime returns when running requests are ended because the entry stops, and false if it does not stop.
func (e *Entry) stopTime() (at time.Duration, ok bool) {
	if !e.stopping.Load() {
		return 0, false
	}
	return time.Duration(e.stopAt.Load()), true
}

// ended reports whether the request was ended because the entry stops.
func (q *request) ended() bool { return errors.Is(context.Cause(q.r.Context()), errStopping) }

// stopRefusal refuses a request that would not end before the entry stops. While the load balancer still sends requests
// here, it is refused only if all recent requests of its route took longer than what is left; afterwards, if any did.
func (q *request) stopRefusal() *httpRefusal {
	e := q.entry
	stopAt, stopping := e.stopTime()
	if !stopping || q.stream.hasStarted() || q.deadline <= stopAt {
		return nil
	}
	now := e.cfg.Now()
	left := stopAt - now
	draining := left > e.cfg.Limits.ShutdownTimeout-shutdownMargin-answerTime-drainDelay
	if draining && e.mayEndIn(q.route.Name, left) || e.endsIn(q.route.Name, left) {
		return nil
	}
	return q.retryLater(otherEntryRetryAfter, cfverror.ReasonStopping, "this entry stops in %d ms, and the request may take longer", left.Milliseconds())
}

// mayEndIn reports whether a request of a route may end within the given time, as the shortest of the recent ones did.
func (e *Entry) mayEndIn(route string, left time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	shortest, _, known := e.routeDurations(route).Range(e.cfg.Now())
	return !known || shortest <= left
}

// endsIn reports whether a request of a route probably ends within the given time, as the longest of the recent ones did.
func (e *Entry) endsIn(route string, left time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, longest, known := e.routeDurations(route).Range(e.cfg.Now())
	return known && longest+longest/durationPart+durationMargin <= left
}

// routeDurations returns how long recent requests of a route took. The caller must hold e.mu.
func (e *Entry) routeDurations(route string) *cfvlimit.Durations {
	d := e.durations[route]
	if d == nil {
		d = &cfvlimit.Durations{}
		e.durations[route] = d
	}
	return d
}

// recordDuration records how long the request took from its arrival in full.
func (q *request) recordDuration() {
	e := q.entry
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routeDurations(q.route.Name).Add(e.cfg.Now(), e.cfg.Now()-q.admittedAt)
}
