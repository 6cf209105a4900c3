// Package cfvfault is the switch by which a test or an operator of a demo makes a
// stand-in fail: POST /fault with a mode and a length.
package cfvfault

import (
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// Mode is a way to fail.
type Mode string

// The modes. Each stand-in says which ones it knows.
const (
	None        Mode = ""
	Outage      Mode = "outage"      // every call fails at once
	Slow        Mode = "slow"        // every call takes Millis longer
	LoseResponses Mode = "loseAnswers" // calls take effect, their answers are lost
	Silent      Mode = "silent"      // open answers stop without an end
	Truncate    Mode = "truncate"    // answers end before their end mark
	WrongRequestID       Mode = "cross"       // answers carry another request's id
	Refuse      Mode = "refuse"      // work is refused before it runs
	Fail        Mode = "fail"        // work fails with status 500
	Full        Mode = "full"        // nothing more can be stored
)

// Fault is one order to fail.
type Fault struct {
	Mode   Mode
	Millis int
	Route  string // only calls of this path; empty for all
	Count  int    // only so many calls; 0 for no bound
}

type faultJSON struct {
	Mode   Mode   `json:"mode"`
	Millis int    `json:"millis"`
	Route  string `json:"route"`
	Count  int    `json:"count"`
}

// Switch holds the fault in force.
type Injector struct {
	mu    sync.Mutex
	fault Fault
}

// Set puts a fault in force.
func (s *Injector) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Take returns the fault for a call of the path and counts it against the bound.
func (s *Injector) FaultFor(path string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Mode == None || (f.Route != "" && f.Route != path) {
		return Fault{}
	}
	if f.Count > 0 {
		s.fault.Count--
		if s.fault.Count == 0 {
			s.fault = Fault{}
		}
	}
	return f
}

// Delay returns the extra time of a slow fault.
func (f Fault) Delay() time.Duration {
	if f.Mode != Slow {
		return 0
	}
	return time.Duration(f.Millis) * time.Millisecond
}

// ServeHTTP takes a fault as JSON.
func (s *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var j faultJSON
	if !cfvhttp.ReadJSON(w, r, 1<<16, &j) {
		return
	}
	s.Set(Fault(j))
	cfvhttp.WriteJSON(w, http.StatusOK, j)
}

// DropConnection ends the call without an answer.
func DropConnection() {
	panic(http.ErrAbortHandler)
}
