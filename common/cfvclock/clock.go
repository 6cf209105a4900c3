// Package cfvclock has timers that stop when their context ends, and a clock that keeps
// running while the VM is suspended.
package cfvclock

import (
	"context"
	"time"
)

// Every calls f periodically until the context ends. The first call is after one period.
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

// Sleep waits for d. It returns false if the context ended before that.
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
