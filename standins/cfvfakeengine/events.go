package cfvfakeengine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// eventsKept is the number of cache events that an engine remembers.
const eventsKept = 4096

// CacheEvent says that a block came into an engine's cache. Sequence numbers only grow;
// one that is missing is a gap.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Block    string `json:"block"`
}

// events are the cache events of an engine, published late and with gaps.
type events struct {
	lag      time.Duration
	gapEvery int // every so many events one is lost; 0 for none

	mu   sync.Mutex
	next int
	list []timedEvent
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

// add records that blocks were cached.
func (e *events) add(blocks []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range blocks {
		e.next++
		if e.gapEvery > 0 && e.next%e.gapEvery == 0 {
			continue
		}
		e.list = append(e.list, timedEvent{time.Now(), CacheEvent{e.next, b}})
	}
	e.list = e.list[max(0, len(e.list)-eventsKept):]
}

// after returns the events past a sequence number that are old enough to be shown.
func (e *events) after(sequence int) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []CacheEvent{}
	for _, t := range e.list {
		if t.event.Sequence > sequence && time.Since(t.at) >= e.lag {
			out = append(out, t.event)
		}
	}
	return out
}

// ServeHTTP answers GET /events?after=N.
func (e *events) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.Atoi("0" + r.URL.Query().Get("after"))
	if err != nil {
		cfvhttp.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": "after: want a number"})
		return
	}
	cfvhttp.WriteJSON(w, http.StatusOK, e.after(sequence))
}

// Weights is the weight store that engines load from: loads beyond its bound take longer.
type Weights struct {
	Bound int           // loads at once at full speed
	Time  time.Duration // of a load at full speed

	mu   sync.Mutex
	busy int
}

// begin returns how long a load takes that begins now, and what to call at its end.
func (w *Weights) begin() (time.Duration, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy++
	d := w.Time
	if w.busy > w.Bound {
		d = w.Time * time.Duration(w.busy) / time.Duration(w.Bound)
	}
	return d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.busy--
	}
}
