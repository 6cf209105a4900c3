package cfvfakeplatform

import (
	"maps"
	"slices"
)

// Copy is the content of a key-value store at one time.
type Copy struct {
	rev       int64
	items     map[string]Item
	history   []Item
	compacted int64
	nextID    int64
}

// Change is a write or a removal by the operator or an endpoint.
type Change struct {
	Key     string
	Value   []byte
	Removed bool
}

// Copy returns a copy of the store.
func (s *KeyValueStore) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.put = nil
	return Copy{s.rev, maps.Clone(s.items), slices.Clone(s.history), s.compacted, s.nextID}
}

// SetAway makes the store refuse all calls with status 503, as while it is restored from a copy.
func (s *KeyValueStore) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.notifyWatchers()
}

// Restore replaces the content by a copy. All that was written since the copy was made is lost, and so are all leases with
// their items. Revisions and the identities of leases are given out again. It raises the era and returns the last change of
// each key by the operator and the endpoints since the last copy was made, which they will write again.
func (s *KeyValueStore) Restore(c Copy) (lost []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.items, s.history, s.compacted, s.nextID = c.rev, maps.Clone(c.items), slices.Clone(c.history), c.compacted, c.nextID
	s.era++
	s.leases = make(map[int64]*lease)
	for key, i := range s.items {
		if i.Lease != 0 {
			s.rev++
			s.remove(key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(s.put)) {
		lost = append(lost, s.put[key])
	}
	s.put = nil
	s.notifyWatchers()
	return lost
}

// WriteAgain carries out a change that a restore has lost, unless its key has been changed since.
func (s *KeyValueStore) WriteAgain(c Change) {
	s.mu.Lock()
	_, changed := s.put[c.Key]
	s.mu.Unlock()
	switch {
	case changed:
	case c.Removed:
		s.Remove(c.Key)
	default:
		s.Put(c.Key, c.Value)
	}
}

// HideEra makes the store omit its era from its responses, as earlier versions of the platform do.
func (s *KeyValueStore) HideEra() {
	s.SetEraHeader(func(int64) (int64, bool) { return 0, false })
}

// SetEraHeader sets what responses tell of the store's era: f returns the value of the header for an era, and whether a response
// has one.
func (s *KeyValueStore) SetEraHeader(f func(era int64) (value int64, ok bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHeader = f
}

// status returns the store's era, what a response tells of it, and whether the store is away.
func (s *KeyValueStore) status() (era, told int64, tells, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	told, tells = s.era, true
	if s.eraHeader != nil {
		told, tells = s.eraHeader(s.era)
	}
	return s.era, told, tells, s.away
}

// Revision returns the revision at which the copy was made.
func (c Copy) Revision() int64 { return c.rev }
