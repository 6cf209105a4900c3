package cfvfakeengine

import (
	"context"
	"sort"
	"sync"
)

// batch limits the number of concurrent requests. Waiting requests are ordered by priority,
// then by arrival.
type batch struct {
	mu      sync.Mutex
	free    int
	lastSeq int
	queue   []*waiter
}

// waiter is a request that waits for its place in the batch.
type waiter struct {
	priority, seq int
	ready         chan struct{}
}

func newBatch(n int) *batch {
	return &batch{free: n}
}

// waiting returns the number of waiting requests.
func (b *batch) waiting() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

// acquire waits for a place in the batch. It returns false if the context ends first.
func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.mu.Unlock()
		return true
	}
	b.lastSeq++
	w := &waiter{priority, b.lastSeq, make(chan struct{})}
	b.queue = append(b.queue, w)
	sort.Slice(b.queue, func(i, j int) bool {
		x, y := b.queue[i], b.queue[j]
		return x.priority < y.priority || (x.priority == y.priority && x.seq < y.seq)
	})
	b.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		b.cancel(w)
		return false
	}
}

// cancel removes a waiter from the queue. If it has got a place in the meantime, the place is
// released.
func (b *batch) cancel(w *waiter) {
	b.mu.Lock()
	for i, q := range b.queue {
		if q == w {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.mu.Unlock()
			return
		}
	}
	b.mu.Unlock()
	b.release()
}

// release frees a place, which goes to the first waiter.
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
