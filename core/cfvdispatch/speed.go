package cfvdispatch

import (
	"math"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// exploredShare is the share of the requests that are placed as if all endpoints were equally
// fast. It bounds the share of a slow endpoint from below, so that its recovery is seen.
const exploredShare = 1.0 / 16

// exploreSeed separates the decision to explore from the other uses of the same random number.
const exploreSeed = 0x9e3779b97f4a7c15

// explores reports whether a request ignores the factors. The argument u is a random number in [0, 1).
func explores(u float64) bool {
	return unitInterval(mix(math.Float64bits(u), exploreSeed)) < exploredShare
}

// factor returns the measured slowness of an endpoint.
func (q *Query) factor(e *cfvfleet.Endpoint) float64 {
	if f, ok := q.Factors[e.ID]; ok && f > 0 {
		return f
	}
	return 1
}

// scaled returns the time that an endpoint takes for work that the median endpoint does in d.
func (q *Query) scaled(e *cfvfleet.Endpoint, d time.Duration) time.Duration {
	if q.Factors == nil {
		return d
	}
	return time.Duration(float64(d) * q.factor(e))
}

// scaledWait applies the factor of an endpoint to its estimated wait. It adds by how much longer
// than usual the endpoint takes for the request itself, since an idle endpoint has no wait.
func (q *Query) scaledWait(e *cfvfleet.Endpoint, cached bool, ms float64) float64 {
	if q.Factors == nil {
		return ms
	}
	f := q.factor(e)
	own := max(q.UsualMs, float64(q.prefillTokens(e.Domain, cached))/prefillTokensPerMs)
	return ms*f + own*(f-1)
}

// weightedRank returns a rank in the sample by which an endpoint's share of the first ranks is
// proportional to its speed: with the rank as a number r in (0, 1), the order of r to the power of
// the factor (weighted sampling by Efraimidis and Spirakis).
func weightedRank(rank uint64, factor float64) uint64 {
	if factor == 1 {
		return rank
	}
	return uint64(math.Pow(unitInterval(rank), factor)*(1<<53)) << 11
}

// unitInterval returns a hash as a number in [0, 1).
func unitInterval(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
