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

// traffic simulates a service's callers and its two versions.
type traffic struct {
	perSecond int
	failNew   func(after time.Duration, route string, share int) float64
	slowNew   float64 // share of slow requests of the new version
	noise     float64 // share of failures and of slow requests of either version
}

// result describes how a simulated move ended.
type result struct {
	decision              Decision
	after                 time.Duration
	newRequests           float64 // requests to the new version
	requests              float64
	newRequestsSinceFault float64 // requests to the new version after its first failure
	faultAt               time.Duration
}

// simulateMove runs a move to its end, with one decision per second.
func simulateMove(p Plan, tr traffic, seed uint64) (out result) {
	r := rand.New(rand.NewPCG(seed, 3))
	j := NewJudge(p.Start, p, 0)
	seen := make(map[series]*Evidence)
	share, moved := 0, 0
	const endpoints = 20
	out.faultAt = -1
	for after := time.Duration(0); after < 15*time.Minute; after += time.Second {
		for range tr.perSecond {
			out.requests++
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
		out.newRequests++
		slow += tr.slowNew
		if tr.failNew != nil {
			fail += tr.failNew(after, s.route, share)
		}
		if out.faultAt >= 0 {
			out.newRequestsSinceFault++
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

func constantShare(p float64) func(time.Duration, string, int) float64 {
	return func(time.Duration, string, int) float64 { return p }
}

func TestGoodVersionsCompleteTheMoveInTime(t *testing.T) {
	for _, noise := range []float64{0, 0.005, 0.02} {
		for seed := range uint64(40) {
			got := simulateMove(testPlan(), traffic{perSecond: 20, noise: noise}, seed+cfvseed.Seed())
			assert.Assert(t, got.decision.Done, "noise %v seed %d: %+v", noise, seed, got.decision.Verdict)
			assert.Assert(t, got.after <= 10*time.Minute)
		}
	}
}

// Failure: the last endpoint leaves the old version while an entry that hasn't heard of the full share still sends
// requests to it, which are refused.
func TestLastEndpointMovesAfterTheOldVersionIsIdle(t *testing.T) {
	const endpoints = 6
	tests := map[string]struct {
		oldUntil time.Duration // after the full share, until which an entry reports requests of the old version
		min, max time.Duration // when the last endpoint may move, after the full share
	}{
		"all entries know at once":    {0, 3 * time.Second, 4 * time.Second},
		"one entry knows later":       {5 * time.Second, 8 * time.Second, 9 * time.Second},
		"one entry never hears of it": {time.Hour, 37 * time.Second, 38 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := testPlan()
			now := p.Start.Add(p.Deadline.Sub(p.Start) * 3 / 4) // the last step is due
			j := NewJudge(now, p, 50)
			old, moved := uint64(0), endpoints-1
			decide := func() Decision {
				j.AddReport(Report{Entry: "n", StartMillis: 1, Evidence: []Evidence{
					{Service: p.Service, Version: p.From, Route: "chat", Requests: old},
					{Service: p.Service, Version: p.To, Route: "chat", Requests: minRequestsPerStep},
				}})
				return j.Decide(now, Capacity{moved, endpoints})
			}
			assert.Equal(t, decide().Share, FullShare)
			var after time.Duration
			for ; decide().ReadyShare < FullShare; after += 100 * time.Millisecond {
				now = now.Add(100 * time.Millisecond)
				if after < tt.oldUntil {
					old++
				}
			}
			assert.Assert(t, after >= tt.min && after <= tt.max, "after %s", after)
			old++
			now = now.Add(time.Second)
			assert.Equal(t, decide().ReadyShare, FullShare, "a late request must not move the endpoint back")
		})
	}
}

func TestNewJudgeLeavesTheLastEndpointMoved(t *testing.T) {
	p := testPlan()
	now := p.Start.Add(p.Deadline.Sub(p.Start) * 3 / 4)
	d := NewJudge(now, p, FullShare).Decide(now, Capacity{6, 6})
	assert.Equal(t, d.ReadyShare, FullShare)
}

// maxStandardErrors is how far a count may be above its mean. The hash of each request decides
// its version, so the share of the new version varies, most of all with few requests.
const maxStandardErrors = 4

func TestBadVersionsAreTakenBack(t *testing.T) {
	late := 4 * time.Minute
	tests := map[string]struct {
		traffic     traffic
		maxNewShare float64 // share of all traffic that the bad version may have got before the verdict
		atOnce      bool    // the fault shows at the share of the first step
		slowKind    bool
	}{
		"fails at once":           {traffic{perSecond: 20, noise: 0.01, failNew: constantShare(1)}, 0.05, true, false},
		"fails sometimes":         {traffic{perSecond: 20, noise: 0.01, failNew: constantShare(0.3)}, 0.05, true, false},
		"slow at once":            {traffic{perSecond: 20, noise: 0.02, slowNew: 0.6}, 0.05, true, true},
		"fails on one route":      {traffic{perSecond: 20, noise: 0.01, failNew: func(_ time.Duration, route string, _ int) float64 { return map[string]float64{"text": 0.5}[route] }}, 0.05, true, false},
		"fails later":             {traffic{perSecond: 20, noise: 0.01, failNew: func(after time.Duration, _ string, _ int) float64 { return map[bool]float64{true: 0.5}[after > late] }}, 0.5, false, false},
		"fails under load":        {traffic{perSecond: 20, noise: 0.01, failNew: func(_ time.Duration, _ string, share int) float64 { return map[bool]float64{true: 0.4}[share >= 25] }}, 0.25, false, false},
		"fails with few requests": {traffic{perSecond: 2, noise: 0.01, failNew: constantShare(0.5)}, 0.05, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				got := simulateMove(testPlan(), tt.traffic, seed+cfvseed.Seed())
				assert.Assert(t, got.decision.Verdict != nil, "seed %d: not taken back", seed)
				limit := got.requests*tt.maxNewShare + maxStandardErrors*math.Sqrt(got.requests*tt.maxNewShare)
				assert.Assert(t, got.newRequests <= limit, "seed %d: %v of %v requests", seed, got.newRequests, got.requests)
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

func TestShareNeedsRecentEvidence(t *testing.T) {
	p := testPlan()
	j := NewJudge(p.Start, p, 0)
	full := Capacity{20, 20}
	assert.Equal(t, j.Decide(p.Start, full).Share, 5)
	assert.Equal(t, j.Decide(p.Start.Add(5*time.Minute), full).Share, 5, "no request has used the new version")
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
			t.Fatalf("key %q returned to the old version between shares %d and %d", key, low, high)
		}
	})
}

func TestLoadsNeverExceedTheirLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPlan()
		n := rapid.IntRange(1, 12).Draw(t, "endpoints")
		list := make([]Endpoint, n)
		for i := range list {
			list[i] = Endpoint{Name: fmt.Sprint(i), Version: "v1", Known: true}
		}
		planners := []*LoadPlanner{NewLoadPlanner()}
		now := moveStart
		loading := make(map[int]string)
		for range 60 {
			share := rapid.SampledFrom([]int{0, 5, 25, 50, 100}).Draw(t, "share")
			for _, o := range planners[0].Next(now, p, append([]Endpoint(nil), list...), share) {
				var i int
				if _, err := fmt.Sscan(o.Endpoint, &i); err != nil {
					t.Fatal(err)
				}
				loading[i] = o.Version
				list[i].Loading = rapid.Bool().Draw(t, "shown")
			}
			if len(loading) > p.LoadsAtOnce {
				t.Fatalf("%d endpoints load at the same time", len(loading))
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

// BenchmarkMoves simulates moves at 20 requests per second and reports how they end.
func BenchmarkMoves(b *testing.B) {
	for name, tr := range map[string]traffic{
		"good":  {perSecond: 20, noise: 0.01},
		"fails": {perSecond: 20, noise: 0.01, failNew: constantShare(0.5)},
		"slow":  {perSecond: 20, noise: 0.01, slowNew: 0.6},
		"fails-latter": {perSecond: 20, noise: 0.01, failNew: func(after time.Duration, _ string, _ int) float64 {
			return map[bool]float64{true: 0.5}[after > 4*time.Minute]
		}},
	} {
		b.Run(name, func(b *testing.B) {
			var takenBack, minutes, share, sinceFault float64
			const moves = 200
			for range b.N {
				for seed := range uint64(moves) {
					got := simulateMove(testPlan(), tr, seed)
					if got.decision.Verdict != nil {
						takenBack++
					}
					minutes += got.after.Minutes()
					share += got.newRequests / got.requests
					if got.faultAt >= 0 {
						sinceFault += (got.after - got.faultAt).Seconds()
					}
				}
			}
			n := float64(b.N) * moves
			b.ReportMetric(takenBack/n*100, "%taken-back")
			b.ReportMetric(minutes/n, "min-to-end")
			b.ReportMetric(share/n*100, "%traffic-on-new")
			b.ReportMetric(sinceFault/n, "s-from-first-fault")
		})
	}
}
