package cfvleader

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/core/cfvweights"
	"coltsfootvalve/io/cfvstate"

	"gotest.tools/v3/assert"
)

var (
	errNoLease  = errors.New("no lease")
	errConflict = errors.New("conflict")
	errCut      = errors.New("cut off")
)

const (
	holderKey = "holder"
	giverKey  = "giver"
	pause     = 3 * time.Second // between the orders of two givers
)

// world is a store, some endpoints and the orders that they got, on virtual time.
type world struct {
	mu     sync.Mutex
	rev    int64
	holder string
	fence  int64
	lease  int64
	until  time.Time
	cut    map[string]bool // entries that do not reach the store
	deaf   bool            // endpoints do not answer
	orders []order
	loaded map[string]int64
	nodes  map[string]*cfvstate.State
}

type order struct {
	by    string
	fence int64
	at    time.Time
}

// expire ends a lease that has run out; the caller holds the lock.
func (w *world) expire() {
	if w.holder != "" && time.Now().After(w.until) {
		w.release()
	}
}

func (w *world) release() {
	w.rev++
	w.holder, w.lease = "", 0
	w.tell(cfvmirror.Record{Key: holderKey, Revision: w.rev, Deleted: true})
}

// tell lets all entries know at once, also cut ones: they hear it from others.
func (w *world) tell(r cfvmirror.Record) {
	for _, b := range w.nodes {
		b.Apply("test", []cfvmirror.Record{r}, r.Revision, false)
	}
}

func (w *world) call(node string, f func() error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cut[node] {
		return errCut
	}
	w.expire()
	return f()
}

func (w *world) store(node string) Store {
	return Store{
		LeaseNotFound: errNoLease, Conflict: errConflict,
		Grant: func(_ context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error) {
			err = w.call(node, func() error { w.rev++; lease = w.rev; return nil })
			return lease, ttl, err
		},
		Renew: func(_ context.Context, lease int64) error {
			return w.call(node, func() error {
				if w.lease != lease {
					return errNoLease
				}
				w.until = time.Now().Add(leaseTime)
				return nil
			})
		},
		Revoke: func(_ context.Context, lease int64) error {
			return w.call(node, func() error {
				if w.lease == lease {
					w.release()
				}
				return nil
			})
		},
		Acquire: func(_ context.Context, lease int64, _ []byte) (rev int64, err error) {
			err = w.call(node, func() error {
				if w.holder != "" {
					return errConflict
				}
				w.rev++
				w.holder, w.lease, w.fence, w.until = node, lease, w.rev, time.Now().Add(leaseTime)
				rev = w.rev
				w.tell(cfvmirror.Record{Key: holderKey, Value: []byte(node), Revision: w.rev})
				return nil
			})
			return rev, err
		},
		RecordOrders: func(_ context.Context, fence int64, record []byte) error {
			return w.call(node, func() error {
				if w.holder != node || w.fence != fence {
					return errConflict
				}
				w.rev++
				w.tell(cfvmirror.Record{Key: giverKey, Value: record, Revision: w.rev})
				return nil
			})
		},
	}
}

// name names new weights.
func (w *world) name(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rev++
	for _, b := range w.nodes {
		b.Apply("test", []cfvmirror.Record{{Key: fmt.Sprint("weights/", version), Revision: w.rev}}, w.rev, false)
	}
}

func decode(r cfvmirror.Record) (c cfvfleet.Change, err error) {
	var version int64
	if n, _ := fmt.Sscanf(r.Key, "weights/%d", &version); n == 1 {
		c.Weights = &cfvfleet.DesiredWeights{Model: "m", Version: version}
	}
	var id int
	if n, _ := fmt.Sscanf(r.Key, "endpoint/%d", &id); n == 1 {
		name := fmt.Sprint("i-", id)
		c.Endpoint = &cfvfleet.EndpointChange{ID: name, Endpoint: &cfvfleet.Endpoint{ID: name, Addr: name, Service: "s", Weights: map[string]int64{"m": 1}}}
	}
	return c, nil
}

func (w *world) duty(node string, start time.Time) *Leader {
	now := func() time.Duration { return time.Since(start) + time.Hour }
	b := cfvstate.New(cfvstate.Config{Decode: decode, Now: now, Log: cfvlog.Discard()})
	w.nodes[node] = b
	for i := range 6 {
		w.rev++
		b.Apply("test", []cfvmirror.Record{{Key: fmt.Sprint("endpoint/", i), Revision: w.rev}}, w.rev, false)
	}
	seen := make(map[string]int64)
	var mu sync.Mutex
	go func() { // the belief stays young, and leases run out
		for range 30 * 20 {
			b.Confirm(b.AsOf(), now())
			time.Sleep(50 * time.Millisecond)
			w.mu.Lock()
			w.expire()
			w.mu.Unlock()
		}
	}()
	return New(Config{
		Self: node, Store: w.store(node), IsRelay: func() bool { return true }, State: b, HandoverPause: pause, Now: now, Log: cfvlog.Discard(),
		CurrentLeader: func() (cfvmirror.Record, bool) { return b.Record(holderKey) },
		LastLeader:    func() (cfvmirror.Record, bool) { return b.Record(giverKey) },
		LoadedVersion: func(e *cfvfleet.Endpoint, _ string) int64 {
			mu.Lock()
			defer mu.Unlock()
			return max(seen[e.ID], 1)
		},
		SetLoadedVersion: func(e *cfvfleet.Endpoint, _ string, v int64) {
			mu.Lock()
			defer mu.Unlock()
			seen[e.ID] = v
		},
		RunningRequests: func(string) int { return 0 },
		ShortPool:       func() map[string]bool { return nil },
		LoadStatus: func(_ context.Context, _, id string) (cfvweights.LoadStatus, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.deaf {
				return cfvweights.LoadStatus{}, errors.New("no answer")
			}
			return cfvweights.LoadStatus{Versions: map[string]int64{"m": max(w.loaded[id], 1)}}, nil
		},
		LoadWeights: func(_ context.Context, _, id string, o cfvweights.Order) (cfvweights.Result, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.orders = append(w.orders, order{node, o.FencingToken, time.Now()})
			w.loaded[id] = o.Version
			return cfvweights.Started, nil
		},
		FreeParts: func(context.Context, string, int64, []cfvparts.Key) error { return nil },
		Catalog:   func(f func(*cfvparts.Catalog)) { f(cfvparts.NewCatalog()) },
		Count:     func(string, int64) {},
	})
}

// check wants that givers take turns with a pause between them and rising tokens.
func (w *world) check(t *testing.T) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := 1; i < len(w.orders); i++ {
		a, b := w.orders[i-1], w.orders[i]
		if a.by == b.by {
			continue
		}
		assert.Assert(t, b.fence > a.fence, "a lower token after a higher one")
		assert.Assert(t, b.at.Sub(a.at) >= pause, "two givers within %v", b.at.Sub(a.at))
	}
}

func (w *world) all(version int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range 6 {
		if w.loaded[fmt.Sprint("i-", i)] < version {
			return false
		}
	}
	return true
}

func TestOrdersComeFromOneGiverAtATime(t *testing.T) {
	tests := map[string]func(w *world, stop map[string]context.CancelFunc){
		"in calm": func(*world, map[string]context.CancelFunc) {},
		"as the holder stops": func(w *world, stop map[string]context.CancelFunc) {
			stop[w.holder]()
		},
		"as the holder is cut off from the store": func(w *world, _ map[string]context.CancelFunc) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.cut[w.holder] = true
		},
		"as the holder is cut off in the midst of its orders": func(w *world, _ map[string]context.CancelFunc) {
			w.name(2)
			time.Sleep(150 * time.Millisecond)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.cut[w.holder] = true
		},
		"as the store is away from all for a while": func(w *world, _ map[string]context.CancelFunc) {
			for _, cut := range []bool{true, false} {
				w.mu.Lock()
				for node := range w.nodes {
					w.cut[node] = cut
				}
				w.mu.Unlock()
				time.Sleep(4 * time.Second)
			}
		},
		"as endpoints do not answer for a while": func(w *world, _ map[string]context.CancelFunc) {
			w.mu.Lock()
			w.deaf = true
			w.mu.Unlock()
			w.name(2)
			time.Sleep(2 * time.Second)
			w.mu.Lock()
			w.deaf = false
			w.mu.Unlock()
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &world{cut: make(map[string]bool), loaded: make(map[string]int64), nodes: make(map[string]*cfvstate.State)}
				start := time.Now()
				stop := make(map[string]context.CancelFunc)
				var wg sync.WaitGroup
				for i := range 3 {
					node := fmt.Sprint("entry-", i)
					d := w.duty(node, start)
					ctx, cancel := context.WithCancel(t.Context())
					stop[node] = cancel
					wg.Go(func() { d.Run(ctx) })
				}
				time.Sleep(2 * time.Second)
				disturb(w, stop)
				w.name(2)
				time.Sleep(12 * time.Second)
				w.name(3)
				time.Sleep(8 * time.Second) // the bound for new weights
				done := w.all(3)
				for _, cancel := range stop {
					cancel()
				}
				wg.Wait()
				time.Sleep(15 * time.Second) // for the goroutines of the test's beliefs
				assert.Assert(t, done, "not all endpoints have the weights in time: %v", w.loaded)
				w.check(t)
			})
		})
	}
}
