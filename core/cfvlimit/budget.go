// Package cfvlimit holds the limits that keep a fault from growing: retry budgets,
// quarantine of requests that crash endpoints, and the limits of a workspace.
package cfvlimit

import "time"

// Bounds of a retry budget.
const (
	budgetFloor  = 3    // retries that are always left after a quiet time
	budgetMost   = 100  // retries that can be saved up
	floorRefill  = 0.2  // retries a second regained up to the floor
	percentScale = 0.01 // a percentage as a share
)

// Budget allows retries as a share of successes. It is not safe for concurrent use.
type Budget struct {
	tokens float64
	last   time.Time
}

// NewBudget returns a budget at its floor.
func NewBudget(now time.Time) *Budget {
	return &Budget{tokens: budgetFloor, last: now}
}

// Success earns a share of a retry.
func (b *Budget) RecordSuccess(percent int) {
	b.tokens = min(b.tokens+float64(percent)*percentScale, budgetMost)
}

// Take reports whether a retry may be made, and counts it.
func (b *Budget) Take(now time.Time) bool {
	if b.tokens < budgetFloor {
		b.tokens = min(b.tokens+now.Sub(b.last).Seconds()*floorRefill, budgetFloor)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the pause before the n-th retry, counted from 0, with full jitter
// between a half and the whole; u is a random number in [0, 1).
func Backoff(n int, first, most time.Duration, u float64) time.Duration {
	d := most
	if n < 20 && first<<n < most {
		d = first << n
	}
	return d/2 + time.Duration(u*float64(d/2))
}
