package cfvleader

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Times of the removal of entries that are gone.
const (
	removeInterval    = time.Second      // between two removals
	minReturnInterval = 20 * time.Second // an entry that returned after its removal is not removed again for this long
	maxReturnInterval = 20 * time.Minute // doubled up to this with each further removal
)

// removal is the last removal of an entry.
type removal struct {
	at       time.Duration
	interval time.Duration // until it may be removed again
}

// removals holds the removals of entries by this leader.
type removals struct {
	at         time.Duration // of the last one
	entries    map[string]removal
	inProgress atomic.Bool
}

// next returns the first of the entries that may be removed now.
func (r *removals) next(now time.Duration, gone []string) (name string, ok bool) {
	if r.inProgress.Load() || r.at > 0 && now-r.at < removeInterval {
		return "", false
	}
	for _, name := range gone {
		if last, removed := r.entries[name]; !removed || now-last.at >= last.interval {
			return name, true
		}
	}
	return "", false
}

// record records a removal. An entry that this leader does not reach may be alive, and announces itself again. Its
// removal must not be repeated all the time.
func (r *removals) record(now time.Duration, name string) {
	if r.entries == nil {
		r.entries = make(map[string]removal)
	}
	r.at = now
	r.entries[name] = removal{at: now, interval: min(max(2*r.entries[name].interval, minReturnInterval), maxReturnInterval)}
}

// removeEntries removes the announcement of an entry that is gone, at most one at a time. The call does not hold up
// the renewal of the lease.
func (l *Leader) removeEntries(ctx context.Context) {
	now := l.cfg.Now()
	name, ok := l.removals.next(now, l.cfg.GoneEntries())
	if !ok {
		return
	}
	l.removals.record(now, name)
	l.removals.inProgress.Store(true)
	fencingToken := l.fencingToken
	go func() {
		defer l.removals.inProgress.Store(false)
		err := l.cfg.Store.RemoveEntry(ctx, fencingToken, name)
		switch {
		case errors.Is(err, l.cfg.Store.Conflict):
			l.cfg.Log.Infow("an entry was announced again before it was removed", "entry", name)
		case err != nil:
			l.cfg.Log.Warnw("could not remove an entry that is gone", "entry", name, "error", err.Error())
		default:
			l.cfg.Count("duty.entriesRemoved", 1)
			l.cfg.Log.Infow("removed an entry that is gone", "entry", name)
		}
	}()
}
