package cfvrollout

import (
	"math"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Parts of the allowed exposure that the entries use. The rest covers requests that entries count and endpoints
// don't, such as repeats.
const (
	runningExposurePart = 0.55 // before the roll-out is completed; the requests from then until the deadline need the rest
	finalExposurePart   = 0.95
	exposureSlackPart   = 0.5 // of the slack; rounding at many entries may need the rest
)

// goldenRatio spreads the offsets of the entries evenly over 0 to 1, however many there are.
const goldenRatio = 0.6180339887498949

// Exposure bounds the requests that one entry sends to the targets of roll-outs, until their deadlines. An entry counts
// its requests to a service from when it learns of the order, and the target gets at most the allowed share of
// those. So the sum over all entries is within the bound whatever the leader decides, and an entry needs no
// news to keep to it. It is not safe for concurrent use.
type Exposure struct {
	limits Limits
	counts map[string]*exposureCount // by service
}

// exposureCount counts the requests of one service since its order.
type exposureCount struct {
	order       int64
	all, target float64
	offset      float64 // added to the allowed requests before they are rounded down
	credit      float64 // due requests of the target, at most 1
}

// Seat is an entry's position among all entries; zero if they aren't known yet.
type Seat struct {
	Index, Count int
}

// SeatOf returns the position of an entry among the names of all.
func SeatOf(name string, entries []string) Seat {
	sorted := slices.Clone(entries)
	slices.Sort(sorted)
	i, _ := slices.BinarySearch(sorted, name)
	return Seat{Index: i, Count: max(len(sorted), 1)}
}

// NewExposure returns an exposure without any requests.
func NewExposure(l Limits) *Exposure {
	return &Exposure{limits: l, counts: make(map[string]*exposureCount)}
}

// CountArrival counts a request that reached an endpoint of the service, whatever its version.
func (x *Exposure) CountArrival(r *cfvfleet.Rollout, s Seat) {
	if c := x.count(r, s); c != nil {
		c.all++
	}
}

// Due reports whether a request that could go to the target should, so that the target gets the given share of
// them. random is between 0 and 1 and decides if the exposure is not bounded. What is due is not caught up later:
// requests in a row tell of a fault only after they have all been sent.
func (x *Exposure) Due(r *cfvfleet.Rollout, s Seat, share, random float64) bool {
	c := x.count(r, s)
	if c == nil {
		return random < share
	}
	c.credit = min(c.credit+share, 1)
	return c.credit >= 1 && x.allows(r, c)
}

// Take reports whether a request may be sent to the target of a roll-out, and counts it.
func (x *Exposure) Take(now time.Duration, r *cfvfleet.Rollout, s Seat) bool {
	c := x.count(r, s)
	if c == nil || r.Elapsed(now) >= r.Duration {
		return true
	}
	if !x.allows(r, c) {
		return false
	}
	c.target++
	c.credit = max(c.credit-1, 0)
	return true
}

// allows reports whether the target may get another request.
func (x *Exposure) allows(r *cfvfleet.Rollout, c *exposureCount) bool {
	part := runningExposurePart
	if r.Progress.Phase == cfvfleet.RolloutCompleted {
		part = finalExposurePart
	}
	return c.target+1 <= math.Floor(part*x.limits.ExposureShare*c.all+c.offset)
}

// count returns the count of a roll-out; nil if its exposure is not bounded.
func (x *Exposure) count(r *cfvfleet.Rollout, s Seat) *exposureCount {
	if r == nil || r.Established || x.limits.ExposureShare == 0 || r.Revision == 0 {
		return nil
	}
	c := x.counts[r.Service]
	if c != nil && c.order == r.Formerly && r.Formerly > 0 {
		c.order = r.Revision
	}
	if c == nil || c.order != r.Revision {
		offset := x.offset(r, s)
		c = &exposureCount{order: r.Revision, offset: offset, credit: min(offset, 1)}
		x.counts[r.Service] = c
	}
	return c
}

// offset returns the entry's part of the slack, and what it may round up. A process that started after the
// order gets no slack, since the process before may have used it.
func (x *Exposure) offset(r *cfvfleet.Rollout, s Seat) float64 {
	if s.Count == 0 {
		return 0
	}
	turn := (s.Index + int(r.Revision%int64(s.Count))) % s.Count
	_, offset := math.Modf(float64(turn+1) * goldenRatio)
	if r.NotBefore == 0 {
		return offset
	}
	slack := int(exposureSlackPart * x.limits.ExposureSlack)
	offset += float64(slack / s.Count)
	if turn < slack%s.Count {
		offset++
	}
	return offset
}
