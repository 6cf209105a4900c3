package cfventry

import (
	"math"
	"time"

	"coltsfootvalve/core/cfvlimit"
)

// Suspicions returns suspicions against requests that crash endpoints, for a peer. The ones that were sent
// least often come first, so that all peers learn of a new one, however many they are.
func (e *Entry) Suspicions() []cfvlimit.Suspicion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.quarantine.Updates(maxSuspicionsPerUpdate, math.MaxInt)
}

// Limits on suspicions. Identical requests share a fingerprint (method, path, API key and body),
// so a harmless one that is sent often may be running during two crashes by chance.
const (
	quarantineCrashes      = 3 // the platform tolerates three crashes
	suspicionTTL           = time.Minute
	answeredTTL            = 10 * time.Second // an answered request is not suspected for this long
	maxSuspicionsPerUpdate = 32
)

// AddSuspicion merges a suspicion that a peer reported.
func (e *Entry) AddSuspicion(s cfvlimit.Suspicion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantine.Merge(time.Now(), s)
}
