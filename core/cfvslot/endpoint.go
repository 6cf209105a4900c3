// Package cfvslot is the owner's table of slots: it places requests on the endpoints of
// the groups that a node owns, ramps cold endpoints, and queues what cannot be carried.
package cfvslot

import "time"

// EndpointConfig is what the settings say of one endpoint.
type EndpointConfig struct {
	Name            string
	Group           string
	Address         string
	Version         string
	ColdSlots       int           // slots of a freshly started endpoint
	WarmSlots       int           // slots of a warm endpoint
	MinRampInterval time.Duration // least time between two doublings of the slots
	MaxReportAge    time.Duration // greatest age of a load report
	Drained         bool
}

// Load is one load report of an endpoint.
type LoadReport struct {
	BootID  string
	Version string
	Leaving bool
}

// Level is what is known of an endpoint's ramp at one boot.
type RampLevel struct {
	Endpoint string
	BootID   string
	Slots    int
}

// endpoint is the state of one endpoint at its owner.
type endpoint struct {
	cfg       EndpointConfig
	bootID    string
	version   string
	pastBoots []string
	bound     int
	succeeded int
	lastStep  time.Time
	slots     map[string]*slot
	levels    map[string]int
	leaving   bool
	failures  int
	downUntil time.Time
	restarts  int       // changes of the boot seen here
	doubted   time.Time // when a connection broke; zero once a report has told the boot since
	settled   bool
	unheard   map[string]bool
	settleBy  time.Time
}

// slot is one reserved place on an endpoint.
type slot struct {
	id        string
	entry     string
	started   uint64
	workspace string
	bootID    string
	granted   time.Time
	limit     time.Duration
	lingers   time.Time // when a slot whose request broke off is free; zero while in use
}

// maxPastBoots bounds the boot identities remembered to recognise late messages.
const maxPastBoots = 8

// Bounds of the pause after an endpoint could not be reached.
const (
	downFirst = 250 * time.Millisecond
	downMost  = 8 * time.Second
)

func newEndpoint(cfg EndpointConfig) *endpoint {
	return &endpoint{
		cfg:     cfg,
		version: cfg.Version,
		bound:   cfg.ColdSlots,
		slots:   make(map[string]*slot),
		levels:  make(map[string]int),
	}
}

// isCold reports whether the endpoint is held to a strict bound: it is below its full
// number of slots, or it never bears more than when it is cold.
func (e *endpoint) isCold() bool {
	return e.limit() < e.cfg.WarmSlots || e.cfg.ColdSlots == e.cfg.WarmSlots
}

// limit returns the slots that the endpoint bears now.
func (e *endpoint) limit() int {
	if e.bootID == "" {
		return e.cfg.ColdSlots
	}
	return min(e.bound, e.cfg.WarmSlots)
}

// shut reports whether the endpoint may get no new work.
func (e *endpoint) shut(now time.Time) bool {
	return e.cfg.Drained || e.leaving || !e.doubted.IsZero() || now.Before(e.downUntil)
}

// observeBoot learns the boot identity and restarts the ramp if it is a new one.
func (e *endpoint) observeBoot(now time.Time, bootID string) (restarted bool) {
	if bootID == "" || bootID == e.bootID {
		return false
	}
	for _, past := range e.pastBoots {
		if past == bootID {
			return false
		}
	}
	restarted = e.bootID != ""
	if restarted {
		e.pastBoots = append(e.pastBoots, e.bootID)
		if len(e.pastBoots) > maxPastBoots {
			e.pastBoots = e.pastBoots[1:]
		}
	}
	if restarted {
		e.dropLingering()
		e.restarts++
		e.levels = make(map[string]int)
	}
	e.bootID = bootID
	e.bound = max(e.cfg.ColdSlots, e.levels[bootID])
	e.succeeded = 0
	e.lastStep = now
	return restarted
}

// dropLingering frees the slots whose requests broke off: they ran at the boot that has
// ended.
func (e *endpoint) dropLingering() {
	for id, s := range e.slots {
		if !s.lingers.IsZero() && s.bootID == e.bootID {
			delete(e.slots, id)
		}
	}
}

// resolveDoubt ends the doubt about the boot after a broken connection: a report shows
// another boot, or the same one though it was made after the connection broke.
func (e *endpoint) resolveDoubt(now time.Time, restarted bool) {
	if restarted || now.Sub(e.doubted) >= e.cfg.MaxReportAge {
		e.doubted = time.Time{}
	}
}

// learnLevel takes a ramp level that another node knows of. Once the boot has changed here
// nothing is taken: a report that came late may show the boot that has ended, and others
// know its level.
func (e *endpoint) learnLevel(l RampLevel) {
	if e.restarts > 0 {
		return
	}
	e.levels[l.BootID] = max(e.levels[l.BootID], l.Slots)
	if l.BootID == e.bootID {
		e.bound = max(e.bound, l.Slots)
	}
}

// success counts a finished request and takes the next step of the ramp when it is due.
func (e *endpoint) success(now time.Time, bootID string) {
	e.failures = 0
	if bootID != e.bootID || e.bound >= e.cfg.WarmSlots {
		return
	}
	e.succeeded++
	if e.succeeded < e.bound || now.Sub(e.lastStep) < e.cfg.MinRampInterval {
		return
	}
	e.bound = min(2*e.bound, e.cfg.WarmSlots)
	e.succeeded = 0
	e.lastStep = now
}

// unreachable pauses the endpoint, longer each time.
func (e *endpoint) unreachable(now time.Time) {
	pause := min(downFirst<<min(e.failures, 10), downMost)
	e.failures++
	e.downUntil = now.Add(pause)
}
