package cfvmove

import (
	"math"
	"math/bits"
	"slices"
	"time"
)

// Evidence counts the requests that one entry sent to one version on one route. The
// counters only grow while the entry's process runs.
type Evidence struct {
	Service  string
	Version  string
	Route    string
	Requests uint64
	Failures uint64
	Slow     uint64 // requests slower than the baseline for their size
}

// Report is all the evidence of one entry about a service that is being moved.
type Report struct {
	Entry       string
	StartMillis uint64 // when the entry's process started
	Evidence    []Evidence
}

// Baseline estimates the 90th percentile of the time of a request, by request size. A
// request that takes more than 1.5 times the estimate counts as slow. While there are few
// requests of a size, those of a wider range of sizes are used.
type Baseline struct {
	bySize map[sizeRange]*quantileEstimate
}

// sizeRange is a range of request sizes. The sizes of a range differ by a factor of at most
// 2, 4 or 16, by its level.
type sizeRange struct {
	level, index int
}

// sizeLevels tell how many lengths of the size in bits a range covers, from the narrowest
// ranges to the widest.
var sizeLevels = [...]int{1, 2, 4}

func rangeOf(level, size int) sizeRange {
	return sizeRange{level, bits.Len(uint(size)) / sizeLevels[level]}
}

// quantileEstimate is a running estimate of the 90th percentile. Each sample moves it up or
// down by a small step.
type quantileEstimate struct {
	seconds float64 // estimated time in seconds; 0 until there are enough samples
	samples int
	first   []float64 // the first samples
}

// Parameters of the estimate.
const (
	estimatedQuantile  = 0.9
	quantileStep       = 0.05
	slowFactor         = 1.5
	minBaselineSamples = 20 // requests of a size before any of them counts as slow
)

// NewBaseline returns a baseline without samples.
func NewBaseline() *Baseline {
	return &Baseline{bySize: make(map[sizeRange]*quantileEstimate)}
}

// IsSlow reports whether a request of the given size in bytes took longer than slowFactor
// times the estimate.
func (b *Baseline) IsSlow(size int, took time.Duration) bool {
	for level := range sizeLevels {
		e := b.bySize[rangeOf(level, size)]
		if e != nil && e.samples >= minBaselineSamples {
			return took.Seconds() > slowFactor*e.seconds
		}
	}
	return false
}

// Record adds the time of a request of the old version to the estimates.
func (b *Baseline) Record(size int, took time.Duration) {
	for level := range sizeLevels {
		r := rangeOf(level, size)
		if b.bySize[r] == nil {
			b.bySize[r] = &quantileEstimate{}
		}
		b.bySize[r].record(took.Seconds())
	}
}

// record adds a sample. The estimate starts as the quantile of the first samples, since it moves too slowly to
// recover from a bad start.
func (e *quantileEstimate) record(seconds float64) {
	if e.samples++; e.samples <= minBaselineSamples {
		e.first = append(e.first, seconds)
		if e.samples == minBaselineSamples {
			slices.Sort(e.first)
			e.seconds, e.first = e.first[int(estimatedQuantile*minBaselineSamples)-1], nil
		}
		return
	}
	step := quantileStep * e.seconds
	if seconds > e.seconds {
		e.seconds += step * estimatedQuantile
	} else {
		e.seconds -= step * (1 - estimatedQuantile)
	}
}

// tally is a sum of evidence.
type tally struct {
	requests, failures, slow float64
}

func (t tally) minus(o tally) tally {
	return tally{t.requests - o.requests, t.failures - o.failures, t.slow - o.slow}
}

// SignificanceThreshold is the surprise from which a version is condemned. The evidence is tested
// each second and on several routes, so the chance of a false alarm of a single test must be as
// low as one in a few million.
const SignificanceThreshold = 15.0

// Parameters of the comparison of two versions.
const (
	minExcessShare   = 0.02  // smaller differences between the shares of bad requests are ignored
	minExpectedShare = 0.005 // share of bad requests that every version may have
	priorBadRequests = 1     // bad requests added to those counted for the old version
	priorRequests    = 2
)

// significantlyWorse reports whether bad of n requests are more than chance explains, given
// the share of bad requests, bad0 of n0, of the other version.
func significantlyWorse(bad, n, bad0, n0 float64) bool {
	if bad < 1 {
		return false
	}
	p0 := max((bad0+priorBadRequests)/(n0+priorRequests), minExpectedShare)
	if n0 == 0 {
		p0 = minExpectedShare
	}
	return bad/n-p0 >= minExcessShare && Surprise(bad, n*p0) > SignificanceThreshold
}

// Surprise returns the negative natural logarithm of the chance that a version with the given
// expected number of bad requests has at least this many; 0 if there are no more than expected.
// It uses the Chernoff bound on the tail of a Poisson distribution.
func Surprise(bad, expected float64) float64 {
	if bad <= expected {
		return 0
	}
	return bad*math.Log(bad/expected) - bad + expected
}
