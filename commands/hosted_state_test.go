package commands

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/platform"
	"coltsfootvalve/standins/cfvfakereplica"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

func TestHostedConfigurationIsInForceAndNeverReverts(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 3)
	f.configure(shopKey, "new-key")
	for i := range f.entries {
		f.eventually("the new key is served and the removed one is not", func() bool {
			return f.send(i, http.MethodPost, "/book/", "new-key", "").status == http.StatusOK &&
				f.send(i, http.MethodPost, "/book/", otherKey, "").status == http.StatusUnauthorized
		})
	}
	f.keyValueStore.Put("op/config", []byte(`{"version":1,"routes":[],"tenants":[{"name":"x","apiKeys":["old"]}]}`))
	f.keyValueStore.Put("op/config", []byte(`{"version":"none"`))
	f.put("op/version/m", map[string]any{"model": "m", "version": 1}) // written after the two items that must be ignored
	f.eventually("the item after them has been applied", func() bool { return strings.Contains(f.logs.String(), "weights were named") })
	assert.Equal(t, f.send(0, http.MethodPost, "/book/", shopKey, "").status, http.StatusOK)
}

// An entry that never reaches the key-value store receives its whole state from its peers.
func TestHostedEntryWithoutKeyValueStoreServesFromPeers(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 2)
	closed := f.reserveAddr() // accepts connections and never responds
	f.startEntry(2, closed)
	f.entries[2].exchange.SetSeeds([]string{f.entries[0].settings.PeerAddr, f.entries[1].settings.PeerAddr})
	f.eventually("the entry is ready", func() bool { return f.ready(2) })
	f.configure(shopKey)
	f.eventually("a removed key is refused", func() bool {
		return f.send(2, http.MethodPost, "/book/", otherKey, "").status == http.StatusUnauthorized
	})
	assert.Equal(t, f.send(2, http.MethodPost, "/book/", shopKey, "").status, http.StatusOK)
}

// An entry whose configuration may be outdated does not know whether a key is still valid, so it
// refuses all keys.
func TestHostedEntryWithOutdatedStateServesNoKeys(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 2)
	f.keyValueStore.SetFault(cfvfault.Fault{Mode: cfvfault.Silent})
	f.eventually("keys are refused", func() bool { return f.send(0, http.MethodPost, "/book/", shopKey, "").refused })
	g := f.send(0, http.MethodPost, "/book/", "no-key", "")
	assert.Assert(t, g.refused, "an unknown key may have been added meanwhile")
	assert.Assert(t, !f.ready(0))
	f.keyValueStore.SetFault(cfvfault.Fault{})
	f.eventually("the entry serves again", func() bool { return f.send(0, http.MethodPost, "/book/", shopKey, "").status == http.StatusOK })
	assert.Equal(t, len(f.runs(g.id)), 0)
}

func TestHostedKeyValueStoreFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *fleet){
		"it is down":            func(f *fleet) { f.keyValueStore.SetFault(cfvfault.Fault{Mode: cfvfault.Outage, Count: 8}) },
		"it refuses calls":      func(f *fleet) { f.keyValueStore.SetFault(cfvfault.Fault{Mode: cfvfault.Refuse, Count: 8}) },
		"it loses responses":    func(f *fleet) { f.keyValueStore.SetFault(cfvfault.Fault{Mode: cfvfault.LoseResponses, Count: 8}) },
		"it is slow":            func(f *fleet) { f.keyValueStore.SetFault(cfvfault.Fault{Mode: cfvfault.Slow, Millis: 200}) },
		"it is compacted":       func(f *fleet) { f.keyValueStore.Compact() },
		"it is compacted twice": func(f *fleet) { f.keyValueStore.Compact(); f.configure(shopKey, "between"); f.keyValueStore.Compact() },
	}
	for name, inject := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPlainFleet(t, 2)
			inject(f)
			f.configure(shopKey, "after")
			for i := range f.entries {
				f.eventually("a later change is in force", func() bool {
					return f.send(i, http.MethodPost, "/book/", "after", "").status == http.StatusOK &&
						f.send(i, http.MethodPost, "/book/", otherKey, "").status == http.StatusUnauthorized
				})
			}
		})
	}
}

func TestHostedLeavingEndpointGetsNothing(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *fleet){
		"endpoint draining": func(f *fleet) { f.announce("desk", "desk-0", "draining", "") },
		"item removed":      func(f *fleet) { f.keyValueStore.Remove("servers/desk-0") },
		"item invalid":      func(f *fleet) { f.keyValueStore.Put("servers/desk-0", []byte(`{"service":7}`)) },
		"domain drained": func(f *fleet) {
			f.put("servers/desk-1", map[string]any{"service": "desk", "addr": f.addrs["desk-1"], "zone": "south", "state": "ready"})
			f.put("op/evacuate/north", map[string]any{})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPlainFleet(t, 2)
			leave(f)
			revision := f.keyValueStore.Revision()
			for i := range f.entries {
				f.eventually("the entry has applied the change", func() bool { return f.entries[i].state.AsOf().Number() >= revision })
			}
			before := len(f.endpoints["desk-0"].Runs())
			for i := range 12 {
				assert.Equal(t, f.send(i%2, http.MethodPost, "/book/", shopKey, "").status, http.StatusOK)
			}
			assert.Equal(t, len(f.endpoints["desk-0"].Runs()), before)
		})
	}
}

func TestHostedNewWeightsAreLoadedByOneLeader(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 3)
	for version := int64(2); version <= 3; version++ {
		f.put("op/version/m", map[string]any{"model": "m", "version": version})
		f.eventually("all endpoints have the new weights", func() bool {
			v0, _ := f.endpoints["assistant-0"].WeightsVersion()
			v1, _ := f.endpoints["assistant-1"].WeightsVersion()
			return v0 == version && v1 == version
		})
	}
	leaders := make(map[string]bool)
	for _, id := range []string{"assistant-0", "assistant-1"} {
		_, names := f.endpoints[id].WeightsVersion()
		for _, n := range names {
			leaders[n] = true
		}
	}
	assert.Equal(t, len(leaders), 1, "%v", leaders)
	f.eventually("requests run on the new weights", func() bool {
		runs := f.runs(f.sendPrompt(0, "/ask/1", shopKey).id)
		return len(runs) == 1 && runs[0].Weights == "3"
	})
}

// Another entry becomes leader when the leader stops.
func TestHostedLeadershipPassesToAnotherEntry(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 3)
	leader := -1
	f.eventually("an entry is leader", func() bool {
		item, ok := f.keyValueStore.Get("duties/orders")
		for i := range f.entries {
			if ok && strings.Contains(string(item.Value), f.entries[i].settings.Node) {
				leader = i
			}
		}
		return leader >= 0
	})
	f.cancels[leader]()
	f.put("op/version/m", map[string]any{"model": "m", "version": 2})
	f.eventually("all endpoints have the new weights", func() bool {
		v0, _ := f.endpoints["assistant-0"].WeightsVersion()
		v1, _ := f.endpoints["assistant-1"].WeightsVersion()
		return v0 == 2 && v1 == 2
	})
}

func TestHostedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, cfvfakereplica.Config{RequestTime: 1500 * time.Millisecond}, cfvfakereplica.Config{StreamEvents: 1, Model: "m"})
	done := make(chan result, 1)
	go func() { done <- f.send(0, http.MethodPost, "/book/", shopKey, "b") }()
	f.eventually("the request runs", func() bool { return len(f.endpoints["desk-0"].Runs())+len(f.endpoints["desk-1"].Runs()) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.entries[0].stop(context.Background()) }()
	f.eventually("the entry reports that it is not ready", func() bool { return !f.ready(0) })
	late := f.send(0, http.MethodPost, "/look/", shopKey, "b")
	assert.Equal(t, late.status, http.StatusOK, "the load balancer may still send requests")
	assert.Equal(t, (<-done).status, http.StatusOK)
	assert.NilError(t, <-stopped)
}

// A leader stops in time even if the leadership cannot be released because the key-value store does
// not respond.
func TestHostedStopDoesNotWaitForLeadership(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, cfvfakereplica.Config{}, cfvfakereplica.Config{StreamEvents: 1, Model: "m"})
	h := f.entries[0]
	ended := h.leaderStopped
	defer func() { h.leaderStopped = ended }()
	h.leaderStopped = make(chan struct{}) // the leader loop waits for a response that never comes
	stopped := make(chan error, 1)
	go func() { stopped <- h.stop(context.Background()) }()
	f.eventually("the entry reports that it is not ready", func() bool { return !f.ready(0) })
	assert.NilError(t, <-stopped)
}

// Failure, reported by operators of similar systems: entries that read an odd item among those of the endpoints ended, or
// stopped following the list.
func TestHostedOddItemsDoNotStopTheState(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 2)
	odd := map[string]string{
		"nested": `{"service":"desk","addr":"127.0.0.1:9","zone":"north","state":"ready","models":` + strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000) + `}`,
		"port":   `{"service":"desk","addr":"127.0.0.1:123456","zone":"north","state":"ready"}`,
		"number": `{"service":"desk","addr":"127.0.0.1:9","zone":"north","state":"ready","coldLeftMs":1e300,"slots":1e30}`,
	}
	for id, value := range odd {
		f.keyValueStore.Put("servers/"+id, []byte(value))
	}
	f.configure(shopKey, "after")
	f.startEntry(2, f.keyValueStoreAddr) // it reads the items in a list instead of a watch
	f.eventually("the new entry is ready", func() bool { return f.ready(2) })
	for i := range f.entries {
		f.eventually("a later change is in force", func() bool { return f.send(i, http.MethodPost, "/book/", "after", "").status == http.StatusOK })
		for range 10 {
			assert.Equal(t, f.send(i, http.MethodPost, "/book/", shopKey, "").status, http.StatusOK)
		}
	}
}

// Failure: the items of entries that were gone for good stayed in the key-value store. One that returns must be listed again.
func TestHostedEntryThatWasRemovedAnnouncesItselfAgain(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 2)
	lists := func(i int, name string) bool { return f.entries[i].roster().Lists(name) }
	key := platform.EntryKey("entry-1")
	before, ok := f.entries[0].state.Record(key)
	assert.Assert(t, ok)
	f.eventually("an entry leads, and the first one knows of it", func() bool {
		_, known := f.entries[0].state.Record(platform.KeyLeader)
		return known && (f.entries[0].isLeader() || f.entries[1].isLeader())
	})
	leader, ok := f.entries[0].state.Record(platform.KeyLeader)
	assert.Assert(t, ok)
	assert.ErrorIs(t, f.entries[0].removeEntry(t.Context(), int64(leader.Revision)-1, "entry-1"), platform.ErrConflict, "a former leader")
	assert.NilError(t, f.entries[0].removeEntry(t.Context(), int64(leader.Revision), "entry-1"))
	f.eventually("the entry is listed again", func() bool {
		item, listed := f.entries[0].state.Record(key)
		return listed && item.Revision > before.Revision && lists(0, "entry-1") && lists(1, "entry-1")
	})
	assert.NilError(t, f.entries[0].removeEntry(t.Context(), int64(leader.Revision), "unknown"))
}
