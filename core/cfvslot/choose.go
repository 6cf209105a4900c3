package cfvslot

import (
	"slices"
	"sort"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvowner"
)

// candidates returns the endpoints that match the request, with or without a free slot.
func (t *Table) candidates(r Request) map[string]*endpoint {
	out := make(map[string]*endpoint)
	for name, e := range t.endpoints {
		if e.cfg.Group == r.Group && (r.Version == "" || r.Version == e.version) && !slices.Contains(r.Exclude, name) {
			out[name] = e
		}
	}
	return out
}

// freeSlots returns how many more requests the endpoint may get now. A cold endpoint gets
// requests only under a lease on its group, an unsettled warm one only up to half of its slots.
func (t *Table) freeSlots(now time.Time, e *endpoint) int {
	if e.unavailable(now) {
		return 0
	}
	if e.isCold() {
		if !t.leases[e.cfg.Group].allowsColdGrant(now, t.maxRequestDuration) {
			return 0
		}
		return e.slotLimit() - len(e.slots)
	}
	if !e.settled {
		return e.slotLimit()/2 - len(e.slots)
	}
	return e.slotLimit() - len(e.slots)
}

// chooseEndpoint returns an endpoint with a free slot, or nil. A request with a prompt key
// uses rendezvous hashing with bounded loads, so that a returning prompt reaches the endpoint
// that has cached it. Other requests go to the endpoint with the smallest share of its slots
// in use.
func (t *Table) chooseEndpoint(now time.Time, r Request) *endpoint {
	var names []string
	var total int
	all := t.candidates(r)
	for name, e := range all {
		if t.freeSlots(now, e) > 0 {
			names = append(names, name)
			total += len(e.slots)
		}
	}
	if len(names) == 0 {
		return nil
	}
	sort.Strings(names)
	if r.PromptKey != "" {
		for _, name := range cfvowner.Rank(r.PromptKey, names) {
			e := all[name]
			if withinLoadBound(len(e.slots), total, len(names)) {
				return e
			}
		}
	}
	return leastLoaded(names, all)
}

// withinLoadBound reports whether the load of an endpoint is at most 1.25 times the mean load of
// all n endpoints, where the mean, but not the load, includes the new request.
func withinLoadBound(load, total, n int) bool {
	return 4*(load+1)*n <= 5*(total+1)+4*n
}

func leastLoaded(names []string, all map[string]*endpoint) *endpoint {
	best := all[names[0]]
	for _, name := range names[1:] {
		e := all[name]
		if len(e.slots)*best.slotLimit() < len(best.slots)*e.slotLimit() {
			best = e
		}
	}
	return best
}

// refusalReason returns the reason why no endpoint can accept the request now.
func (t *Table) refusalReason(now time.Time, r Request) cfverror.Reason {
	all := t.candidates(r)
	if len(all) == 0 {
		return cfverror.ReasonNoEndpoint
	}
	reason := cfverror.ReasonDrained
	for _, e := range all {
		switch {
		case e.cfg.Drained || e.leaving:
		case !e.connectionLostAt.IsZero() || now.Before(e.unavailableUntil):
			if reason == cfverror.ReasonDrained {
				reason = cfverror.ReasonConnect
			}
		case e.isCold():
			if reason != cfverror.ReasonEndpointsFull {
				reason = cfverror.ReasonEndpointsCold
			}
		default:
			reason = cfverror.ReasonEndpointsFull
		}
	}
	return reason
}
