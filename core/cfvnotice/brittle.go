package cfvnotice

import (
	"math"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Parameters of brittle endpoints.
const (
	usableSlots       = 0.9 // share of the slots that entries divide; probes and new connections take a slot as well
	rejectionPart     = 0.1 // share of the bearable rejections that is expected at the target load
	rejectionWindow   = time.Second
	rejectionPause    = 250 * time.Millisecond // without requests from the entry that had one rejected
	firstBorrowing    = 0.3
	minBorrowing      = 0.0005
	freshShare        = 0.25 // of the borrowing of a peer, for an entry that has just started: many may start together
	borrowedPart      = 4    // an entry borrows one slot for this many of its part, and at least one
	loadWeight        = 0.3  // of the last report
	borrowingGain     = 0.15 // exponent of the ratio of the target load to the load
	borrowingLoss     = 0.5  // factor while the slots are full
	slowestStep       = 0.8
	unneededStep      = 0.98             // factor while no request is refused: if demand rises at once, all entries would borrow
	neededFor         = 10 * time.Second // after a refusal, borrowing may rise
	fastestStep       = 1.25
	minFactor         = 0.25
	maxFactor         = 2.0
	factorGain        = 0.005 // added at each update without rejections, for each one that the endpoint bears
	maxFactorGain     = 0.025
	returnGain        = 3.0 // times faster below the slots that the endpoint has
	testedShare       = 0.7 // share of the target load from which it tells something that nothing is rejected
	defaultWork       = 50 * time.Millisecond
	workDecay         = 0.9 // weight kept by earlier requests at each new one
	maxCountedSlots   = 256 // with more, the target load is a fixed share
	largeTargetShare  = 0.8
	maxRejections     = 16 // that are remembered of one endpoint
	maxBrittleUpdates = 128
	minBrittleWait    = 50 * time.Millisecond
	maxBrittleWait    = time.Second
)

// brittleState is what this entry knows of an endpoint that bears few rejections. Its slots are divided among the entries. An
// entry whose part is in use may borrow a free slot of the others with a probability that falls with the load, since loads of
// peers arrive late.
type brittleState struct {
	announced
	assumed    bool // it has said nothing yet, and others of its service are brittle
	rejections []rejection
	pauseUntil time.Duration
	factor     float64       // of the slots and the target load that are used: higher while nothing is rejected, since some requests may wait
	borrowing  float64       // probability
	refusedAt  time.Duration // when a request was refused for want of it
	balanced   bool          // the loads of peers are known
	load       float64       // mean of the requests of all entries over the last reports
	work       time.Duration
	above      int // entries whose names rank higher for this endpoint
	listing    int // of the entries that above was counted for
}

// rejection is one request that was rejected for want of room, here or at a peer.
type rejection struct {
	at    time.Duration
	stamp Stamp
}

// brittleOf returns the state of an endpoint that is brittle, or nil.
func (b *Board) brittleOf(id cfvfleet.Incarnation) *brittleState {
	if s := b.brittle[id]; s != nil && s.value > 0 {
		return s
	}
	return nil
}

// AnyBrittle reports whether one of several endpoints is brittle.
func (b *Board) AnyBrittle(endpoints []*cfvfleet.Endpoint) bool {
	return len(b.brittle) > 0 && slices.ContainsFunc(endpoints, func(e *cfvfleet.Endpoint) bool { return b.brittleOf(e.Incarnation()) != nil })
}

// newBrittle adds the state of an endpoint.
func (b *Board) newBrittle(id cfvfleet.Incarnation) *brittleState {
	s := &brittleState{factor: 1, borrowing: firstBorrowing, work: defaultWork, listing: -1}
	b.brittle[id] = s
	return s
}

// observeBrittle records the number of rejections that an endpoint bears, as its response says, or 0.
func (b *Board) observeBrittle(now, sentAt time.Duration, id cfvfleet.Incarnation, bears float64) (changed bool) {
	s := b.brittle[id]
	if s == nil {
		if bears == 0 {
			return false
		}
		s = b.newBrittle(id)
	}
	if bears > 0 {
		s.assumed = false
	}
	return s.observe(now, sentAt, bears, b.nextStamp)
}

// AssumeBrittle takes the endpoints of a service for brittle that have said nothing yet while another one is: one that has just
// started would get what the others don't. It ends with what the others say.
func (b *Board) AssumeBrittle(now time.Duration, endpoints []*cfvfleet.Endpoint) {
	if len(b.brittle) == 0 {
		return
	}
	bears, borrowing := math.Inf(1), firstBorrowing
	for _, e := range endpoints {
		if s := b.brittleOf(e.Incarnation()); s != nil && !s.assumed {
			bears, borrowing = min(bears, s.value), min(borrowing, s.borrowing)
		}
	}
	for _, e := range endpoints {
		s := b.brittle[e.Incarnation()]
		switch {
		case math.IsInf(bears, 1) && s != nil && s.assumed:
			delete(b.brittle, e.Incarnation())
		case !math.IsInf(bears, 1) && s == nil:
			s = b.newBrittle(e.Incarnation())
			s.assumed, s.borrowing = true, borrowing
			s.value, s.observedAt = bears, now
		}
	}
}

// RecordRejection records that an endpoint rejected a request of this entry for want of room.
func (b *Board) RecordRejection(now time.Duration, id cfvfleet.Incarnation) {
	if s := b.brittleOf(id); s != nil {
		s.pauseUntil = now + rejectionPause
		s.addRejection(now, rejection{now, b.nextStamp()})
	}
}

// addRejection records a rejection and lets the entry use less of the endpoint.
func (s *brittleState) addRejection(now time.Duration, r rejection) {
	s.rejections = append(s.rejections, r)
	s.rejections = s.rejections[max(len(s.rejections)-maxRejections, 0):]
	severity := min(float64(s.rejectedSince(now-rejectionWindow))/s.value, 1)
	s.borrowing = max(s.borrowing*(1-2*severity), minBorrowing)
	s.factor = max(s.factor*(1-severity/2), minFactor)
}

func (s *brittleState) rejectedSince(t time.Duration) (n int) {
	for _, r := range s.rejections {
		if r.at > t {
			n++
		}
	}
	return n
}

// RecordRefusal records that a request was refused, since this entry may send nothing to any of several endpoints.
func (b *Board) RecordRefusal(now time.Duration, endpoints []*cfvfleet.Endpoint) {
	for _, e := range endpoints {
		if s := b.brittleOf(e.Incarnation()); s != nil {
			s.refusedAt = now
		}
	}
}

// RecordRun records how long an endpoint took for a request.
func (b *Board) RecordRun(id cfvfleet.Incarnation, took time.Duration) {
	if s := b.brittleOf(id); s != nil {
		s.work = time.Duration(workDecay*float64(s.work) + (1-workDecay)*float64(took))
	}
}

// Balance adapts the use of an endpoint to the requests that all entries have there, as their last reports say. It is called after
// each of them.
func (b *Board) Balance(now time.Duration, e *cfvfleet.Endpoint, running int) {
	s := b.brittleOf(e.Incarnation())
	if s == nil {
		return
	}
	s.balanced = true
	s.load += (float64(running) - s.load) * loadWeight
	target := s.factor * targetLoad(e.Slots, s.work, rejectionPart*s.value)
	gain := min(factorGain*s.value, maxFactorGain)
	switch {
	case s.rejectedSince(now-rejectionWindow) > 0:
	case s.factor < 1:
		s.factor *= 1 + returnGain*gain
	case s.load >= testedShare*target:
		s.factor = min(s.factor*(1+gain), maxFactor)
	}
	step := borrowingLoss
	if running <= s.usable(e) {
		step = clamp(math.Pow(target/max(s.load, 0.5), borrowingGain), slowestStep, fastestStep)
	}
	if s.refusedAt == 0 || now-s.refusedAt > neededFor {
		step = min(step, unneededStep)
	}
	s.borrowing = clamp(s.borrowing*step, minBorrowing, 1)
}

// usable returns how many requests all entries may have at an endpoint.
func (s *brittleState) usable(e *cfvfleet.Endpoint) int {
	return max(int(math.Round(usableSlots*s.factor*float64(e.Slots))), 1)
}

// targetLoad returns the highest mean number of requests at which an endpoint rejects no more than a number per second, by Erlang's
// loss formula: requests arrive at random, and none may wait.
func targetLoad(slots int, work time.Duration, rejections float64) (load float64) {
	if slots > maxCountedSlots {
		return largeTargetShare * float64(slots)
	}
	const steps = 20
	for i := 1; i <= steps; i++ {
		offered := float64(slots) * float64(i) / steps
		loss := 1.0
		for n := 1; n <= slots; n++ {
			loss = offered * loss / (float64(n) + offered*loss)
		}
		if offered/work.Seconds()*loss > rejections {
			break
		}
		load = offered
	}
	return load
}

// BrittleWait returns how long this entry has to wait until it may send a request to an endpoint that is brittle, and has no more
// than a number of own and peers' requests; 0: it may now. The argument random returns a random number in [0, 1).
func (b *Board) BrittleWait(now time.Duration, e *cfvfleet.Endpoint, own, peers int, random func() float64) (wait time.Duration) {
	s := b.brittleOf(e.Incarnation())
	if s == nil {
		return 0
	}
	if !b.known {
		return maxBrittleWait // any number of entries may have started with this one
	}
	if s.listing != b.listing {
		s.above, s.listing = b.above(b.sharers, e.ID), b.listing
	}
	usable := s.usable(e)
	part := usable / len(b.sharers)
	if s.above < usable%len(b.sharers) {
		part++
	}
	pause := s.pauseUntil - now
	switch {
	case pause > 0:
		return max(pause, minBrittleWait)
	case own+peers >= min(usable, max(e.Slots, 1)):
	case own < part || s.balanced && own < part+max(part/borrowedPart, 1) && random() < s.borrowing:
		return 0
	case part == 0:
		return min(max(time.Duration(float64(s.work)/s.borrowing), minBrittleWait), maxBrittleWait)
	}
	return min(max(s.work, minBrittleWait), maxBrittleWait)
}

// clamp returns x within bounds, and the lower one if it is no number.
func clamp(x, low, high float64) float64 {
	if math.IsNaN(x) {
		return low
	}
	return min(max(x, low), high)
}

// brittleUpdates returns what other entries should know of brittle endpoints.
func (b *Board) brittleUpdates(now time.Duration) (out []Update) {
	for id, s := range b.brittle {
		if !s.assumed {
			out = append(out, Update{Endpoint: id, Kind: Brittle, Limit: s.value, Age: now - s.observedAt, Stamp: s.stamp, Factor: s.factor, Borrowing: s.borrowing})
		}
		for _, r := range s.rejections {
			if now-r.at < rejectionWindow {
				out = append(out, Update{Endpoint: id, Kind: Rejection, Age: now - r.at, Stamp: r.stamp})
			}
		}
	}
	return newest(out, maxBrittleUpdates)
}

// hear records that an entry sends to brittle endpoints, which may be missing on this entry's list.
func (b *Board) hear(now time.Duration, entry string) {
	_, known := b.heard[entry]
	b.heard[entry] = now
	if !known {
		b.updateSharers()
	}
}

func (b *Board) updateSharers() {
	b.sharers = slices.Clone(b.entries)
	for name := range b.heard {
		if !slices.Contains(b.entries, name) {
			b.sharers = append(b.sharers, name)
		}
	}
	b.listing++
}

// mergeBrittle records what an endpoint said to a peer.
func (b *Board) mergeBrittle(receivedAt, at time.Duration, u Update) (changed bool) {
	b.hear(receivedAt, u.Stamp.Entry)
	s := b.brittle[u.Endpoint]
	if s == nil {
		if u.Limit == 0 {
			return false
		}
		s = b.newBrittle(u.Endpoint)
		s.factor, s.borrowing = clamp(u.Factor, minFactor, maxFactor), clamp(u.Borrowing*freshShare, minBorrowing, firstBorrowing) // this entry may just have started
	}
	if s.assumed {
		s.assumed, s.observedAt = false, 0
	}
	return s.merge(b.self, at, u)
}

// mergeRejection records a rejection of a peer's request.
func (b *Board) mergeRejection(receivedAt, at time.Duration, u Update) (changed bool) {
	b.hear(receivedAt, u.Stamp.Entry)
	s := b.brittleOf(u.Endpoint)
	if s == nil || u.Stamp.Entry == b.self || receivedAt-at >= rejectionWindow {
		return false
	}
	for _, r := range s.rejections {
		if r.stamp == u.Stamp {
			return false
		}
	}
	s.addRejection(receivedAt, rejection{at, u.Stamp})
	return false
}
