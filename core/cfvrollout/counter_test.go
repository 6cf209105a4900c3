package cfvrollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

// version generates the samples of a software version. Half of its answers are slower by the given factor.
type version struct {
	name     string
	factor   float64 // 0: none is slower
	failures float64 // share of the answers
	cold     bool    // its endpoints have just started, and take three times as long
	behind   time.Duration
	mixed    time.Duration // by which long prompts at the same endpoints delay some of its answers
}

func (v version) sample(r *rand.Rand) Sample {
	work := 64 << r.IntN(4)
	scale := 0.5 + r.Float64()
	if v.factor > 0 && r.Float64() < 0.5 {
		scale *= v.factor
	}
	if v.cold {
		scale *= 3
	}
	s := Sample{
		Service: "s", Route: "ask", Version: v.name, Warm: !v.cold, Failed: r.Float64() < v.failures,
		Work: work, First: time.Duration(scale * float64(10*time.Millisecond+time.Duration(work)*20*time.Microsecond)), Behind: v.behind,
		Event: 70, Pace: time.Duration(scale * float64(20*time.Millisecond)),
	}
	s.First += v.behind
	if v.mixed > 0 {
		s.Mixed = true
		s.First += time.Duration(r.IntN(3)) * v.mixed
	}
	return s
}

func runningRollout() *cfvfleet.Rollout {
	return &cfvfleet.Rollout{RolloutOrder: cfvfleet.RolloutOrder{Service: "s", Target: "v2"}, Revision: 7}
}

// requestsUntilRejected plays a roll-out with a tenth of the requests at the new version, and returns after how
// many of these it is rejected; 0 if it is not among the first 2,000.
func requestsUntilRejected(seed uint64, v version) int {
	r := rand.New(rand.NewPCG(seed, 1))
	c, old := NewCounter(), version{name: "v1"}
	for range 500 {
		c.Record(nil, old.sample(r))
	}
	for n := 1; n <= 2000; n++ {
		for range 9 {
			c.Record(runningRollout(), old.sample(r))
		}
		if c.Record(runningRollout(), v.sample(r)) != "" {
			return n
		}
	}
	return 0
}

// Failure: a version whose answers were several times slower, or failed, was taken for a good one.
func TestBadVersionIsRejected(t *testing.T) {
	tests := map[string]version{
		"three times slower":        {name: "v2", factor: 3},
		"eight times slower":        {name: "v2", factor: 8},
		"a tenth fails":             {name: "v2", failures: 0.1},
		"half fail":                 {name: "v2", failures: 0.5},
		"slower, with long prompts": {name: "v2", factor: 4, mixed: 200 * time.Millisecond},
		"cold and failing":          {name: "v2", failures: 0.3, cold: true},
	}
	for name, v := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				n := requestsUntilRejected(seed, v)
				assert.Assert(t, n > 0 && n <= 400, "seed %d: %d", seed, n)
			}
		})
	}
}

// Guards against good versions that are rejected: new endpoints are cold, and a few of them are more often behind
// a long prompt.
func TestGoodVersionIsNotRejected(t *testing.T) {
	tests := map[string]version{
		"as fast":                {name: "v2"},
		"cold":                   {name: "v2", cold: true},
		"with long prompts":      {name: "v2", mixed: 200 * time.Millisecond},
		"behind a long prompt":   {name: "v2", behind: 200 * time.Millisecond},
		"one in a hundred fails": {name: "v2", failures: 0.01},
	}
	for name, v := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				n := requestsUntilRejected(seed, v)
				assert.Equal(t, n, 0, "seed %d", seed)
			}
		})
	}
}

func TestRejectionHoldsForItsOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	c, rollout := NewCounter(), runningRollout()
	for range 100 {
		c.Record(rollout, version{name: "v1"}.sample(r))
	}
	causes := 0
	for range 100 {
		if c.Record(rollout, version{name: "v2", failures: 1}.sample(r)) != "" {
			causes++
		}
	}
	assert.Equal(t, causes, 1)
	assert.Assert(t, c.Rejected("s", rollout.Revision))
	assert.Assert(t, !c.Rejected("s", rollout.Revision+1))
	assert.Assert(t, !c.Rejected("other", rollout.Revision))
}

func TestEvidenceIsAboutRunningRollouts(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	c, rollout := NewCounter(), runningRollout()
	record := func(v version, n int) {
		for range n {
			c.Record(rollout, v.sample(r))
		}
	}
	c.Record(nil, version{name: "v1"}.sample(r))
	record(version{name: "v1"}, 3)
	record(version{name: "v2", failures: 1}, 2)
	evidence := func(rollouts ...*cfvfleet.Rollout) string { return fmt.Sprint(c.Evidence(rollouts)) }
	assert.Equal(t, evidence(rollout), "[{s 7 v1 ask 3 0 0} {s 7 v2 ask 2 2 0}]")
	assert.Equal(t, evidence(), "[]")
	ended := runningRollout()
	ended.Progress.Phase = cfvfleet.RolloutRolledBack
	assert.Equal(t, evidence(ended), "[]")

	rollout = runningRollout()
	rollout.Revision = 9
	assert.Equal(t, evidence(rollout), "[]")
	record(version{name: "v1"}, 1)
	assert.Equal(t, evidence(rollout), "[{s 9 v1 ask 1 0 0}]")
}
