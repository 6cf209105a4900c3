// Package cfvfakeplatform is a stand-in for the store of the hosting platform: its items,
// watches, transactions and leases over HTTP, in memory, with the ways to fail that the
// platform names.
package cfvfakeplatform

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Item is one item as it was written, or removed.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl   time.Duration
	expires time.Time
}

// Store is the state of the stand-in. It is safe for concurrent use.
type KVStore struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]Item
	history []Item
	compacted   int64 // events up to this revision are forgotten
	leases  map[int64]*lease
	nextID  int64
	changed chan struct{}
	now     func() time.Time
}

// NewStore returns an empty store. Its revisions start above 0.
func NewKVStore() *KVStore {
	return &KVStore{rev: 100, items: make(map[string]Item), leases: make(map[int64]*lease), changed: make(chan struct{}), now: time.Now}
}

// Put writes an item as the operator or an endpoint would, and returns its revision.
func (s *KVStore) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	s.rev++
	s.write(Item{Key: key, Value: value})
	s.notifyWatchers()
	return s.rev
}

// Remove removes an item.
func (s *KVStore) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notifyWatchers()
}

// Compact forgets all history.
func (s *KVStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.rev
	s.notifyWatchers()
}

// Get returns an item.
func (s *KVStore) Get(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[key]
	return i, ok
}

// Revision returns the newest revision.
func (s *KVStore) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// write stores an item at the current revision; the caller holds the lock.
func (s *KVStore) write(i Item) {
	i.Rev, i.Created = s.rev, s.rev
	if have, ok := s.items[i.Key]; ok {
		i.Created = have.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
}

func (s *KVStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, Item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *KVStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the items of leases that have ended; the caller holds the lock.
func (s *KVStore) expire() {
	now := s.now()
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.revokeLease(id)
	}
}

func (s *KVStore) revokeLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
			s.notifyWatchers()
		}
	}
}

// list returns up to n items behind a key, and whether there are more.
func (s *KVStore) list(prefix, after string, n int) (items []Item, more bool) {
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

// since returns the events after a revision, and false if they are forgotten.
func (s *KVStore) eventsSince(prefix string, after int64) (events []Item, ok bool) {
	if after < s.compacted {
		return nil, false
	}
	for _, i := range s.history {
		if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, true
}
