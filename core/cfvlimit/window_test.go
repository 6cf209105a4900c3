package cfvlimit

import (
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

// In any window, wherever it begins, the repeats stay within the ratio of the requests of
// that window or the one before it, and the slack.
func TestRepeatsStayWithinTheBudgetOfAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := RetryConfig{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 20).Draw(t, "slack")), Window: 10 * time.Second}
		w := NewRetryWindow(cfg)
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if w.TakeRetry(now) {
				repeats = append(repeats, now)
			}
		}
		in := func(list []time.Duration, from, to time.Duration) (n int) {
			for _, at := range list {
				if at >= from && at < to {
					n++
				}
			}
			return n
		}
		for _, from := range repeats {
			got := in(repeats, from, from+cfg.Window)
			asked := max(in(requests, from, from+cfg.Window), in(requests, from-cfg.Window/2, from+cfg.Window/2), in(requests, from-cfg.Window, from))
			assert.Assert(t, float64(got) <= cfg.Ratio*float64(asked)+cfg.Slack, "%d repeats of %d requests", got, asked)
		}
	})
}

func TestRepeatsComeBackWhenTheWindowHasPassed(t *testing.T) {
	w := NewRetryWindow(RetryConfig{Ratio: 0.5, Slack: 1, Window: time.Second})
	assert.Assert(t, w.TakeRetry(0))
	assert.Assert(t, !w.TakeRetry(0))
	w.CountRequest(100 * time.Millisecond)
	w.CountRequest(100 * time.Millisecond)
	assert.Assert(t, w.TakeRetry(200*time.Millisecond))
	assert.Assert(t, !w.TakeRetry(900*time.Millisecond))
	assert.Assert(t, w.TakeRetry(1400*time.Millisecond))
}
