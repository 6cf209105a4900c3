// Package cfvinventory watches the events of the cache stores and keeps an entry's catalog of
// the parts that they hold up to date. Only relay entries watch the stores. Other entries get the
// updates from relays through package cfvexchange.
package cfvinventory

import (
	"context"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
)

// Timeouts and intervals.
const (
	eventWait         = 800 * time.Millisecond // the platform charges for calls that wait less than 200 ms
	eventBatchDelay   = 150 * time.Millisecond // batches events, so that a busy store is not called for each one
	retryDelay        = 400 * time.Millisecond
	reconcileInterval = 500 * time.Millisecond
)

// Config configures a Watcher.
type Config struct {
	IsRelay func() bool // reports whether this entry is a listed relay
	Events  func(ctx context.Context, addr string, since int64, wait time.Duration) (cfvparts.Batch, error)
	List    func(ctx context.Context, addr string) (cfvparts.Batch, error)
	View    func(func(v *cfvfleet.View))
	Catalog func(func(c *cfvparts.Catalog))
	Reaches func(ctx context.Context) bool // reports whether this entry reaches endpoints, and thus not only a store fails; nil: it does
	Now     func() time.Duration
	Log     cfvlog.Logger
}

// Watcher watches all cache stores of the configuration.
type Watcher struct {
	cfg     Config
	running map[string]context.CancelFunc
}

// New returns a Watcher.
func New(cfg Config) *Watcher {
	if cfg.Reaches == nil {
		cfg.Reaches = func(context.Context) bool { return true }
	}
	return &Watcher{cfg: cfg, running: make(map[string]context.CancelFunc)}
}

// Run watches the cache stores until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.reconcile(ctx)
	cfvclock.Every(ctx, reconcileInterval, w.reconcile)
}

// reconcile starts to watch new stores and stops watching those that are gone. An entry that is
// no relay watches none.
func (w *Watcher) reconcile(ctx context.Context) {
	var stores []cfvparts.Store
	watched := make(map[string]bool)
	isRelay := w.cfg.IsRelay() // reads the state, so not within View
	w.cfg.View(func(v *cfvfleet.View) {
		index := v.Index()
		if index == nil {
			return
		}
		for _, s := range index.Stores() {
			st := s.Store
			stores = append(stores, cfvparts.Store{Addr: st.Addr, Domain: st.Domain, CapacityTokens: st.CapacityTokens, FirstByteLatency: st.FirstByteLatency, TokensPerMs: index.StoreTokensPerMs(st)})
			if isRelay {
				watched[st.Addr] = true
			}
		}
	})
	w.cfg.Catalog(func(c *cfvparts.Catalog) { c.SetStores(stores) })
	for addr, cancel := range w.running {
		if !watched[addr] {
			cancel()
			delete(w.running, addr)
		}
	}
	for addr := range watched {
		if w.running[addr] == nil {
			storeCtx, cancel := context.WithCancel(ctx)
			w.running[addr] = cancel
			go w.watch(storeCtx, addr)
		}
	}
}

// watch keeps the catalog of one store up to date.
func (w *Watcher) watch(ctx context.Context, addr string) {
	listed, next, lost := false, int64(0), false
	for ctx.Err() == nil {
		var b cfvparts.Batch
		var err error
		if listed {
			b, err = w.cfg.Events(ctx, addr, next, eventWait)
		} else {
			b, err = w.cfg.List(ctx, addr)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost && w.cfg.Reaches(ctx) {
				// Only the first failure counts: a peer that still reaches the store knows better than later ones.
				w.cfg.Catalog(func(c *cfvparts.Catalog) { c.Lose(w.cfg.Now(), addr) })
				w.cfg.Log.Warnw("cache store is unreachable", "store", addr, "error", err.Error())
				lost = true
			}
			listed = false
			cfvclock.Sleep(ctx, retryDelay)
			continue
		}
		if lost {
			w.cfg.Log.Infow("cache store is reachable again", "store", addr, "epoch", b.Epoch)
			lost = false
		}
		next = b.Next
		w.cfg.Catalog(func(c *cfvparts.Catalog) { listed = c.Apply(w.cfg.Now(), addr, b) })
		if len(b.Events) > 0 {
			cfvclock.Sleep(ctx, eventBatchDelay)
		}
	}
}
