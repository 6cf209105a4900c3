package cfvparts

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Target returns the store that should keep a part, and notes that it is being saved;
// empty: no store has room, or the part is kept or being saved already. A part that finds no
// room in the stores that suit it goes to another one.
func (c *Catalog) StartSave(now time.Duration, k Key, tokens int) string {
	var best, suited *shelf
	score := math.Inf(-1)
	for _, s := range c.shelves {
		if s.keeps(now, k, tokens) {
			return ""
		}
		if !s.known || !s.hasRoom(now, tokens) {
			continue
		}
		suits := c.suits(s, tokens)
		if suited != nil && !suits {
			continue
		}
		// Rendezvous hashing weighted by capacity, so that all entries choose alike.
		u := (float64(xxhash.Sum64String(s.store.Addr+"\x00"+k.Part)>>11) + 0.5) / (1 << 53)
		w := -float64(s.store.CapacityTokens) / math.Log(u)
		if suits && suited == nil || w > score {
			best, score = s, w
		}
		if suits {
			suited = best
		}
	}
	if best == nil {
		return ""
	}
	best.wants[k] = want{now, tokens}
	return best.store.Addr
}

// keeps reports whether a store holds a part or gets it.
func (s *shelf) keeps(now time.Duration, k Key, tokens int) bool {
	if !s.known {
		return false
	}
	if _, going := s.freed[k]; !going && s.held[k] >= tokens {
		return true
	}
	w, ok := s.wants[k]
	return ok && now-w.begun < saveTime
}

// hasRoom reports whether a part fits beside what is held and on its way.
func (s *shelf) hasRoom(now time.Duration, tokens int) bool {
	return float64(s.used+s.pending(now)+tokens) <= fillShare*float64(s.store.CapacityTokens)
}

// smallPart is the length in tokens below which a part is read sooner than a long
// transfer before it in a queue ends.
const smallPart = 2048

// suits keeps small parts and large ones apart where stores differ in their first byte, so
// that small ones do not queue behind large ones: small ones go to the faster stores.
func (c *Catalog) suits(s *shelf, tokens int) bool {
	fastest, slowest := s.store.FirstByteLatency, s.store.FirstByteLatency
	for _, other := range c.shelves {
		fastest, slowest = min(fastest, other.store.FirstByteLatency), max(slowest, other.store.FirstByteLatency)
	}
	if fastest == slowest {
		return true
	}
	return (s.store.FirstByteLatency == fastest) == (tokens < smallPart)
}
