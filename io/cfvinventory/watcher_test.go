package cfvinventory

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvstate"

	"gotest.tools/v3/assert"
)

// Guards against a watcher that has lost its own links and tells its peers that the cache stores are lost, which others reach.
func TestStoreIsLostOnlyIfEndpointsAreReached(t *testing.T) {
	tests := map[string]struct {
		reaches, lost bool
		restored      time.Duration
	}{
		"the store fails":                                {reaches: true, lost: true},
		"the watcher loses its way":                      {reaches: false, lost: false},
		"the watcher has its way again, the store fails": {reaches: false, lost: true, restored: 7 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				now := func() time.Duration { return time.Since(start) + time.Hour }
				state := cfvstate.New(cfvstate.Config{Now: now, Log: cfvlog.Discard(), Decode: func(cfvmirror.Record) (cfvfleet.Change, error) {
					return cfvfleet.Change{Config: &cfvfleet.Config{Version: 1, Services: []cfvfleet.Service{{Name: "stores", Store: &cfvfleet.Store{Addr: "store"}}}}}, nil
				}})
				state.Apply("test", []cfvmirror.Record{{Key: "config", Revision: 1}}, 1, true)
				catalog := cfvparts.NewCatalog()
				var mu sync.Mutex
				do := func(f func(*cfvparts.Catalog)) {
					mu.Lock()
					defer mu.Unlock()
					f(catalog)
				}
				fails := func() bool { return time.Since(start) > 5*time.Second }
				w := New(Config{
					IsRelay: func() bool { return true }, View: state.Read, Catalog: do, Now: now, Log: cfvlog.Discard(),
					Reaches: func(context.Context) bool { return tt.reaches || tt.restored > 0 && time.Since(start) > tt.restored },
					List: func(context.Context, string) (cfvparts.Batch, error) {
						if fails() {
							return cfvparts.Batch{}, errors.New("no route")
						}
						return cfvparts.Batch{Epoch: 1, Next: 1, Full: true}, nil
					},
					Events: func(_ context.Context, _ string, since int64, wait time.Duration) (cfvparts.Batch, error) {
						time.Sleep(wait)
						if fails() {
							return cfvparts.Batch{}, errors.New("no route")
						}
						return cfvparts.Batch{Epoch: 1, Next: since}, nil
					},
				})
				ctx, cancel := context.WithCancel(t.Context())
				go w.Run(ctx)
				time.Sleep(10 * time.Second)
				cancel()
				time.Sleep(time.Minute)
				var updates []cfvparts.StoreUpdate
				do(func(c *cfvparts.Catalog) {
					updates = c.UpdatesSince(now(), []cfvparts.Position{{Addr: "store", Epoch: 1, Next: 1}})
				})
				assert.Equal(t, len(updates), 1)
				assert.Equal(t, updates[0].Lost, tt.lost)
			})
		})
	}
}
