package cfvleader

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"

	"gotest.tools/v3/assert"
)

// Failure: entries that were gone for good stayed in the list. An entry that only the leader does not reach announces
// itself again, and must not be removed again and again; nor may a slow store hold up the leader.
func TestGoneEntriesAreRemovedOneByOne(t *testing.T) {
	tests := map[string]struct {
		gone    []string
		returns bool // entries announce themselves again
		delay   time.Duration
		after   time.Duration
		want    int // removals
	}{
		"none":                  {after: time.Minute},
		"one":                   {gone: []string{"a"}, after: time.Minute, want: 1},
		"three":                 {gone: []string{"a", "b", "c"}, after: 3 * removeInterval, want: 3},
		"one after the other":   {gone: []string{"a", "b", "c"}, after: removeInterval / 2, want: 1},
		"one that returns":      {gone: []string{"a"}, returns: true, after: 10 * minReturnInterval, want: 4}, // at 0, 20, 60 and 140 s
		"the store is slow":     {gone: []string{"a", "b"}, delay: 10 * removeInterval, after: 9 * removeInterval, want: 0},
		"slow, but it responds": {gone: []string{"a", "b"}, delay: 10 * removeInterval, after: 25 * removeInterval, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				removed := make(map[string]bool)
				removals := 0
				var mu sync.Mutex
				l := New(Config{
					Now: func() time.Duration { return time.Since(start) + time.Hour }, Log: cfvlog.Discard(), Count: func(string, int64) {},
					GoneEntries: func() (out []string) {
						mu.Lock()
						defer mu.Unlock()
						for _, name := range tt.gone {
							if !removed[name] {
								out = append(out, name)
							}
						}
						return out
					},
					Store: Store{RemoveEntry: func(_ context.Context, fencingToken int64, name string) error {
						time.Sleep(tt.delay)
						mu.Lock()
						defer mu.Unlock()
						assert.Equal(t, fencingToken, int64(7))
						removals++
						removed[name] = !tt.returns
						return nil
					}},
				})
				l.fencingToken = 7
				for time.Since(start) < tt.after {
					began := time.Now()
					l.removeEntries(t.Context())
					assert.Equal(t, time.Since(began), time.Duration(0), "the leader waits for the store")
					time.Sleep(tickInterval)
				}
				synctest.Wait()
				mu.Lock()
				got := removals
				mu.Unlock()
				assert.Equal(t, got, tt.want)
				time.Sleep(tt.delay)
			})
		})
	}
}
