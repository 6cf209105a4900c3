package cfvdispatch

import (
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// signDelay is how much later than the restart its first sign may be noticed: a connection that was opened within this time
// before may be one to the new process.
const signDelay = 200 * time.Millisecond

// maxUnproven is how long an endpoint is limited after the last sign of a restart if neither a health check nor a response tells
// more. Failed connections, also of health checks, are signs.
const maxUnproven = 10 * time.Second

// restartSigns are the signs that an endpoint's process has ended or started again since it was last known to be warm. Until it
// is known again, the endpoint is limited like a cold one: its announcement arrives up to seconds later, and a crowd of requests
// would end it again.
type restartSigns struct {
	any         bool
	first, last time.Duration
	warmBy      time.Duration // the process is warm then, even if it has started again; 0: not known
}

// add records a sign.
func (r *restartSigns) add(now time.Duration) {
	if !r.unproven(now) {
		*r = restartSigns{any: true, first: now}
	}
	r.last, r.warmBy = now, 0
}

// unproven reports whether the process may have started so lately that it is cold.
func (r *restartSigns) unproven(now time.Duration) bool {
	return r.any && now < r.last+maxUnproven && (r.warmBy == 0 || now < r.warmBy)
}

// recordHealthy records a health response to a check that was sent at a time. It told whether the process that runs is cold.
func (r *restartSigns) recordHealthy(sentAt time.Duration) {
	if sentAt >= r.last {
		*r = restartSigns{}
	}
}

// recordResponse records a response to a request that was sent at a time, over a connection that was opened at a time.
// Connections don't outlive their process. So the process has run since that connection was opened: it has not started again,
// or is warm once the time is over for which one is cold after its start.
func (r *restartSigns) recordResponse(connectedAt, sentAt, coldFor time.Duration) {
	switch {
	case !r.any || sentAt < r.last:
	case connectedAt < r.first-signDelay:
		*r = restartSigns{}
	case r.warmBy == 0 || connectedAt+coldFor < r.warmBy:
		r.warmBy = connectedAt + coldFor
	}
}

// SuspectRestart records a sign that the endpoint's process has started again, such as the end of a connection that was not
// in use, without making the endpoint unavailable.
func (d *Dispatcher) SuspectRestart(now time.Duration, e *cfvfleet.Endpoint) {
	d.stateOf(e).signs.add(now)
}

// MayBeCold reports whether an endpoint may have started again since it was last known to be warm.
func (d *Dispatcher) MayBeCold(now time.Duration, id string) bool {
	s := d.states[id]
	return s != nil && s.signs.unproven(now)
}

// Cold reports whether an endpoint of a service with a limit for cold ones is cold or may be. It was announced to be cold until a
// time; 0: it was not.
func (d *Dispatcher) Cold(now time.Duration, id string, announced time.Duration) bool {
	s := d.states[id]
	return announced > now || s != nil && (s.coldUntil > now || s.signs.unproven(now))
}

// coldUntil returns the time until which an endpoint is cold, according to the endpoint
// itself or to the query.
func (d *Dispatcher) coldUntil(e *cfvfleet.Endpoint, s *endpointState, q Query) time.Duration {
	t := s.coldUntil
	if q.ColdUntil != nil {
		t = max(t, q.ColdUntil(e.ID))
	}
	return t
}

// cold reports whether an endpoint is cold or may be.
func (d *Dispatcher) cold(now time.Duration, e *cfvfleet.Endpoint, s *endpointState, q Query) bool {
	return d.coldUntil(e, s, q) > now || q.ColdRequestsPerSecond > 0 && s.signs.unproven(now)
}

// belowColdLimit reports whether this entry may send the endpoint one more request now. Only
// endpoints that are or may be cold, and unavailable ones, are limited.
func (d *Dispatcher) belowColdLimit(now time.Duration, e *cfvfleet.Endpoint, s *endpointState, q Query) bool {
	if q.ColdRequestsPerSecond <= 0 || !d.cold(now, e, s, q) && now >= s.unavailableUntil {
		return true
	}
	return s.sendsInWindow(now) < d.coldLimit(e.ID, q.ColdRequestsPerSecond)
}

// coldLimitWindow is the period over which the requests to a cold endpoint are counted.
const coldLimitWindow = time.Second

// sendsInWindow returns how many requests were sent to the endpoint within the last second.
func (s *endpointState) sendsInWindow(now time.Duration) int {
	for len(s.recentSends) > 0 && now-s.recentSends[0] >= coldLimitWindow {
		s.recentSends = s.recentSends[1:]
	}
	return len(s.recentSends)
}

// coldLimit returns how many requests per second this entry may send to a cold endpoint, so
// that all entries together stay within the endpoint's limit. If there are too many entries
// for each to send two, only those with the highest hashes for this endpoint may send. An entry
// that does not know the others yet sends none: any number of them may have started with it.
func (d *Dispatcher) coldLimit(id string, perSecond float64) int {
	n := len(d.entries)
	if n == 0 {
		return 0
	}
	if share := int(perSecond) / n; share >= 2 {
		return share
	}
	holders := max(int(perSecond)/2, 1)
	mine := xxhash.Sum64String(d.self + "\x00" + id)
	above := 0
	for _, name := range d.entries {
		if name != d.self && xxhash.Sum64String(name+"\x00"+id) > mine {
			above++
		}
	}
	if above < holders {
		return min(int(perSecond), 2)
	}
	return 0
}
