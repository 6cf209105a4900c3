package cfvplace

import (
	"context"
	"sync"
	"time"

	"coltsfootvalve/core/cfvslot"
)

// Slot is a slot on an endpoint that the entry uses.
type Slot struct {
	Grant cfvslot.Grant
	Group string
	Owner string
	entry *Entry
}

// Result describes how the request of a slot ended.
type Result struct {
	Outcome        cfvslot.Outcome
	BootID         string        // boot ID in the response; empty without a response
	Leaving        bool          // the response announced that the endpoint is leaving
	Linger         time.Duration // how long the endpoint may still run the request
	ConnectionLost bool          // the connection broke, so the endpoint may have restarted
}

// Release frees the slot and reports the result of its request to the owner.
func (s *Slot) Release(result Result) {
	s.entry.mu.Lock()
	delete(s.entry.held, s.Grant.Slot)
	if result.ConnectionLost || result.Leaving || (result.BootID != "" && result.BootID != s.Grant.Level.BootID) {
		s.entry.rampLevels.Remove(s.Grant.Endpoint)
	}
	s.entry.mu.Unlock()
	s.entry.release(s.Group, cfvslot.Release{
		Slot: s.Grant.Slot, Endpoint: s.Grant.Endpoint, Outcome: result.Outcome, BootID: result.BootID,
		Leaving: result.Leaving, Linger: result.Linger, ConnectionLost: result.ConnectionLost,
	})
}

// ObserveBootID compares the boot ID in a response header with the one that the slot was
// granted for. If they differ, the endpoint has restarted, and ObserveBootID notifies the owner
// without waiting for the end of the response.
func (s *Slot) ObserveBootID(bootID string) {
	if bootID == "" || bootID == s.Grant.Level.BootID {
		return
	}
	s.entry.release(s.Group, cfvslot.Release{Endpoint: s.Grant.Endpoint, BootID: bootID})
}

// release queues one release.
func (e *Entry) release(group string, r cfvslot.Release) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queueReleases(group, r)
}

// Flush sends the queued releases to the owners of their groups. Failed releases are retried.
// While the queue of a group is too long they are dropped, and the next inventory that the
// owner requests frees their slots.
func (e *Entry) Flush(ctx context.Context) {
	e.mu.Lock()
	out := e.pendingReleases
	e.pendingReleases = make(map[string][]cfvslot.Release)
	e.mu.Unlock()
	var wg sync.WaitGroup
	for group, list := range out {
		wg.Go(func() { e.sendReleases(ctx, group, list) })
	}
	wg.Wait()
}

func (e *Entry) sendReleases(ctx context.Context, group string, list []cfvslot.Release) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := e.cfg.Release(ctx, e.ownerOf(group), list); err == nil {
		return
	}
	e.cfg.Metrics.Count("place.releaseFailed", 1)
	time.AfterFunc(releaseRetryDelay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.pendingReleases[group]) < maxRampLevels {
			e.queueReleases(group, list...)
		}
	})
}

// queueReleases queues releases and wakes Run. The caller must hold the lock.
func (e *Entry) queueReleases(group string, list ...cfvslot.Release) {
	e.pendingReleases[group] = append(e.pendingReleases[group], list...)
	select {
	case e.releasesQueued <- struct{}{}:
	default:
	}
}
