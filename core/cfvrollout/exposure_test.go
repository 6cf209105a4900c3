package cfvrollout

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: the shares before completion alone gave a version a quarter of the requests of its roll-out, so a bad
// version on which no fault was found in time exceeded the exposure.
func TestExposureHoldsWhileNoFaultIsFound(t *testing.T) {
	tests := map[string]func(w *world){
		"plain":                  func(*world) {},
		"burst":                  func(w *world) { w.burst = [2]time.Duration{w.duration / 2, w.duration/2 + time.Second} },
		"burst at the end":       func(w *world) { w.burst = [2]time.Duration{w.duration - time.Second, w.duration} },
		"outage":                 func(w *world) { w.outage = [2]time.Duration{w.duration / 2, w.duration - 2*time.Second} },
		"outage at the end":      func(w *world) { w.outage = [2]time.Duration{w.duration - 2*time.Second, w.duration + time.Second} },
		"handover":               func(w *world) { w.handovers = []time.Duration{w.duration / 2} },
		"handover at the end":    func(w *world) { w.handovers = []time.Duration{w.duration - time.Second} },
		"clock ahead":            func(w *world) { w.handovers, w.clockGap = []time.Duration{w.duration / 3}, 10*time.Second },
		"slow writes":            func(w *world) { w.slowWrites = time.Second },
		"late endpoints":         func(w *world) { w.startAfter = w.duration / 2 },
		"hardly any callers":     func(w *world) { w.perSecond = 0.6 },
		"few callers":            func(w *world) { w.perSecond = 5 },
		"a thousand a second":    func(w *world) { w.perSecond = 1000 },
		"few callers, handovers": func(w *world) { w.perSecond, w.handovers = 20, []time.Duration{2 * time.Second, 6 * time.Second} },
	}
	for name, change := range tests {
		for _, seconds := range []int{8, 12, 15, 30, 60} {
			for _, entries := range []int{8, 88, 295} {
				t.Run(fmt.Sprintf("%s, %d s, %d entries", name, seconds, entries), func(t *testing.T) {
					w := steady()
					w.duration, w.entries = time.Duration(seconds)*time.Second, entries
					change(&w)
					got := w.run(seeds(1)[0])
					assert.Assert(t, got.target <= testLimits.allowed(got.all), "%v of %v requests, ended after %v", got.target, got.all, got.endedAt)
				})
			}
		}
	}
}

// Failure: the leader and most entries were killed with what they had counted, and requests reached a bad version more than
// five seconds after its 50th bad response.
func TestLostEvidenceDoesNotProlongTheExposure(t *testing.T) {
	checkLostEvidence(t, 600, 2000)
}

// Guards against a bad version that is completed, since few requests show its fault after most entries were killed.
func TestLostEvidenceOfFewRequestsDoesNotProlongTheExposure(t *testing.T) {
	checkLostEvidence(t, 100)
}

// checkLostEvidence kills the leader and most entries at many times, at some numbers of requests per second.
func checkLostEvidence(t *testing.T, rates ...float64) {
	t.Helper()
	checkLostEvidenceOf(t, map[string]func(w *world){
		"all fail":  func(w *world) { w.failures = constant(1) },
		"half fail": func(w *world) { w.failures = constant(0.5) },
		"half slow": func(w *world) { w.slow = constant(0.5) },
		"late":      func(w *world) { w.slow = since(7*time.Second, 0.5) },
	}, rates...)
}

// checkLostEvidenceOf does the same with versions of some faults.
func checkLostEvidenceOf(t *testing.T, faults map[string]func(w *world), rates ...float64) {
	t.Helper()
	for name, fault := range faults {
		for _, perSecond := range rates {
			for _, entries := range []int{8, 88} {
				t.Run(fmt.Sprintf("%s, %v per second, %d entries", name, perSecond, entries), func(t *testing.T) {
					for at := 5 * time.Second; at < 14*time.Second; at += 500 * time.Millisecond {
						w := steady()
						w.perSecond, w.entries, w.noise, w.kills = perSecond, entries, 0.05, []time.Duration{at}
						fault(&w)
						got := w.run(seeds(1)[0])
						assert.Assert(t, got.sentAfterBound == 0, "killed after %v: %v requests sent too late, bad after %v, ended after %v", at, got.sentAfterBound, got.badAt, got.endedAt)
						assert.Assert(t, got.target <= testLimits.allowed(got.all), "killed after %v: %v of %v requests", at, got.target, got.all)
					}
				})
			}
		}
	}
}

// Guards against a version of which a third of the responses are slow, and that is completed since too few of them are known after
// most entries were killed.
func TestLostEvidenceOfAThirdDoesNotProlongTheExposure(t *testing.T) {
	checkLostEvidenceOf(t, map[string]func(w *world){"a third": func(w *world) { w.slow = constant(0.3) }}, 100, 600, 2000)
}
