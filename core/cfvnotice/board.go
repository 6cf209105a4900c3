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

// announced is a number that an endpoint names in its responses for as long as it holds.
type announced struct {
	value      float64       // 0: ended
	observedAt time.Duration // when the response that told arrived, here or at a peer
	stamp      Stamp         // of that observation
	endsAt     time.Duration // first response without a number; 0: none since the last with one
}

// observe records the number in a response, or 0. It ends with responses without one to requests that were sent after
// the last response with one, if none of the latter arrives for a while: responses may overtake each other.
func (a *announced) observe(now, sentAt time.Duration, value float64, stamp func() Stamp) (changed bool) {
	switch {
	case value > 0:
		changed = a.value != value
	case a.value == 0 || sentAt < a.observedAt:
		return false
	case a.endsAt == 0:
		a.endsAt = now
		return false
	case now-a.endsAt < changeInterval:
		return false
	default:
		changed = true
	}
	*a = announced{value: value, observedAt: now, stamp: stamp()}
	return changed
}

// merge records a number that a peer told, unless it is older than the known one or the echo of an own one.
func (a *announced) merge(self string, at time.Duration, u Update) (changed bool) {
	if at <= a.observedAt || u.Stamp.Entry == a.stamp.Entry && u.Stamp.Sequence <= a.stamp.Sequence || u.Stamp.Entry == self {
		return false
	}
	changed = a.value != u.Limit
	*a = announced{value: u.Limit, observedAt: at, stamp: u.Stamp}
	return changed
}

// limitState is the limit of one endpoint as this entry knows it.
type limitState struct {
	announced
	credit   float64 // requests that this entry may send now
	creditAt time.Duration
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
	known   bool                     // the entries are known
	sharers []string                 // of the slots of brittle endpoints: the entries, and others whose notices were heard
	listing int                      // changes of sharers
	heard   map[string]time.Duration // entries whose notices were heard, and when last
	limits  map[cfvfleet.Incarnation]*limitState
	leaving map[cfvfleet.Incarnation]time.Duration // when it was observed
	pauses  map[cfvfleet.Incarnation]time.Duration // until when
	brittle map[cfvfleet.Incarnation]*brittleState
}

// NewBoard returns the board of the entry named self. Its observations are numbered from first on, which must be higher for each
// process of the entry.
func NewBoard(self string, first int64) *Board {
	return &Board{
		self: self, last: first, entries: []string{self}, limits: make(map[cfvfleet.Incarnation]*limitState),
		leaving: make(map[cfvfleet.Incarnation]time.Duration), pauses: make(map[cfvfleet.Incarnation]time.Duration),
		brittle: make(map[cfvfleet.Incarnation]*brittleState), heard: make(map[string]time.Duration),
	}
}

// SetEntries sets the names of all entries that share the endpoints. An empty list is ignored.
func (b *Board) SetEntries(names []string) {
	if len(names) == 0 {
		return
	}
	changed := !slices.Equal(names, b.entries)
	b.entries, b.known = names, true
	if changed || b.sharers == nil {
		b.updateSharers()
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
	if !n.BrittleInvalid && b.observeBrittle(now, sentAt, id, n.Brittle) {
		changed = true
	}
	if !n.LimitInvalid && b.observeLimit(now, sentAt, id, n.Limit) {
		changed = true
	}
	return changed
}

// observeLimit records the limit in a response, or 0.
func (b *Board) observeLimit(now, sentAt time.Duration, id cfvfleet.Incarnation, limit float64) (changed bool) {
	s := b.limits[id]
	if s == nil {
		if limit == 0 {
			return false
		}
		s = &limitState{creditAt: now}
		b.limits[id] = s
	}
	return s.observe(now, sentAt, limit, b.nextStamp)
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
	if s := b.limits[id]; s != nil && s.value > 0 {
		s.credit--
	}
	return true
}

// Leaving reports whether an endpoint has said that it is leaving.
func (b *Board) Leaving(id cfvfleet.Incarnation) bool { return b.leaving[id] != 0 }

// never is the wait for an endpoint that this entry will send nothing to.
const never = time.Duration(math.MaxInt64)

// Wait returns how long this entry has to wait until it may send a request to an endpoint; 0: it may now.
func (b *Board) Wait(now time.Duration, id cfvfleet.Incarnation) time.Duration {
	if b.leaving[id] != 0 {
		return never
	}
	wait := max(b.pauses[id]-now, 0)
	s := b.limits[id]
	if s == nil || s.value == 0 {
		return wait
	}
	rate := b.rate(id, s.value)
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

// ShortestWait returns the shortest wait for one of several endpoints; false if this entry may send to none of them. The argument
// brittleWait returns the wait for an endpoint with the loads that are known, by BrittleWait.
func (b *Board) ShortestWait(now time.Duration, endpoints []*cfvfleet.Endpoint, brittleWait func(*cfvfleet.Endpoint) time.Duration) (wait time.Duration, ok bool) {
	wait = never
	for _, e := range endpoints {
		wait = min(wait, max(b.Wait(now, e.Incarnation()), brittleWait(e)))
	}
	return wait, wait < never
}

// Limited reports whether an endpoint has a limit, is brittle, is leaving or has asked this entry to pause.
func (b *Board) Limited(now time.Duration, id cfvfleet.Incarnation) bool {
	s := b.limits[id]
	return b.leaving[id] != 0 || now < b.pauses[id] || s != nil && s.value > 0 || b.brittleOf(id) != nil
}

// rate returns how many requests per second this entry may send to an endpoint with a limit. A low limit is used by a few
// entries only, the ones whose names rank first for the endpoint: a request of each would be too many.
func (b *Board) rate(id cfvfleet.Incarnation, limit float64) float64 {
	holders := min(max(int(limitPart*limit/minHolderRate), 1), len(b.entries))
	if b.above(b.entries, id.ID) >= holders {
		return 0
	}
	return limitPart * limit / float64(holders)
}

// above returns how many of the entries rank higher than this one for an endpoint.
func (b *Board) above(entries []string, endpoint string) (n int) {
	mine := rank(b.self, endpoint)
	for _, name := range entries {
		if name != b.self && rank(name, endpoint) > mine {
			n++
		}
	}
	return n
}

func rank(entry, endpoint string) uint64 { return xxhash.Sum64String(entry + "\x00" + endpoint) }

// Update is a notice that one entry tells another. Its age is the time since the response arrived.
type Update struct {
	Endpoint cfvfleet.Incarnation
	Kind     Kind
	Limit    float64 // of a limit: requests per second; of a brittle endpoint: rejections per second; 0: it has ended
	Age      time.Duration
	Stamp    Stamp // of a limit, of what a brittle endpoint said, or of a rejection

	// How much of a brittle endpoint the peer uses, for an entry that has just started.
	Factor, Borrowing float64
}

// Kind is the kind of an update.
type Kind int

// Values of Kind.
const (
	Limit     Kind = iota
	Leaving        // the endpoint's process is about to end
	Brittle        // the endpoint bears few rejections
	Rejection      // a brittle endpoint rejected a request for want of room
)

// Updates returns what other entries should know, the newest first.
func (b *Board) Updates(now time.Duration) (out []Update) {
	for id, s := range b.limits {
		out = append(out, Update{Endpoint: id, Limit: s.value, Age: now - s.observedAt, Stamp: s.stamp})
	}
	for id, at := range b.leaving {
		out = append(out, Update{Endpoint: id, Kind: Leaving, Age: now - at})
	}
	return append(newest(out, maxUpdates), b.brittleUpdates(now)...)
}

// newest returns the newest n updates, the newest first.
func newest(updates []Update, n int) []Update {
	slices.SortFunc(updates, func(x, y Update) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Endpoint.ID, y.Endpoint.ID))
	})
	return updates[:min(len(updates), n)]
}

// Merge records an update of a peer that was received at some time. The newer of two limits holds.
func (b *Board) Merge(receivedAt time.Duration, u Update) (changed bool) {
	at := max(receivedAt-u.Age, 1)
	if !(u.Limit >= 0 && u.Limit <= MaxLimit) {
		return false
	}
	switch u.Kind {
	case Brittle:
		return b.mergeBrittle(receivedAt, at, u)
	case Rejection:
		return b.mergeRejection(receivedAt, at, u)
	case Leaving:
		changed = b.leaving[u.Endpoint] == 0
		if changed {
			b.leaving[u.Endpoint] = at
		}
		return changed
	}
	s := b.limits[u.Endpoint]
	if s == nil {
		if u.Limit == 0 {
			return false
		}
		s = &limitState{creditAt: receivedAt}
		b.limits[u.Endpoint] = s
	}
	return s.merge(b.self, at, u)
}

// Retain forgets endpoints that are not in the list, pauses that are over and limits that ended long ago.
func (b *Board) Retain(now time.Duration, endpoints []*cfvfleet.Endpoint) {
	known := make(map[cfvfleet.Incarnation]bool, len(endpoints))
	for _, e := range endpoints {
		known[e.Incarnation()] = true
	}
	for id, s := range b.limits {
		if now-s.observedAt > forgetAfter && (s.value == 0 || !known[id]) {
			delete(b.limits, id)
		}
	}
	for name, at := range b.heard {
		if now-at > forgetAfter {
			delete(b.heard, name)
			b.updateSharers()
		}
	}
	for id, s := range b.brittle {
		if now-s.observedAt > forgetAfter && (s.value == 0 || !known[id]) {
			delete(b.brittle, id)
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
