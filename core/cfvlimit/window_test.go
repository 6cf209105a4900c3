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

// In any sliding window, the retries stay within the slack plus the ratio of the requests of
// that window, of the window before it or of the window that begins half a window earlier.
func TestRetriesStayWithinTheBudgetOfAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := RetryConfig{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 20).Draw(t, "slack")), Window: 10 * time.Second}
		w := NewRetryWindow(cfg)
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			if w.TakeRetry(now) {
				retries = append(retries, now)
			}
		}
		countBetween := func(times []time.Duration, from, to time.Duration) (n int) {
			for _, at := range times {
				if at >= from && at < to {
					n++
				}
			}
			return n
		}
		for _, from := range retries {
			got := countBetween(retries, from, from+cfg.Window)
			counted := max(countBetween(requests, from, from+cfg.Window), countBetween(requests, from-cfg.Window/2, from+cfg.Window/2), countBetween(requests, from-cfg.Window, from))
			assert.Assert(t, float64(got) <= cfg.Ratio*float64(counted)+cfg.Slack, "%d retries of %d requests", got, counted)
		}
	})
}

func TestRetriesAreAllowedAgainAfterTheWindow(t *testing.T) {
	w := NewRetryWindow(RetryConfig{Ratio: 0.5, Slack: 1, Window: time.Second})
	assert.Assert(t, w.TakeRetry(0))
	assert.Assert(t, !w.TakeRetry(0))
	w.CountRequest(100 * time.Millisecond)
	w.CountRequest(100 * time.Millisecond)
	assert.Assert(t, w.TakeRetry(200*time.Millisecond))
	assert.Assert(t, !w.TakeRetry(900*time.Millisecond))
	assert.Assert(t, w.TakeRetry(1400*time.Millisecond))
}
