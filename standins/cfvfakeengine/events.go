package cfvfakeengine

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// maxEvents is the number of cache events that an engine keeps.
const maxEvents = 4096

// CacheEvent reports that a block was added to an engine's cache. Sequence numbers are
// ascending; a missing number means that an event was lost.
type CacheEvent struct {
	Sequence int    `json:"sequence"`
	Block    string `json:"block"`
}

// eventLog holds the cache events of an engine. It publishes them with a delay and loses some.
type eventLog struct {
	lag       time.Duration
	dropEvery int // every n-th event is lost; 0: none is lost

	mu           sync.Mutex
	lastSequence int
	recent       []timedEvent
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

// after returns the events after a sequence number that are at least as old as the lag.
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

// ServeHTTP handles GET /events?after=N.
func (e *eventLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sequence, err := strconv.Atoi("0" + r.URL.Query().Get("after"))
	if err != nil {
		cfvhttp.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": "after: want a number"})
		return
	}
	cfvhttp.WriteJSON(w, http.StatusOK, e.after(sequence))
}

// WeightStore is the store that engines load weights from. More concurrent loads than it serves
// at full speed take longer. It is safe for concurrent use.
type WeightStore struct {
	FullSpeedLoads int           // number of concurrent loads at full speed
	LoadTime       time.Duration // duration of a load at full speed

	mu    sync.Mutex
	loads int
}

// beginLoad returns the duration of a load that begins now, and a function to call at its end.
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
