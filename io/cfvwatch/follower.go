// Package cfvwatch keeps an entry's belief up to date from the platform's store.
package cfvwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/io/cfvstate"
)

// Figures of the following.
const (
	watchWait = 500 * time.Millisecond  // a connection that went silent is noticed within it and an answer's time
	gather    = 60 * time.Millisecond   // changes that come close together are fetched by one call
	leafAge   = 2600 * time.Millisecond // an entry that hears nothing from hubs asks the store itself from this age on
	leafCheck = 100 * time.Millisecond
	hush      = 1 * time.Second        // a watch may hear nothing for this long although items changed
	firstWait = 150 * time.Millisecond // pause after a failed call
	mostWait  = 800 * time.Millisecond
	awayLeast = 600 * time.Millisecond // failures for less are no outage
)

// Config configures a Follower.
type Config struct {
	List        func(context.Context) (records []cfvmirror.Record, asOf int64, err error)
	Watch       func(ctx context.Context, after int64, wait time.Duration) (records []cfvmirror.Record, asOf int64, err error)
	HistoryGone error // what Watch fails with when it can't go on from a revision
	State       *cfvstate.State
	IsRelay     func() bool // whether this entry asks the store on behalf of others
	Now         func() time.Duration
	Log         cfvlog.Logger
}

// Follower follows the store.
type Watcher struct {
	cfg     Config
	relist  bool          // the history after the belief is gone
	failing time.Duration // since when calls have failed; 0: they don't
}

// New returns a follower.
func New(cfg Config) *Watcher { return &Watcher{cfg: cfg} }

// Run follows the store until the context ends.
func (f *Watcher) Run(ctx context.Context) {
	wait := firstWait
	for ctx.Err() == nil {
		if !f.due() {
			f.failing = 0 // hubs reach the store, so that it is not away
			cfvclock.Sleep(ctx, leafCheck)
			continue
		}
		err := f.step(ctx)
		if err == nil {
			wait = firstWait
			f.recovered()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err)
		cfvclock.Sleep(ctx, wait/2+time.Duration(rand.Int64N(int64(wait/2))))
		wait = min(2*wait, mostWait)
	}
}

// due reports whether this entry should ask the store: it is a hub, or it hears too little
// from them.
func (f *Watcher) due() bool {
	if f.cfg.IsRelay() {
		return true
	}
	age, known := f.cfg.State.Age()
	return !known || age > leafAge
}

// step lists the store once, and watches it from then on.
func (f *Watcher) step(ctx context.Context) error {
	if f.cfg.State.AsOf() == 0 || f.relist {
		sent := f.cfg.Now()
		records, asOf, err := f.cfg.List(ctx)
		if err != nil {
			return err
		}
		f.cfg.State.Apply("store", records, asOf, true)
		f.cfg.State.Confirm(asOf, sent)
		f.relist = false
		return nil
	}
	sent := f.cfg.Now()
	records, asOf, err := f.cfg.Watch(ctx, f.cfg.State.AsOf(), watchWait)
	if errors.Is(err, f.cfg.HistoryGone) {
		f.cfg.Log.Infow("the store's history is gone, all items are listed", "asOf", f.cfg.State.AsOf())
		f.relist = true
		return nil
	}
	if err != nil {
		return err
	}
	f.cfg.State.Apply("store", records, asOf, false)
	f.cfg.State.Confirm(asOf, sent-hush)
	if len(records) > 0 {
		cfvclock.Sleep(ctx, gather)
	}
	return nil
}

func (f *Watcher) failed(err error) {
	if f.failing == 0 {
		f.failing = f.cfg.Now()
		f.cfg.Log.Warnw("the store was lost", "error", err.Error(), "asOf", f.cfg.State.AsOf())
	}
}

func (f *Watcher) recovered() {
	if f.failing == 0 {
		return
	}
	away := f.cfg.Now() - f.failing
	f.failing = 0
	f.cfg.Log.Infow("the store is back", "awayMillis", away.Milliseconds(), "asOf", f.cfg.State.AsOf())
	if away > awayLeast {
		f.cfg.State.StoreRecovered()
	}
}
