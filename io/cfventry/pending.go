package cfventry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvfleet"
)

// Limits for attempts that wait at an endpoint with replaced weights.
const (
	pendingCheckInterval = 100 * time.Millisecond
	pendingMargin        = 400 * time.Millisecond // before MaxVersionDelay: for the check interval, and until the endpoint sees that the connection is closed
)

// pendingAttempt is an attempt whose endpoint has not begun to respond.
type pendingAttempt struct {
	model    string
	version  int64 // of the weights that the endpoint is expected to run
	cancel   context.CancelFunc
	outdated atomic.Bool // cancelled, since no request may start on the version any more
}

// pendingAttempts holds the attempts of an entry whose endpoints have not begun to respond. It is safe for
// concurrent use.
type pendingAttempts struct {
	mu  sync.Mutex
	set map[*pendingAttempt]struct{}
}

func newPendingAttempts() *pendingAttempts {
	return &pendingAttempts{set: make(map[*pendingAttempt]struct{})}
}

// add adds an attempt. Attempts without a version of weights are never cancelled.
func (p *pendingAttempts) add(model string, version int64, cancel context.CancelFunc) *pendingAttempt {
	a := &pendingAttempt{model: model, version: version, cancel: cancel}
	if version > 0 {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.set[a] = struct{}{}
	}
	return a
}

// remove removes an attempt once its endpoint responds.
func (p *pendingAttempts) remove(a *pendingAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.set, a)
}

// cancelOutdated cancels the attempts that expect an older version of a model's weights than the given one.
func (p *pendingAttempts) cancelOutdated(oldest map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a := range p.set {
		if a.version < oldest[a.model] {
			a.outdated.Store(true)
			a.cancel()
		}
	}
}

// cancelOutdated cancels the attempts that might begin on weights that were replaced too long ago. A request
// begins when the endpoint gets to it, which may be long after it was sent.
func (e *Entry) cancelOutdated() {
	if e.cfg.Limits.MaxVersionDelay <= 0 {
		return
	}
	now := e.cfg.Now()
	oldest := make(map[string]int64)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		for _, model := range v.Models() {
			oldest[model] = v.Desired(model).Oldest(func(w cfvfleet.WeightsVersion) bool { return e.boundNear(now, w) })
		}
	})
	e.pending.cancelOutdated(oldest)
}

// handleOutdated handles an attempt that was cancelled because its weights are outdated. The endpoint is not
// at fault.
func (q *request) handleOutdated(ep *cfvfleet.Endpoint, wasSent bool) outcome {
	q.entry.cfg.Metrics.CountRefusal(cfverror.ReasonVersionMissing)
	q.logAttempt(ep, "a request waited until its weights were outdated", "wasSent", wasSent)
	q.excluded[ep.ID] = true
	if !wasSent {
		return outcomeNotRun
	}
	q.possibleRuns++
	return outcomeFailed
}
