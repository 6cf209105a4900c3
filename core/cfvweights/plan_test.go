package cfvweights

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

// Whichever orders are lost, refused or slow, the plan never exceeds its limit of concurrent
// loads, and all endpoints load the weights once orders succeed.
func TestPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, maxLoads := rapid.IntRange(1, 30).Draw(t, "endpoints"), rapid.IntRange(1, 6).Draw(t, "most")
		trouble := time.Duration(rapid.IntRange(0, 5000).Draw(t, "troubleMillis")) * time.Millisecond
		p := NewPlan(maxLoads)
		version := make([]int64, n)
		for i := range version {
			version[i] = 1
		}
		loading := make(map[int]time.Duration) // until when
		for now := time.Duration(0); now < 60*time.Second; now += 100 * time.Millisecond {
			var targets []Target
			for i := range n {
				if until, ok := loading[i]; ok && now >= until {
					version[i] = 2
					delete(loading, i)
				}
				targets = append(targets, Target{ID: fmt.Sprint(i), StartMillis: 1, Version: version[i]})
			}
			due := p.Next(now, 2, targets)
			assert.Assert(t, len(due) <= maxLoads)
			for _, target := range due {
				var i int
				_, err := fmt.Sscan(target.ID, &i)
				assert.NilError(t, err)
				r := Started
				if now < trouble {
					r = rapid.SampledFrom([]Result{Started, Unknown, Busy, Refused}).Draw(t, "result")
				}
				p.RecordResult(now, target.ID, r)
				if r == Started {
					loading[i] = now + 450*time.Millisecond
				}
			}
			assert.Assert(t, len(loading) <= maxLoads, "%d concurrent loads", len(loading))
		}
		for i, v := range version {
			assert.Equal(t, v, int64(2), "endpoint %d", i)
		}
	})
}

func TestPlanLeavesOutEndpoints(t *testing.T) {
	tests := map[string]struct {
		target Target
		due    int
	}{
		"with old weights":       {Target{ID: "a", Version: 1}, 1},
		"with the weights":       {Target{ID: "a", Version: 2}, 0},
		"with newer weights":     {Target{ID: "a", Version: 3}, 0},
		"that leave":             {Target{ID: "a", Version: 1, Leaving: true}, 0},
		"that have just started": {Target{ID: "a", StartMillis: 9}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, len(NewPlan(3).Next(0, 2, []Target{tt.target})), tt.due)
		})
	}
}

func ExampleResult_String() {
	fmt.Println(Unknown, Started, Done, Busy, Fenced, Refused)
	// Output: unknown started done busy fenced refused
}

// A fleet with two pools changes its weights in groups. If one pool ran only old or only new
// weights while the other did not, prompts that avoid old weights would leave their pool.
func TestPoolsChangeAtTheSamePace(t *testing.T) {
	tests := map[string]struct{ short, long, maxLoads int }{
		"chamber":       {7, 11, 3},
		"grown chamber": {25, 46, 11},
		"few short":     {2, 10, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlan(tt.maxLoads)
			var targets []Target
			for i := range tt.short + tt.long {
				short := i < tt.short
				running := 0
				if short {
					running = 9 // more short prompts than long ones run at a time
				}
				targets = append(targets, Target{ID: fmt.Sprintf("%02d", i), StartMillis: 1, Version: 1, ShortPool: short, Running: running})
			}
			changed := map[bool]int{}
			for now := time.Duration(0); changed[true]+changed[false] < len(targets); now += time.Second {
				for _, due := range p.Next(now, 2, targets) {
					changed[due.ShortPool]++
					p.RecordResult(now, due.ID, Done)
					for i := range targets {
						if targets[i].ID == due.ID {
							targets[i].Version = 2
						}
					}
				}
				// The same share of each pool has changed, to within one endpoint and the half steps of the order.
				difference := changed[true]*tt.long - changed[false]*tt.short
				assert.Assert(t, max(difference, -difference) <= tt.short+tt.long, "%v after %s", changed, now)
			}
		})
	}
}
