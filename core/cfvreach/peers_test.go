package cfvreach

import (
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
	all := []cfvfleet.Entry{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "y"}}
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
