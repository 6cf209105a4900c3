package cfvbook

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/io/cfvetcd"

	"gotest.tools/v3/assert"
)

// fakeKeyValue is a key-value store whose calls take the given latency.
type fakeKeyValue struct {
	latency time.Duration
	calls   atomic.Int64

	mu       sync.Mutex
	revision int64
	keys     map[string]cfvetcd.KeyValue
}

func newFakeKeyValue(latency time.Duration) *fakeKeyValue {
	return &fakeKeyValue{latency: latency, keys: make(map[string]cfvetcd.KeyValue)}
}

func (f *fakeKeyValue) Get(_ context.Context, key string) ([]byte, int64, error) {
	f.calls.Add(1)
	time.Sleep(f.latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.keys[key].Value, f.keys[key].ModRevision, nil
}

func (f *fakeKeyValue) Swap(_ context.Context, key string, value []byte, expected, _ int64) (int64, error) {
	f.calls.Add(1)
	time.Sleep(f.latency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.keys[key].ModRevision != expected {
		return 0, cfvetcd.ErrConflict
	}
	f.revision++
	f.keys[key] = cfvetcd.KeyValue{Value: value, ModRevision: f.revision}
	return f.revision, nil
}

func (f *fakeKeyValue) Grant(context.Context, time.Duration) (int64, error) {
	f.calls.Add(1)
	return 1, nil
}

func newBookings(ctx context.Context, f *fakeKeyValue) *Bookings {
	return New(ctx, Config{
		KeyValue: KeyValueStore{Get: f.Get, Swap: f.Swap, Grant: f.Grant},
		Window:   func() time.Duration { return time.Hour },
		Log:      cfvlog.Discard(), Metrics: cfvmetric.New(),
	})
}

func claimOf(i int) cfvbooking.Claim {
	return cfvbooking.Claim{Key: fmt.Sprint("w/orders/k", i), Fingerprint: "f", Attempt: fmt.Sprint("a", i), Entry: "n", StartMillis: 1}
}

func TestClaimsAreBatchedAndPersisted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFakeKeyValue(3 * time.Millisecond)
		bookings := newBookings(ctx, f)
		var wg sync.WaitGroup
		var won atomic.Int64
		const count = 2000
		for i := range count {
			wg.Go(func() {
				if bookings.Claim(nil, claimOf(i)).Won {
					won.Add(1)
				}
				bookings.Conclude(nil, cfvbooking.Conclusion{Key: claimOf(i).Key, Attempt: claimOf(i).Attempt, State: cfvbooking.StateDone})
			})
		}
		wg.Wait()
		assert.Equal(t, won.Load(), int64(count))
		assert.Assert(t, f.calls.Load() < count/10, "%d calls", f.calls.Load())
		next := newBookings(ctx, f)
		for i := range count {
			c := claimOf(i)
			c.Attempt = "again"
			r := next.Claim(nil, c)
			assert.Assert(t, !r.Won, "key %d was claimed again", i)
			assert.Equal(t, r.Record.State, cfvbooking.StateDone)
		}
		cancel()
		synctest.Wait()
	})
}

// BenchmarkClaims compares the journals with one key per booking. It books for ten seconds on a
// key-value store whose calls take 3 ms, and reports the calls per booking and per second and
// the time that a claim adds.
func BenchmarkClaims(b *testing.B) {
	for _, perSecond := range []int{5, 50, 200, 550} {
		b.Run(fmt.Sprintf("journals/bookings=%d", perSecond), func(b *testing.B) { benchJournals(b, perSecond) })
		b.Run(fmt.Sprintf("one-key-each/bookings=%d", perSecond), func(b *testing.B) { benchKeys(b, perSecond) })
	}
}

// benchmarkSeconds is the duration of one benchmark iteration in seconds.
const benchmarkSeconds = 10

func benchJournals(b *testing.B, perSecond int) {
	for range b.N {
		f := newFakeKeyValue(3 * time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		bookings := newBookings(ctx, f)
		bookAll(b, f, perSecond, func(i int) {
			bookings.Claim(nil, claimOf(i))
		}, func(i int) {
			bookings.Conclude(nil, cfvbooking.Conclusion{Key: claimOf(i).Key, Attempt: claimOf(i).Attempt, State: cfvbooking.StateDone})
		})
		cancel()
	}
}

func benchKeys(b *testing.B, perSecond int) {
	for range b.N {
		f := newFakeKeyValue(3 * time.Millisecond)
		var revisions sync.Map
		bookAll(b, f, perSecond, func(i int) {
			r, _ := f.Swap(context.Background(), claimOf(i).Key, []byte("claim"), 0, 0)
			revisions.Store(i, r)
		}, func(i int) {
			r, _ := revisions.Load(i)
			_, _ = f.Swap(context.Background(), claimOf(i).Key, []byte("done"), r.(int64), 0)
		})
	}
}

func bookAll(b *testing.B, f *fakeKeyValue, perSecond int, claim, conclude func(int)) {
	var added atomic.Int64
	var wg sync.WaitGroup
	n := perSecond * benchmarkSeconds
	gap := time.Second / time.Duration(perSecond)
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * gap)))
		wg.Go(func() {
			claimStart := time.Now()
			claim(i)
			added.Add(int64(time.Since(claimStart)))
			conclude(i)
		})
	}
	wg.Wait()
	b.ReportMetric(float64(f.calls.Load())/float64(n), "calls/booking")
	b.ReportMetric(float64(f.calls.Load())/time.Since(start).Seconds(), "calls/s")
	b.ReportMetric(float64(added.Load())/float64(n)/1e6, "ms-added")
}
