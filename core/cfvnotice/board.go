package cfvnotice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the limits.
const (
	limitPart      = 0.75 // of a limit that all entries use together
	minHolderRate  = 1.0  // requests per second for which it is worth having another entry that may send
	maxBurst       = 1.0  // requests that an entry may send at once
	changeInterval = 500 * time.Millisecond
	forgetAfter    = time.Minute // a limit that has ended is remembered for this long, so that no peer brings it back
	maxUpdates     = 64          // notices in one update for a peer
)

// limitState is the limit of one endpoint as this entry knows it.
type limitState struct {
	limit      float64       // 0: ended
	observedAt time.Duration // when the response that told arrived, here or at a peer
	stamp      Stamp         // of that observation
	endsAt     time.Duration // first response without a limit; 0: none since the last with one
	credit     float64       // requests that this entry may send now
	creditAt   time.Duration
}

// Stamp identifies an observation of one entry. Times of the entries' observations can be compared only roughly, so they
// don't show that a notice is the echo of a known one.
type Stamp struct {
	Entry    string
	Sequence int64 // ascending, also when the entry's process starts again
}

// Board keeps what endpoints said of themselves, for one entry. Limits and leaving hold for all entries, which tell
// each other; a pause holds for the entry that was told. Times are readings of a clock that also advances while the
// VM is suspended. A Board is not safe for concurrent use.
type Board struct {
	self    string
	last    int64 // sequence number of the last own observation
	entries []string
	limits  map[cfvfleet.Incarnation]*limitState
	leaving map[cfvfleet.Incarnation]time.Duration // when it was observed
	pauses  map[cfvfleet.Incarnation]time.Duration // until when
}

// NewBoard returns the board of the entry named self. Its observations are numbered from first on, which must be higher for each
// process of the entry.
func NewBoard(self string, first int64) *Board {
	return &Board{
		self: self, last: first, entries: []string{self}, limits: make(map[cfvfleet.Incarnation]*limitState),
		leaving: make(map[cfvfleet.Incarnation]time.Duration), pauses: make(map[cfvfleet.Incarnation]time.Duration),
	}
}

// SetEntries sets the names of all entries that share the endpoints. An empty list is ignored.
func (b *Board) SetEntries(names []string) {
	if len(names) > 0 {
		b.entries = names
	}
}

// Observe records a notice of an endpoint. sentAt is when the request was sent to which it responded. It reports whether the
// limit changed or the endpoint is leaving since now.
func (b *Board) Observe(now, sentAt time.Duration, id cfvfleet.Incarnation, n Notice) (changed bool) {
	if n.Leaving && b.leaving[id] == 0 {
		b.leaving[id], changed = max(now, 1), true
	}
	if n.RetryAfter > 0 {
		b.pauses[id] = max(b.pauses[id], now+min(n.RetryAfter, MaxRetryAfter))
	}
	if n.LimitInvalid {
		return changed
	}
	return b.observeLimit(now, sentAt, id, n.Limit) || changed
}

// observeLimit records the limit in a response. It ends with responses without one to requests that were sent after
// the last response with one, if none of the latter arrives for a while: responses may overtake each other.
func (b *Board) observeLimit(now, sentAt time.Duration, id cfvfleet.Incarnation, limit float64) (changed bool) {
	s := b.limits[id]
	switch {
	case limit > 0 && s == nil:
		b.limits[id] = &limitState{limit: limit, observedAt: now, stamp: b.nextStamp(), creditAt: now}
		return true
	case limit > 0:
		changed = s.limit != limit
		s.limit, s.observedAt, s.stamp, s.endsAt = limit, now, b.nextStamp(), 0
		return changed
	case s == nil || s.limit == 0 || sentAt < s.observedAt:
		return false
	case s.endsAt == 0:
		s.endsAt = now
		return false
	case now-s.endsAt < changeInterval:
		return false
	}
	s.limit, s.observedAt, s.stamp, s.endsAt = 0, now, b.nextStamp(), 0
	return true
}

func (b *Board) nextStamp() Stamp {
	b.last++
	return Stamp{Entry: b.self, Sequence: b.last}
}

// Allows reports whether this entry may send a request to an endpoint now.
func (b *Board) Allows(now time.Duration, id cfvfleet.Incarnation) bool {
	return b.Wait(now, id) == 0
}

// Take counts a request that is about to be sent, and reports whether it may be.
func (b *Board) Take(now time.Duration, id cfvfleet.Incarnation) bool {
	if !b.Allows(now, id) {
		return false
	}
	if s := b.limits[id]; s != nil && s.limit > 0 {
		s.credit--
	}
	return true
}

// never is the wait for an endpoint that this entry will send nothing to.
const never = time.Duration(math.MaxInt64)

// Wait returns how long this entry has to wait until it may send a request to an endpoint; 0: it may now.
func (b *Board) Wait(now time.Duration, id cfvfleet.Incarnation) time.Duration {
	if b.leaving[id] != 0 {
		return never
	}
	wait := max(b.pauses[id]-now, 0)
	s := b.limits[id]
	if s == nil || s.limit == 0 {
		return wait
	}
	rate := b.rate(id, s.limit)
	if rate == 0 {
		return never
	}
	s.refill(now, rate)
	if s.credit < 1 {
		wait = max(wait, time.Duration((1-s.credit)/rate*float64(time.Second))+1)
	}
	return wait
}

// refill adds the credit of the time that has passed.
func (s *limitState) refill(now time.Duration, rate float64) {
	if now > s.creditAt {
		s.credit = min(s.credit+rate*(now-s.creditAt).Seconds(), maxBurst)
		s.creditAt = now
	}
}

// ShortestWait returns the shortest wait for one of several endpoints; false if this entry may send to none of them.
func (b *Board) ShortestWait(now time.Duration, endpoints []*cfvfleet.Endpoint) (wait time.Duration, ok bool) {
	wait = never
	for _, e := range endpoints {
		wait = min(wait, b.Wait(now, e.Incarnation()))
	}
	return wait, wait < never
}

// Limited reports whether an endpoint has a limit, is leaving or has asked this entry to pause.
func (b *Board) Limited(now time.Duration, id cfvfleet.Incarnation) bool {
	s := b.limits[id]
	return b.leaving[id] != 0 || now < b.pauses[id] || s != nil && s.limit > 0
}

// rate returns how many requests per second this entry may send to an endpoint with a limit. A low limit is used by a few
// entries only, the ones whose names rank first for the endpoint: a request of each would be too many.
func (b *Board) rate(id cfvfleet.Incarnation, limit float64) float64 {
	holders := min(max(int(limitPart*limit/minHolderRate), 1), len(b.entries))
	mine := rank(b.self, id.ID)
	above := 0
	for _, name := range b.entries {
		if name != b.self && rank(name, id.ID) > mine {
			above++
		}
	}
	if above >= holders {
		return 0
	}
	return limitPart * limit / float64(holders)
}

func rank(entry, endpoint string) uint64 { return xxhash.Sum64String(entry + "\x00" + endpoint) }

// Update is a notice that one entry tells another. Its age is the time since the response arrived.
type Update struct {
	Endpoint cfvfleet.Incarnation
	Limit    float64 // 0: it has ended, unless Leaving is set
	Leaving  bool
	Age      time.Duration
	Stamp    Stamp // of a limit
}

// Updates returns what other entries should know, the newest first.
func (b *Board) Updates(now time.Duration) (out []Update) {
	for id, s := range b.limits {
		out = append(out, Update{Endpoint: id, Limit: s.limit, Age: now - s.observedAt, Stamp: s.stamp})
	}
	for id, at := range b.leaving {
		out = append(out, Update{Endpoint: id, Leaving: true, Age: now - at})
	}
	slices.SortFunc(out, func(x, y Update) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Endpoint.ID, y.Endpoint.ID))
	})
	return out[:min(len(out), maxUpdates)]
}

// Merge records an update of a peer that was received at some time. The newer of two limits holds.
func (b *Board) Merge(receivedAt time.Duration, u Update) (changed bool) {
	at := max(receivedAt-u.Age, 1)
	if !(u.Limit >= 0 && u.Limit <= MaxLimit) {
		return false
	}
	if u.Leaving {
		changed = b.leaving[u.Endpoint] == 0
		if changed {
			b.leaving[u.Endpoint] = at
		}
		return changed
	}
	s := b.limits[u.Endpoint]
	switch {
	case s == nil && u.Limit == 0:
		return false
	case s == nil:
		b.limits[u.Endpoint] = &limitState{limit: u.Limit, observedAt: at, stamp: u.Stamp, creditAt: receivedAt}
		return true
	case at <= s.observedAt, u.Stamp.Entry == s.stamp.Entry && u.Stamp.Sequence <= s.stamp.Sequence, u.Stamp.Entry == b.self:
		return false
	}
	changed = s.limit != u.Limit
	s.limit, s.observedAt, s.stamp, s.endsAt = u.Limit, at, u.Stamp, 0
	return changed
}

// Retain forgets endpoints that are not in the list, pauses that are over and limits that ended long ago.
func (b *Board) Retain(now time.Duration, endpoints []*cfvfleet.Endpoint) {
	known := make(map[cfvfleet.Incarnation]bool, len(endpoints))
	for _, e := range endpoints {
		known[e.Incarnation()] = true
	}
	for id, s := range b.limits {
		if now-s.observedAt > forgetAfter && (s.limit == 0 || !known[id]) {
			delete(b.limits, id)
		}
	}
	for id, at := range b.leaving {
		if now-at > forgetAfter && !known[id] {
			delete(b.leaving, id)
		}
	}
	for id, until := range b.pauses {
		if now >= until {
			delete(b.pauses, id)
		}
	}
}
