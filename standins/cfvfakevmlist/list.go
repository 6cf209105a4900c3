// Package cfvfakevmlist is a stand-in for the platform's list of live and leaving VMs. It
// serves JSON over HTTP, delayed by a configured lag.
package cfvfakevmlist

import (
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvvmlist"
)

// Config configures a list.
type Config struct {
	Lag time.Duration // delay until readers see a change
}

// List is a fake VM list. It is safe for concurrent use.
type List struct {
	cfg Config

	mu        sync.Mutex
	snapshots []snapshot
}

// snapshot is the list as it was set at one time.
type snapshot struct {
	setAt time.Time
	vms   []cfvvmlist.VM
}

// New returns an empty list.
func New(cfg Config) *List {
	return &List{cfg: cfg, snapshots: []snapshot{{}}}
}

// Set replaces the list; readers see it after the lag.
func (l *List) Set(vms []cfvvmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, snapshot{time.Now(), vms})
}

// read returns the newest list that is at least as old as the lag.
func (l *List) read() []cfvvmlist.VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.snapshots) > 1 && now.Sub(l.snapshots[1].setAt) >= l.cfg.Lag {
		l.snapshots = l.snapshots[1:]
	}
	return l.snapshots[0].vms
}

// Handler returns the HTTP handler of the list.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		cfvhttp.WriteJSON(w, http.StatusOK, cfvvmlist.List{VMs: l.read()})
	})
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var list cfvvmlist.List
		if cfvhttp.ReadJSON(w, r, 8<<20, &list) {
			l.Set(list.VMs)
		}
	})
	return mux
}
