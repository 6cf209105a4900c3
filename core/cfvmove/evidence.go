package cfvmove

import (
	"math"
	"math/bits"
	"time"
)

// Evidence is what one entry has seen of one version on one route: counters that only
// grow during the life of its process.
type Evidence struct {
	Service  string
	Version  string
	Route    string
	Requests uint64
	Failures uint64
	Slow     uint64 // requests slower than usual for their size
}

// Report is all that one entry has seen of a service that moves.
type Report struct {
	Entry       string
	StartMillis uint64 // when the entry's process started
	Evidence    []Evidence
}

// Usual is what an entry takes as the usual time of a request, by its size: a running
// estimate of the ninth decile. Slow is whatever takes half as long again.
type Baseline struct {
	bySize map[int]*decile
}

// decile estimates a ninth decile by small steps up and down.
type decile struct {
	value float64 // in seconds
	seen  int
}

// Bounds of the estimate.
const (
	decileShare = 0.9
	decileStep  = 0.05
	slowFactor  = 1.5
	usualAfter  = 20 // requests before anything counts as slow
)

// NewUsual returns an estimate that has seen nothing.
func NewBaseline() *Baseline {
	return &Baseline{bySize: make(map[int]*decile)}
}

// Slow reports whether a request of the size, in bytes, took unusually long.
func (u *Baseline) IsSlow(size int, took time.Duration) bool {
	d, ok := u.bySize[bits.Len(uint(size))]
	return ok && d.seen >= usualAfter && took.Seconds() > slowFactor*d.value
}

// Learn takes the time of a request of the version that serves already.
func (u *Baseline) Record(size int, took time.Duration) {
	bucket := bits.Len(uint(size))
	d, ok := u.bySize[bucket]
	if !ok {
		d = &decile{value: took.Seconds()}
		u.bySize[bucket] = d
	}
	d.seen++
	step := decileStep * d.value
	if took.Seconds() > d.value {
		d.value += step * decileShare
	} else {
		d.value -= step * (1 - decileShare)
	}
}

// tally is the sum of some evidence.
type tally struct {
	requests, failures, slow float64
}

func (t tally) minus(o tally) tally {
	return tally{t.requests - o.requests, t.failures - o.failures, t.slow - o.slow}
}

// Bounds of a verdict. The evidence is looked at again each second, on several routes, so
// that a chance of one in a few million at each look keeps good versions safe.
const (
	badMargin   = 0.02  // differences smaller than this share are never held against it
	leastShare  = 0.005 // share of bad requests that any version is granted
	doubtBound  = 15.0  // negative logarithm of the chance that a good version looks so bad
	priorBad    = 1     // bad requests granted to the old version beyond those seen
	priorOfMany = 2
)

// worse reports whether bad of n requests are too many to be chance at the share of bad
// requests, bad0 of n0, of the other version: by Chernoff's bound on a Poisson tail.
func worse(bad, n, bad0, n0 float64) bool {
	if bad < 1 {
		return false
	}
	p0 := max((bad0+priorBad)/(n0+priorOfMany), leastShare)
	if n0 == 0 {
		p0 = leastShare
	}
	expected := n * p0
	if bad <= expected || bad/n-p0 < badMargin {
		return false
	}
	return bad*math.Log(bad/expected)-bad+expected > doubtBound
}
