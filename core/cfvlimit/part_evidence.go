package cfvlimit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// suspectPart is the merged evidence against a part.
type suspectPart struct {
	crashes   map[string]*partCrash    // by endpoint incarnation
	dropped   map[string]time.Duration // times of uncleared crashes that there was no room for
	open      int                      // crashes that no answer has cleared
	answered  bool
	changedAt time.Duration
	change    uint64 // number of the last change of any part, at this one's last change
}

type partCrash struct {
	at        time.Duration
	answering bool
	cleared   bool
}

// insert adds a crash and deletes the least important one if there are too many. It reports whether the
// added one is kept.
func (s *suspectPart) insert(endpoint string, c partCrash) bool {
	s.crashes[endpoint] = &c
	if !c.cleared {
		s.open++
	}
	if len(s.crashes) <= maxCrashesPerPart {
		return true
	}
	least := s.leastImportant()
	if d := s.crashes[least]; !d.cleared && len(s.dropped) < maxDroppedPerPart {
		if s.dropped == nil {
			s.dropped = make(map[string]time.Duration)
		}
		s.dropped[least] = d.at
	}
	s.remove(least)
	return least != endpoint
}

// leastImportant returns the oldest of the crashes that are cleared. If none is, it returns one from the
// middle, since the first and the last ones tell when and for how long the part is blocked.
func (s *suspectPart) leastImportant() string {
	endpoints := slices.Collect(maps.Keys(s.crashes))
	slices.SortFunc(endpoints, func(a, b string) int {
		return cmp.Or(cmp.Compare(s.crashes[a].at, s.crashes[b].at), cmp.Compare(a, b))
	})
	for _, e := range endpoints {
		if s.crashes[e].cleared {
			return e
		}
	}
	return endpoints[len(endpoints)/2]
}

// remove deletes the crash of an endpoint.
func (s *suspectPart) remove(endpoint string) {
	if !s.crashes[endpoint].cleared {
		s.open--
	}
	delete(s.crashes, endpoint)
}

// uncleared returns the crashes that no answer has cleared, in the order of their times.
func (s *suspectPart) uncleared() (out []partCrash) {
	for _, c := range s.crashes {
		if !c.cleared {
			out = append(out, *c)
		}
	}
	slices.SortFunc(out, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	return out
}

// unclearedByEndpoint returns the endpoints of the uncleared crashes, with the dropped ones. An answer clears the
// oldest first, so dropped ones that are older than all others don't count.
func (s *suspectPart) unclearedByEndpoint() map[string]bool {
	out := make(map[string]bool, len(s.crashes)+len(s.dropped))
	first := time.Duration(math.MaxInt64)
	for e, c := range s.crashes {
		if !c.cleared {
			out[e] = true
			first = min(first, c.at)
		}
	}
	for e, at := range s.dropped {
		if at >= first {
			out[e] = true
		}
	}
	return out
}

// mayHave reports whether a crash of an endpoint may be among the uncleared ones.
func (s *suspectPart) mayHave(endpoint string) bool {
	if c := s.crashes[endpoint]; c != nil && !c.cleared {
		return true
	}
	_, ok := s.dropped[endpoint]
	return ok
}
