package cfvrollout

import (
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

func TestSweep(t *testing.T) {
	if os.Getenv("SWEEP") == "" {
		t.Skip()
	}
	bad := os.Getenv("SWEEP") == "bad"
	fails, n := 0, 400
	for seed := range uint64(n) {
		r := rand.New(rand.NewPCG(seed, 5))
		w := steady()
		w.duration = []time.Duration{10, 12, 15, 20, 30, 60, 120}[r.IntN(7)] * time.Second
		w.perSecond = []float64{3, 20, 100, 300, 600}[r.IntN(5)]
		w.entries = []int{8, 88, 295}[r.IntN(3)]
		w.startAfter = time.Duration(r.IntN(4000)) * time.Millisecond
		w.noise = []float64{0, 0.01, 0.03, 0.08}[r.IntN(4)]
		w.rareRoute = []float64{0.02, 0.1, 0.3}[r.IntN(3)]
		if r.IntN(2) == 0 {
			w.coldFor, w.coldSlow = time.Duration(r.IntN(4000))*time.Millisecond, 0.5
		}
		at := time.Duration(r.Int64N(int64(w.duration)))
		switch r.IntN(4) {
		case 0:
			w.outage, w.outageFail = [2]time.Duration{at, at + time.Duration(r.IntN(4000))*time.Millisecond}, 0.3
		case 1:
			w.burst = [2]time.Duration{at, at + 2*time.Second}
		case 2:
			w.handovers = []time.Duration{at / simulationStep * simulationStep}
			w.clockGap = time.Duration(r.IntN(5000)-2500) * time.Millisecond
		}
		kind := ""
		if bad {
			p := []float64{0.3, 0.5, 1}[r.IntN(3)]
			f := constant(p)
			kind = "const"
			switch r.IntN(3) {
			case 0:
				x := time.Duration(float64(w.duration) * 0.6 * r.Float64())
				f, kind = since(x, p), fmt.Sprint("since ", x)
			case 1:
				route := []string{"chat", "text"}[r.IntN(2)]
				f, kind = on(route, p), "on "+route
			}
			kind = fmt.Sprint(kind, " ", p)
			if r.IntN(2) == 0 {
				w.failures = f
			} else {
				w.slow = f
				kind += " slow"
			}
		}
		if os.Getenv("ONE") != "" && os.Getenv("ONE") != fmt.Sprint(seed) {
			continue
		}
		got := w.run(seed)
		why := ""
		want := cfvfleet.RolloutCompleted
		if bad {
			want = cfvfleet.RolloutRolledBack
			if got.target > testLimits.allowed(got.all) {
				why += fmt.Sprintf("EXPOSED %v of %v ", got.target, got.all)
			}
			if got.sentAfterBound > 0 {
				why += fmt.Sprintf("LATE %v ", got.sentAfterBound)
			}
		}
		if got.progress.Phase != want {
			why += "PHASE "
		}
		if got.endedAt > w.duration || got.endedAt == 0 {
			why += "DEADLINE "
		}
		if why != "" {
			fails++
			fmt.Printf("%d %s: kind %s dur %v rate %v entries %d start %v noise %v rare %v cold %v outage %v burst %v hand %v: end %v %s\n", seed, why, kind, w.duration, w.perSecond, w.entries, w.startAfter, w.noise, w.rareRoute, w.coldFor, w.outage, w.burst, w.handovers, got.endedAt, got.progress.Cause)
		}
	}
	fmt.Println(fails, "of", n)
}
