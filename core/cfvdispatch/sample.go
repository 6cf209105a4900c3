package cfvdispatch

import (
	"math/bits"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"
)

// Penalties by rank in the sample.
const (
	secondSampleMs = 1.0   // second sampled endpoint
	notSampledMs   = 300.0 // endpoint outside the sample; failures and long queues at the sampled endpoints weigh more
)

// sampleSize is the number of endpoints sampled for a request. With one the load is ignored,
// with three the entries follow outdated loads too closely.
const sampleSize = 2

// sample returns the candidates of a request by power of two choices: the same endpoints for
// the same shared parts, random ones for other requests. The loads of peers arrive late. If
// every entry chose among all endpoints, all of them would send to the endpoint that was idle
// when the loads were reported. With a sample of two, an outdated report sends an endpoint at
// most two shares of the requests.
func (d *Dispatcher) sample(now time.Duration, q Query, rank uint64) []*cfvfleet.Endpoint {
	var sampled [sampleSize]*cfvfleet.Endpoint
	var ranks [sampleSize]uint64
	n, size := 0, sampleSize
	if q.IgnoreLoads {
		size = 1
	}
	for _, e := range q.Endpoints {
		r := mix(rank, d.stateOf(e).hash)
		if q.Factors != nil && q.Affinity == "" {
			r = weightedRank(r, q.factor(e))
		}
		if n == size && r <= ranks[n-1] || q.Exclude[e.ID] || q.inWrongPool(e) || !d.healthy(now, e, q) {
			continue
		}
		n = min(n+1, size)
		i := n - 1
		for ; i > 0 && r > ranks[i-1]; i-- {
			sampled[i], ranks[i] = sampled[i-1], ranks[i-1]
		}
		sampled[i], ranks[i] = e, r
	}
	return slices.Clone(sampled[:n])
}

// mix combines two hashes into one that depends on all bits of both: the finalizer of SplitMix64.
func mix(a, b uint64) uint64 {
	x := a ^ bits.RotateLeft64(b, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sampleRankMs returns the penalty for an endpoint's rank in the sample.
func sampleRankMs(sampled []*cfvfleet.Endpoint, e *cfvfleet.Endpoint) float64 {
	if i := slices.Index(sampled, e); i >= 0 {
		return float64(i) * secondSampleMs
	}
	return notSampledMs
}

// healthy reports whether the endpoint is available, warm, without excess failures and on
// weights that the query prefers.
func (d *Dispatcher) healthy(now time.Duration, e *cfvfleet.Endpoint, q Query) bool {
	s := d.stateOf(e)
	return now >= s.unavailableUntil && now >= s.loadingUntil && !d.cold(now, e, s, q) && s.outcomes.excess(now) == 0 &&
		d.WeightsVersion(e, q.Model) >= q.PreferredWeights
}

// tieBreak returns an offset of at most a millisecond that breaks ties between endpoints: the
// same for the same shared parts, random for other requests.
func tieBreak(rank, endpoint uint64) float64 { return 1 - float64(mix(rank, endpoint)>>11)/(1<<53) }
