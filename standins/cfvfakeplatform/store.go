// Package cfvfakeplatform is a stand-in for the key-value store of the hosting platform. It serves
// items, watches, transactions and leases over HTTP, in memory, and supports the faults that the
// platform documents.
package cfvfakeplatform

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is an item as it was written, or the record of its removal.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// KeyValueStore holds the state of the stand-in. It is safe for concurrent use.
type KeyValueStore struct {
	mu        sync.Mutex
	rev       int64
	items     map[string]Item
	history   []Item
	compacted int64 // events up to this revision have been removed
	leases    map[int64]*lease
	nextID    int64
	changed   chan struct{}
	now       func() time.Time

	era       int64 // rises when the store is restored from a copy
	eraHeader func(era int64) (value int64, ok bool)
	away      bool
	put       map[string]Change // by the operator and the endpoints, since the last copy was made
}

// NewKeyValueStore returns an empty store. Its revisions start above 0.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{rev: 100, items: make(map[string]Item), leases: make(map[int64]*lease), changed: make(chan struct{}), now: time.Now, era: 1}
}

// Put writes an item as the operator or an endpoint would, and returns its revision.
func (s *KeyValueStore) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.rev++
	s.write(Item{Key: key, Value: value})
	s.recordChange(Change{Key: key, Value: value})
	s.notifyWatchers()
	return s.rev
}

// Remove removes an item and records the removal in the history.
func (s *KeyValueStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.recordChange(Change{Key: key, Removed: true})
	s.notifyWatchers()
}

// recordChange records a change by the operator or an endpoint; the caller holds the lock.
func (s *KeyValueStore) recordChange(c Change) {
	if s.put == nil {
		s.put = make(map[string]Change)
	}
	s.put[c.Key] = c
}

// Compact removes all history, so that watches from older revisions fail.
func (s *KeyValueStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.rev
	s.notifyWatchers()
}

// Get returns the item of a key, if there is one.
func (s *KeyValueStore) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[key]
	return i, ok
}

// Revision returns the current revision.
func (s *KeyValueStore) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// write stores an item at the current revision; the caller holds the lock.
func (s *KeyValueStore) write(i Item) {
	i.Rev, i.Created = s.rev, s.rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
}

// remove removes an item at the current revision; the caller holds the lock.
func (s *KeyValueStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, Item{Key: key, Rev: s.rev, Deleted: true})
	}
}

// notifyWatchers wakes all waiting watches; the caller holds the lock.
func (s *KeyValueStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire revokes expired leases; the caller holds the lock.
func (s *KeyValueStore) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.revokeLease(id)
	}
}

// revokeLease removes a lease and its items; the caller holds the lock.
func (s *KeyValueStore) revokeLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
			s.notifyWatchers()
		}
	}
}

// list returns up to n items with the prefix whose keys follow after, in order, and whether there
// are more.
func (s *KeyValueStore) list(prefix, after string, n int) (items []Item, more bool) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > n {
		keys, more = keys[:n], true
	}
	items = []Item{}
	for _, k := range keys {
		items = append(items, s.items[k])
	}
	return items, more
}

// eventsSince returns the events after a revision. It returns false if some of them have been
// compacted, or there is no such revision.
func (s *KeyValueStore) eventsSince(prefix string, after int64) (events []Item, ok bool) {
	if after < s.compacted || after > s.rev {
		return nil, false
	}
	for _, i := range s.history {
		if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, true
}
