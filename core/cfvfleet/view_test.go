package cfvfleet

import (
	"fmt"
	"os"
	"slices"
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

func announce(id string, startMillis int64, leaving bool) Change {
	return Change{Endpoint: &EndpointChange{ID: id, Endpoint: &Endpoint{ID: id, StartMillis: startMillis, Service: "s", Domain: "d", Leaving: leaving}}}
}

func removal(id string) Change { return Change{Endpoint: &EndpointChange{ID: id}} }

func TestUsableEndpoints(t *testing.T) {
	tests := map[string]struct {
		changes []Change
		usable  int
	}{
		"announced once":                               {[]Change{announce("a", 1, false)}, 1},
		"announced as leaving":                         {[]Change{announce("a", 1, true)}, 0},
		"announced again after leaving":                {[]Change{announce("a", 1, true), announce("a", 1, false)}, 0},
		"restarted after leaving":                      {[]Change{announce("a", 1, true), announce("a", 2, false)}, 1},
		"removed from the key-value store":             {[]Change{announce("a", 1, false), removal("a")}, 0},
		"in a drained failure domain":                  {[]Change{announce("a", 1, false), {Domain: &DomainChange{"d", true}}}, 0},
		"in a failure domain that is in service again": {[]Change{{Domain: &DomainChange{"d", true}}, {Domain: &DomainChange{"d", false}}, announce("a", 1, false)}, 1},
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

// Records expire during an outage of the key-value store, and live endpoints write them
// again once it has recovered.
func TestRemovalsRightAfterAnOutageAreDelayed(t *testing.T) {
	v := NewView()
	v.Apply(0, announce("lives", 1, false))
	v.Apply(0, announce("died", 1, false))
	v.Apply(0, announce("left", 1, true))
	v.KeyValueStoreRecovered(10 * time.Second)
	for _, id := range []string{"lives", "died", "left"} {
		v.Apply(10*time.Second+time.Millisecond, removal(id))
	}
	assert.Equal(t, len(v.Usable("s")), 2)
	assert.Equal(t, len(v.All()), 2, "a leaving endpoint is removed without delay")
	v.Apply(11*time.Second, announce("lives", 1, false))
	v.Expire(10*time.Second + RemovalGracePeriod - 1)
	assert.Equal(t, len(v.Usable("s")), 2)
	v.Expire(10*time.Second + RemovalGracePeriod)
	assert.Equal(t, len(v.Usable("s")), 1)
	v.Apply(20*time.Second, removal("lives"))
	assert.Equal(t, len(v.Usable("s")), 0)
}

// A removal shortly before the end of the grace period must take effect at its end instead
// of starting another one. Found by a randomized run (DRAIN) with seed 669983450223.
func TestRemovalDuringTheGracePeriodTakesEffectAtItsEnd(t *testing.T) {
	v := NewView()
	v.Apply(0, announce("left", 1, false))
	v.KeyValueStoreRecovered(10 * time.Second)
	v.Apply(10*time.Second+RemovalGracePeriod-10*time.Millisecond, removal("left"))
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
	assert.Equal(t, v.Desired("m").WeightsVersion, WeightsVersion{Version: 2, Since: 5, NotBefore: 5, Certain: true})
	assert.Equal(t, v.Index().Config().Version, int64(7))
}

// Entries on VMs with slow and with fast links.
func TestRelaysHaveFastLinks(t *testing.T) {
	var entries []Entry
	for i := range 88 {
		entries = append(entries, Entry{Name: fmt.Sprint("e", i), Addr: "a", Domain: fmt.Sprint("d", i%3), LinkMbps: []int{10, 50, 200}[i%7%3]})
	}
	for _, r := range NewRoster(entries).Relays() {
		assert.Equal(t, r.LinkMbps, 200)
	}
}

func TestRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 120).Draw(t, "entries")
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		var entries []Entry
		for i := range n {
			entries = append(entries, Entry{Name: fmt.Sprint("e", i), Addr: fmt.Sprint("a", i), Domain: fmt.Sprint("d", i%domains)})
		}
		relays := NewRoster(entries).Relays()
		assert.Assert(t, len(relays) == min(n, max(minRelays, min(n/entriesPerRelay, maxRelays))))
		assert.DeepEqual(t, NewRoster(rapid.Permutation(entries).Draw(t, "order")).Relays(), relays)
		seen := make(map[string]int)
		for _, r := range relays {
			seen[r.Domain]++
		}
		if n >= domains*maxRelays {
			for _, k := range seen {
				assert.Assert(t, k <= (len(relays)+domains-1)/domains, "relays are not spread over the domains: %v", seen)
			}
		}
		for _, e := range entries {
			ordered := NewRoster(entries).RelaysByProximity(e)
			assert.Assert(t, len(ordered) >= len(relays)-1)
			if len(ordered) > 0 && seen[e.Domain] > 1 {
				assert.Equal(t, ordered[0].Domain, e.Domain)
			}
		}
	})
}

func TestKnownSince(t *testing.T) {
	endpoint := func(startMillis int64) Change {
		return Change{Endpoint: &EndpointChange{ID: "a", Endpoint: &Endpoint{ID: "a", StartMillis: startMillis}}}
	}
	tests := map[string]struct {
		later []Change
		want  time.Duration
	}{
		"announced once":       {want: time.Second},
		"announced again":      {later: []Change{endpoint(1)}, want: time.Second},
		"started again":        {later: []Change{endpoint(2)}, want: 2 * time.Second},
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

// Failure: on the large fleet nine relays watched the key-value store twice a second each, and at the start
// every entry did: 2,435 calls in 22 s, a tenth of the day's value.
func TestFewRelaysWatchTheStore(t *testing.T) {
	tests := map[string]struct{ entries, domains, most, least int }{
		"one entry":   {entries: 1, domains: 1, least: 1, most: 1},
		"two entries": {entries: 2, domains: 2, least: 2, most: 2},
		"small fleet": {entries: 8, domains: 3, least: 3, most: 3},
		"grown fleet": {entries: 87, domains: 3, least: 3, most: 4},
		"large fleet": {entries: 295, domains: 5, least: 3, most: 4},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var entries []Entry
			for i := range tt.entries {
				entries = append(entries, Entry{Name: fmt.Sprint("e", i), Addr: "a", Domain: fmt.Sprint("d", i%tt.domains)})
			}
			slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
			roster := NewRoster(entries)
			watchers, domains := 0, make(map[string]bool)
			for _, e := range entries {
				if roster.IsWatcher(e.Name) {
					watchers++
					domains[e.Domain] = true
					assert.Assert(t, roster.IsRelay(e.Name) && roster.IsListedRelay(e.Name))
				}
			}
			assert.Assert(t, watchers >= tt.least && watchers <= tt.most, "%d watchers", watchers)
			assert.Equal(t, len(domains), min(watchers, tt.domains), "watchers are spread over the domains")
			assert.Assert(t, !roster.IsWatcher("unknown") && roster.IsRelay("unknown") && !roster.IsListedRelay("unknown"))
		})
	}
}
