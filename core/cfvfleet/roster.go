package cfvfleet

import "slices"

// Roster is the list of the entries at one time, and which of them are relays. It does not change, so it
// can be kept and shared.
type Roster struct {
	entries  []Entry // sorted by name
	ranked   []Entry // those that may be relays, in the order in which they become relays
	relays   []Entry
	watchers []Entry
	standbys []Entry
}

// NewRoster returns the roster of entries that are sorted by name.
func NewRoster(entries []Entry) *Roster { return newRoster(entries, rankRelays(entries), nil) }

// newRoster returns a roster of which only ranked entries are relays, and none that is in storeLost watches the store
// while there are others.
func newRoster(entries, ranked []Entry, storeLost []string) *Roster {
	r := &Roster{entries: entries, ranked: ranked}
	r.relays = ranked[:min(relayCount(len(entries)), len(ranked))]
	reaching := without(ranked, storeLost)
	if len(reaching) == 0 {
		reaching = ranked
	}
	n := min(max(len(r.relays)/2, minRelays), len(reaching))
	r.watchers = reaching[:n]
	others := slices.DeleteFunc(slices.Clone(reaching[n:]), func(e Entry) bool { return containsEntry(r.relays, e.Name) })
	r.standbys = others[:min(n, len(others))] // no relays, which may all fail at once
	return r
}

// Without returns the roster if the entries that are unresponsive or do not reach the key-value store, which are both
// sorted by name, can't serve their peers: others take their places as relays and watchers, but all stay in the list.
// If no entry is left, all stay relays.
func (r *Roster) Without(unresponsive, storeLost []string) *Roster {
	ranked := without(r.ranked, unresponsive)
	if len(ranked) == 0 {
		ranked = r.ranked
	}
	return newRoster(r.entries, ranked, storeLost)
}

// without returns the entries whose names are not in a sorted list.
func without(entries []Entry, names []string) []Entry {
	if len(names) == 0 {
		return entries
	}
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool {
		_, found := slices.BinarySearch(names, e.Name)
		return found
	})
}

// Entries returns all entries, sorted by name. The caller must not change them.
func (r *Roster) Entries() []Entry { return r.entries }

// Relays returns the relays. The caller must not change them.
func (r *Roster) Relays() []Entry { return r.relays }

// Lists reports whether the named entry is in the list.
func (r *Roster) Lists(name string) bool {
	_, ok := slices.BinarySearchFunc(r.entries, name, func(e Entry, name string) int {
		switch {
		case e.Name < name:
			return -1
		case e.Name > name:
			return 1
		}
		return 0
	})
	return ok
}

// IsRelay reports whether the named entry is a relay. An entry that is not in the list is one too, so that
// an entry that knows no peers queries the stores itself.
func (r *Roster) IsRelay(name string) bool { return !r.Lists(name) || r.IsListedRelay(name) }

// IsListedRelay reports whether the named entry is in the list, as a relay.
func (r *Roster) IsListedRelay(name string) bool { return containsEntry(r.relays, name) }

// IsWatcher reports whether the named entry watches the platform's key-value store on behalf of the
// others: one of the first relays. The other relays learn of changes from these within a pull or two,
// and each watch costs calls to the store all the time. An entry that is not in the list is none.
func (r *Roster) IsWatcher(name string) bool { return containsEntry(r.watchers, name) }

// Watchers returns the entries that watch the platform's key-value store. The caller must not change them.
func (r *Roster) Watchers() []Entry { return r.watchers }

// IsStandby reports whether the named entry is the next to watch the key-value store, before all others, if the
// watchers' updates do not arrive.
func (r *Roster) IsStandby(name string) bool { return containsEntry(r.standbys, name) }

// Standbys returns the entries that watch the key-value store next. The caller must not change them.
func (r *Roster) Standbys() []Entry { return r.standbys }

// containsEntry reports whether a list has an entry of the given name.
func containsEntry(list []Entry, name string) bool {
	return slices.ContainsFunc(list, func(e Entry) bool { return e.Name == name })
}
