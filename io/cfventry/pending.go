package cfventry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Limits for pending attempts.
const (
	pendingCheckInterval = 100 * time.Millisecond
	pendingMargin        = 400 * time.Millisecond // before MaxVersionDelay: for the check interval, and until the endpoint sees that the connection is closed
)

// scopeReplaced is why an attempt is cancelled that would be sent with the cache scope of a replaced configuration. It
// says nothing about the endpoint.
const scopeReplaced = "the cache scope was replaced"

// pendingAttempt is an attempt whose endpoint has not begun to respond.
type pendingAttempt struct {
	service   string
	endpoint  string
	model     string
	version   int64        // of the weights that the endpoint is expected to run; 0: none
	workspace string       // of the request; "": none
	scope     string       // cache scope that is sent with the request
	sent      *sendTracker // whether the attempt has a connection
	cancel    context.CancelFunc
	reason    atomic.Value // why the attempt was cancelled; a string, or unset
}

// cancelled returns why the attempt was cancelled, and false if it was not.
func (a *pendingAttempt) cancelled() (reason string, ok bool) {
	reason, ok = a.reason.Load().(string)
	return reason, ok
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

// add adds an attempt.
func (p *pendingAttempts) add(a *pendingAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.set[a] = struct{}{}
}

// remove removes an attempt once its endpoint responds.
func (p *pendingAttempts) remove(a *pendingAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.set, a)
}

// cancel cancels an attempt, unless its endpoint responds by now.
func (p *pendingAttempts) cancel(a *pendingAttempt, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.set[a]; ok {
		a.reason.Store(reason)
		a.cancel()
	}
}

// list returns the attempts.
func (p *pendingAttempts) list() []*pendingAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.set))
}

// cancelObsolete cancels the attempts that would not be made any more. An endpoint may have started to leave
// while an attempt waits for a connection, and a request begins when the endpoint gets to it, which may be so
// long after it was sent that its weights were replaced too long ago. An attempt without a connection must not be
// sent with the cache scope of a replaced configuration.
func (e *Entry) cancelObsolete() {
	list := e.pending.list()
	if len(list) == 0 {
		return
	}
	now := e.cfg.Now()
	reasons := make([]string, len(list))
	e.cfg.State.Read(func(v *cfvfleet.View) {
		oldest := e.oldestPending(now, v)
		for i, a := range list {
			switch {
			case a.version > 0 && a.version < oldest[a.model]:
				reasons[i] = "the weights are outdated"
			case !a.sent.hasConn() && !usable(v, a.service, a.endpoint):
				reasons[i] = "the endpoint may not be used any more"
			case !a.sent.hasConn() && a.model != "" && v.Index().CacheScope(a.workspace) != a.scope:
				reasons[i] = scopeReplaced
			}
		}
	})
	for i, a := range list {
		if reasons[i] != "" {
			e.pending.cancel(a, reasons[i])
		}
	}
}

// oldestPending returns the oldest version of each model's weights on which requests may still begin.
func (e *Entry) oldestPending(now time.Duration, v *cfvfleet.View) map[string]int64 {
	oldest := make(map[string]int64)
	if e.cfg.Limits.MaxVersionDelay <= 0 {
		return oldest
	}
	for _, model := range v.Models() {
		oldest[model] = v.Desired(model).Oldest(func(w cfvfleet.WeightsVersion) bool { return e.waitLeft(now, w) < 0 })
	}
	return oldest
}

// usable reports whether an endpoint of a service may receive requests.
func usable(v *cfvfleet.View, service, id string) bool {
	return slices.ContainsFunc(v.Usable(service), func(ep *cfvfleet.Endpoint) bool { return ep.ID == id })
}

// handleObsolete handles an attempt that was cancelled for a reason other than the endpoint's failure.
func (q *request) handleObsolete(ep *cfvfleet.Endpoint, reason string, mayHaveRun bool) outcome {
	q.entry.cfg.Metrics.Count("attempts.obsolete", 1)
	q.logAttempt(ep, "an attempt was cancelled while it waited", "why", reason, "mayHaveRun", mayHaveRun)
	if reason != scopeReplaced && reason != cutOffReason {
		q.excluded[ep.ID] = true
	}
	if !mayHaveRun {
		return outcomeNotRun
	}
	q.possibleRuns++
	return outcomeFailed
}
