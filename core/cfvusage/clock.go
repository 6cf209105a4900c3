package cfvusage

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the estimates of true time.
const (
	samplePeriod   = 3 * time.Minute // a step of the wall clock that lasts less than half of it does not move the median
	sampleInterval = time.Second
	maxDifference  = int64(1000)      // milliseconds from the fleet's estimate up to which an entry uses its own one
	estimateTTL    = 10 * time.Second // of the estimates of entries at the leader
)

// Clock estimates true time from samples of the wall clock, which may step, and a clock that does not step and
// also runs while the VM is suspended. It is not safe for concurrent use.
type Clock struct {
	samples []offsetSample
	own     int64 // median offset in milliseconds
	fleet   int64 // offset of the fleet's estimate
	known   bool  // fleet is set
}

// offsetSample is the difference of the wall clock to the other clock at a time.
type offsetSample struct {
	at     time.Duration
	offset int64 // milliseconds
}

// NewClock returns a clock that starts with the wall clock.
func NewClock(now time.Duration, wallMillis int64) *Clock {
	c := &Clock{}
	c.Sample(now, wallMillis)
	return c
}

// Sample takes in the present value of the wall clock, at most once per second.
func (c *Clock) Sample(now time.Duration, wallMillis int64) {
	if n := len(c.samples); n > 0 && now-c.samples[n-1].at < sampleInterval {
		return
	}
	c.samples = slices.DeleteFunc(c.samples, func(s offsetSample) bool { return now-s.at > samplePeriod })
	c.samples = append(c.samples, offsetSample{at: now, offset: wallMillis - now.Milliseconds()})
	offsets := make([]int64, 0, len(c.samples))
	for _, s := range c.samples {
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	c.own = offsets[(len(offsets)-1)/2]
}

// SetFleet sets the median of the entries' estimates of the present time, in Unix milliseconds.
func (c *Clock) SetFleet(now time.Duration, trueMillis int64) {
	c.fleet, c.known = trueMillis-now.Milliseconds(), true
}

// Own returns this entry's own estimate of the present time in Unix milliseconds.
func (c *Clock) Own(now time.Duration) int64 { return now.Milliseconds() + c.own }

// Millis returns the present time in Unix milliseconds: this entry's own estimate, or the fleet's if they differ
// much.
func (c *Clock) Millis(now time.Duration) int64 {
	if difference := c.own - c.fleet; c.known && (difference > maxDifference || difference < -maxDifference) {
		return now.Milliseconds() + c.fleet
	}
	return c.Own(now)
}

// Estimates holds the latest estimates of true time of all entries. It is not safe for concurrent use.
type Estimates struct {
	byEntry map[string]offsetSample
}

// NewEstimates returns a set without estimates.
func NewEstimates() *Estimates { return &Estimates{byEntry: make(map[string]offsetSample)} }

// Add replaces the estimate of an entry.
func (e *Estimates) Add(now time.Duration, entry string, trueMillis int64) {
	e.byEntry[entry] = offsetSample{at: now, offset: trueMillis - now.Milliseconds()}
}

// Median returns the median of the estimates of the present time; 0 if there is none. Of two middle ones it takes
// the one closer to own, the estimate of the caller.
func (e *Estimates) Median(now time.Duration, own int64) int64 {
	offsets := make([]int64, 0, len(e.byEntry))
	for entry, s := range e.byEntry {
		if now-s.at > estimateTTL {
			delete(e.byEntry, entry)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	if len(offsets) == 0 {
		return 0
	}
	slices.Sort(offsets)
	ownOffset := own - now.Milliseconds()
	middle := slices.MinFunc(offsets[(len(offsets)-1)/2:len(offsets)/2+1], func(a, b int64) int {
		return cmp.Compare(max(a-ownOffset, ownOffset-a), max(b-ownOffset, ownOffset-b))
	})
	return now.Milliseconds() + middle
}
