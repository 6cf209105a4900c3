package cfvserve

import (
	"sync"
	"time"

	"coltsfootvalve/core/cfvlimit"
)

// Bounds of what is told to peers with one probe.
const (
	suspicionsSent  = 4
	suspicionsTimes = 24
)

// Suspicions is the quarantine of a node, safe for concurrent use.
type Quarantine struct {
	mu    sync.Mutex
	inner *cfvlimit.Quarantine
}

// NewSuspicions returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{inner: cfvlimit.NewQuarantine()}
}

// Blocked reports whether a request is quarantined.
func (s *Quarantine) Blocked(print string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.Blocked(time.Now(), print)
}

// Crashed notes that an endpoint went down while it ran the request, and returns what is
// suspected of the request by now.
func (s *Quarantine) RecordCrash(print, endpointBoot string) cfvlimit.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.RecordCrash(time.Now(), print, endpointBoot)
}

// Merge takes what a peer suspects.
func (s *Quarantine) Merge(list []cfvlimit.Suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.inner.Expire(now)
	for _, x := range list {
		s.inner.Merge(now, x)
	}
}

// Updates returns what to tell a peer.
func (s *Quarantine) Updates() []cfvlimit.Suspicion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inner.Updates(suspicionsSent, suspicionsTimes)
}
