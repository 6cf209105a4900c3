package cfvreach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootvalve/common/cfvseed"
	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

// Guards against requests that go to peers which just refused, to stopping ones while others serve, or all to the same.
func TestChoiceOfPeers(t *testing.T) {
	random := rand.New(rand.NewPCG(1, cfvseed.Seed())).Float64
	all := []cfvfleet.Entry{{Name: "a", Domain: "y"}, {Name: "b", Domain: "y"}, {Name: "c", Domain: "y"}}
	p := NewPeers()
	start := func(now time.Duration, tried map[string]bool) string {
		e, ok := p.Start(now, "x", all, tried, random)
		assert.Equal(t, ok, e.Name != "")
		return e.Name
	}
	counts := make(map[string]int)
	for range 300 {
		counts[start(0, nil)]++
	}
	for _, e := range all {
		assert.Assert(t, counts[e.Name] > 80, "%v", counts)
	}
	for name, n := range counts {
		for range n {
			p.Finish(0, name, Taken)
		}
	}
	p.Finish(0, "a", NotTaken)
	p.Finish(0, "b", TakenStopping)
	for range 20 {
		assert.Equal(t, start(refusedPeriod/2, nil), "c")
	}
	assert.Equal(t, start(refusedPeriod/2, map[string]bool{"c": true}), "b", "a stopping peer is the last resort")
	assert.Equal(t, start(refusedPeriod/2, map[string]bool{"b": true, "c": true}), "")
	assert.Equal(t, start(refusedPeriod, map[string]bool{"b": true, "c": true}), "a")
}

// Guards against requests that cross failure domains without need, and against too much load of the peers that are left in one.
func TestPeersOfTheSameDomainGoFirst(t *testing.T) {
	random := rand.New(rand.NewPCG(2, cfvseed.Seed())).Float64
	var all []cfvfleet.Entry
	for i := range 10 {
		all = append(all, cfvfleet.Entry{Name: fmt.Sprintf("near-%d", i), Domain: "x"}, cfvfleet.Entry{Name: fmt.Sprintf("far-%d", i), Domain: "y"})
	}
	for refused, spread := range map[int]bool{0: false, 6: false, 8: true} {
		p := NewPeers()
		for i := range refused {
			p.Finish(0, fmt.Sprintf("near-%d", i), NotTaken)
		}
		far := 0
		for range 200 {
			if e, _ := p.Start(0, "x", all, nil, random); e.Domain == "y" {
				far++
			}
		}
		assert.Equal(t, far > 0, spread, "%d of 11 are left out: %d of 200 cross", refused, far)
	}
}
