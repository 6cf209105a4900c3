package cfvslot

import (
	"sort"
	"time"

	"coltsfootvalve/common/cfverror"
)

// waiting is one request in a queue.
type waiting struct {
	request Request
	since   time.Time
	seq     int
}

// queue holds the requests that wait for a slot of one group.
type queue struct {
	list []waiting
	seq  int
}

func (q *queue) empty() bool { return len(q.list) == 0 }

// push adds a request. A full queue gives up its least important request, of the
// workspace that waits most, if the newcomer goes before it.
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
	q.list = append(q.list, waiting{r, now, q.seq})
	return evicted, true
}

// victim returns the index of the request that gives way to r, or -1.
func (q *queue) victim(r Request) int {
	counts := make(map[string]int)
	for _, w := range q.list {
		counts[w.request.Workspace]++
	}
	best := -1
	for i, w := range q.list {
		if best < 0 || goesAfter(w, q.list[best], counts) {
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

// goesAfter reports whether a is given up before b.
func goesAfter(a, b waiting, counts map[string]int) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority > b.request.Priority
	}
	ca, cb := counts[a.request.Workspace], counts[b.request.Workspace]
	if ca != cb {
		return ca > cb
	}
	return a.seq > b.seq
}

// inOrder returns the requests in the order in which they are served: by priority, then
// the workspace that holds the fewest slots, then by arrival. held is updated as if each
// request were served in turn.
func (q *queue) inOrder(held map[string]int) []waiting {
	rest := append([]waiting(nil), q.list...)
	sort.SliceStable(rest, func(i, j int) bool { return rest[i].seq < rest[j].seq })
	out := make([]waiting, 0, len(rest))
	for len(rest) > 0 {
		best := 0
		for i, w := range rest {
			if goesBefore(w, rest[best], held) {
				best = i
			}
		}
		out = append(out, rest[best])
		held[rest[best].request.Workspace]++
		rest = append(rest[:best], rest[best+1:]...)
	}
	return out
}

func goesBefore(a, b waiting, held map[string]int) bool {
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
		if now.Sub(w.since) >= w.request.MaxQueueTime {
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
