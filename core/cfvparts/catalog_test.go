package cfvparts

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/common/cfvseed"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

func stores() []Store {
	return []Store{{Addr: "fast", Domain: "north", CapacityTokens: 1000, FirstByteLatency: 1}, {Addr: "large", Domain: "south", CapacityTokens: 100000, FirstByteLatency: 6}}
}

func newCatalog(addr string, events ...Event) *Catalog {
	c := NewCatalog()
	c.SetStores(stores())
	for _, s := range stores() {
		b := Batch{Epoch: 1, Next: 1, Full: true}
		if s.Addr == addr {
			b.Events = events
			b.Next = int64(len(events)) + 1
		}
		c.Apply(0, s.Addr, b)
	}
	return c
}

func TestFind(t *testing.T) {
	key := Key{"m.1.all", "p"}
	held := Event{Sequence: 1, Salt: "m.1.all", Part: "p", Tokens: 500}
	tests := map[string]struct {
		change func(c *Catalog)
		now    time.Duration
		tokens int
		want   string
	}{
		"a part that is held":                  {tokens: 500, want: "fast"},
		"a part of which the store holds less": {tokens: 501},
		"a store without a recent response":    {tokens: 500, now: staleAfter + 1},
		"a store that does not respond":        {tokens: 500, change: func(c *Catalog) { c.Lose(0, "fast") }},
		"a store that restarted":               {tokens: 500, change: func(c *Catalog) { c.Apply(0, "fast", Batch{Epoch: 2, Next: 1}) }},
		"a part that was removed": {tokens: 500, change: func(c *Catalog) {
			c.Apply(0, "fast", Batch{Epoch: 1, Next: 3, Events: []Event{{Sequence: 2, Salt: "m.1.all", Part: "p", Removed: true}}})
		}},
		"a part that is about to be freed": {tokens: 500, change: func(c *Catalog) {
			c.StartFree(0, "fast", 10, func(salt string) bool { return strings.HasPrefix(salt, "m.1.") })
		}},
		"a store that the configuration dropped": {tokens: 500, change: func(c *Catalog) { c.SetStores(stores()[1:]) }},
		"an outdated event": {tokens: 500, want: "fast", change: func(c *Catalog) {
			c.Apply(0, "fast", Batch{Epoch: 1, Next: 2, Events: []Event{{Sequence: 0, Salt: "m.1.all", Part: "p", Removed: true}}})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCatalog("fast", held)
			if tt.change != nil {
				tt.change(c)
			}
			assert.Equal(t, c.Find(tt.now, key, tt.tokens, "north"), tt.want)
		})
	}
}

// Guards against short transfers that wait behind long ones at the same store: small parts go
// to the stores with the lower first-byte latency, large parts to the others.
func TestSmallPartsDoNotQueueBehindLargeOnes(t *testing.T) {
	c := newCatalog("")
	assert.Equal(t, c.StartSave(0, Key{"m.1.all", "small"}, 300, "north"), "fast")
	assert.Equal(t, c.StartSave(0, Key{"m.1.all", "large"}, 12800, "north"), "large")
}

// A managed store evicts nothing, so saves in progress count against its capacity too.
func TestStoresAreNeverFilledBeyondTheirCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCatalog("")
		saved := make(map[string]int)
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "parts") {
			tokens := rapid.IntRange(1, 8000).Draw(t, "tokens")
			if addr := c.StartSave(now, Key{"m.1.all", fmt.Sprint(i)}, tokens, "north"); addr != "" {
				saved[addr] += tokens
			}
			now += time.Millisecond
		}
		for _, s := range stores() {
			assert.Assert(t, saved[s.Addr] <= s.CapacityTokens, "%s got %d of %d", s.Addr, saved[s.Addr], s.CapacityTokens)
		}
	})
}

func TestPartIsSavedOnceAtATime(t *testing.T) {
	c := newCatalog("")
	k := Key{"m.1.all", "p"}
	assert.Equal(t, c.StartSave(0, k, 300, "north"), "fast")
	assert.Equal(t, c.StartSave(saveTimeout-1, k, 300, "north"), "")
	assert.Equal(t, c.StartSave(saveTimeout, k, 300, "north"), "fast", "a lost save is repeated")
	c.Apply(saveTimeout, "fast", Batch{Epoch: 1, Next: 2, Events: []Event{{Sequence: 1, Salt: k.Salt, Part: k.Part, Tokens: 300}}})
	assert.Equal(t, c.StartSave(3*saveTimeout, k, 300, "north"), "")
}

// A relay watches a store and updates the catalog of a peer. After an update, both must find the
// same parts.
func TestRelayAndPeerFindTheSameParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		relay, peer := newCatalog(""), NewCatalog()
		peer.SetStores(stores())
		number, epoch := int64(1), int64(1)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "millis")) * time.Millisecond
			switch rapid.SampledFrom([]string{"event", "event", "relay", "restart"}).Draw(t, "what") {
			case "event":
				e := Event{Sequence: number, Salt: "m.1.all", Part: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "part")), Tokens: 10}
				e.Removed = rapid.Bool().Draw(t, "removed")
				number++
				relay.Apply(now, "fast", Batch{Epoch: epoch, Next: number, Events: []Event{e}})
			case "restart":
				epoch++
				number = 1
				relay.Apply(now, "fast", Batch{Epoch: epoch, Next: 1, Full: true})
			case "relay":
				for _, n := range relay.UpdatesSince(now, peer.Positions()) {
					peer.Merge(now, n)
				}
				for i := range 6 {
					k := Key{"m.1.all", fmt.Sprint(i)}
					assert.Equal(t, peer.Find(now, k, 10, ""), relay.Find(now, k, 10, ""))
				}
			}
		}
	})
}

// Failure: relays noticed at once that a store had crashed, but the other entries fetched from it until
// they had heard nothing of it for 1.8 s. Each of these fetches holds up its endpoint.
func TestPeersLearnThatAStoreWasLost(t *testing.T) {
	k := Key{"m.1.all", "p"}
	held := Event{Sequence: 1, Salt: k.Salt, Part: k.Part, Tokens: 500}
	const lostAt, pulledAt = 1000 * time.Millisecond, 1200 * time.Millisecond
	tests := map[string]struct {
		then func(relay, peer *Catalog) // after the relay lost the store
		want string
	}{
		"the relay tells": {then: func(relay, peer *Catalog) { merge(relay, peer, pulledAt) }},
		"another relay had not noticed": {then: func(relay, peer *Catalog) {
			other := newCatalog("fast", held)
			other.Apply(lostAt-1, "fast", Batch{Epoch: 1, Next: 2})
			merge(relay, peer, pulledAt)
			merge(other, relay, pulledAt)
			merge(relay, peer, pulledAt+1)
			merge(other, peer, pulledAt+1)
		}},
		"another relay still reaches it": {want: "fast", then: func(relay, peer *Catalog) {
			other := newCatalog("fast", held)
			merge(relay, peer, pulledAt)
			other.Apply(lostAt+1, "fast", Batch{Epoch: 1, Next: 2})
			merge(other, relay, pulledAt)
			merge(relay, peer, pulledAt+1)
		}},
		"the store is back with the part": {want: "fast", then: func(relay, peer *Catalog) {
			merge(relay, peer, pulledAt)
			relay.Apply(pulledAt+1, "fast", Batch{Epoch: 2, Next: 2, Full: true, Events: []Event{held}})
			merge(relay, peer, pulledAt+1)
		}},
		"the store is back without it": {then: func(relay, peer *Catalog) {
			relay.Apply(pulledAt, "fast", Batch{Epoch: 2, Next: 1, Full: true})
			merge(relay, peer, pulledAt)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			relay, peer := newCatalog("fast", held), NewCatalog()
			peer.SetStores(stores())
			relay.Apply(lostAt-1, "fast", Batch{Epoch: 1, Next: 2})
			merge(relay, peer, lostAt-1)
			assert.Equal(t, peer.Find(lostAt-1, k, 500, ""), "fast")
			relay.Lose(lostAt, "fast")
			tt.then(relay, peer)
			assert.Equal(t, peer.Find(pulledAt+1, k, 500, ""), tt.want)
		})
	}
}

// merge lets a catalog pull the updates of another one.
func merge(from, to *Catalog, now time.Duration) {
	for _, u := range from.UpdatesSince(now, to.Positions()) {
		to.Merge(now, u)
	}
}

// Failure: a batch that doesn't name the store's clock sets it back to unknown, here and at peers.
func TestClockIsKeptIfABatchNamesNone(t *testing.T) {
	tests := map[string]struct {
		then Batch
		want int64 // the clock 3 s after it was named
	}{
		"no clock":                      {Batch{Epoch: 1, Next: 1}, 8000},
		"a listing without a clock":     {Batch{Epoch: 1, Next: 1, Full: true}, 8000},
		"another clock":                 {Batch{Epoch: 1, Next: 1, ClockMillis: 20_000}, 21_000},
		"no clock after a restart":      {Batch{Epoch: 2, Next: 1, Full: true}, 0},
		"another clock after a restart": {Batch{Epoch: 2, Next: 1, Full: true, ClockMillis: 100}, 1100},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			relay, peer := newCatalog("fast"), newCatalog("fast")
			relay.Apply(time.Second, "fast", Batch{Epoch: 1, Next: 1, ClockMillis: 5000})
			relay.Apply(3*time.Second, "fast", tt.then)
			merge(relay, peer, 4*time.Second)
			assert.Equal(t, relay.Clock(4*time.Second, "fast"), tt.want)
			assert.Equal(t, peer.Clock(4*time.Second, "fast"), tt.want)
		})
	}
}

func TestFreedPartsAreThoseOfOldWeights(t *testing.T) {
	c := newCatalog("large", Event{Sequence: 1, Salt: "m.1.all", Part: "a", Tokens: 10}, Event{Sequence: 2, Salt: "m.2.all", Part: "a", Tokens: 10},
		Event{Sequence: 3, Salt: "m.1.only.x", Part: "b", Tokens: 10})
	old := func(salt string) bool { return strings.HasPrefix(salt, "m.1.") }
	keys, epoch := c.StartFree(0, "large", 10, old)
	assert.Equal(t, epoch, int64(1))
	assert.Equal(t, len(keys), 2)
	for _, k := range keys {
		assert.Assert(t, old(k.Salt))
	}
}
