// Package cfvroute picks the order in which the groups of a service are asked for a slot.
package cfvroute

import (
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

func pick(key string, groups []cfvcatalog.Group, most int) []string {
	groupOf := make(map[string]string)
	var names []string
	for _, g := range groups {
		for _, e := range g.Endpoints {
			if !e.Drained {
				groupOf[e.Name] = g.Key
				names = append(names, e.Name)
			}
		}
	}
	var out []string
	for _, name := range cfvowner.Rank(key, names) {
		if len(out) == most {
			break
		}
		if g := groupOf[name]; !slices.Contains(out, g) {
			out = append(out, g)
		}
	}
	return out
}
