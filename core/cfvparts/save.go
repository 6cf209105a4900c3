package cfvparts

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// StartSave chooses the store that a part is saved to, records the save as in progress and
// returns the store's address. It returns "" if no store has room, or if the part is held or
// being saved already. A part that does not fit into the stores for its size goes to another
// store. A store in the failure domain of the endpoint that saves the part is preferred: later
// prompts with the part are placed there too, and transfers between domains take longer.
func (c *Catalog) StartSave(now time.Duration, k Key, tokens int, domain string) string {
	var best *storeState
	bestClass, bestRank := 0, math.Inf(-1)
	for _, s := range c.states {
		if s.holdsOrSaves(now, k, tokens) {
			return ""
		}
		if !s.known || !s.hasRoom(now, tokens) {
			continue
		}
		class := 1
		if c.suitsSize(s, tokens) {
			class += 2
		}
		if s.store.Domain == domain {
			class++
		}
		// Rendezvous hashing weighted by capacity, so that all entries choose the same store.
		u := (float64(xxhash.Sum64String(s.store.Addr+"\x00"+k.Part)>>11) + 0.5) / (1 << 53)
		rank := -float64(s.store.CapacityTokens) / math.Log(u)
		if class > bestClass || class == bestClass && rank > bestRank {
			best, bestClass, bestRank = s, class, rank
		}
	}
	if best == nil {
		return ""
	}
	best.saves[k] = save{now, tokens}
	return best.store.Addr
}

// holdsOrSaves reports whether the store holds a part or a save of it is in progress.
func (s *storeState) holdsOrSaves(now time.Duration, k Key, tokens int) bool {
	if !s.known {
		return false
	}
	if !s.beingFreed(now, k) && s.heldTokens[k] >= tokens {
		return true
	}
	pending, ok := s.saves[k]
	return ok && now-pending.startedAt < saveTimeout
}

// hasRoom reports whether a part fits beside the parts that are held or being saved.
func (s *storeState) hasRoom(now time.Duration, tokens int) bool {
	return float64(s.usedTokens+s.pendingTokens(now)+tokens) <= maxFillShare*float64(s.store.CapacityTokens)
}

// smallPartTokens is the length in tokens below which recomputing a part is faster than
// waiting in a queue behind a long transfer.
const smallPartTokens = 2048

// suitsSize reports whether parts of a size belong in a store. Where stores differ in their
// first-byte latency, small parts go to the fastest stores and large parts to the others, so
// that small parts do not queue behind large ones.
func (c *Catalog) suitsSize(s *storeState, tokens int) bool {
	fastest, slowest := s.store.FirstByteLatency, s.store.FirstByteLatency
	for _, other := range c.states {
		fastest, slowest = min(fastest, other.store.FirstByteLatency), max(slowest, other.store.FirstByteLatency)
	}
	if fastest == slowest {
		return true
	}
	return (s.store.FirstByteLatency == fastest) == (tokens < smallPartTokens)
}
