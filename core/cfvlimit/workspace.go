package cfvlimit

import (
	"time"

	"coltsfootvalve/common/cfverror"
)

// Admission asks whether a workspace may start one more request.
type Admission struct {
	Workspace     string
	RequestID     string
	Entry         string
	EntryStarted  uint64        // when the entry's process started
	MaxConcurrent int           // requests at once; 0 for no limit
	MaxPerSecond  int           // requests a second; 0 for no limit
	MaxDuration   time.Duration // longest run of the request
}

// Workspaces counts the requests of the workspaces whose limits a node keeps. It is not
// safe for concurrent use.
type WorkspaceLimiter struct {
	byName map[string]*workspace
}

type workspace struct {
	tokens float64
	last   time.Time
	runs   map[string]admitted
}

type admitted struct {
	entry   string
	started uint64
	until   time.Time
}

// NewWorkspaces returns an empty table.
func NewWorkspaceLimiter() *WorkspaceLimiter {
	return &WorkspaceLimiter{byName: make(map[string]*workspace)}
}

// Admit counts the request in, or returns the reason of a refusal. The same request
// admitted twice counts once.
func (t *WorkspaceLimiter) Admit(now time.Time, a Admission) cfverror.Reason {
	w, ok := t.byName[a.Workspace]
	if !ok {
		w = &workspace{tokens: float64(a.MaxPerSecond), last: now, runs: make(map[string]admitted)}
		t.byName[a.Workspace] = w
	}
	if _, again := w.runs[a.RequestID]; again {
		return ""
	}
	w.expire(now)
	if a.MaxConcurrent > 0 && len(w.runs) >= a.MaxConcurrent {
		return cfverror.ReasonConcurrency
	}
	if a.MaxPerSecond > 0 && !w.take(now, float64(a.MaxPerSecond)) {
		return cfverror.ReasonRateLimited
	}
	w.runs[a.RequestID] = admitted{a.Entry, a.EntryStarted, now.Add(a.MaxDuration)}
	return ""
}

// take takes a token from a bucket that holds one second of the rate.
func (w *workspace) take(now time.Time, rate float64) bool {
	w.tokens = min(w.tokens+now.Sub(w.last).Seconds()*rate, rate)
	w.last = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *workspace) expire(now time.Time) {
	for id, a := range w.runs {
		if !now.Before(a.until) {
			delete(w.runs, id)
		}
	}
}

// Dismiss counts a request out.
func (t *WorkspaceLimiter) Dismiss(name, requestID string) {
	if w, ok := t.byName[name]; ok {
		delete(w.runs, requestID)
	}
}

// EntryGone counts out the requests of an entry's processes that started before the
// given time.
func (t *WorkspaceLimiter) DismissEntry(entry string, before uint64) {
	for _, w := range t.byName {
		for id, a := range w.runs {
			if a.entry == entry && a.started < before {
				delete(w.runs, id)
			}
		}
	}
}

// Expire forgets workspaces that have nothing running and a full bucket.
func (t *WorkspaceLimiter) Expire(now time.Time) {
	for name, w := range t.byName {
		w.expire(now)
		if len(w.runs) == 0 && now.Sub(w.last) > time.Second {
			delete(t.byName, name)
		}
	}
}
