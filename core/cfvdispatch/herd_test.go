package cfvdispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// desk is a plain endpoint: slots that work, and a queue before them.
type desk struct {
	free  slotHeap // when each slot is free
	slow  float64  // factor on the work
	queue int      // most requests in all; more are rejected
	ends  []time.Duration
}

type slotHeap []time.Duration

func (h slotHeap) Len() int           { return len(h) }
func (h slotHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h slotHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *slotHeap) Push(x any)        { *h = append(*h, x.(time.Duration)) }
func (h *slotHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// take returns when a request that arrives now is done, and false if the desk is full.
func (d *desk) take(now, work time.Duration) (time.Duration, bool) {
	kept := d.ends[:0]
	for _, e := range d.ends {
		if e > now {
			kept = append(kept, e)
		}
	}
	if d.ends = kept; len(kept) >= d.queue {
		return 0, false
	}
	begin := max(now, heap.Pop(&d.free).(time.Duration))
	end := begin + time.Duration(float64(work)*d.slow)
	heap.Push(&d.free, end)
	d.ends = append(d.ends, end)
	return end, true
}

// deskLoad is a load of plain requests at many entries that hear of each other late.
type deskLoad struct {
	entries   int
	desks     int
	perSecond float64
	workMs    float64
	slowOne   float64       // factor on the work of one desk; 0: none
	lag       time.Duration // until the other entries hear of a request
}

// play returns the share of requests that take longer than the objective or are rejected.
func (l deskLoad) play(seconds int, objective time.Duration, seed uint64) (late float64) {
	const slots, queue = 6, 24
	rnd := rand.New(rand.NewPCG(seed, 1))
	endpoints := fleetOf(l.desks)
	desks := make(map[string]*desk)
	for i, e := range endpoints {
		e.Slots = slots
		d := &desk{free: make(slotHeap, slots), slow: 1, queue: slots + queue}
		if i == 0 && l.slowOne > 0 {
			d.slow = l.slowOne
		}
		desks[e.ID] = d
	}
	var ds []*Dispatcher
	for i := range l.entries {
		ds = append(ds, New(fmt.Sprint("entry-", i)))
	}
	type open struct {
		d   *Dispatcher
		at  time.Duration
		end time.Duration
		i   int
	}
	var running []open
	var heard []map[string]Load // of the last lag, each refresh
	next := time.Duration(0)
	n := 0.0
	for now := time.Duration(0); now < time.Duration(seconds)*time.Second; n++ {
		now += time.Duration(rnd.ExpFloat64() / l.perSecond * float64(time.Second))
		kept := running[:0]
		for _, r := range running {
			if r.end > now {
				kept = append(kept, r)
				continue
			}
			r.d.Finish(endpoints[r.i])
		}
		running = kept
		for ; next <= now; next += refresh {
			loads := make(map[string]Load)
			for _, r := range running {
				x := loads[endpoints[r.i].ID]
				x.Running++
				loads[endpoints[r.i].ID] = x
			}
			heard = append(heard, loads)
			if len(heard) > int(l.lag/refresh) {
				for _, d := range ds {
					d.SetPeerLoads(heard[0])
				}
				heard = heard[1:]
			}
		}
		d := ds[rnd.IntN(len(ds))]
		c, why := d.Choose(now, Query{Endpoints: endpoints, Domain: "none"}, rnd.Float64())
		if why != Chosen {
			panic("no endpoint")
		}
		work := time.Duration(l.workMs * math.Exp(0.5*rnd.NormFloat64()-0.125) * float64(time.Millisecond))
		end, ok := desks[c.Endpoint.ID].take(now, work)
		if !ok || end-now > objective {
			late++
		}
		if !ok {
			continue
		}
		d.Start(now, c.Endpoint, 0)
		for i, e := range endpoints {
			if e.ID == c.Endpoint.ID {
				running = append(running, open{d, now, end, i})
			}
		}
	}
	return late / n
}

// refresh is how often entries hear of each other.
const refresh = 200 * time.Millisecond

const (
	herdObjective = 300 * time.Millisecond
	herdLate      = 0.05 // the target: 95 in 100 within the objective
)

// Pattern: short work at very many entries, of which each hears late what the others have
// under way. If all follow the same old picture, they meet at the endpoint that was idle
// then, while others are idle now.
func TestManyEntriesDoNotHerd(t *testing.T) {
	tests := map[string]deskLoad{
		"the grown studios' bookings":    {entries: 74, desks: 7, perSecond: 460, workMs: 60, lag: 400 * time.Millisecond},
		"the studios' bookings at eight": {entries: 8, desks: 4, perSecond: 112, workMs: 60, lag: 200 * time.Millisecond},
	}
	for name, l := range tests {
		t.Run(name, func(t *testing.T) {
			late := l.play(20, herdObjective, 1)
			assert.Assert(t, late < herdLate, "%.3f of the requests were late or rejected", late)
		})
	}
}

// Pattern: the same, and one endpoint takes three times as long as the others.
func TestManyEntriesSpareASlowEndpoint(t *testing.T) {
	l := deskLoad{entries: 74, desks: 7, perSecond: 360, workMs: 60, slowOne: 3, lag: 400 * time.Millisecond}
	for seed := range uint64(5) {
		late := l.play(20, herdObjective, seed+1)
		assert.Check(t, late < herdLate, "seed %d: %.3f of the requests were late or rejected", seed+1, late)
	}
}
