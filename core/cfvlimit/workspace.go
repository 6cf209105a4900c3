package cfvlimit

import (
	"time"

	"coltsfootvalve/common/cfverror"
)

// Admission is a request to count one more request of a workspace against its limits.
type Admission struct {
	Workspace     string
	RequestID     string
	Entry         string
	EntryStarted  uint64        // start of the entry's process
	MaxConcurrent int           // concurrent requests; 0: no limit
	MaxPerSecond  int           // requests per second; 0: no limit
	MaxDuration   time.Duration // the request counts as ended after this time
}

// WorkspaceLimiter enforces the request limits of the workspaces that a node is responsible
// for. It is not safe for concurrent use.
type WorkspaceLimiter struct {
	byName map[string]*workspaceUsage
}

// workspaceUsage is the token bucket and the running requests of a workspace.
type workspaceUsage struct {
	tokens     float64
	lastRefill time.Time
	active     map[string]activeRequest
}

type activeRequest struct {
	entry        string
	entryStarted uint64
	until        time.Time
}

// NewWorkspaceLimiter returns a limiter that has counted no requests.
func NewWorkspaceLimiter() *WorkspaceLimiter {
	return &WorkspaceLimiter{byName: make(map[string]*workspaceUsage)}
}

// Admit counts the request as running and returns an empty reason, or returns the reason
// for refusing it. A request that is already running is admitted again without counting it.
func (t *WorkspaceLimiter) Admit(now time.Time, a Admission) cfverror.Reason {
	w, ok := t.byName[a.Workspace]
	if !ok {
		w = &workspaceUsage{tokens: float64(a.MaxPerSecond), lastRefill: now, active: make(map[string]activeRequest)}
		t.byName[a.Workspace] = w
	}
	if _, counted := w.active[a.RequestID]; counted {
		return ""
	}
	w.expire(now)
	if a.MaxConcurrent > 0 && len(w.active) >= a.MaxConcurrent {
		return cfverror.ReasonConcurrency
	}
	if a.MaxPerSecond > 0 && !w.takeToken(now, float64(a.MaxPerSecond)) {
		return cfverror.ReasonRateLimited
	}
	w.active[a.RequestID] = activeRequest{a.Entry, a.EntryStarted, now.Add(a.MaxDuration)}
	return ""
}

// takeToken takes a token from the bucket, which holds at most one second's worth of the rate.
func (w *workspaceUsage) takeToken(now time.Time, rate float64) bool {
	w.tokens = min(w.tokens+now.Sub(w.lastRefill).Seconds()*rate, rate)
	w.lastRefill = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *workspaceUsage) expire(now time.Time) {
	for id, a := range w.active {
		if !now.Before(a.until) {
			delete(w.active, id)
		}
	}
}

// Dismiss records that a request has ended.
func (t *WorkspaceLimiter) Dismiss(name, requestID string) {
	if w, ok := t.byName[name]; ok {
		delete(w.active, requestID)
	}
}

// DismissEntry dismisses the requests of those processes of an entry that started before
// the given time.
func (t *WorkspaceLimiter) DismissEntry(entry string, before uint64) {
	for _, w := range t.byName {
		for id, a := range w.active {
			if a.entry == entry && a.entryStarted < before {
				delete(w.active, id)
			}
		}
	}
}

// Expire deletes workspaces that have no running requests and a full bucket.
func (t *WorkspaceLimiter) Expire(now time.Time) {
	for name, w := range t.byName {
		w.expire(now)
		if len(w.active) == 0 && now.Sub(w.lastRefill) > time.Second {
			delete(t.byName, name)
		}
	}
}
