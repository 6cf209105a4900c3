package cfvwatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/io/cfvstate"

	"gotest.tools/v3/assert"
)

var errGone = errors.New("history is gone")

// store is the platform's store as the follower sees it, on virtual time.
type store struct {
	mu      sync.Mutex
	records []cfvmirror.Record
	floor   int64
	down    bool
	silent  bool
	calls   int
}

func (s *store) write(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, cfvmirror.Record{Key: key, Value: []byte("v"), Revision: int64(len(s.records) + 1)})
}

func (s *store) asOf() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.records))
}

// set changes how the store behaves.
func (s *store) set(f func(s *store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func (s *store) counted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) answer(ctx context.Context) error {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	s.calls++
	silent, down := s.silent, s.down
	s.mu.Unlock()
	if silent {
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
		return errors.New("no answer")
	}
	if down {
		return errors.New("down")
	}
	return nil
}

func (s *store) list(ctx context.Context) ([]cfvmirror.Record, int64, error) {
	if err := s.answer(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]cfvmirror.Record(nil), s.records...), int64(len(s.records)), nil
}

func (s *store) watch(ctx context.Context, after int64, wait time.Duration) ([]cfvmirror.Record, int64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if err := s.answer(ctx); err != nil {
			return nil, 0, err
		}
		s.mu.Lock()
		gone, asOf := after < s.floor, int64(len(s.records))
		events := append([]cfvmirror.Record(nil), s.records[min(after, asOf):]...)
		s.mu.Unlock()
		if gone {
			return nil, 0, errGone
		}
		if asOf > after || !time.Now().Before(end) {
			return events, asOf, nil
		}
	}
}

// decode reads items that begin with e as endpoints, and those that begin with x as the end
// of one.
func decode(r cfvmirror.Record) (c cfvfleet.Change, err error) {
	id, live := strings.CutPrefix(r.Key, "e")
	if !live {
		if id, live = strings.CutPrefix(r.Key, "x"); live {
			c.Endpoint = &cfvfleet.EndpointChange{ID: id}
		}
		return c, nil
	}
	c.Endpoint = &cfvfleet.EndpointChange{ID: id, Endpoint: &cfvfleet.Endpoint{ID: id, Service: "s"}}
	return c, nil
}

// run follows the store on virtual time, and calls f beside it.
func run(t *testing.T, hub bool, f func(s *store, b *cfvstate.State, now func() time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) + time.Hour }
		s := &store{}
		s.write("a")
		b := cfvstate.New(cfvstate.Config{
			Decode: decode, Now: now, Log: cfvlog.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			New(Config{
				List: s.list, Watch: s.watch, HistoryGone: errGone, State: b, IsRelay: func() bool { return hub }, Now: now, Log: cfvlog.Discard(),
			}).Run(ctx)
			close(done)
		}()
		defer func() {
			cancel()
			<-done
		}()
		f(s, b, now)
	})
}

func TestChangesAreKnownWithinTheirBound(t *testing.T) {
	tests := map[string]struct {
		disturb func(s *store)
		within  time.Duration // from the change or the end of the disturbance
	}{
		"in calm": {func(*store) {}, 200 * time.Millisecond},
		"after an outage": {func(s *store) {
			s.set(func(s *store) { s.down = true })
			time.Sleep(4 * time.Second)
			s.set(func(s *store) { s.down = false })
		}, time.Second},
		"after a silence": {func(s *store) {
			s.set(func(s *store) { s.silent = true })
			time.Sleep(4 * time.Second)
			s.set(func(s *store) { s.silent = false })
		}, 2 * time.Second},
		"though the history was lost": {func(s *store) { s.set(func(s *store) { s.floor = int64(len(s.records)) + 1 }) }, time.Second},
		"though changes come in a rush": {func(s *store) {
			for i := range 50 {
				s.write(fmt.Sprint("r", i))
				time.Sleep(7 * time.Millisecond)
			}
		}, 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, true, func(s *store, b *cfvstate.State, _ func() time.Duration) {
				time.Sleep(time.Second)
				tt.disturb(s)
				s.write("new")
				time.Sleep(tt.within)
				assert.Equal(t, b.AsOf(), s.asOf())
			})
		})
	}
}

// The belief is never said to be younger than it is: what a watch may have missed for a
// second counts as age.
func TestAgeCoversWhatAWatchMayMiss(t *testing.T) {
	run(t, true, func(s *store, b *cfvstate.State, _ func() time.Duration) {
		time.Sleep(3 * time.Second)
		for range 200 {
			age, ok := b.Age()
			assert.Assert(t, ok && age >= hush, "age %v", age)
			assert.Assert(t, age < hush+2*watchWait+100*time.Millisecond, "age %v", age)
			time.Sleep(13 * time.Millisecond)
		}
		s.set(func(s *store) { s.silent = true })
		time.Sleep(5 * time.Second)
		age, _ := b.Age()
		assert.Assert(t, age >= 5*time.Second, "age %v in a silence", age)
	})
}

func TestEntryThatHearsFromHubsDoesNotAskTheStore(t *testing.T) {
	run(t, false, func(s *store, b *cfvstate.State, now func() time.Duration) {
		time.Sleep(time.Second)
		before := s.counted()
		for range 100 {
			b.Confirm(b.AsOf(), now()-time.Second)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, s.counted(), before)
		s.write("new")
		time.Sleep(leafAge + time.Second)
		assert.Equal(t, b.AsOf(), s.asOf(), "without hubs it asks by itself")
	})
}

// An entry that lost the store and heard from hubs since must not take a removal much later
// for a sign of that outage: seed 669983450223 of a hunt (DRAIN).
func TestRemovalLongAfterAnEntrysOwnTroubleIsInForce(t *testing.T) {
	run(t, false, func(s *store, b *cfvstate.State, now func() time.Duration) {
		s.write("e1")
		s.write("e2")
		time.Sleep(4 * time.Second)
		s.set(func(s *store) { s.down = true })
		time.Sleep(4 * time.Second)
		for range 50 { // it loses the store, and hubs tell it everything
			b.Confirm(b.AsOf(), now())
			time.Sleep(100 * time.Millisecond)
		}
		s.set(func(s *store) { s.down = false })
		time.Sleep(leafAge + time.Second) // they fall silent, and it asks again
		s.write("x1")
		time.Sleep(1600 * time.Millisecond)
		usable := 0
		b.Read(func(v *cfvfleet.View) { usable = len(v.Usable("s")) })
		assert.Equal(t, usable, 1)
	})
}

func TestSilentStoreCostsFewCalls(t *testing.T) {
	run(t, true, func(s *store, _ *cfvstate.State, _ func() time.Duration) {
		time.Sleep(time.Second)
		s.set(func(s *store) { s.down = true })
		before := s.counted()
		time.Sleep(20 * time.Second)
		assert.Assert(t, s.counted()-before <= 50, "%d calls", s.counted()-before)
	})
}
