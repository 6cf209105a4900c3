package cfvfakeengine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// eventsKept is the number of cache events that an engine remembers.
const maxEvents = 4096

// CacheEvent says that a block came into an engine's cache. Sequence numbers only grow;
// one that is missing is a gap.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Block    string `json:"block"`
}

// events are the cache events of an engine, published late and with gaps.
type eventLog struct {
	lag      time.Duration
	dropEvery int // every so many events one is lost; 0 for none

	mu   sync.Mutex
	lastSequence int
	recent []timedEvent
}

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

// add records that blocks were cached.
func (e *eventLog) add(blocks []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range blocks {
		e.lastSequence++
		if e.dropEvery > 0 && e.lastSequence%e.dropEvery == 0 {
			continue
		}
		e.recent = append(e.recent, timedEvent{time.Now(), CacheEvent{e.lastSequence, b}})
	}
	e.recent = e.recent[max(0, len(e.recent)-maxEvents):]
}

// after returns the events past a sequence number that are old enough to be shown.
func (e *eventLog) after(sequence int) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []CacheEvent{}
	for _, t := range e.recent {
		if t.event.Sequence > sequence && time.Since(t.at) >= e.lag {
			out = append(out, t.event)
		}
	}
	return out
}

// ServeHTTP answers GET /events?after=N.
func (e *eventLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.Atoi("0" + r.URL.Query().Get("after"))
	if err != nil {
		cfvhttp.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": "after: want a number"})
		return
	}
	cfvhttp.WriteJSON(w, http.StatusOK, e.after(sequence))
}

// Weights is the weight store that engines load from: loads beyond its bound take longer.
type WeightStore struct {
	FullSpeedLoads int           // loads at once at full speed
	LoadTime  time.Duration // of a load at full speed

	mu   sync.Mutex
	loads int
}

// begin returns how long a load takes that begins now, and what to call at its end.
func (w *WeightStore) beginLoad() (time.Duration, func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loads++
	d := w.LoadTime
	if w.loads > w.FullSpeedLoads {
		d = w.LoadTime * time.Duration(w.loads) / time.Duration(w.FullSpeedLoads)
	}
	return d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.loads--
	}
}
