package cfvplace

import (
	"context"
	"sync"
	"time"

	"coltsfootvalve/core/cfvslot"
)

// Slot is a place on an endpoint that the entry has in use.
type Slot struct {
	Grant cfvslot.Grant
	Group string
	Owner string
	entry *Entry
}

// End is how the request of a slot ended.
type Result struct {
	Outcome        cfvslot.Outcome
	BootID         string        // boot identity that the answer named; empty if none came
	Leaving        bool          // the answer said that the endpoint is leaving
	Linger         time.Duration // how long the endpoint may still run the request
	ConnectionLost bool          // the connection broke
}

// Release gives the slot back and says how its request ended.
func (s *Slot) Release(end Result) {
	s.entry.mu.Lock()
	delete(s.entry.held, s.Grant.Slot)
	if end.ConnectionLost || (end.BootID != "" && end.BootID != s.Grant.Level.BootID) {
		s.entry.levels.Remove(s.Grant.Endpoint)
	}
	s.entry.mu.Unlock()
	s.entry.release(s.Group, cfvslot.Release{
		Slot: s.Grant.Slot, Endpoint: s.Grant.Endpoint, Outcome: end.Outcome, BootID: end.BootID,
		Leaving: end.Leaving, Linger: end.Linger, ConnectionLost: end.ConnectionLost,
	})
}

// Seen tells the owner at once when an answer's header names another boot than the slot
// was given for: the endpoint has started anew.
func (s *Slot) ObserveBootID(bootID string) {
	if bootID == "" || bootID == s.Grant.Level.BootID {
		return
	}
	s.entry.release(s.Group, cfvslot.Release{Endpoint: s.Grant.Endpoint, BootID: bootID})
}

func (e *Entry) release(group string, r cfvslot.Release) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.post(group, r)
}

// Flush sends the waiting releases to the owners of their groups. Those that fail are
// sent again until the owner's inventory would have freed them.
func (e *Entry) Flush(ctx context.Context) {
	e.mu.Lock()
	out := e.outbox
	e.outbox = make(map[string][]cfvslot.Release)
	e.mu.Unlock()
	var wg sync.WaitGroup
	for group, list := range out {
		wg.Go(func() { e.send(ctx, group, list) })
	}
	wg.Wait()
}

func (e *Entry) send(ctx context.Context, group string, list []cfvslot.Release) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	if err := e.cfg.Release(ctx, e.ownerOf(group), list); err == nil {
		return
	}
	e.cfg.Metrics.Count("place.releaseFailed", 1)
	time.AfterFunc(releaseAgain, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if len(e.outbox[group]) < levelsKept {
			e.post(group, list...)
		}
	})
}

// post puts releases into the outbox; the caller holds the lock.
func (e *Entry) post(group string, list ...cfvslot.Release) {
	e.outbox[group] = append(e.outbox[group], list...)
	select {
	case e.poke <- struct{}{}:
	default:
	}
}
