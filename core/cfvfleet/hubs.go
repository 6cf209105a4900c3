package cfvfleet

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// How many entries are hubs.
const (
	leastHubs     = 3
	mostHubs      = 9
	entriesPerHub = 10
)

// Hubs returns the entries that ask the platform's store and the stores of cache parts on
// behalf of all; the others ask a hub. They are spread over the failure domains, and all
// entries with the same view choose alike. Without entries there are none.
func Relays(entries []Entry) []Entry {
	most := min(max(len(entries)/entriesPerHub, leastHubs), mostHubs, len(entries))
	ranked := slices.Clone(entries)
	slices.SortFunc(ranked, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.linkClass(), a.linkClass()), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	// Within a failure domain the rank decides; domains take turns.
	turn := make(map[string]int)
	round := make(map[string]int, len(ranked))
	for _, e := range ranked {
		round[e.Name] = turn[e.Domain]
		turn[e.Domain]++
	}
	slices.SortStableFunc(ranked, func(a, b Entry) int { return cmp.Compare(round[a.Name], round[b.Name]) })
	return ranked[:most]
}

// linkClass tells links apart that differ by a factor of two or more: a hub sends what it
// knows to many.
func (e Entry) linkClass() int { return bits.Len(uint(max(e.LinkMbps, 0))) }

// IsHub reports whether the named entry is a hub. An entry that knows no others is one.
func IsRelay(name string, entries []Entry) bool {
	known := slices.ContainsFunc(entries, func(e Entry) bool { return e.Name == name })
	return !known || slices.ContainsFunc(Relays(entries), func(e Entry) bool { return e.Name == name })
}

// HomeHubs returns the hubs in the order in which an entry asks them: those of its own
// failure domain first.
func RelaysByProximity(self Entry, entries []Entry) []Entry {
	var hubs []Entry
	for _, h := range Relays(entries) {
		if h.Name != self.Name {
			hubs = append(hubs, h)
		}
	}
	rank := func(h Entry) uint64 { return xxhash.Sum64String(self.Name + "\x00" + h.Name) }
	slices.SortFunc(hubs, func(a, b Entry) int {
		if (a.Domain == self.Domain) != (b.Domain == self.Domain) {
			if a.Domain == self.Domain {
				return -1
			}
			return 1
		}
		return cmp.Compare(rank(a), rank(b))
	})
	return hubs
}
