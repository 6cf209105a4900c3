// Package cfvfault injects faults into the stand-ins. Tests set a fault directly; the operator
// of a demo sends it as JSON with POST /fault.
package cfvfault

import (
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
)

// Mode is a kind of fault.
type Mode string

// Modes. Not every stand-in supports every mode; a mode that it does not support has no effect.
const (
	None           Mode = ""
	Outage         Mode = "outage"      // every call fails immediately
	Slow           Mode = "slow"        // every call takes Millis longer
	LoseResponses  Mode = "loseAnswers" // calls take effect, but their responses are lost
	Silent         Mode = "silent"      // open responses stall and never end
	Dribble        Mode = "dribble"     // open responses stall, but a byte is sent now and then
	Truncate       Mode = "truncate"    // responses end before they are complete
	WrongRequestID Mode = "cross"       // responses carry the ID of another request
	Refuse         Mode = "refuse"      // requests are refused before they run
	Fail           Mode = "fail"        // requests fail with status 500
	Full           Mode = "full"        // the store has no space left
)

// Fault describes a fault to inject.
type Fault struct {
	Mode   Mode
	Millis int
	Route  string // path of the affected calls; empty for all
	Count  int    // number of affected calls; 0 for no limit
}

type faultJSON struct {
	Mode   Mode   `json:"mode"`
	Millis int    `json:"millis"`
	Route  string `json:"route"`
	Count  int    `json:"count"`
}

// Injector holds the current fault of a stand-in. It is safe for concurrent use.
type Injector struct {
	mu    sync.Mutex
	fault Fault
}

// Set replaces the current fault.
func (i *Injector) Set(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.fault = f
}

// FaultFor returns the fault that applies to a call of the path, and decrements its count.
func (i *Injector) FaultFor(path string) Fault {
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.fault
	if f.Mode == None || (f.Route != "" && f.Route != path) {
		return Fault{}
	}
	if f.Count > 0 {
		i.fault.Count--
		if i.fault.Count == 0 {
			i.fault = Fault{}
		}
	}
	return f
}

// Delay returns the delay that a Slow fault adds.
func (f Fault) Delay() time.Duration {
	if f.Mode != Slow {
		return 0
	}
	return time.Duration(f.Millis) * time.Millisecond
}

// ServeHTTP sets the fault that the request body holds as JSON.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var j faultJSON
	if !cfvhttp.ReadJSON(w, r, 1<<16, &j) {
		return
	}
	i.Set(Fault(j))
	cfvhttp.WriteJSON(w, http.StatusOK, j)
}

// DropConnection closes the connection of the current call without a response.
func DropConnection() {
	panic(http.ErrAbortHandler)
}
