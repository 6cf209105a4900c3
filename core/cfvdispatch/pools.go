package cfvdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// LongPromptTokens is the length from which a prompt counts as long while nothing else is learned: its
// prefill delays other prompts at the endpoint by more than one step, as engines prefill in chunks of
// about two thousand tokens.
const LongPromptTokens = 2048

// PlacedPromptTokens is the length from which a prompt is placed by the placer. The prefill of a shorter
// one takes less time than to ask the placer.
const PlacedPromptTokens = 512

// Weights and limits of the demand.
const (
	slotWorkMs         = 120.0           // time that a request holds a slot in addition to prefill: fetches in sequence, and steps shared with others
	demandDecayTime    = 8 * time.Second // time constant of the decay
	minDemandRequests  = 24.0            // requests below which there are no pools
	poolSizeHysteresis = 0.7             // endpoints by which the desired size must differ before the size changes
	shortDemandFactor  = 0.8             // short prompts share an endpoint better than long prompts, which are prefilled one at a time
)

// PoolSizer splits the endpoints of a service into a short-prompt pool and a long-prompt
// pool. Without pools, a short prompt waits for the prefill of any long prompt at its
// endpoint. The sizes follow the demand of the last seconds. A PoolSizer is not safe for
// concurrent use.
type PoolSizer struct {
	updatedAt     time.Duration
	local         Demand
	peers         Demand
	shortPoolSize int
	endpoints     int // number of endpoints for which shortPoolSize was computed
	lengths       PromptLengths
	pool          shortPool
}

// Demand is recent work. Older work counts less.
type Demand struct {
	ShortMs, LongMs float64 // slot and prefill time of short and long prompts
	Requests        float64
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{d.ShortMs + o.ShortMs, d.LongMs + o.LongMs, d.Requests + o.Requests}
}

// scaled returns the demand times x.
func (d Demand) scaled(x float64) Demand { return Demand{d.ShortMs * x, d.LongMs * x, d.Requests * x} }

// LongTokens returns the length from which a prompt is long.
func (p *PoolSizer) LongTokens() int { return p.lengths.LongTokens() }

// RecordRequest counts a request of a route with the given number of prompt tokens to a service whose
// endpoints have the given number of slots.
func (p *PoolSizer) RecordRequest(now time.Duration, route string, tokens, slots int) {
	p.lengths.Record(route, tokens)
	p.local = p.LocalDemand(now)
	p.updatedAt = now
	p.local.Requests++
	work := slotWorkMs/float64(max(slots, 1)) + float64(tokens)/prefillTokensPerMs
	if tokens >= p.LongTokens() {
		p.local.LongMs += work
	} else {
		p.local.ShortMs += work
	}
}

// LocalDemand returns the demand at this entry.
func (p *PoolSizer) LocalDemand(now time.Duration) Demand {
	if p.updatedAt == 0 || now <= p.updatedAt {
		return p.local
	}
	return p.local.scaled(math.Exp(-float64(now-p.updatedAt) / float64(demandDecayTime)))
}

// SetPeerDemand sets the total demand at all other entries. One entry alone sees too few long
// prompts to estimate their share.
func (p *PoolSizer) SetPeerDemand(d Demand) { p.peers = d }

// ShortPoolSize returns how many of n endpoints are for short prompts. 0 means that there are
// no pools.
func (p *PoolSizer) ShortPoolSize(n int) int {
	d := p.local.Add(p.peers)
	if d.Requests < minDemandRequests || d.ShortMs <= 0 || d.LongMs <= 0 || n < 2 {
		return 0
	}
	desired := float64(n) * d.ShortMs * shortDemandFactor / (d.ShortMs*shortDemandFactor + d.LongMs)
	if p.endpoints != n || math.Abs(desired-float64(p.shortPoolSize)) > poolSizeHysteresis {
		p.shortPoolSize, p.endpoints = min(max(int(math.Round(desired)), 1), n-1), n
	}
	return p.shortPoolSize
}

// shortPool is a result of ShortPool with its arguments.
type shortPool struct {
	endpoints []*cfvfleet.Endpoint
	size      int
	ids       map[string]bool
}

// ShortPool returns the endpoints that are for short prompts, and nil if there are no pools. The caller
// must not change the result.
func (p *PoolSizer) ShortPool(endpoints []*cfvfleet.Endpoint) map[string]bool {
	size := p.ShortPoolSize(len(endpoints))
	if size == 0 {
		return nil
	}
	same := len(p.pool.endpoints) == len(endpoints) && &p.pool.endpoints[0] == &endpoints[0] // lists are replaced, not changed
	if !same || p.pool.size != size {
		p.pool = shortPool{endpoints, size, ShortPool(endpoints, size)}
	}
	return p.pool.ids
}

// CandidatePool returns those of a few other endpoints that are for short prompts, in the proportion of the last
// pools, and whether there are pools. One endpoint serves all prompts.
func (p *PoolSizer) CandidatePool(candidates []*cfvfleet.Endpoint) (pool map[string]bool, pools bool) {
	n := len(candidates)
	if p.shortPoolSize == 0 || n < 2 {
		return nil, p.shortPoolSize > 0
	}
	size := int(math.Round(float64(n*p.shortPoolSize) / float64(p.endpoints)))
	return ShortPool(candidates, min(max(size, 1), n-1)), true
}

// ShortPool returns the endpoints of the short-prompt pool. All entries order the endpoints
// alike, and the order alternates between failure domains, so that both pools have endpoints
// in each of them.
func ShortPool(endpoints []*cfvfleet.Endpoint, size int) map[string]bool {
	type ranked struct {
		id   string
		rank int
		hash uint64
	}
	all := make([]ranked, 0, len(endpoints))
	domains := make(map[string][]int)
	for i, e := range endpoints {
		all = append(all, ranked{id: e.ID, hash: xxhash.Sum64String(e.ID)})
		domains[e.Domain] = append(domains[e.Domain], i)
	}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b int) int { return cmp.Compare(all[a].hash, all[b].hash) })
		for rank, i := range list {
			all[i].rank = rank
		}
	}
	slices.SortFunc(all, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash)) })
	out := make(map[string]bool, size)
	for _, r := range all[:min(size, len(all))] {
		out[r.id] = true
	}
	return out
}
