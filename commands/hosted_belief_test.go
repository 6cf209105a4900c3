package commands

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/standins/cfvfakereplica"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

func TestHostedConfigurationIsInForceAndNeverReverts(t *testing.T) {
	t.Parallel()
	f := plainFleet(t, 3)
	f.configure(shopKey, "new-key")
	for i := range f.entries {
		f.eventually("the new key is served and the removed one is not", func() bool {
			return f.send(i, http.MethodPost, "/book/", "new-key", "").status == http.StatusOK &&
				f.send(i, http.MethodPost, "/book/", otherKey, "").status == http.StatusUnauthorized
		})
	}
	f.store.Put("op/config", []byte(`{"version":1,"routes":[],"tenants":[{"name":"x","apiKeys":["old"]}]}`))
	f.store.Put("op/config", []byte(`{"version":"none"`))
	f.put("op/version/m", map[string]any{"model": "m", "version": 1}) // arrives behind the two
	f.eventually("the item after them is known", func() bool { return strings.Contains(f.logs.String(), "weights were named") })
	assert.Equal(t, f.send(0, http.MethodPost, "/book/", shopKey, "").status, http.StatusOK)
}

// An entry that never reaches the store learns everything from the others.
func TestHostedEntryWithoutStoreServesByWhatOthersKnow(t *testing.T) {
	t.Parallel()
	f := plainFleet(t, 2)
	closed := f.reserve() // accepts connections, and never answers
	f.startEntry(2, closed)
	f.entries[2].exchange.SetSeeds([]string{f.entries[0].settings.PeerAddr, f.entries[1].settings.PeerAddr})
	f.eventually("the entry is ready", func() bool { return f.ready(2) })
	f.configure(shopKey)
	f.eventually("a removed key is refused", func() bool {
		return f.send(2, http.MethodPost, "/book/", otherKey, "").status == http.StatusUnauthorized
	})
	assert.Equal(t, f.send(2, http.MethodPost, "/book/", shopKey, "").status, http.StatusOK)
}

func TestHostedEntryThatMayBeBehindServesNoKeys(t *testing.T) {
	t.Parallel()
	f := plainFleet(t, 2)
	f.store.SetFault(cfvfault.Fault{Mode: cfvfault.Silent})
	f.eventually("keys are refused", func() bool { return f.send(0, http.MethodPost, "/book/", shopKey, "").refused })
	g := f.send(0, http.MethodPost, "/book/", "no-key", "")
	assert.Assert(t, g.refused, "an unknown key may have been added meanwhile")
	assert.Assert(t, !f.ready(0))
	f.store.SetFault(cfvfault.Fault{})
	f.eventually("the entry serves again", func() bool { return f.send(0, http.MethodPost, "/book/", shopKey, "").status == http.StatusOK })
	assert.Equal(t, len(f.runs(g.id)), 0)
}

func TestHostedStoreFaults(t *testing.T) {
	t.Parallel()
	tests := map[string]func(f *fleet){
		"it is down":        func(f *fleet) { f.store.SetFault(cfvfault.Fault{Mode: cfvfault.Outage, Count: 8}) },
		"it refuses calls":  func(f *fleet) { f.store.SetFault(cfvfault.Fault{Mode: cfvfault.Refuse, Count: 8}) },
		"it loses answers":  func(f *fleet) { f.store.SetFault(cfvfault.Fault{Mode: cfvfault.LoseAnswers, Count: 8}) },
		"it is slow":        func(f *fleet) { f.store.SetFault(cfvfault.Fault{Mode: cfvfault.Slow, Millis: 200}) },
		"it forgets":        func(f *fleet) { f.store.Compact() },
		"it forgets, twice": func(f *fleet) { f.store.Compact(); f.configure(shopKey, "between"); f.store.Compact() },
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := plainFleet(t, 2)
			disturb(f)
			f.configure(shopKey, "after")
			for i := range f.entries {
				f.eventually("a change after it is in force", func() bool {
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
		"by its own word":       func(f *fleet) { f.announce("desk", "desk-0", "draining", "") },
		"without a word":        func(f *fleet) { f.store.Remove("servers/desk-0") },
		"as its item is broken": func(f *fleet) { f.store.Put("servers/desk-0", []byte(`{"service":7}`)) },
		"as its domain is out": func(f *fleet) {
			f.put("servers/desk-1", map[string]any{"service": "desk", "addr": f.addrs["desk-1"], "zone": "south", "state": "ready"})
			f.put("op/evacuate/north", map[string]any{})
		},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := plainFleet(t, 2)
			leave(f)
			marker := f.store.Revision()
			for i := range f.entries {
				f.eventually("the entry knows", func() bool { return f.entries[i].belief.AsOf() >= marker })
			}
			before := len(f.replicas["desk-0"].Runs())
			for i := range 12 {
				assert.Equal(t, f.send(i%2, http.MethodPost, "/book/", shopKey, "").status, http.StatusOK)
			}
			assert.Equal(t, len(f.replicas["desk-0"].Runs()), before)
		})
	}
}

func TestHostedNewWeightsAreLoadedByOneGiver(t *testing.T) {
	t.Parallel()
	f := plainFleet(t, 3)
	for version := int64(2); version <= 3; version++ {
		f.put("op/version/m", map[string]any{"model": "m", "version": version})
		f.eventually("all endpoints have the new weights", func() bool {
			v0, _ := f.replicas["assistant-0"].Version()
			v1, _ := f.replicas["assistant-1"].Version()
			return v0 == version && v1 == version
		})
	}
	givers := make(map[string]bool)
	for _, id := range []string{"assistant-0", "assistant-1"} {
		_, names := f.replicas[id].Version()
		for _, n := range names {
			givers[n] = true
		}
	}
	assert.Equal(t, len(givers), 1, "%v", givers)
	f.eventually("requests run on the new weights", func() bool {
		runs := f.runs(f.ask(0, "/ask/1", shopKey).id)
		return len(runs) == 1 && runs[0].Weights == "3"
	})
}

// The duty passes to another entry when its holder stops.
func TestHostedDutyOutlivesItsHolder(t *testing.T) {
	t.Parallel()
	f := plainFleet(t, 3)
	holder := -1
	f.eventually("somebody holds the duty", func() bool {
		item, ok := f.store.Get("duties/orders")
		for i := range f.entries {
			if ok && strings.Contains(string(item.Value), f.entries[i].settings.Node) {
				holder = i
			}
		}
		return holder >= 0
	})
	f.ends[holder]()
	f.put("op/version/m", map[string]any{"model": "m", "version": 2})
	f.eventually("all endpoints have the new weights", func() bool {
		v0, _ := f.replicas["assistant-0"].Version()
		v1, _ := f.replicas["assistant-1"].Version()
		return v0 == 2 && v1 == 2
	})
}

func TestHostedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, cfvfakereplica.Config{Work: 1500 * time.Millisecond}, cfvfakereplica.Config{Events: 1, Model: "m"})
	done := make(chan got, 1)
	go func() { done <- f.send(0, http.MethodPost, "/book/", shopKey, "b") }()
	f.eventually("the request runs", func() bool { return len(f.replicas["desk-0"].Runs())+len(f.replicas["desk-1"].Runs()) == 1 })
	stopped := make(chan error, 1)
	go func() { stopped <- f.entries[0].stop(context.Background()) }()
	f.eventually("the entry says that it is not ready", func() bool { return !f.ready(0) })
	late := f.send(0, http.MethodPost, "/look/", shopKey, "b")
	assert.Equal(t, late.status, http.StatusOK, "the balancer may still send requests")
	assert.Equal(t, (<-done).status, http.StatusOK)
	assert.NilError(t, <-stopped)
}

// An entry whose store does not answer while it holds the duty stops all the same.
func TestHostedStopDoesNotWaitForTheDuty(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, cfvfakereplica.Config{}, cfvfakereplica.Config{Events: 1, Model: "m"})
	h := f.entries[0]
	ended := h.dutyEnded
	defer func() { h.dutyEnded = ended }()
	h.dutyEnded = make(chan struct{}) // the duty waits for an answer that does not come
	stopped := make(chan error, 1)
	go func() { stopped <- h.stop(context.Background()) }()
	f.eventually("the entry says that it is not ready", func() bool { return !f.ready(0) })
	assert.NilError(t, <-stopped)
}
