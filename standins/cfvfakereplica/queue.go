package cfvfakereplica

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootvalve/standins/cfvfault"
)

// Room is how many requests a replica takes at once.
type Room struct {
	Slots    int           // requests that run at once; 0: no limit
	Waiting  int           // further requests that wait for a slot; the others are rejected
	DownTime time.Duration // until it is back after it fell over
}

// brittle is what a replica says of itself while it is brittle.
type brittle struct {
	rejections int // in one second; with more it falls over
	waiting    int // requests that wait for a slot, from the time on
	from       time.Time
}

// queue holds the requests of a replica.
type queue struct {
	room  Room
	slots chan struct{}

	mu         sync.Mutex
	admitted   int
	brittle    *brittle    // nil: it isn't
	rejections []time.Time // for want of room
	rejected   int
	falls      int
	downUntil  time.Time
}

func newQueue(room Room) *queue { return &queue{room: room, slots: make(chan struct{}, room.Slots)} }

// SetBrittle lets all responses say that the replica falls over with more than n rejections in a second. After the delay it does, and
// no more than the given number of requests wait for a slot.
func (r *Replica) SetBrittle(n, waiting int, delay time.Duration) {
	r.queue.mu.Lock()
	defer r.queue.mu.Unlock()
	r.queue.brittle = &brittle{n, waiting, time.Now().Add(delay)}
}

// Falls returns how often the replica fell over while it was brittle, and how many requests it has rejected for want of room.
func (r *Replica) Falls() (falls, rejected int) {
	r.queue.mu.Lock()
	defer r.queue.mu.Unlock()
	return r.queue.falls, r.queue.rejected
}

func (q *queue) announce(h http.Header) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.brittle != nil {
		h.Set("Server-Brittle", strconv.Itoa(q.brittle.rejections))
	}
}

// enter waits for a slot. It returns false if there is no room for the request, and drops the connection of a replica that is down.
func (q *queue) enter() (leave func(), ok bool) {
	if q.room.Slots == 0 {
		return func() {}, true
	}
	q.mu.Lock()
	falls, down := q.falls, time.Now().Before(q.downUntil)
	ok = !down && q.admit(time.Now())
	q.mu.Unlock()
	switch {
	case down:
		cfvfault.DropConnection()
	case !ok:
		return nil, false
	}
	q.slots <- struct{}{}
	return func() {
		<-q.slots
		q.mu.Lock()
		fell := falls != q.falls
		if !fell {
			q.admitted--
		}
		q.mu.Unlock()
		if fell {
			cfvfault.DropConnection()
		}
	}, true
}

// admit reports whether there is room for a request. The caller must hold q.mu.
func (q *queue) admit(now time.Time) bool {
	waiting := q.room.Waiting
	if b := q.brittle; b != nil && !now.Before(b.from) {
		waiting = b.waiting
	}
	if q.admitted < q.room.Slots+waiting {
		q.admitted++
		return true
	}
	q.rejected++
	if q.brittle == nil || now.Before(q.brittle.from) {
		return false
	}
	q.rejections = append(q.rejections, now)
	for now.Sub(q.rejections[0]) >= time.Second {
		q.rejections = q.rejections[1:]
	}
	if len(q.rejections) > q.brittle.rejections {
		q.falls, q.admitted, q.rejections = q.falls+1, 0, nil
		q.downUntil = now.Add(q.room.DownTime)
	}
	return false
}
