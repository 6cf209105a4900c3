package cfvfleet

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Limits of the number of relay entries.
const (
	minRelays       = 3
	maxRelays       = 9
	entriesPerRelay = 10
)

// relayCount returns how many of a number of entries are relays.
func relayCount(entries int) int {
	return min(max(entries/entriesPerRelay, minRelays), maxRelays, entries)
}

// rankRelays returns the entries in the order in which they become relays. Relays query the platform's key-value store
// and the cache stores on behalf of all entries; the other entries query a relay. Relays are spread over the failure
// domains, and all entries with the same view select the same relays.
func rankRelays(entries []Entry) []Entry {
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.linkClass(), a.linkClass()), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	// Select round-robin over the failure domains, by rank within each domain.
	seen := make(map[string]int)
	round := make(map[string]int, len(ranked))
	for _, e := range ranked {
		round[e.Name] = seen[e.Domain]
		seen[e.Domain]++
	}
	slices.SortStableFunc(ranked, func(a, b Entry) int { return cmp.Compare(round[a.Name], round[b.Name]) })
	return ranked
}

// linkClass groups link bandwidths by powers of two. Entries with faster links are
// preferred as relays, because a relay sends its state to many peers.
func (e Entry) linkClass() int { return bits.Len(uint(max(e.LinkMbps, 0))) }

// RelaysByProximity returns the relays other than self in the order in which self queries
// them: those of its own failure domain first.
func (r *Roster) RelaysByProximity(self Entry) []Entry {
	var relays []Entry
	for _, e := range r.relays {
		if e.Name != self.Name {
			relays = append(relays, e)
		}
	}
	rank := func(e Entry) uint64 { return xxhash.Sum64String(self.Name + "\x00" + e.Name) }
	slices.SortFunc(relays, func(a, b Entry) int {
		if (a.Domain == self.Domain) != (b.Domain == self.Domain) {
			if a.Domain == self.Domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return relays
}
