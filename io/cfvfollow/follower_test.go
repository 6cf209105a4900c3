package cfvfollow

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/io/cfvbelief"

	"gotest.tools/v3/assert"
)

var errGone = errors.New("history is gone")

// store is the platform's store as the follower sees it, on virtual time.
type store struct {
	records []cfvmirror.Record
	floor   int64
	down    bool
	silent  bool
	lists   int
	calls   int
}

func (s *store) write(key string) {
	s.records = append(s.records, cfvmirror.Record{Key: key, Value: []byte("v"), Revision: int64(len(s.records) + 1)})
}

func (s *store) asOf() int64 { return int64(len(s.records)) }

func (s *store) answer(ctx context.Context) error {
	s.calls++
	time.Sleep(4 * time.Millisecond)
	if s.silent {
		select {
		case <-ctx.Done():
		case <-time.After(1500 * time.Millisecond):
		}
		return errors.New("no answer")
	}
	if s.down {
		return errors.New("down")
	}
	return nil
}

func (s *store) list(ctx context.Context) ([]cfvmirror.Record, int64, error) {
	s.lists++
	if err := s.answer(ctx); err != nil {
		return nil, 0, err
	}
	return s.records, s.asOf(), nil
}

func (s *store) watch(ctx context.Context, after int64, wait time.Duration) ([]cfvmirror.Record, int64, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if err := s.answer(ctx); err != nil {
			return nil, 0, err
		}
		if after < s.floor {
			return nil, 0, errGone
		}
		if s.asOf() > after || !time.Now().Before(end) {
			return s.records[after:], s.asOf(), nil
		}
	}
}

// run follows the store on virtual time, and calls f beside it.
func run(t *testing.T, hub bool, f func(s *store, b *cfvbelief.Belief, now func() time.Duration)) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		now := func() time.Duration { return time.Since(start) + time.Hour }
		s := &store{}
		s.write("a")
		b := cfvbelief.New(cfvbelief.Config{
			Decode: func(cfvmirror.Record) (cfvfleet.Change, error) { return cfvfleet.Change{}, nil }, Now: now, Log: cfvlog.Discard(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			New(Config{
				List: s.list, Watch: s.watch, HistoryGone: errGone, Belief: b, Hub: func() bool { return hub }, Now: now, Log: cfvlog.Discard(),
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
		"in calm":                     {func(*store) {}, 200 * time.Millisecond},
		"after an outage":             {func(s *store) { s.down = true; time.Sleep(4 * time.Second); s.down = false }, time.Second},
		"after a silence":             {func(s *store) { s.silent = true; time.Sleep(4 * time.Second); s.silent = false }, 2 * time.Second},
		"though the history was lost": {func(s *store) { s.floor = s.asOf() + 1 }, time.Second},
		"though changes come in a rush": {func(s *store) {
			for i := range 50 {
				s.write(fmt.Sprint("r", i))
				time.Sleep(7 * time.Millisecond)
			}
		}, 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, true, func(s *store, b *cfvbelief.Belief, _ func() time.Duration) {
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
	run(t, true, func(s *store, b *cfvbelief.Belief, _ func() time.Duration) {
		time.Sleep(3 * time.Second)
		for range 200 {
			age, ok := b.Age()
			assert.Assert(t, ok && age >= hush, "age %v", age)
			assert.Assert(t, age < hush+2*watchWait+100*time.Millisecond, "age %v", age)
			time.Sleep(13 * time.Millisecond)
		}
		s.silent = true
		time.Sleep(5 * time.Second)
		age, _ := b.Age()
		assert.Assert(t, age >= 5*time.Second, "age %v in a silence", age)
	})
}

func TestEntryThatHearsFromHubsDoesNotAskTheStore(t *testing.T) {
	run(t, false, func(s *store, b *cfvbelief.Belief, now func() time.Duration) {
		time.Sleep(time.Second)
		before := s.calls
		for range 100 {
			b.Confirm(b.AsOf(), now()-time.Second)
			time.Sleep(200 * time.Millisecond)
		}
		assert.Equal(t, s.calls, before)
		s.write("new")
		time.Sleep(leafAge + time.Second)
		assert.Equal(t, b.AsOf(), s.asOf(), "without hubs it asks by itself")
	})
}

func TestSilentStoreCostsFewCalls(t *testing.T) {
	run(t, true, func(s *store, _ *cfvbelief.Belief, _ func() time.Duration) {
		time.Sleep(time.Second)
		s.down = true
		before := s.calls
		time.Sleep(20 * time.Second)
		assert.Assert(t, s.calls-before <= 50, "%d calls", s.calls-before)
		s.down = false
	})
}
