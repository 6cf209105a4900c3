package cfvrollout

import (
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

func runningAt(share float64, elapsed, duration time.Duration) *cfvfleet.Rollout {
	return &cfvfleet.Rollout{
		RolloutOrder: cfvfleet.RolloutOrder{Service: testService, Target: "v2", Duration: duration}, Revision: testRevision, LearnedAt: orderedAt,
		Progress: cfvfleet.RolloutProgress{Share: share, OrderRevision: testRevision, Target: "v2", Elapsed: elapsed}, ProgressAt: orderedAt + elapsed,
	}
}

// Guards against all requests at an unproven version because the others are drained or unknown for a moment.
func TestShareWhileOtherVersionsAreMissing(t *testing.T) {
	r := runningAt(0.05, 4*time.Second, 20*time.Second)
	r.Progress.Replaced = []string{"v1"}
	p := NewPolicy(orderedAt+4*time.Second, orderMillis, r, testLimits)
	next, _ := p.Next(orderedAt+5*time.Second, r, Fleet{Target: 4, OldVersions: []string{"v1"}})
	assert.Assert(t, next.Share < 1, "share %v", next.Share)
}

// Guards against a version that is completed without evidence because the others were missing for a moment.
func TestBlipOfOtherVersionsDoesNotComplete(t *testing.T) {
	r := runningAt(0.05, 8*time.Second, 15*time.Second)
	p := NewPolicy(orderedAt+8*time.Second, orderMillis, r, testLimits)
	p.AddReport(Report{Entry: "e", Evidence: []Evidence{
		{Service: testService, Order: testRevision, Version: "v1", Route: "chat", Requests: 300},
		{Service: testService, Order: testRevision, Version: "v2", Route: "chat", Requests: 3},
	}})
	whole, blip := Fleet{Stable: 4, Target: 4, OldVersions: []string{"v1"}}, Fleet{Target: 4, OldVersions: []string{"v1"}}
	for at := 8 * time.Second; at < 15*time.Second; at += 100 * time.Millisecond {
		f := whole
		if at >= 9200*time.Millisecond && at < 9400*time.Millisecond {
			f = blip
		}
		next, changed := p.Next(orderedAt+at, r, f)
		if changed {
			if next.Share != r.Progress.Share || next.Phase != r.Progress.Phase {
				t.Logf("%v: phase %d share %v", at, next.Phase, next.Share)
			}
			r.Progress, r.ProgressAt = next, orderedAt+at
		}
		assert.Assert(t, at > 9500*time.Millisecond || at < 9400*time.Millisecond || next.Share < 1, "share %v after %v", next.Share, at)
	}
}

// Failure: a new leader knew nothing of what the entries that were killed with the one before had counted, and went on with
// a bad version.
func TestNewLeaderJudgesByTheRecordedCounts(t *testing.T) {
	r := runningAt(0.05, 8*time.Second, 15*time.Second)
	r.Progress.TargetCounts = cfvfleet.RolloutCounts{Requests: 40, Failures: 1, Slow: 19}
	r.Progress.OtherCounts = cfvfleet.RolloutCounts{Requests: 900, Failures: 9, Slow: 30}
	now := orderedAt + 8*time.Second
	p := NewPolicy(now, orderMillis, r, testLimits)
	target, all := p.Requests()
	assert.Equal(t, target, 40.0)
	assert.Equal(t, all, 940.0)
	report := func(requests, slow uint64) {
		p.AddReport(Report{Entry: "survivor", Evidence: []Evidence{{Service: testService, Order: testRevision, Version: "v2", Route: "chat", Requests: requests, Slow: slow}}})
	}
	report(10, 5)
	target, _ = p.Requests()
	assert.Equal(t, target, 40.0, "they are among the recorded ones")
	next, _ := p.Next(now, r, Fleet{Stable: 4, Target: 4, OldVersions: []string{"v1"}})
	assert.Equal(t, next.Phase, cfvfleet.RolloutRolledBack)
	report(60, 5)
	target, _ = p.Requests()
	assert.Equal(t, target, 60.0)
}
