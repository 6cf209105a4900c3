// Package cfvslot implements the slot table of a group's owner. The table assigns requests
// to the endpoints of the groups that a node owns, raises the request limit of cold endpoints
// step by step, and queues requests while no slot is free.
package cfvslot

import "time"

// EndpointConfig holds the settings of one endpoint.
type EndpointConfig struct {
	Name            string
	Group           string
	Address         string
	Version         string
	ColdSlots       int           // slots of an endpoint that has just started
	WarmSlots       int           // slots of a warm endpoint
	MinRampInterval time.Duration // between two doublings of the slots
	MaxReportAge    time.Duration // greatest age of the state in a load report when the endpoint sends it
	Drained         bool
}

// LoadReport is one load report of an endpoint.
type LoadReport struct {
	BootID  string
	Version string
	Leaving bool
	Took    time.Duration // from the request for the report until its arrival
}

// RampLevel is the number of slots that the ramp of an endpoint has reached since one boot.
type RampLevel struct {
	Endpoint string
	BootID   string
	Slots    int
}

// endpoint holds the state of one endpoint at its owner.
type endpoint struct {
	cfg              EndpointConfig
	bootID           string
	version          string
	pastBootIDs      []string
	rampSlots        int
	successes        int
	lastRampStep     time.Time
	slots            map[string]*slot
	reportedSlots    map[string]int
	leaving          bool
	leavingSeenAt    time.Time // when the endpoint last announced that it is leaving
	failures         int
	unavailableUntil time.Time
	restarts         int       // changes of the boot ID seen by this node
	connectionLostAt time.Time // zero once a load report made after the loss shows the boot ID
	settled          bool
	missingEntries   map[string]bool
	settleDeadline   time.Time
}

// slot is one reserved slot on an endpoint.
type slot struct {
	id           string
	entry        string
	entryStarted uint64
	workspace    string
	bootID       string
	grantedAt    time.Time
	maxDuration  time.Duration
	lingersUntil time.Time // when a slot whose request was cut off becomes free; zero while in use
}

// maxPastBootIDs is the number of past boot IDs kept to recognise late messages.
const maxPastBootIDs = 8

// Backoff after an endpoint could not be reached.
const (
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
)

func newEndpoint(cfg EndpointConfig) *endpoint {
	return &endpoint{
		cfg:           cfg,
		version:       cfg.Version,
		rampSlots:     cfg.ColdSlots,
		slots:         make(map[string]*slot),
		reportedSlots: make(map[string]int),
	}
}

// isCold reports whether the endpoint's slot limit is strict: the limit is still below the
// warm one, or the cold and the warm limit are equal.
func (e *endpoint) isCold() bool {
	return e.slotLimit() < e.cfg.WarmSlots || e.cfg.ColdSlots == e.cfg.WarmSlots
}

// slotLimit returns the number of requests that the endpoint may run now.
func (e *endpoint) slotLimit() int {
	if e.bootID == "" {
		return e.cfg.ColdSlots
	}
	return min(e.rampSlots, e.cfg.WarmSlots)
}

// unavailable reports whether the endpoint must not get new requests.
func (e *endpoint) unavailable(now time.Time) bool {
	return e.cfg.Drained || e.leaving || !e.connectionLostAt.IsZero() || now.Before(e.unavailableUntil)
}

// observeBoot updates the boot ID and restarts the ramp if the ID is new.
func (e *endpoint) observeBoot(now time.Time, bootID string) (restarted bool) {
	if bootID == "" || bootID == e.bootID {
		return false
	}
	for _, past := range e.pastBootIDs {
		if past == bootID {
			return false
		}
	}
	restarted = e.bootID != ""
	if restarted {
		e.pastBootIDs = append(e.pastBootIDs, e.bootID)
		if len(e.pastBootIDs) > maxPastBootIDs {
			e.pastBootIDs = e.pastBootIDs[1:]
		}
	}
	if restarted {
		e.freeLingeringSlots()
		e.restarts++
		e.reportedSlots = make(map[string]int)
	}
	e.bootID = bootID
	e.rampSlots = max(e.cfg.ColdSlots, e.reportedSlots[bootID])
	e.successes = 0
	e.lastRampStep = now
	return restarted
}

// freeLingeringSlots frees the slots of requests that were cut off at the current boot. It
// is called when the endpoint has restarted, which ended them.
func (e *endpoint) freeLingeringSlots() {
	for id, s := range e.slots {
		if !s.lingersUntil.IsZero() && s.bootID == e.bootID {
			delete(e.slots, id)
		}
	}
}

// clearConnectionLost makes the endpoint available again after a lost connection if the load
// report shows a restart, or if the report must have been made after the loss.
func (e *endpoint) clearConnectionLost(now time.Time, restarted bool, l LoadReport) {
	if restarted || e.isNewer(now, l, e.connectionLostAt) {
		e.connectionLostAt = time.Time{}
	}
}

// recordLeaving records whether the endpoint is leaving. An announcement is only undone by a load
// report of the next boot or one that must have been made after it.
func (e *endpoint) recordLeaving(now time.Time, restarted bool, l LoadReport) {
	if l.Leaving {
		e.leaving, e.leavingSeenAt = true, now
	} else if restarted || e.isNewer(now, l, e.leavingSeenAt) {
		e.leaving = false
	}
}

// isNewer reports whether a load report that arrives now must have been made after the given time.
func (e *endpoint) isNewer(now time.Time, l LoadReport, t time.Time) bool {
	return now.Sub(t) >= e.cfg.MaxReportAge+l.Took
}

// applyRampLevel raises the ramp to a level that an entry reports. Once this node has seen
// a restart of the endpoint, it ignores the level: a late load report may show the ID of the
// boot that has ended, whose level the entries still know.
func (e *endpoint) applyRampLevel(l RampLevel) {
	if e.restarts > 0 {
		return
	}
	e.reportedSlots[l.BootID] = max(e.reportedSlots[l.BootID], l.Slots)
	if l.BootID == e.bootID {
		e.rampSlots = max(e.rampSlots, l.Slots)
	}
}

// recordSuccess counts a successful request. It doubles the slots once as many requests have
// succeeded as there are slots and MinRampInterval has passed.
func (e *endpoint) recordSuccess(now time.Time, bootID string) {
	e.failures = 0
	if bootID != e.bootID || e.rampSlots >= e.cfg.WarmSlots {
		return
	}
	e.successes++
	if e.successes < e.rampSlots || now.Sub(e.lastRampStep) < e.cfg.MinRampInterval {
		return
	}
	e.rampSlots = min(2*e.rampSlots, e.cfg.WarmSlots)
	e.successes = 0
	e.lastRampStep = now
}

// recordUnreachable makes the endpoint unavailable, with exponential backoff.
func (e *endpoint) recordUnreachable(now time.Time) {
	backoff := min(minBackoff<<min(e.failures, 10), maxBackoff)
	e.failures++
	e.unavailableUntil = now.Add(backoff)
}
