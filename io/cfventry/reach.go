package cfventry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvreach"
)

// Numbers and times of a check of the links to the endpoints.
const (
	reachSample    = 9                      // endpoints to which it makes new connections
	firstDials     = 3                      // of these at first
	moreDialsDelay = 100 * time.Millisecond // the others follow if none has succeeded by then
	recheckDelay   = 50 * time.Millisecond  // its result holds so long for an endpoint that fails
)

// cutOffReason is why an attempt is cancelled that has no connection when the entry is found to be cut off. It says nothing about
// the endpoint.
const cutOffReason = "the entry is cut off from the endpoints"

// reach is what this entry knows of its links to the endpoints. It is safe for concurrent use.
type reach struct {
	mu        sync.Mutex
	reach     *cfvreach.Reach
	reached   string        // ID of the endpoint that succeeded last
	checkedAt time.Duration // end of the last check
	done      chan struct{} // closed at the end of the check in progress; nil: there is none
}

// CutOff reports whether this entry is cut off from all endpoints. Without peers it makes no difference, and is not found out.
func (e *Entry) CutOff() bool {
	e.reach.mu.Lock()
	defer e.reach.mu.Unlock()
	return e.reach.reach.CutOff()
}

// recordReach records that an endpoint failed or succeeded, and checks the links if need be.
func (e *Entry) recordReach(id string, sign cfvreach.Sign, ok bool) {
	if e.cfg.Peers == nil {
		return
	}
	e.reach.mu.Lock()
	if ok {
		e.reach.reached = id
		e.reach.reach.Succeeded(e.cfg.Now(), sign)
	} else {
		e.reach.reach.Failed(e.cfg.Now(), id, sign)
	}
	e.reach.mu.Unlock()
	if !ok {
		e.checkLinks()
	}
}

// recordDial records the result of a dial to an endpoint.
func (e *Entry) recordDial(id string, err error) {
	if !errors.Is(err, context.Canceled) {
		e.recordReach(id, cfvreach.NoConnection, err == nil)
	}
}

// checkLinks starts a check of the links to the endpoints if one is due.
func (e *Entry) checkLinks() {
	e.reach.mu.Lock()
	defer e.reach.mu.Unlock()
	if e.reach.done == nil && e.reach.reach.StartCheck(e.cfg.Now()) {
		e.startCheck()
	}
}

// startCheck starts a check. The caller must hold e.reach.mu.
func (e *Entry) startCheck() {
	e.reach.done = make(chan struct{})
	go func() {
		e.runCheck()
		e.reach.mu.Lock()
		defer e.reach.mu.Unlock()
		close(e.reach.done)
		e.reach.done = nil
	}()
}

// ReachesEndpoints checks the links now, and returns false if this entry is cut off from all endpoints. It takes up
// to moreDialsDelay and dialTimeout.
func (e *Entry) ReachesEndpoints(ctx context.Context) bool {
	if e.cfg.Peers == nil {
		return true
	}
	e.reach.mu.Lock()
	if e.reach.done == nil && !e.reach.reach.CutOff() && e.cfg.Now()-e.reach.checkedAt > recheckDelay {
		e.startCheck()
	}
	done := e.reach.done
	e.reach.mu.Unlock()
	if done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return !e.CutOff()
}

// runCheck makes new connections to some endpoints until one succeeds, and records whether this entry is cut off.
func (e *Entry) runCheck() {
	sample := e.reachSample()
	reached := e.dialAny(sample)
	e.cfg.Metrics.Count("endpoints.linkChecks", 1)
	e.reach.mu.Lock()
	firstSign := e.reach.reach.FirstSign()
	if firstSign == 0 {
		firstSign = e.cfg.Now()
	}
	e.reach.checkedAt = e.cfg.Now()
	changed := e.reach.reach.Checked(e.cfg.Now(), len(sample), reached)
	cut := e.reach.reach.CutOff()
	e.reach.mu.Unlock()
	if !changed {
		return
	}
	e.forgetFailures(firstSign)
	if !cut {
		e.cfg.Metrics.Count("endpoints.linksRestored", 1)
		e.cfg.Log.Infow("this entry reaches endpoints again")
		return
	}
	e.cfg.Metrics.Count("endpoints.linksLost", 1)
	e.cfg.Log.Warnw("this entry is cut off from the endpoints", "tried", len(sample), "firstFailureMillis", (e.cfg.Now() - firstSign).Milliseconds())
	e.connPools.closeAllIdle()
	for _, a := range e.pending.list() {
		if !a.sent.hasConn() {
			e.pending.cancel(a, cutOffReason)
		}
	}
}

// dialAny makes new connections to endpoints until one succeeds, and returns how many did: one or none. It begins with firstDials of them.
func (e *Entry) dialAny(sample []*cfvfleet.Endpoint) (reached int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results, started := make(chan bool, len(sample)), 0
	start := func(n int) {
		for _, ep := range sample[started:n] {
			go func() { results <- e.dialOnce(ctx, ep) }()
		}
		started = n
	}
	start(min(firstDials, len(sample)))
	more := time.NewTimer(moreDialsDelay)
	defer more.Stop()
	for failed := 0; failed < len(sample); {
		select {
		case ok := <-results:
			if ok {
				return 1
			}
			if failed++; failed == started {
				start(len(sample))
			}
		case <-more.C:
			start(len(sample))
		}
	}
	return 0
}

// dialOnce reports whether a new connection to an endpoint can be made.
func (e *Entry) dialOnce(ctx context.Context, ep *cfvfleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := e.connPools.dial(ctx, "tcp", ep.Addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// reachSample returns the endpoint that succeeded last and random ones.
func (e *Entry) reachSample() (sample []*cfvfleet.Endpoint) {
	var all []*cfvfleet.Endpoint
	e.cfg.State.Read(func(v *cfvfleet.View) { all = v.All() })
	e.reach.mu.Lock()
	last := e.reach.reached
	e.reach.mu.Unlock()
	for _, ep := range all {
		if ep.ID == last {
			sample = append(sample, ep)
		}
	}
	for _, i := range rand.Perm(len(all)) {
		if len(sample) < reachSample && all[i].ID != last {
			sample = append(sample, all[i])
		}
	}
	return sample
}

// forgetFailures makes the endpoints available again that failed since a time, since the links may have failed and not they.
func (e *Entry) forgetFailures(since time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.ForgetFailures(since)
}
