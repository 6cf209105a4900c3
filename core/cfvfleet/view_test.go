package cfvfleet

import (
	"fmt"
	"os"
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

func ExampleIndex_Route() {
	x := NewIndex(&Config{Routes: []Route{
		{Name: "wide", Host: "a.example", PathPrefix: "/norms/"},
		{Name: "narrow", Host: "a.example", PathPrefix: "/norms/foam/"},
	}})
	fmt.Println(x.Route("a.example", "/norms/foam/7").Name, x.Route("a.example", "/norms/wood/7").Name)
	fmt.Println(x.Route("b.example", "/norms/foam/7") == nil, x.Route("a.example", "/norms") == nil)
	// Output:
	// narrow wide
	// true true
}

func ExampleRoute_PickService() {
	r := Route{Service: "whole", Split: []SplitTarget{{"old", 90}, {"new", 10}}}
	fmt.Println(r.PickService(0), r.PickService(0.89), r.PickService(0.9), r.PickService(0.999))
	// Output: old old new new
}

func announce(id string, born int64, leaving bool) Change {
	return Change{Endpoint: &EndpointChange{ID: id, Endpoint: &Endpoint{ID: id, StartMillis: born, Service: "s", Domain: "d", Leaving: leaving}}}
}

func gone(id string) Change { return Change{Endpoint: &EndpointChange{ID: id}} }

func TestUsableEndpoints(t *testing.T) {
	tests := map[string]struct {
		changes []Change
		usable  int
	}{
		"an endpoint that announced itself":      {[]Change{announce("a", 1, false)}, 1},
		"one that leaves":                        {[]Change{announce("a", 1, true)}, 0},
		"one that left does not come back":       {[]Change{announce("a", 1, true), announce("a", 1, false)}, 0},
		"its next start does":                    {[]Change{announce("a", 1, true), announce("a", 2, false)}, 1},
		"one whose item was removed":             {[]Change{announce("a", 1, false), gone("a")}, 0},
		"one in a domain that is out":            {[]Change{announce("a", 1, false), {Domain: &DomainChange{"d", true}}}, 0},
		"one in a domain that was taken back in": {[]Change{{Domain: &DomainChange{"d", true}}, {Domain: &DomainChange{"d", false}}, announce("a", 1, false)}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			for _, c := range tt.changes {
				v.Apply(0, c)
			}
			assert.Equal(t, len(v.Usable("s")), tt.usable)
		})
	}
}

// Items lapse while the store is away, and living endpoints write them again after it.
func TestRemovalsRightAfterAnOutageWait(t *testing.T) {
	v := NewView()
	v.Apply(0, announce("lives", 1, false))
	v.Apply(0, announce("died", 1, false))
	v.Apply(0, announce("left", 1, true))
	v.KeyValueStoreRecovered(10 * time.Second)
	for _, id := range []string{"lives", "died", "left"} {
		v.Apply(10*time.Second+time.Millisecond, gone(id))
	}
	assert.Equal(t, len(v.Usable("s")), 2)
	assert.Equal(t, len(v.All()), 2, "a leaving endpoint's removal does not wait")
	v.Apply(11*time.Second, announce("lives", 1, false))
	v.Expire(10*time.Second + RemovalGracePeriod - 1)
	assert.Equal(t, len(v.Usable("s")), 2)
	v.Expire(10*time.Second + RemovalGracePeriod)
	assert.Equal(t, len(v.Usable("s")), 1)
	v.Apply(20*time.Second, gone("lives"))
	assert.Equal(t, len(v.Usable("s")), 0)
}

// A removal at the end of the grace must not be kept for a grace of its own: seed
// 669983450223 of a hunt (DRAIN).
func TestRemovalAtTheEndOfTheGraceIsInForceAtItsEnd(t *testing.T) {
	v := NewView()
	v.Apply(0, announce("left", 1, false))
	v.KeyValueStoreRecovered(10 * time.Second)
	v.Apply(10*time.Second+RemovalGracePeriod-10*time.Millisecond, gone("left"))
	v.Expire(10*time.Second + RemovalGracePeriod)
	assert.Equal(t, len(v.Usable("s")), 0)
}

func TestOlderConfigurationsAndWeightsChangeNothing(t *testing.T) {
	v := NewView()
	assert.Assert(t, v.Apply(0, Change{Config: &Config{Version: 7}}))
	assert.Assert(t, !v.Apply(0, Change{Config: &Config{Version: 6}}))
	assert.Assert(t, !v.Apply(0, Change{Config: &Config{Version: 7}}))
	assert.Assert(t, v.Apply(5, Change{Weights: &DesiredWeights{"m", 2}}))
	assert.Assert(t, !v.Apply(9, Change{Weights: &DesiredWeights{"m", 1}}))
	assert.Equal(t, v.Desired("m"), DesiredVersion{2, 5})
	assert.Equal(t, v.Index().Config().Version, int64(7))
}

// Pattern: entries on VMs with narrow and with wide links.
func TestHubsHaveWideLinks(t *testing.T) {
	var entries []Entry
	for i := range 88 {
		entries = append(entries, Entry{Name: fmt.Sprint("e", i), Addr: "a", Domain: fmt.Sprint("d", i%3), LinkMbps: []int{10, 50, 200}[i%7%3]})
	}
	for _, h := range Relays(entries) {
		assert.Equal(t, h.LinkMbps, 200)
	}
}

func TestHubs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "entries")
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		var entries []Entry
		for i := range n {
			entries = append(entries, Entry{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i%domains)})
		}
		hubs := Relays(entries)
		assert.Assert(t, len(hubs) == min(n, max(leastHubs, min(n/entriesPerHub, mostHubs))))
		assert.DeepEqual(t, Relays(rapid.Permutation(entries).Draw(t, "order")), hubs)
		seen := make(map[string]int)
		for _, h := range hubs {
			seen[h.Domain]++
		}
		if n >= domains*mostHubs {
			for _, k := range seen {
				assert.Assert(t, k <= (len(hubs)+domains-1)/domains, "hubs are spread: %v", seen)
			}
		}
		for _, e := range entries {
			home := RelaysByProximity(e, entries)
			assert.Assert(t, len(home) >= len(hubs)-1)
			if len(home) > 0 && seen[e.Domain] > 1 {
				assert.Equal(t, home[0].Domain, e.Domain)
			}
		}
	})
}

func TestKnownSince(t *testing.T) {
	endpoint := func(born int64) Change {
		return Change{Endpoint: &EndpointChange{ID: "a", Endpoint: &Endpoint{ID: "a", StartMillis: born}}}
	}
	tests := map[string]struct {
		later []Change
		want  time.Duration
	}{
		"announced once":       {want: time.Second},
		"announced again":      {later: []Change{endpoint(1)}, want: time.Second},
		"started anew":         {later: []Change{endpoint(2)}, want: 2 * time.Second},
		"removed and returned": {later: []Change{{Endpoint: &EndpointChange{ID: "a"}}, endpoint(1)}, want: 2 * time.Second},
		"removed":              {later: []Change{{Endpoint: &EndpointChange{ID: "a"}}}, want: 3 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := NewView()
			v.Apply(time.Second, endpoint(1))
			for _, c := range tt.later {
				v.Apply(2*time.Second, c)
			}
			assert.Equal(t, v.KnownSince(3*time.Second, "a"), tt.want)
		})
	}
}
