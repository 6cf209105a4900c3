package cfvfakeengine

import (
	"context"
	"sort"
	"sync"
)

// batch bounds the requests that run at once; those that wait go by priority, then by
// arrival.
type batch struct {
	mu    sync.Mutex
	free  int
	lastSeq   int
	queue []*waiter
}

type waiter struct {
	priority, seq int
	ready         chan struct{}
}

func newBatch(n int) *batch {
	return &batch{free: n}
}

func (b *batch) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.mu.Unlock()
		return true
	}
	b.lastSeq++
	t := &waiter{priority, b.lastSeq, make(chan struct{})}
	b.queue = append(b.queue, t)
	sort.Slice(b.queue, func(i, j int) bool {
		x, y := b.queue[i], b.queue[j]
		return x.priority < y.priority || (x.priority == y.priority && x.seq < y.seq)
	})
	b.mu.Unlock()
	select {
	case <-t.ready:
		return true
	case <-ctx.Done():
		b.cancel(t)
		return false
	}
}

// forget gives up a ticket; one that became ready meanwhile is handed on.
func (b *batch) cancel(t *waiter) {
	b.mu.Lock()
	for i, q := range b.queue {
		if q == t {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.mu.Unlock()
			return
		}
	}
	b.mu.Unlock()
	b.release()
}

func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.free++
		return
	}
	close(b.queue[0].ready)
	b.queue = b.queue[1:]
}
