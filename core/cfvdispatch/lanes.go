package cfvdispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"github.com/cespare/xxhash/v2"
)

// LongPrompt is the length in tokens from which a prompt keeps an endpoint from reading
// others for longer than a step: engines read in pieces of about two thousand tokens.
const LongPromptTokens = 2048

// Figures of the demand.
const (
	slotMs      = 120.0           // what a request takes of a slot beside reading: fetches one after the other, and steps with others
	demandFor   = 8 * time.Second // how far back the demand is judged
	demandLeast = 24.0            // requests before it is
	borderSlack = 0.7             // endpoints by which the border must be off before it moves
	shortPart   = 0.8             // short prompts share an endpoint better than long ones, which read alone
)

// Lanes answers a load of a few long prompts among many short ones: a short prompt that
// meets a long one waits until that is read. It keeps the two apart, on two parts of a
// service's endpoints whose border follows the demand of the last seconds. It is not safe
// for concurrent use.
type PoolSizer struct {
	last   time.Duration
	own    Demand
	others Demand
	border int
	of     int
}

// Demand is recent work, in milliseconds of reading; older work counts less.
type Demand struct {
	ShortMs, LongMs float64
	Requests        float64 // requests
}

// Add returns the sum of two demands.
func (d Demand) Add(o Demand) Demand {
	return Demand{d.ShortMs + o.ShortMs, d.LongMs + o.LongMs, d.Requests + o.Requests}
}

// scaled returns a part of a demand.
func (d Demand) scaled(x float64) Demand { return Demand{d.ShortMs * x, d.LongMs * x, d.Requests * x} }

// Note counts a request to endpoints with so many slots.
func (l *PoolSizer) RecordRequest(now time.Duration, tokens, slots int) {
	l.own = l.LocalDemand(now)
	l.last = now
	l.own.Requests++
	work := slotMs/float64(max(slots, 1)) + float64(tokens)/readTokensPerMs
	if tokens >= LongPromptTokens {
		l.own.LongMs += work
	} else {
		l.own.ShortMs += work
	}
}

// Own returns the demand at this entry.
func (l *PoolSizer) LocalDemand(now time.Duration) Demand {
	if l.last == 0 || now <= l.last {
		return l.own
	}
	return l.own.scaled(math.Exp(-float64(now-l.last) / float64(demandFor)))
}

// SetOthers says what the demand is at all other entries: one entry alone sees too few long
// prompts to tell their share.
func (l *PoolSizer) SetPeerDemand(d Demand) { l.others = d }

// Border returns how many of n endpoints are for short prompts; 0: there are no lanes.
func (l *PoolSizer) ShortPoolSize(n int) int {
	d := l.own.Add(l.others)
	if d.Requests < demandLeast || d.ShortMs <= 0 || d.LongMs <= 0 || n < 2 {
		return 0
	}
	want := float64(n) * d.ShortMs * shortPart / (d.ShortMs*shortPart + d.LongMs)
	if l.of != n || math.Abs(want-float64(l.border)) > borderSlack {
		l.border, l.of = min(max(int(math.Round(want)), 1), n-1), n
	}
	return l.border
}

// InShortLane returns the endpoints of the lane for short prompts. All entries order the
// endpoints alike, and those of a failure domain are spread over the order.
func ShortPool(endpoints []*cfvfleet.Endpoint, border int) map[string]bool {
	type placed struct {
		id    string
		round int
		hash  uint64
	}
	all := make([]placed, 0, len(endpoints))
	domains := make(map[string][]int)
	for i, e := range endpoints {
		all = append(all, placed{id: e.ID, hash: xxhash.Sum64String(e.ID)})
		domains[e.Domain] = append(domains[e.Domain], i)
	}
	for _, list := range domains {
		slices.SortFunc(list, func(a, b int) int { return cmp.Compare(all[a].hash, all[b].hash) })
		for round, i := range list {
			all[i].round = round
		}
	}
	slices.SortFunc(all, func(a, b placed) int { return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.hash, b.hash)) })
	out := make(map[string]bool, border)
	for _, p := range all[:min(border, len(all))] {
		out[p.id] = true
	}
	return out
}
