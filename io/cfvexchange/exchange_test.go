package cfvexchange

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/io/cfvstate"

	"gotest.tools/v3/assert"
)

// Failure: after a failure domain lost power, the relays went on pulling in turn from those that were gone,
// 0.7 s each. The states of relays that don't watch the key-value store themselves, and of the entries that
// pull from these, grew too old to serve requests.
func TestRelaysSkipThoseThatAreGone(t *testing.T) {
	const pulls = 200
	tests := map[string]struct {
		gone     map[int]bool // relays by their number
		most     int          // pulls from relays that are gone
		watchers int          // least pulls from watchers that are not
	}{
		"all respond":         {watchers: pulls / 2},
		"a watcher is gone":   {gone: map[int]bool{0: true}, most: 4, watchers: pulls / 2},
		"a domain is gone":    {gone: map[int]bool{0: true, 5: true}, most: 8, watchers: pulls / 2},
		"all watchers are":    {gone: map[int]bool{0: true, 1: true, 2: true, 3: true}, most: pulls / 4},
		"all others are gone": {gone: map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true, 6: true, 7: true, 8: true}, most: pulls},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var entries []cfvfleet.Entry
			for i := range 90 {
				entries = append(entries, cfvfleet.Entry{Name: fmt.Sprintf("entry-%02d", i), Addr: fmt.Sprint("addr-", i), Domain: fmt.Sprint("domain-", i%5)})
			}
			roster := cfvfleet.NewRoster(entries)
			self := roster.Relays()[len(roster.Relays())-1].Name // no watcher
			now := time.Duration(0)
			x := New(Config{Self: self, Now: func() time.Duration { return now }, Log: cfvlog.Discard(), State: cfvstate.New(cfvstate.Config{
				Decode: func(cfvmirror.Record) (c cfvfleet.Change, err error) { return c, nil }, Now: func() time.Duration { return now }, Log: cfvlog.Discard(),
			})})
			number := make(map[string]int)
			for i, e := range roster.Relays() {
				number[e.Name] = i
			}
			fromGone, fromWatchers := 0, 0
			for range pulls {
				now += relayPullInterval
				x.mu.Lock()
				x.round++
				peer, ok := x.relayPeer(roster, roster.RelaysByProximity(cfvfleet.Entry{Name: self}))
				x.mu.Unlock()
				if !ok { // none responds
					continue
				}
				assert.Assert(t, peer.Name != self)
				switch {
				case tt.gone[number[peer.Name]]:
					fromGone++
					x.recordFailure(peer.Name, errors.New("gone"))
				case roster.IsWatcher(peer.Name):
					fromWatchers++
				}
			}
			assert.Assert(t, fromGone <= tt.most, "%d pulls from relays that are gone", fromGone)
			assert.Assert(t, fromWatchers >= tt.watchers, "%d pulls from watchers", fromWatchers)
		})
	}
}
