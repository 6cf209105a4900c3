// Package cfvinventory keeps an entry's catalogue of the stores of cache parts up to date from
// the stores' events.
package cfvinventory

import (
	"context"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
)

// Figures of the following.
const (
	eventWait  = 800 * time.Millisecond // calls that wait less than 200 ms are priced
	eventPause = 150 * time.Millisecond // collects events, so that a busy store is not asked at each of them
	failPause  = 400 * time.Millisecond
	checkPause = 500 * time.Millisecond
)

// Config configures a Follower.
type Config struct {
	Self    string
	Events  func(ctx context.Context, addr string, since int64, wait time.Duration) (cfvparts.Batch, error)
	List    func(ctx context.Context, addr string) (cfvparts.Batch, error)
	View    func(func(v *cfvfleet.View))
	Catalog func(func(c *cfvparts.Catalog))
	Now     func() time.Duration
	Log     cfvlog.Logger
}

// Follower follows all stores of the configuration.
type Watcher struct {
	cfg     Config
	running map[string]context.CancelFunc
}

// New returns a follower.
func New(cfg Config) *Watcher {
	return &Watcher{cfg: cfg, running: make(map[string]context.CancelFunc)}
}

// Run follows the stores until the context ends.
func (f *Watcher) Run(ctx context.Context) {
	f.adjust(ctx)
	cfvclock.Every(ctx, checkPause, f.adjust)
}

// adjust begins to follow new stores and ends it for those that are gone, or for all where
// this entry is no hub.
func (f *Watcher) adjust(ctx context.Context) {
	var stores []cfvparts.Store
	wanted := make(map[string]bool)
	f.cfg.View(func(v *cfvfleet.View) {
		x := v.Index()
		if x == nil {
			return
		}
		hub := cfvfleet.IsRelay(f.cfg.Self, v.Entries())
		for _, s := range x.Stores() {
			st := s.Store
			stores = append(stores, cfvparts.Store{Addr: st.Addr, Domain: st.Domain, CapacityTokens: st.CapacityTokens, FirstByteLatency: st.FirstByteLatency})
			if hub {
				wanted[st.Addr] = true
			}
		}
	})
	f.cfg.Catalog(func(c *cfvparts.Catalog) { c.SetStores(stores) })
	for addr, stop := range f.running {
		if !wanted[addr] {
			stop()
			delete(f.running, addr)
		}
	}
	for addr := range wanted {
		if f.running[addr] == nil {
			own, stop := context.WithCancel(ctx)
			f.running[addr] = stop
			go f.follow(own, addr)
		}
	}
}

// follow keeps what one store holds up to date.
func (f *Watcher) follow(ctx context.Context, addr string) {
	listed, next, lost := false, int64(0), false
	for ctx.Err() == nil {
		var b cfvparts.Batch
		var err error
		if listed {
			b, err = f.cfg.Events(ctx, addr, next, eventWait)
		} else {
			b, err = f.cfg.List(ctx, addr)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.cfg.Catalog(func(c *cfvparts.Catalog) { c.Forget(addr) })
			if !lost {
				f.cfg.Log.Warnw("a store of cache parts was lost", "store", addr, "error", err.Error())
			}
			listed, lost = false, true
			cfvclock.Sleep(ctx, failPause)
			continue
		}
		if lost {
			f.cfg.Log.Infow("a store of cache parts is back", "store", addr, "epoch", b.Epoch)
			lost = false
		}
		next = b.Next
		f.cfg.Catalog(func(c *cfvparts.Catalog) { listed = c.Apply(f.cfg.Now(), addr, b) })
		if len(b.Events) > 0 {
			cfvclock.Sleep(ctx, eventPause)
		}
	}
}
