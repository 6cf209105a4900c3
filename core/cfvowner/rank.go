// Package cfvowner assigns each group of endpoints to an owner among the entry VMs, and
// implements the lease of an owner on its group. The owner holds the lease while a majority of
// the listed entry VMs has promised to recognise it.
package cfvowner

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
)

// GroupSize is the target number of endpoints in a group.
const GroupSize = 8

// Group identifies a set of endpoints of one service in one failure domain.
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

// Owner returns the member that owns the group, by rendezvous hashing, or "" without members.
func Owner(group string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return rendezvous.New(members, xxhash.Sum64String).Lookup(group)
}

// Score returns the score of a name for the hash of a key. Rendezvous hashing picks the name
// with the highest score.
func Score(keyHash uint64, name string) uint64 {
	x := keyHash ^ xxhash.Sum64String(name)
	x ^= x >> 12
	x ^= x << 25
	x ^= x >> 27
	return x * 2685821657736338717
}

// HashKey returns the hash of a key for Score.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }

// Rank returns the names in the rendezvous order of a key. Removing a name does not change
// the order of the others. Rank does not use the rendezvous library, whose Remove corrupts its
// index after the first removal.
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

// Partition divides the endpoints of one service and domain into groups by the hash of their
// names. The result maps each endpoint to the index of its group.
func Partition(endpoints []string) map[string]int {
	groups := (len(endpoints) + GroupSize - 1) / GroupSize
	out := make(map[string]int, len(endpoints))
	for _, e := range endpoints {
		out[e] = int(xxhash.Sum64String(e) % uint64(groups))
	}
	return out
}
