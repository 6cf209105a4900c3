// Package cfvreach decides whether an entry is cut off from the endpoints, which other entries may still reach. It has no
// clock of its own: all times are readings of one that also advances while the VM is suspended.
package cfvreach

import "time"

// Times and numbers of the decision.
const (
	signPeriod    = time.Second            // signs of one cut are seen within this time
	quietPeriod   = time.Second            // without a response for so long, a single sign is enough for a check
	checkInterval = 500 * time.Millisecond // between the starts of two checks
	minSigns      = 2                      // endpoints
)

// Sign is a way in which an endpoint fails.
type Sign int

// Values of Sign. A new connection that fails is no better than another that lives on, so each sign is only refuted by a success of
// its own kind.
const (
	NoConnection Sign = iota // a new connection could not be made
	NoResponse               // a connection broke, or a response was not awaited any longer
	signCount
)

// Reach is what an entry knows of its links to the endpoints. It is not safe for concurrent use.
type Reach struct {
	signs       [signCount]map[string]time.Duration // by endpoint: last failure since the last success
	succeededAt [signCount]time.Duration
	firstSign   time.Duration // of the current series; 0: none
	checkedAt   time.Duration // start of the last check that was due; 0: none
	cutOff      bool
	since       time.Duration
}

// New returns a Reach that takes the endpoints to be reached.
func New() *Reach {
	r := &Reach{}
	for i := range r.signs {
		r.signs[i] = make(map[string]time.Duration)
	}
	return r
}

// Failed records the failure of an endpoint.
func (r *Reach) Failed(now time.Duration, endpoint string, sign Sign) {
	if r.firstSign == 0 {
		r.firstSign = now
	}
	r.signs[sign][endpoint] = now
}

// Succeeded records that an endpoint accepted a new connection, or responded.
func (r *Reach) Succeeded(now time.Duration, sign Sign) {
	r.succeededAt[sign] = now
	clear(r.signs[sign])
	if !r.cutOff && len(r.signs[NoConnection])+len(r.signs[NoResponse]) == 0 {
		r.firstSign = 0
	}
}

// StartCheck reports whether the links are to be checked now. If so, Checked must be called with the result. It must not be called
// during a check.
func (r *Reach) StartCheck(now time.Duration) bool {
	if r.checkedAt > 0 && now-r.checkedAt < checkInterval || !r.cutOff && !r.suspected(now) {
		return false
	}
	r.checkedAt = now
	return true
}

// suspected reports whether several endpoints failed lately, or one while none responds.
func (r *Reach) suspected(now time.Duration) bool {
	for sign, failed := range r.signs {
		for id, at := range failed {
			if now-at > signPeriod {
				delete(failed, id)
			}
		}
		quiet := len(failed) > 0 && now-max(r.succeededAt[NoResponse], r.succeededAt[sign]) > quietPeriod
		if len(failed) >= minSigns || quiet {
			return true
		}
	}
	return false
}

// Checked records the result of a check: to how many of the endpoints that were tried a new connection was made. It reports whether
// that changed whether the entry is cut off. A check that tried none has no effect.
func (r *Reach) Checked(now time.Duration, tried, reached int) (changed bool) {
	switch {
	case reached > 0:
		changed = r.cutOff
		r.cutOff, r.firstSign = false, 0
		for _, failed := range r.signs {
			clear(failed)
		}
	case tried > 0:
		changed = !r.cutOff
		r.cutOff = true
	}
	if changed {
		r.since = now
	}
	return changed
}

// CutOff reports whether the entry is cut off from all endpoints.
func (r *Reach) CutOff() bool { return r.cutOff }

// Since returns when that last changed; 0: it never did.
func (r *Reach) Since() time.Duration { return r.since }

// FirstSign returns when the first endpoint failed in the series of failures that led to the current state; 0: none did.
func (r *Reach) FirstSign() time.Duration { return r.firstSign }
