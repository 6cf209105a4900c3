// Package cfvowner decides which entry VM owns a group of endpoints and when that owner
// holds a lease on the group by the promises of a majority of the listed entry VMs.
package cfvowner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
)

// GroupSize is the number of endpoints that a group aims at.
const GroupSize = 8

// Group names a set of endpoints of one service in one failure domain.
type Group struct {
	Service string
	Region  string
	Domain  string
	Index   int
}

// String returns the group's key.
func (g Group) String() string {
	return fmt.Sprintf("%s/%s/%s/%d", g.Service, g.Region, g.Domain, g.Index)
}

// Owner returns the member that owns the group, by rendezvous hashing; empty when there
// is no member.
func Owner(group string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return rendezvous.New(members, xxhash.Sum64String).Lookup(group)
}

// Score returns how much a key, by its hash, prefers a name: rendezvous hashing picks the
// name with the highest score.
func Score(keyHash uint64, name string) uint64 {
	x := keyHash ^ xxhash.Sum64String(name)
	x ^= x >> 12
	x ^= x << 25
	x ^= x >> 27
	return x * 2685821657736338717
}

// HashKey returns the hash of a key for Score.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Rank returns the names in the order in which a key prefers them: removing one name
// leaves the order of the others. It scores by itself, since the library's removal breaks
// its own index after the first name.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	h := HashKey(key)
	list := make([]scored, len(names))
	for i, n := range names {
		list[i] = scored{n, Score(h, n)}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	out := make([]string, len(list))
	for i, s := range list {
		out[i] = s.name
	}
	return out
}

// Partition cuts the endpoints of one service and domain into groups by name. The result
// maps each endpoint to its group's index.
func Partition(endpoints []string) map[string]int {
	groups := (len(endpoints) + GroupSize - 1) / GroupSize
	out := make(map[string]int, len(endpoints))
	for _, e := range endpoints {
		out[e] = int(xxhash.Sum64String(e) % uint64(groups))
	}
	return out
}
