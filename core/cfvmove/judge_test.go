package cfvmove

import (
	"fmt"
	"math"
	"math/rand/v2"
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

var moveStart = time.Unix(5_000_000, 0)

func testPlan() Plan {
	return Plan{
		Service: "assistant", From: "v1", To: "v2", Start: moveStart, Deadline: moveStart.Add(10 * time.Minute),
		MaxUnprovenShare: 5, LoadsAtOnce: 2,
	}
}

// traffic is a stand-in for a service's callers and its versions.
type traffic struct {
	perSecond int
	failNew   func(after time.Duration, route string, share int) float64
	slowNew   float64 // share of slow requests of the new version
	noise     float64 // share of failures and of slow requests of either version
}

// result is how a move ended.
type result struct {
	decision Decision
	after    time.Duration
	bad      float64 // requests that the new version got
	all      float64
	sinceBad float64 // requests of the new version after its first fault
	faultAt  time.Duration
}

// play runs a move to its end, with a decision a second.
func play(p Plan, tr traffic, seed uint64) (out result) {
	r := rand.New(rand.NewPCG(seed, 3))
	j := NewJudge(p.Start, p, 0)
	seen := make(map[series]*Evidence)
	share, moved := 0, 0
	const endpoints = 20
	out.faultAt = -1
	for after := time.Duration(0); after < 15*time.Minute; after += time.Second {
		for range tr.perSecond {
			out.all++
			route := []string{"chat", "text"}[r.IntN(2)]
			version := p.Version(share, fmt.Sprint(r.Uint64()))
			tr.request(r, seen, series{version, route}, after, share, &out)
		}
		j.AddReport(Report{Entry: "n", StartMillis: 1, Evidence: flatten(seen)})
		out.decision = j.Decide(p.Start.Add(after), Capacity{moved, endpoints})
		out.after = after
		if out.decision.Verdict != nil || out.decision.Done {
			return out
		}
		share = out.decision.Share
		moved = min(DesiredEndpoints(endpoints, out.decision.ReadyShare), moved+2)
	}
	return out
}

func (tr traffic) request(r *rand.Rand, seen map[series]*Evidence, s series, after time.Duration, share int, out *result) {
	e, ok := seen[s]
	if !ok {
		e = &Evidence{Service: "assistant", Version: s.version, Route: s.route}
		seen[s] = e
	}
	e.Requests++
	fail, slow := tr.noise, tr.noise
	if s.version == "v2" {
		out.bad++
		slow += tr.slowNew
		if tr.failNew != nil {
			fail += tr.failNew(after, s.route, share)
		}
		if out.faultAt >= 0 {
			out.sinceBad++
		}
	}
	if r.Float64() < fail {
		e.Failures++
		if s.version == "v2" && out.faultAt < 0 && fail > tr.noise {
			out.faultAt = after
		}
	}
	if r.Float64() < slow {
		e.Slow++
	}
}

func flatten(seen map[series]*Evidence) []Evidence {
	out := make([]Evidence, 0, len(seen))
	for _, e := range seen {
		out = append(out, *e)
	}
	return out
}

func always(p float64) func(time.Duration, string, int) float64 {
	return func(time.Duration, string, int) float64 { return p }
}

func TestGoodVersionsAreDoneInTime(t *testing.T) {
	for _, noise := range []float64{0, 0.005, 0.02} {
		for seed := range uint64(40) {
			got := play(testPlan(), traffic{perSecond: 20, noise: noise}, seed+cfvseed.Seed())
			assert.Assert(t, got.decision.Done, "noise %v seed %d: %+v", noise, seed, got.decision.Verdict)
			assert.Assert(t, got.after <= 10*time.Minute)
		}
	}
}

// chance is how many standard errors a count may lie above its mean: each request goes to
// the new version by its hash, so a share of few requests varies.
const chance = 4

func TestBadVersionsAreTakenBack(t *testing.T) {
	late := 4 * time.Minute
	tests := map[string]struct {
		traffic  traffic
		mostBad  float64 // share of all traffic that the bad version may have got by then
		atOnce   bool    // the fault shows while the version is unproved
		slowKind bool
	}{
		"fails at once":        {traffic{perSecond: 20, noise: 0.01, failNew: always(1)}, 0.05, true, false},
		"fails now and then":   {traffic{perSecond: 20, noise: 0.01, failNew: always(0.3)}, 0.05, true, false},
		"slow at once":         {traffic{perSecond: 20, noise: 0.02, slowNew: 0.6}, 0.05, true, true},
		"fails on one route":   {traffic{perSecond: 20, noise: 0.01, failNew: func(_ time.Duration, route string, _ int) float64 { return map[string]float64{"text": 0.5}[route] }}, 0.05, true, false},
		"fails later":          {traffic{perSecond: 20, noise: 0.01, failNew: func(after time.Duration, _ string, _ int) float64 { return map[bool]float64{true: 0.5}[after > late] }}, 0.5, false, false},
		"fails under load":     {traffic{perSecond: 20, noise: 0.01, failNew: func(_ time.Duration, _ string, share int) float64 { return map[bool]float64{true: 0.4}[share >= 25] }}, 0.25, false, false},
		"fails at few callers": {traffic{perSecond: 2, noise: 0.01, failNew: always(0.5)}, 0.05, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				got := play(testPlan(), tt.traffic, seed+cfvseed.Seed())
				assert.Assert(t, got.decision.Verdict != nil, "seed %d: not taken back", seed)
				most := got.all*tt.mostBad + chance*math.Sqrt(got.all*tt.mostBad)
				assert.Assert(t, got.bad <= most, "seed %d: %v of %v requests", seed, got.bad, got.all)
			}
		})
	}
}

func TestMoveThatCannotFinishIsTakenBackAtItsDeadline(t *testing.T) {
	p := testPlan()
	j := NewJudge(p.Start, p, 0)
	d := j.Decide(p.Deadline, Capacity{Moved: 0, Total: 20})
	assert.Equal(t, d.Verdict.Cause, "the deadline passed before all traffic had moved")
	assert.Equal(t, j.Decide(p.Deadline.Add(time.Hour), Capacity{20, 20}).Verdict, d.Verdict)
}

func TestShareNeedsFreshEvidence(t *testing.T) {
	p := testPlan()
	j := NewJudge(p.Start, p, 0)
	full := Capacity{20, 20}
	assert.Equal(t, j.Decide(p.Start, full).Share, 5)
	assert.Equal(t, j.Decide(p.Start.Add(5*time.Minute), full).Share, 5, "nobody has used the new version")
	j.AddReport(Report{Entry: "n", Evidence: []Evidence{{Version: "v2", Route: "chat", Requests: 30}, {Version: "v1", Route: "chat", Requests: 500}}})
	assert.Equal(t, j.Decide(p.Start.Add(5*time.Minute), full).Share, 25)
}

func TestPromptStaysOnItsVersionWhileTheShareGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPlan()
		key := rapid.String().Draw(t, "key")
		low := rapid.IntRange(0, 100).Draw(t, "low")
		high := rapid.IntRange(low, 100).Draw(t, "high")
		if p.Version(low, key) == "v2" && p.Version(high, key) != "v2" {
			t.Fatalf("key %q went back between %d and %d", key, low, high)
		}
	})
}

func TestLoadsNeverPassTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPlan()
		n := rapid.IntRange(1, 12).Draw(t, "endpoints")
		list := make([]Endpoint, n)
		for i := range list {
			list[i] = Endpoint{Name: fmt.Sprint(i), Version: "v1", Known: true}
		}
		givers := []*LoadPlanner{NewLoadPlanner()}
		now := moveStart
		loading := make(map[int]string)
		for range 60 {
			share := rapid.SampledFrom([]int{0, 5, 25, 50, 100}).Draw(t, "share")
			for _, o := range givers[0].Next(now, p, append([]Endpoint(nil), list...), share) {
				var i int
				if _, err := fmt.Sscan(o.Endpoint, &i); err != nil {
					t.Fatal(err)
				}
				loading[i] = o.Version
				list[i].Loading = rapid.Bool().Draw(t, "shown")
			}
			if len(loading) > p.LoadsAtOnce {
				t.Fatalf("%d endpoints load at once", len(loading))
			}
			for i := range n {
				if v, ok := loading[i]; ok && rapid.Bool().Draw(t, "ends") {
					list[i].Version, list[i].Loading = v, false
					delete(loading, i)
				}
			}
			now = now.Add(100 * time.Millisecond)
		}
	})
}

// BenchmarkMoves plays moves at 20 requests a second and reports how they end.
func BenchmarkMoves(b *testing.B) {
	for name, tr := range map[string]traffic{
		"good":  {perSecond: 20, noise: 0.01},
		"fails": {perSecond: 20, noise: 0.01, failNew: always(0.5)},
		"slow":  {perSecond: 20, noise: 0.01, slowNew: 0.6},
		"fails-latter": {perSecond: 20, noise: 0.01, failNew: func(after time.Duration, _ string, _ int) float64 {
			return map[bool]float64{true: 0.5}[after > 4*time.Minute]
		}},
	} {
		b.Run(name, func(b *testing.B) {
			var back, minutes, share, since float64
			const moves = 200
			for range b.N {
				for seed := range uint64(moves) {
					got := play(testPlan(), tr, seed)
					if got.decision.Verdict != nil {
						back++
					}
					minutes += got.after.Minutes()
					share += got.bad / got.all
					if got.faultAt >= 0 {
						since += (got.after - got.faultAt).Seconds()
					}
				}
			}
			n := float64(b.N) * moves
			b.ReportMetric(back/n*100, "%taken-back")
			b.ReportMetric(minutes/n, "min-to-end")
			b.ReportMetric(share/n*100, "%traffic-on-new")
			b.ReportMetric(since/n, "s-from-first-fault")
		})
	}
}
