// Package cfvlimit holds the limits that keep failures from spreading: retry budgets, the
// quarantine of requests that crash endpoints, and the request limits of workspaces.
package cfvlimit

import "time"

// Limits of a retry budget.
const (
	minRetries      = 3    // refilled over time even without successes
	maxRetries      = 100  // retries that successes can accumulate
	refillPerSecond = 0.2  // retries per second, up to minRetries
	perPercent      = 0.01 // converts a percentage to a fraction
)

// Budget allows retries as a share of successes. It is not safe for concurrent use.
type Budget struct {
	tokens float64
	last   time.Time
}

// NewBudget returns a budget of minRetries.
func NewBudget(now time.Time) *Budget {
	return &Budget{tokens: minRetries, last: now}
}

// RecordSuccess adds the given percentage of a retry to the budget.
func (b *Budget) RecordSuccess(percent int) {
	b.tokens = min(b.tokens+float64(percent)*perPercent, maxRetries)
}

// Take reports whether a retry is allowed, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	if b.tokens < minRetries {
		b.tokens = min(b.tokens+now.Sub(b.last).Seconds()*refillPerSecond, minRetries)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the exponential delay before the n-th retry, counted from 0 and limited
// to maxDelay. Jitter reduces it by up to a half; u is a random number in [0, 1).
func Backoff(n int, base, maxDelay time.Duration, u float64) time.Duration {
	d := maxDelay
	if n < 20 && base<<n < maxDelay {
		d = base << n
	}
	return d/2 + time.Duration(u*float64(d/2))
}
