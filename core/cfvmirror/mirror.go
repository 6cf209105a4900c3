// Package cfvmirror keeps a copy of the platform's key-value store, which entries update
// from the store or from each other, and tracks the age of the copy.
package cfvmirror

import (
	"cmp"
	"slices"
	"time"
)

// Record is one key of the key-value store at one revision.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool // a tombstone
}

// Mirror is a copy of the key-value store. Times are durations on a clock that keeps
// running while the VM is suspended. It is not safe for concurrent use.
type Mirror struct {
	records       map[string]Record
	revision      int64         // complete up to this revision
	confirmedAt   time.Duration // the store had no newer revision at this time
	everConfirmed bool
	droppedUpTo   int64 // tombstones up to this revision may have been dropped
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]Record)}
}

// Revision returns the revision up to which the mirror is complete, or 0 if it is empty.
func (m *Mirror) Revision() int64 { return m.revision }

// Age returns the time since the mirror was last known to be up to date, and false if it
// never was.
func (m *Mirror) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - m.confirmedAt, m.everConfirmed
}

// Confirm records that the store had no revision newer than the given one at time t.
func (m *Mirror) Confirm(revision int64, t time.Duration) {
	if revision > m.revision || revision == 0 {
		return
	}
	if !m.everConfirmed || t > m.confirmedAt {
		m.confirmedAt, m.everConfirmed = t, true
	}
}

// Merge applies records that make the mirror complete up to a revision, and returns those
// that changed it. Records up to the mirror's own revision are skipped: it already has
// them, or they have been replaced or removed since.
func (m *Mirror) Merge(records []Record, revision int64) []Record {
	var changed []Record
	for _, r := range records {
		if have, ok := m.records[r.Key]; r.Revision <= m.revision || ok && have.Revision >= r.Revision {
			continue
		}
		m.records[r.Key] = r
		changed = append(changed, r)
	}
	m.revision = max(m.revision, revision)
	m.trimTombstones()
	return changed
}

// Replace applies a full listing that was started at a revision, and returns the records
// that changed the mirror. Keys that are missing in the listing have been removed.
func (m *Mirror) Replace(listing []Record, revision int64) []Record {
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
	}
	if revision <= m.revision {
		return m.Merge(listing, revision)
	}
	m.droppedUpTo = revision // a listing has no tombstones; only peers know the earlier removals
	changed := m.Merge(listing, revision)
	for key, have := range m.records {
		if !listed[key] && !have.Deleted && have.Revision <= revision {
			tombstone := Record{Key: key, Revision: revision, Deleted: true}
			m.records[key] = tombstone
			changed = append(changed, tombstone)
		}
	}
	return changed
}

// Get returns the current record of a key, and false if there is none.
func (m *Mirror) Get(key string) (r Record, ok bool) {
	r, ok = m.records[key]
	return r, ok && !r.Deleted
}

// Delta returns the records that a peer at the given revision lacks. If tombstones after
// that revision have been dropped, it returns a complete listing, and full is true.
func (m *Mirror) Delta(since int64) (records []Record, full bool) {
	full = since < m.droppedUpTo
	for _, r := range m.records {
		if full && !r.Deleted || !full && r.Revision > since {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, byRevision)
	return records, full
}

func byRevision(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) }

// maxTombstones is the maximum number of tombstones that are kept for peers that lag behind.
const maxTombstones = 4096

// trimTombstones drops the oldest tombstones if there are too many.
func (m *Mirror) trimTombstones() {
	var tombstones []Record
	for _, r := range m.records {
		if r.Deleted {
			tombstones = append(tombstones, r)
		}
	}
	if len(tombstones) <= maxTombstones {
		return
	}
	slices.SortFunc(tombstones, byRevision)
	for _, r := range tombstones[:len(tombstones)-maxTombstones/2] {
		delete(m.records, r.Key)
		m.droppedUpTo = max(m.droppedUpTo, r.Revision)
	}
}
