// Package cfvroute orders the groups of a service for the reservation of a slot.
package cfvroute

import (
	"cmp"
	"slices"

	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvowner"
)

// Order returns the keys of up to limit groups in the order in which an entry requests a slot
// from them. The first is the group of the endpoint that rendezvous hashing picks for the key,
// the second that of the best endpoint outside the first group, and so on. Groups of the
// region precede those of other regions. Drained groups are omitted.
func Order(key, region string, groups []cfvcatalog.Group, limit int) []string {
	local, remote := splitByRegion(region, groups)
	out := topGroups(key, local, limit)
	if len(out) < limit {
		out = append(out, topGroups(key, remote, limit-len(out))...)
	}
	return out
}

// splitByRegion divides the groups that are not drained into those of the region and others.
func splitByRegion(region string, groups []cfvcatalog.Group) (local, remote []cfvcatalog.Group) {
	for _, g := range groups {
		switch {
		case g.Drained:
		case g.Region == region:
			local = append(local, g)
		default:
			remote = append(remote, g)
		}
	}
	return local, remote
}

// scoredGroup is the key of a group with the highest score among its endpoints.
type scoredGroup struct {
	key   string
	score uint64
}

// topGroups returns the keys of up to limit groups with the highest scores, best first.
func topGroups(key string, groups []cfvcatalog.Group, limit int) []string {
	h := cfvowner.HashKey(key)
	var list []scoredGroup
	for _, g := range groups {
		if s, ok := bestScore(h, g); ok {
			list = append(list, scoredGroup{g.Key, s})
		}
	}
	slices.SortFunc(list, func(a, b scoredGroup) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.key, b.key))
	})
	var out []string
	for _, s := range list[:min(limit, len(list))] {
		out = append(out, s.key)
	}
	return out
}

// bestScore returns the highest score among the endpoints of a group that are not drained.
// It reports false if all are drained.
func bestScore(keyHash uint64, g cfvcatalog.Group) (score uint64, ok bool) {
	for _, e := range g.Endpoints {
		if !e.Drained {
			score = max(score, cfvowner.Score(keyHash, e.Name))
			ok = true
		}
	}
	return score, ok
}
