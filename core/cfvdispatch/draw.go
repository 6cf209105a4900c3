package cfvdispatch

import (
	"cmp"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// What the order of the draw weighs, in milliseconds.
const (
	laterDrawnMs = 1.0   // the second one drawn
	notDrawnMs   = 300.0 // an endpoint that was not drawn; faults and crowds at those that were weigh more
)

// endpointsDrawn is how many endpoints a request is drawn for: one would follow no load, and
// three follow the old picture too closely.
const endpointsDrawn = 2

// draw returns the endpoints that a request is drawn for: the same for the same shared parts,
// random ones for others. What other entries have under way is heard late: where all entries
// choose among all endpoints, they meet at the one that was idle when the picture was taken.
// Of two drawn ones the better is taken, and no picture sends more there than two shares.
func (d *Dispatcher) draw(now time.Duration, q Query, u float64) []*cfvfleet.Endpoint {
	key := q.drawKey(u)
	type ranked struct {
		e    *cfvfleet.Endpoint
		hash uint64
	}
	var all []ranked
	for _, e := range q.Endpoints {
		if !q.Exclude[e.ID] && !q.away(e) && d.sound(now, e, q) {
			all = append(all, ranked{e, xxhash.Sum64String(key + "\x00" + e.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Compare(b.hash, a.hash) })
	var drawn []*cfvfleet.Endpoint
	for _, r := range all[:min(endpointsDrawn, len(all))] {
		drawn = append(drawn, r.e)
	}
	return drawn
}

// drawnMs is what speaks against an endpoint that was drawn later, or not at all.
func drawnMs(drawn []*cfvfleet.Endpoint, e *cfvfleet.Endpoint) float64 {
	if i := slices.Index(drawn, e); i >= 0 {
		return float64(i) * laterDrawnMs
	}
	return notDrawnMs
}

// sound reports whether nothing but its load speaks against an endpoint.
func (d *Dispatcher) sound(now time.Duration, e *cfvfleet.Endpoint, q Query) bool {
	s := d.of(e)
	return now >= s.down && now >= s.loadingTo && d.coldUntil(e, s, q) <= now && s.outcomes.excess(now) == 0 &&
		(!q.PreferNewWeights || d.WeightsVersion(e, q.Model) >= q.DesiredWeights)
}

// tie breaks ties alike for the same shared parts, and at random for others, by less than a
// millisecond.
func tie(key, id string) float64 {
	return 1 - float64(xxhash.Sum64String(key+"\x00"+id)>>11)/(1<<53)
}
