package cfvserve

import (
	"sync"
	"time"

	"coltsfootvalve/core/cfvlimit"
)

// Limits of the suspicions that are sent to peers with probes.
const (
	suspicionsPerProbe = 4
	probesPerSuspicion = 24
)

// Quarantine wraps the quarantine of a node for concurrent use.
type Quarantine struct {
	mu         sync.Mutex
	quarantine *cfvlimit.Quarantine
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{quarantine: cfvlimit.NewQuarantine()}
}

// Blocked reports whether a request is quarantined.
func (q *Quarantine) Blocked(fingerprint string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Blocked(time.Now(), fingerprint)
}

// RecordCrash records that an endpoint went down while it ran a request and returns the
// suspicion against the request.
func (q *Quarantine) RecordCrash(fingerprint, endpointBoot string) cfvlimit.Suspicion {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.RecordCrash(time.Now(), fingerprint, endpointBoot)
}

// RecordResponse records that a request was answered.
func (q *Quarantine) RecordResponse(fingerprint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quarantine.RecordResponse(time.Now(), fingerprint)
}

// Merge adds the suspicions of a peer and removes expired ones.
func (q *Quarantine) Merge(list []cfvlimit.Suspicion) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	q.quarantine.Expire(now)
	for _, s := range list {
		q.quarantine.Merge(now, s)
	}
}

// Updates returns the suspicions to send with the next probe.
func (q *Quarantine) Updates() []cfvlimit.Suspicion {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.quarantine.Updates(suspicionsPerProbe, probesPerSuspicion)
}
