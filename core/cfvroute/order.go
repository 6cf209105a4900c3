// Package cfvroute picks the order in which the groups of a service are asked for a slot.
package cfvroute

import (
	"cmp"
	"slices"

	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvowner"
)

// Order returns the keys of up to most groups in the order in which the key prefers
// them: the group of the endpoint that rendezvous hashing picks, then that of the next
// endpoint outside it, and so on. Groups of the region go before those of others; drained
// groups are left out.
func Order(key, region string, groups []cfvcatalog.Group, most int) []string {
	near, far := split(region, groups)
	out := pick(key, near, most)
	if len(out) < most {
		out = append(out, pick(key, far, most-len(out))...)
	}
	return out
}

func split(region string, groups []cfvcatalog.Group) (near, far []cfvcatalog.Group) {
	for _, g := range groups {
		switch {
		case g.Drained:
		case g.Region == region:
			near = append(near, g)
		default:
			far = append(far, g)
		}
	}
	return near, far
}

// scored is a group with the highest score of its endpoints.
type scored struct {
	key   string
	score uint64
}

func pick(key string, groups []cfvcatalog.Group, most int) []string {
	h := cfvowner.HashKey(key)
	var list []scored
	for _, g := range groups {
		if s, ok := best(h, g); ok {
			list = append(list, scored{g.Key, s})
		}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.key, b.key))
	})
	var out []string
	for _, s := range list[:min(most, len(list))] {
		out = append(out, s.key)
	}
	return out
}

// best returns the highest score of a group's endpoints that take work.
func best(keyHash uint64, g cfvcatalog.Group) (score uint64, ok bool) {
	for _, e := range g.Endpoints {
		if !e.Drained {
			score = max(score, cfvowner.Score(keyHash, e.Name))
			ok = true
		}
	}
	return score, ok
}
