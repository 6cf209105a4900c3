package cfvfakeplatform

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Duties stands in for the platform's duty calls. It records violations of the rules of the calls. It is safe for
// concurrent use.
type Duties struct {
	mu            sync.Mutex
	leaseTime     time.Duration
	highest       int64            // fencing token
	holders       map[int64]string // by fencing token
	last          string           // holder of the last accepted call
	handedOver    map[string]time.Time
	accepted      map[int64]map[string]uint64
	acceptedAt    map[int64]time.Time
	calls         int
	tooMany       int // next calls that are refused
	violations    []string
	lastRefusedAt map[string]int64 // fencing token that was refused, by holder
}

// NewDuties returns a stand-in at which no holder may return within leaseTime after another one.
func NewDuties(leaseTime time.Duration) *Duties {
	return &Duties{
		leaseTime: leaseTime, holders: make(map[int64]string), handedOver: make(map[string]time.Time),
		accepted: make(map[int64]map[string]uint64), acceptedAt: make(map[int64]time.Time), lastRefusedAt: make(map[string]int64),
	}
}

// RefuseNext refuses the next n calls with status 429.
func (d *Duties) RefuseNext(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tooMany = n
}

// Usage executes a usage report and returns the HTTP status.
func (d *Duties) Usage(holder string, token, window int64, counts map[string]uint64) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.tooMany > 0 {
		d.tooMany--
		return http.StatusTooManyRequests
	}
	if have, ok := d.holders[token]; ok && have != holder {
		d.violate("%s and %s hold token %d", have, holder, token)
	}
	d.holders[token] = holder
	if token < d.highest {
		if d.lastRefusedAt[holder] == token {
			d.violate("%s called again with token %d, which was refused", holder, token)
		}
		d.lastRefusedAt[holder] = token
		return http.StatusConflict
	}
	d.highest = token
	now := time.Now()
	if d.last != holder {
		if at, ok := d.handedOver[holder]; ok && now.Sub(at) < d.leaseTime {
			d.violate("%s holds again %s after its last call, with %s in between", holder, now.Sub(at), d.last)
		}
		d.last = holder
	}
	d.handedOver[holder] = now
	if have, ok := d.accepted[window]; ok {
		if !maps.Equal(have, counts) {
			d.violate("window %d was reported with %v and %v", window, have, counts)
		}
		return http.StatusOK
	}
	d.accepted[window], d.acceptedAt[window] = maps.Clone(counts), now
	return http.StatusOK
}

func (d *Duties) violate(format string, args ...any) {
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// Violations returns what the rules forbid and was seen.
func (d *Duties) Violations() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.violations...)
}

// Accepted returns the counts that were accepted for a window and when they were, and false if none were.
func (d *Duties) Accepted(window int64) (counts map[string]uint64, at time.Time, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts, ok = d.accepted[window]
	return counts, d.acceptedAt[window], ok
}

// Windows returns the number of windows that were accepted.
func (d *Duties) Windows() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.accepted)
}

// Calls returns the number of executed calls.
func (d *Duties) Calls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.calls
}

// Handler returns the HTTP handler of the calls.
func (d *Duties) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			WindowID *int64            `json:"windowId"`
			Counts   map[string]uint64 `json:"counts"`
		}
		token, err := strconv.ParseInt(r.Header.Get("X-Coltsfootvalve-Fence-Token"), 10, 64)
		holder := r.Header.Get("X-Coltsfootvalve-Duty-Holder")
		if json.NewDecoder(r.Body).Decode(&body) != nil || err != nil || holder == "" || body.WindowID == nil || body.Counts == nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		w.WriteHeader(d.Usage(holder, token, *body.WindowID, body.Counts))
	})
	return mux
}
