package cfvlimit

import (
	"time"

	"coltsfootvalve/common/cfverror"
)

// Admission asks whether a workspace may start one more request.
type Admission struct {
	Workspace  string
	RequestID  string
	Entry      string
	Started    uint64        // when the entry's process started
	Concurrent int           // requests at once; 0 for no limit
	PerSecond  int           // requests a second; 0 for no limit
	Limit      time.Duration // longest run of the request
}

// Workspaces counts the requests of the workspaces whose limits a node keeps. It is not
// safe for concurrent use.
type Workspaces struct {
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
func NewWorkspaces() *Workspaces {
	return &Workspaces{byName: make(map[string]*workspace)}
}

// Admit counts the request in, or returns the reason of a refusal. The same request
// admitted twice counts once.
func (t *Workspaces) Admit(now time.Time, a Admission) cfverror.Reason {
	w, ok := t.byName[a.Workspace]
	if !ok {
		w = &workspace{tokens: float64(a.PerSecond), last: now, runs: make(map[string]admitted)}
		t.byName[a.Workspace] = w
	}
	if _, again := w.runs[a.RequestID]; again {
		return ""
	}
	w.expire(now)
	if a.Concurrent > 0 && len(w.runs) >= a.Concurrent {
		return cfverror.ReasonConcurrency
	}
	if a.PerSecond > 0 && !w.take(now, float64(a.PerSecond)) {
		return cfverror.ReasonRateLimited
	}
	w.runs[a.RequestID] = admitted{a.Entry, a.Started, now.Add(a.Limit)}
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
func (t *Workspaces) Dismiss(name, requestID string) {
	if w, ok := t.byName[name]; ok {
		delete(w.runs, requestID)
	}
}

// EntryGone counts out the requests of an entry's processes that started before the
// given time.
func (t *Workspaces) EntryGone(entry string, before uint64) {
	for _, w := range t.byName {
		for id, a := range w.runs {
			if a.entry == entry && a.started < before {
				delete(w.runs, id)
			}
		}
	}
}

// Expire forgets workspaces that have nothing running and a full bucket.
func (t *Workspaces) Expire(now time.Time) {
	for name, w := range t.byName {
		w.expire(now)
		if len(w.runs) == 0 && now.Sub(w.last) > time.Second {
			delete(t.byName, name)
		}
	}
}
