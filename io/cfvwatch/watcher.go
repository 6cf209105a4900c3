// Package cfvwatch watches the platform's key-value store and keeps an entry's state up to date.
// Some relays always watch the store. Other entries watch it only while relays do not keep their state
// recent enough.
package cfvwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/io/cfvstate"
)

// Timeouts and intervals.
const (
	watchWait        = 800 * time.Millisecond  // a hung connection is noticed after this time and one response time
	batchDelay       = 60 * time.Millisecond   // changes in quick succession are fetched by one call
	maxStateAge      = 3200 * time.Millisecond // an entry whose state has not been confirmed by relays for longer watches the store itself
	standbyStateAge  = 2800 * time.Millisecond // the same for a standby
	ageCheckInterval = 100 * time.Millisecond
	watchLag         = 1 * time.Second        // a watch may report nothing for this long although records changed
	minBackoff       = 150 * time.Millisecond // delay after the first failed call, doubled after each further one
	maxBackoff       = 800 * time.Millisecond
	maxQuickBreaks   = 2                      // calls that find the state not to be of the store's history, without a delay after them
	minOutage        = 600 * time.Millisecond // failures for less time do not count as an outage
	minLoss          = 300 * time.Millisecond // a watcher that fails for less time keeps its place
	lossPeriod       = 3 * time.Second        // after a failure, another entry watches for this long
	maxResponseTime  = 400 * time.Millisecond // of the store, beyond the wait time of a watch
	listSpread       = 1 * time.Second        // within which entries that are no watchers list a store without the history that they need
)

// Config configures a Watcher.
type Config struct {
	List      func(context.Context) (records []cfvmirror.Record, asOf cfvmirror.Revision, err error)
	Watch     func(ctx context.Context, after cfvmirror.Revision, wait time.Duration) (records []cfvmirror.Record, asOf cfvmirror.Revision, err error)
	Compacted error // the error of Watch if there is no history after the revision: it has been compacted, or the store was restored
	// RecordUntoldRestore is called if a listing shows that the store has been restored from an older copy since it had a revision, although its
	// responses do not tell. Later listings have revisions of a later history then; false: there is none.
	RecordUntoldRestore func(known cfvmirror.Revision) bool
	State               *cfvstate.State
	IsWatcher           func() bool                 // reports whether this entry watches the store on behalf of its peers
	IsStandby           func() bool                 // reports whether this entry does so next; nil: it does not
	NoContact           func() bool                 // reports whether no peer responds to this entry; nil: some do
	Rank                func() (rank, watchers int) // position of this entry among the watchers, from 0; nil: it is the only one
	// StartDelay is the time after the start during which an entry without a state leaves the store to its
	// peers. At a start of the whole fleet, each entry would list the store otherwise.
	StartDelay time.Duration
	Now        func() time.Duration
	Log        cfvlog.Logger
}

// errNoLaterHistory means that the store has gone back more often than its histories can be told apart.
var errNoLaterHistory = errors.New("the key-value store has gone back, and its history can't be told from the one before")

// Watcher watches the key-value store.
type Watcher struct {
	cfg          Config
	startedAt    time.Duration
	following    bool          // the state's revision is of the store's history: calls have succeeded without a break since it was listed
	breaks       int           // how often it was not since the last watch that succeeded
	crowded      bool          // other entries lose the store's history at the same moment
	changed      bool          // the last watch reported changes, to all watchers at the same time
	failingSince time.Duration // start of the current series of failed calls; 0 if the last call succeeded

	mu         sync.Mutex
	lostUntil  time.Duration // until then the store counts as lost
	respondsBy time.Duration // until when the call in progress has a response unless the store is lost; 0: there is none
}

// New returns a Watcher.
func New(cfg Config) *Watcher {
	if cfg.IsStandby == nil {
		cfg.IsStandby = func() bool { return false }
	}
	if cfg.Rank == nil {
		cfg.Rank = func() (int, int) { return 0, 1 }
	}
	if cfg.RecordUntoldRestore == nil {
		cfg.RecordUntoldRestore = func(cfvmirror.Revision) bool { return false }
	}
	if cfg.NoContact == nil {
		cfg.NoContact = func() bool { return false }
	}
	return &Watcher{cfg: cfg, startedAt: cfg.Now()}
}

// StoreLost reports whether this entry fails to reach the key-value store, or did so within lossPeriod.
func (w *Watcher) StoreLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCall()
	return w.cfg.Now() < w.lostUntil
}

// checkCall records the loss of the store if the call in progress should have had a response. The caller must hold w.mu.
func (w *Watcher) checkCall() {
	if now := w.cfg.Now(); w.respondsBy > 0 && now > w.respondsBy {
		w.lostUntil = now + lossPeriod
	}
}

// startCall records that a call begins.
func (w *Watcher) startCall() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.respondsBy = w.cfg.Now() + watchWait + maxResponseTime
}

// endCall records the end of a call. A response, however late, shows that the store is not lost.
func (w *Watcher) endCall(ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkCall()
	w.respondsBy = 0
	if ok {
		w.lostUntil = 0
	}
}

// Run watches the store until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	wait := minBackoff
	for ctx.Err() == nil {
		if !w.shouldWatch() {
			w.following, w.crowded = false, false
			if age, known := w.cfg.State.Age(); known && age < w.cfg.Now()-w.failingSince {
				w.failingSince = 0 // relays reach the store, so there is no outage
			}
			cfvclock.Sleep(ctx, ageCheckInterval)
			continue
		}
		if w.crowded && !w.cfg.IsWatcher() && !w.cfg.NoContact() && w.updatedByPeers(ctx) {
			w.crowded = false
			continue
		}
		w.startCall()
		err := w.update(ctx)
		w.endCall(err == nil)
		if err == nil {
			w.recordSuccess()
			if w.breaks <= maxQuickBreaks {
				wait = minBackoff
				continue
			}
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.recordFailure(err)
			w.following, w.crowded = false, true // the store may have been restored meanwhile, and have passed the state's revision again
		}
		cfvclock.Sleep(ctx, wait/2+time.Duration(rand.Int64N(int64(wait/2))))
		wait = min(2*wait, maxBackoff)
	}
}

// updatedByPeers waits for a random part of listSpread and reports whether peers have updated the state meanwhile. After an
// outage all entries watch the store, and all would list it at the same moment.
func (w *Watcher) updatedByPeers(ctx context.Context) bool {
	before := w.cfg.State.AsOf()
	cfvclock.Sleep(ctx, time.Duration(rand.Int64N(int64(listSpread))))
	return w.cfg.State.AsOf() > before || !w.shouldWatch()
}

// shouldWatch reports whether this entry watches the store itself: it is a watcher, or relays have
// not confirmed its state for too long.
func (w *Watcher) shouldWatch() bool {
	age, known := w.cfg.State.Age()
	if !known {
		return w.cfg.Now()-w.startedAt >= w.cfg.StartDelay
	}
	return w.cfg.IsWatcher() || age > maxStateAge || (age > standbyStateAge || w.cfg.NoContact()) && w.cfg.IsStandby()
}

// update watches the store once. It lists the store before if there is no state yet, or if its revision may not be of the store's
// history.
func (w *Watcher) update(ctx context.Context) error {
	if !w.following {
		first := w.cfg.State.AsOf() == 0
		if listed, err := w.list(ctx); err != nil || !listed || first || w.cfg.IsWatcher() {
			return err
		}
	}
	sent := w.cfg.Now()
	records, asOf, err := w.cfg.Watch(ctx, w.cfg.State.AsOf(), w.nextWait())
	if errors.Is(err, w.cfg.Compacted) {
		w.cfg.Log.Infow("key-value store has no history after the state, listing all records", "asOf", int64(w.cfg.State.AsOf()))
		w.following, w.crowded = false, true
		w.breaks++
		return nil
	}
	if err != nil {
		return err
	}
	w.breaks = 0
	w.cfg.State.Apply("store", records, asOf, false)
	w.cfg.State.Confirm("store", asOf, sent-watchLag)
	if w.changed = len(records) > 0; w.changed {
		cfvclock.Sleep(ctx, batchDelay)
	}
	return nil
}

// list lists the store, and reports whether the state has been updated. It has not if the listing shows that the store has gone back;
// the next one belongs to a later history then.
func (w *Watcher) list(ctx context.Context) (ok bool, err error) {
	before, sent := w.cfg.State.AsOf(), w.cfg.Now()
	records, asOf, err := w.cfg.List(ctx)
	if err != nil {
		return false, err
	}
	if w.cfg.State.Contradicts(records, asOf, before) {
		w.cfg.Log.Warnw("key-value store has gone back and tells no later era, listing all records again", "asOf", int64(asOf), "stateAsOf", int64(before))
		if !w.cfg.RecordUntoldRestore(before) {
			return false, errNoLaterHistory
		}
		w.breaks++
		return false, nil
	}
	if asOf.History() < w.cfg.State.AsOf().History() { // a peer has told of a restore meanwhile
		w.breaks++
		return false, nil
	}
	w.cfg.State.Apply("store", records, asOf, true)
	if before != 0 && !w.cfg.IsWatcher() {
		sent -= watchLag // as after a watch, since the age decides when this entry watches again
	}
	w.cfg.State.Confirm("store", asOf, sent)
	w.following, w.crowded = true, false
	return true, nil
}

// nextWait returns for how long the next watch waits. A change ends the watches of all watchers together. If they went on
// together, an outage could begin just before all of them confirm the state, which is then older by a whole watch at every entry.
// So each one waits for another part of the time first.
func (w *Watcher) nextWait() time.Duration {
	rank, watchers := w.cfg.Rank()
	if !w.changed || watchers <= 1 || rank < 0 || rank >= watchers {
		return watchWait
	}
	return (watchWait * time.Duration(rank+1) / time.Duration(watchers)).Truncate(time.Millisecond)
}

func (w *Watcher) recordFailure(err error) {
	if w.failingSince == 0 {
		w.failingSince = w.cfg.Now()
		w.cfg.Log.Warnw("key-value store is unreachable", "error", err.Error(), "asOf", int64(w.cfg.State.AsOf()))
	}
	if now := w.cfg.Now(); now-w.failingSince >= minLoss {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lostUntil = now + lossPeriod
	}
}

func (w *Watcher) recordSuccess() {
	if w.failingSince == 0 {
		return
	}
	outage := w.cfg.Now() - w.failingSince
	w.failingSince = 0
	w.cfg.Log.Infow("key-value store is reachable again", "awayMillis", outage.Milliseconds(), "asOf", int64(w.cfg.State.AsOf()))
	if outage > minOutage {
		w.cfg.State.StoreRecovered()
	}
}
