package cfvdispatch

import (
	"cmp"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
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
func (d *Dispatcher) sample(now time.Duration, q Query, u float64) []*cfvfleet.Endpoint {
	key := q.rankKey(u)
	type ranked struct {
		e    *cfvfleet.Endpoint
		hash uint64
	}
	var all []ranked
	for _, e := range q.Endpoints {
		if !q.Exclude[e.ID] && !q.inWrongPool(e) && d.healthy(now, e, q) {
			all = append(all, ranked{e, xxhash.Sum64String(key + "\x00" + e.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	var sampled []*cfvfleet.Endpoint
	for _, r := range all[:min(sampleSize, len(all))] {
		sampled = append(sampled, r.e)
	}
	return sampled
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
	return now >= s.unavailableUntil && now >= s.loadingUntil && d.coldUntil(e, s, q) <= now && s.outcomes.excess(now) == 0 &&
		(!q.PreferNewWeights || d.WeightsVersion(e, q.Model) >= q.DesiredWeights)
}

// tieBreak returns an offset of at most a millisecond that breaks ties between endpoints: the
// same for the same shared parts, random for other requests.
func tieBreak(key, id string) float64 {
	return 1 - float64(xxhash.Sum64String(key+"\x00"+id)>>11)/(1<<53)
}
