// Package cfvmirror keeps a copy of the platform's key-value store, which entries update
// from the store or from each other, and tracks the age of the copy.
package cfvmirror

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Record is one key of the key-value store at one revision.
type Record struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool // a tombstone
}

// Mirror is a copy of the key-value store. Times are durations on a clock that keeps
// running while the VM is suspended. It is not safe for concurrent use.
type Mirror struct {
	records       map[string]Record
	revision      Revision      // complete up to this revision
	confirmedAt   time.Duration // the store had no newer revision at this time
	everConfirmed bool
	droppedUpTo   Revision // tombstones up to this revision may have been dropped
	restored      bool
	lost          map[string]Record // see Lost
	unseen        map[string]bool   // see Unseen
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]Record), lost: make(map[string]Record), unseen: make(map[string]bool)}
}

// Revision returns the revision up to which the mirror is complete, or 0 if it is empty.
func (m *Mirror) Revision() Revision { return m.revision }

// Restored reports whether the mirror has followed the store from one history to a later one.
func (m *Mirror) Restored() bool { return m.restored }

// Lost returns the last record of a key that the store lost when it was restored from an older copy, and false if it lost
// none or the key has been written again.
func (m *Mirror) Lost(key string) (r Record, ok bool) {
	r, ok = m.lost[key]
	return r, ok
}

// Age returns the time since the mirror was last known to be up to date, and false if it
// never was.
func (m *Mirror) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - m.confirmedAt, m.everConfirmed
}

// Confirm records that the store had no revision newer than the given one at time t. One of an earlier history confirms nothing:
// the store has been restored since.
func (m *Mirror) Confirm(revision Revision, t time.Duration) {
	if revision > m.revision || revision.History() < m.revision.History() || revision == 0 {
		return
	}
	if !m.everConfirmed || t > m.confirmedAt {
		m.confirmedAt, m.everConfirmed = t, true
	}
}

// Merge applies records that make the mirror complete up to a revision, and returns those
// that changed it. Records up to the mirror's own revision are skipped: it already has
// them, or they have been replaced or removed since. Records of another history are not applied:
// only a listing tells what the store lost between two of them.
func (m *Mirror) Merge(records []Record, revision Revision) []Record {
	if revision.History() != m.revision.History() && m.revision > 0 {
		return nil
	}
	var changed []Record
	for _, r := range records {
		if have, ok := m.records[r.Key]; r.Revision <= m.revision || ok && have.Revision >= r.Revision {
			continue
		}
		m.records[r.Key] = r
		delete(m.lost, r.Key)
		delete(m.unseen, r.Key)
		changed = append(changed, r)
	}
	m.revision = max(m.revision, revision)
	m.trimTombstones()
	return changed
}

// Replace applies a full listing that was started at a revision, and returns the records
// that changed the mirror. Keys that are missing in the listing have been removed.
func (m *Mirror) Replace(listing []Record, revision Revision) []Record {
	if revision <= m.revision {
		return m.Merge(listing, revision)
	}
	if revision.History() > m.revision.History() && m.revision > 0 {
		return m.restore(listing, revision)
	}
	m.droppedUpTo = revision // a listing has no tombstones; only peers know the earlier removals
	changed := m.Merge(listing, revision)
	return append(changed, m.removeUnlisted(listing, revision)...)
}

// removeUnlisted replaces the records up to a revision that are missing in a listing by tombstones, and returns these.
func (m *Mirror) removeUnlisted(listing []Record, revision Revision) (tombstones []Record) {
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
	}
	for key, have := range m.records {
		if !listed[key] && !have.Deleted && have.Revision <= revision {
			tombstone := Record{Key: key, Revision: revision, Deleted: true}
			m.records[key] = tombstone
			tombstones = append(tombstones, tombstone)
		}
	}
	return tombstones
}

// Contradicts reports whether a listing, complete up to a revision, is from another history than the mirror although both name the same
// one: the store has gone back since it had the revision that the mirror had when the listing was requested. The store's revision never
// decreases within a history, a record up to that revision is the one that the mirror has, and none is missing unless there are later changes.
func (m *Mirror) Contradicts(listing []Record, revision, requestedAt Revision) bool {
	if requestedAt == 0 || requestedAt.History() != m.revision.History() || revision.History() != m.revision.History() {
		return false
	}
	if revision < requestedAt {
		return true
	}
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
		have := m.records[r.Key]
		if r.Revision > requestedAt || have.Revision > requestedAt { // the mirror may have got a later one from a peer since
			continue
		}
		if have.Deleted || have.Revision != r.Revision || !bytes.Equal(have.Value, r.Value) {
			return true
		}
	}
	if revision > requestedAt || m.revision > requestedAt {
		return false
	}
	for key, have := range m.records {
		if !have.Deleted && !listed[key] && have.Revision <= requestedAt {
			return true
		}
	}
	return false
}

// restore applies the first listing of a later history. Whatever the mirror held is replaced, and what the listing lacks or has
// only in an older version is lost. A record that the copy holds with its old number and value did not change.
func (m *Mirror) restore(listing []Record, revision Revision) (changed []Record) {
	before, lostBefore, unseenBefore, known := m.records, m.lost, m.unseen, m.revision.Number()
	m.restored = m.restored || IsRestore(m.revision.History(), revision.History())
	m.records, m.lost, m.revision, m.droppedUpTo = make(map[string]Record, len(listing)), make(map[string]Record), revision, revision
	m.unseen = make(map[string]bool)
	for _, r := range listing {
		m.records[r.Key] = r
		have, ok := before[r.Key]
		if ok && have.Revision.Number() == r.Revision.Number() && bytes.Equal(have.Value, r.Value) && !have.Deleted {
			m.keepLost(r.Key, lostBefore)
			if unseenBefore[r.Key] {
				m.unseen[r.Key] = true
			}
			continue
		}
		if !ok && r.Revision.Number() <= known {
			m.unseen[r.Key] = true
		}
		if ok && have.Revision.Number() > r.Revision.Number() {
			m.lost[r.Key] = have
		}
		changed = append(changed, r)
	}
	for key, have := range before {
		if _, listed := m.records[key]; listed {
			continue
		}
		if have.Deleted {
			m.keepLost(key, lostBefore)
			continue
		}
		tombstone := Record{Key: key, Revision: revision, Deleted: true}
		m.records[key], m.lost[key] = tombstone, have
		changed = append(changed, tombstone)
	}
	return changed
}

// Get returns the current record of a key, and false if there is none.
func (m *Mirror) Get(key string) (r Record, ok bool) {
	r, ok = m.records[key]
	return r, ok && !r.Deleted
}

// Unseen reports whether a record appeared with a restore at a number up to which the mirror was complete without it. The store lost its
// removal, or it has been written since and got a number that was given out again.
func (m *Mirror) Unseen(key string) bool { return m.unseen[key] }

// AddUnseen records that a peer takes a record of the given revision for unseen. It reports whether this is news.
func (m *Mirror) AddUnseen(key string, revision Revision) bool {
	have, ok := m.Get(key)
	if m.unseen[key] || !ok || have.Revision != revision {
		return false
	}
	m.unseen[key] = true
	return true
}

// LostKeys calls f for each key of which the store lost a record, with that record and the one that it has.
func (m *Mirror) LostKeys(f func(lost, current Record)) {
	for key, lost := range m.lost {
		f(lost, m.Current(key))
	}
}

// AddLost records that a peer knew of a removal, or of another change, that the store lost with a restore from a copy in which the key has
// the given revision. It reports whether this is news: the key has been written again if its revision differs.
func (m *Mirror) AddLost(key string, copied Revision) bool {
	have, ok := m.Get(key)
	if _, known := m.lost[key]; known || !ok || have.Revision != copied {
		return false
	}
	m.lost[key] = Record{Key: key, Revision: copied, Deleted: true}
	return true
}

// keepLost keeps what an earlier restore lost of a key that has not been written since.
func (m *Mirror) keepLost(key string, before map[string]Record) {
	if r, ok := before[key]; ok {
		m.lost[key] = r
	}
}

// Current returns the record of a key, which may be a tombstone. Without one it returns a tombstone at the mirror's revision.
func (m *Mirror) Current(key string) Record {
	if r, ok := m.records[key]; ok {
		return r
	}
	return Record{Key: key, Revision: m.revision, Deleted: true}
}

// Delta returns the records that a peer at the given revision lacks. If tombstones after
// that revision have been dropped, or the peer is at an earlier history, it returns a complete listing, and full is true.
func (m *Mirror) Delta(since Revision) (records []Record, full bool) {
	full = since < m.droppedUpTo || since.History() < m.revision.History()
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
