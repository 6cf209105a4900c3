// Package cfvclock has the waits that every part shares: both end with their context.
package cfvclock

import (
	"context"
	"time"
)

// Every calls f once a period until the context ends.
func Every(ctx context.Context, period time.Duration, f func(context.Context)) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}

// Sleep waits for d and reports whether it did: false means that the context ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
