package cfvslot

import (
	"sort"
	"time"

	"coltsfootvalve/common/cfverror"
)

// queuedRequest is one request in a queue.
type queuedRequest struct {
	request  Request
	queuedAt time.Time
	seq      int
}

// queue holds the requests that wait for a slot of one group.
type queue struct {
	list []queuedRequest
	seq  int
}

func (q *queue) empty() bool { return len(q.list) == 0 }

// push adds a request. If the queue is full, push evicts a request to make room for the new
// one, or reports that the new one can't be queued.
func (q *queue) push(now time.Time, r Request) (evicted string, queued bool) {
	if len(q.list) >= r.MaxQueueLength {
		victim := q.victim(r)
		if victim < 0 {
			return "", false
		}
		evicted = q.list[victim].request.Slot
		q.list = append(q.list[:victim], q.list[victim+1:]...)
	}
	q.seq++
	q.list = append(q.list, queuedRequest{r, now, q.seq})
	return evicted, true
}

// victim returns the index of the request to evict to make room for r, or -1 if there is none.
// It is a request of the lowest priority class, and within the class of the workspace with
// the most queued requests. It must have a lower priority than r. With the same priority, its
// workspace must still have at least as many queued requests as that of r after the exchange.
func (q *queue) victim(r Request) int {
	counts := make(map[string]int)
	for _, w := range q.list {
		counts[w.request.Workspace]++
	}
	best := -1
	for i, w := range q.list {
		if best < 0 || evictedBefore(w, q.list[best], counts) {
			best = i
		}
	}
	if best < 0 {
		return -1
	}
	v := q.list[best].request
	if v.Priority > r.Priority {
		return best
	}
	if v.Priority == r.Priority && counts[v.Workspace] > counts[r.Workspace]+1 {
		return best
	}
	return -1
}

// evictedBefore reports whether a is evicted before b.
func evictedBefore(a, b queuedRequest, counts map[string]int) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	countA, countB := counts[a.request.Workspace], counts[b.request.Workspace]
	if countA != countB {
		return countA > countB
	}
	return a.seq > b.seq
}

// serviceOrder returns the requests in the order in which they are served: by priority, then
// by the number of slots that their workspace holds, fewest first, then by arrival. It
// updates held as if each request were granted in turn.
func (q *queue) serviceOrder(held map[string]int) []queuedRequest {
	rest := append([]queuedRequest(nil), q.list...)
	sort.SliceStable(rest, func(i, j int) bool { return rest[i].seq < rest[j].seq })
	out := make([]queuedRequest, 0, len(rest))
	for len(rest) > 0 {
		best := 0
		for i, w := range rest {
			if servedBefore(w, rest[best], held) {
				best = i
			}
		}
		out = append(out, rest[best])
		held[rest[best].request.Workspace]++
		rest = append(rest[:best], rest[best+1:]...)
	}
	return out
}

func servedBefore(a, b queuedRequest, held map[string]int) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	return held[a.request.Workspace] < held[b.request.Workspace]
}

func (q *queue) remove(slot string) {
	for i, w := range q.list {
		if w.request.Slot == slot {
			q.list = append(q.list[:i], q.list[i+1:]...)
			return
		}
	}
}

func (q *queue) expire(now time.Time) []Decision {
	var out []Decision
	kept := q.list[:0]
	for _, w := range q.list {
		if now.Sub(w.queuedAt) >= w.request.MaxQueueTime {
			out = append(out, Decision{Slot: w.request.Slot, Reason: cfverror.ReasonQueueTimeout})
			continue
		}
		kept = append(kept, w)
	}
	q.list = kept
	return out
}

func (q *queue) refuseAll(reason cfverror.Reason) []Decision {
	var out []Decision
	for _, w := range q.list {
		out = append(out, Decision{Slot: w.request.Slot, Reason: reason})
	}
	q.list = nil
	return out
}
