// Package cfvmirror keeps a copy of the platform's store that entries bring up to date from
// the store or from each other, and says how old the copy may be.
package cfvmirror

import (
	"cmp"
	"slices"
	"time"
)

// Record is one item of the store as of one revision.
type Record struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

// Mirror is the copy. Times are durations on a clock that also runs while the machine is
// suspended. It is not safe for concurrent use.
type Mirror struct {
	records   map[string]Record
	asOf      int64         // complete up to this revision
	confirmed time.Duration // nothing newer than asOf existed at this time
	started   bool
	floor     int64 // removals up to this revision may be forgotten
}

// New returns an empty mirror.
func New() *Mirror {
	return &Mirror{records: make(map[string]Record)}
}

// AsOf returns the revision up to which the mirror is complete; 0: it holds nothing yet.
func (m *Mirror) Revision() int64 { return m.asOf }

// Age returns how long ago the mirror was known to be complete, and false if it never was.
func (m *Mirror) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - m.confirmed, m.started
}

// Confirm notes that the store held nothing newer than revision asOf at time t.
func (m *Mirror) Confirm(asOf int64, t time.Duration) {
	if asOf > m.asOf || asOf == 0 {
		return
	}
	if !m.started || t > m.confirmed {
		m.confirmed, m.started = t, true
	}
}

// Merge takes records that make the mirror complete up to asOf, and returns those that
// were news. Records that the mirror is complete beyond are known, or were replaced or
// removed since.
func (m *Mirror) Merge(records []Record, asOf int64) []Record {
	var news []Record
	for _, r := range records {
		if have, ok := m.records[r.Key]; r.Revision <= m.asOf || ok && have.Revision >= r.Revision {
			continue
		}
		m.records[r.Key] = r
		news = append(news, r)
	}
	m.asOf = max(m.asOf, asOf)
	m.trim()
	return news
}

// Replace takes a full listing that was begun at revision asOf. Records that it lacks were
// removed meanwhile. It returns what was news.
func (m *Mirror) Replace(listing []Record, asOf int64) []Record {
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
	}
	if asOf <= m.asOf {
		return m.Merge(listing, asOf)
	}
	m.floor = asOf // what was removed before is known to others only
	news := m.Merge(listing, asOf)
	for key, have := range m.records {
		if !listed[key] && !have.Deleted && have.Revision <= asOf {
			gone := Record{Key: key, Revision: asOf, Deleted: true}
			m.records[key] = gone
			news = append(news, gone)
		}
	}
	return news
}

// Get returns the newest record of a key, and false if there is none.
func (m *Mirror) Get(key string) (r Record, ok bool) {
	r, ok = m.records[key]
	return r, ok && !r.Deleted
}

// Delta returns what a peer that is complete up to a revision lacks. Full means that the
// records are a complete listing, since too much was forgotten for a difference.
func (m *Mirror) Delta(since int64) (records []Record, full bool) {
	full = since < m.floor
	for _, r := range m.records {
		if full && !r.Deleted || !full && r.Revision > since {
			records = append(records, r)
		}
	}
	slices.SortFunc(records, byRevision)
	return records, full
}

func byRevision(a, b Record) int { return cmp.Compare(a.Revision, b.Revision) }

// maxTombstones bounds the removed records that are kept for peers that lag behind.
const maxTombstones = 4096

// trim drops the oldest removed records when there are too many.
func (m *Mirror) trim() {
	var dead []Record
	for _, r := range m.records {
		if r.Deleted {
			dead = append(dead, r)
		}
	}
	if len(dead) <= maxTombstones {
		return
	}
	slices.SortFunc(dead, byRevision)
	for _, r := range dead[:len(dead)-maxTombstones/2] {
		delete(m.records, r.Key)
		m.floor = r.Revision
	}
}
