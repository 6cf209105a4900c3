package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the record of its removal.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// content is what a copy of the store holds.
type content struct {
	rev     int64
	oldest  int64 // the history begins after this revision
	items   map[string]item
	history []item
	leases  map[int64]lease
}

func (c *content) clone() content {
	return content{c.rev, c.oldest, maps.Clone(c.items), slices.Clone(c.history), maps.Clone(c.leases)}
}

// store is a stand-in for the platform's store. It keeps everything that it has acknowledged, unless it is restored from a copy.
type store struct {
	mu        sync.Mutex
	content   content
	nextLease int64 // not part of a copy: identities of leases are not given out again
	era       int64
	away      bool
	changed   chan struct{}
}

const (
	storeLatency = 4 * time.Millisecond
	storePage    = 500
)

func newStore() *store {
	return &store{content: content{rev: 100, oldest: 100, items: make(map[string]item), leases: make(map[int64]lease)}, era: 1, changed: make(chan struct{})}
}

// copyNow returns a copy of the store.
func (s *store) copyNow() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.content.clone()
}

// restore lets the store be away for a while and come back from an older copy. Leases are gone, with their items.
func (s *store) restore(c content, away time.Duration) (before, after int64) {
	s.mu.Lock()
	before, s.away = s.content.rev, true
	s.notify()
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content, s.away = c.clone(), false
	s.era++
	for id := range s.content.leases {
		s.endLease(id)
	}
	s.notify()
	return before, s.content.rev
}

// put writes an item as the operator or a replica does, and returns its revision. It waits while the store is away.
func (s *store) put(key string, v any) int64 {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // all values are made here
	}
	for {
		s.mu.Lock()
		if !s.away {
			break
		}
		s.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
	defer s.mu.Unlock()
	s.expire()
	s.content.rev++
	s.write(item{Key: key, Value: value})
	s.notify()
	return s.content.rev
}

// drop removes the item of a replica that is silent.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.content.rev++
	s.remove(key)
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(i item) {
	i.Rev, i.Created = s.content.rev, s.content.rev
	if old, ok := s.content.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.content.items[i.Key] = i
	s.content.history = append(s.content.history, i)
}

func (s *store) remove(key string) {
	if _, ok := s.content.items[key]; ok {
		delete(s.content.items, key)
		s.content.history = append(s.content.history, item{Key: key, Rev: s.content.rev, Deleted: true})
	}
}

func (s *store) endLease(id int64) {
	delete(s.content.leases, id)
	for key, i := range s.content.items {
		if i.Lease == id {
			s.content.rev++
			s.remove(key)
		}
	}
}

func (s *store) expire() {
	for id, l := range s.content.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
			s.notify()
		}
	}
}

// handler serves the calls of the platform's store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.getKey)
	mux.HandleFunc("GET /-/kv-range", s.getRange)
	mux.HandleFunc("GET /-/kv-watch", s.getWatch)
	mux.HandleFunc("POST /-/kv-txn", s.postTxn)
	mux.HandleFunc("POST /-/kv-lease", s.postLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.postKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.deleteLease)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func respond(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // the caller may have left
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.content.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	respond(w, http.StatusOK, i)
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("pathPrefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items, more := []item{}, false
	for _, k := range slices.Sorted(maps.Keys(s.content.items)) {
		if !strings.HasPrefix(k, prefix) || k <= after {
			continue
		}
		if len(items) == storePage {
			more = true
			break
		}
		items = append(items, s.content.items[k])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "asOf": s.content.rev})
}

func (s *store) getWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("pathPrefix")
	after, err1 := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		s.expire()
		events := []item{}
		for _, i := range s.content.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev, oldest, changed, cut := s.content.rev, s.content.oldest, s.changed, s.away || s.era != era
		s.mu.Unlock()
		switch {
		case cut:
			panic(http.ErrAbortHandler)
		case after < oldest || after > rev:
			respond(w, http.StatusGone, map[string]any{})
			return
		case len(events) > 0 || !waiting:
			respond(w, http.StatusOK, map[string]any{"events": events, "asOf": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) postTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key string
			Rev int64
		}
		Writes []struct {
			Key   string
			Value []byte
			Lease int64
		}
		Remove []string
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	failed, current := false, []item{}
	for _, e := range t.Expected {
		i, ok := s.content.items[e.Key]
		failed = failed || i.Rev != e.Rev
		if ok {
			current = append(current, i)
		}
	}
	if failed {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, i := range t.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			respond(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, ok := s.content.leases[i.Lease]; i.Lease != 0 && !ok {
			respond(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.content.rev++
	for _, i := range t.Writes {
		s.write(item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	respond(w, http.StatusOK, map[string]any{"rev": s.content.rev})
}

func (s *store) postLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TTLMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(in.TTLMs) * time.Millisecond
	s.content.leases[s.nextLease] = lease{ttl, time.Now().Add(ttl)}
	respond(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttlMs": in.TTLMs})
}

func leaseID(r *http.Request) (id int64) {
	_, _ = fmt.Sscan(r.PathValue("id"), &id) // no lease has the ID 0
	return id
}

func (s *store) postKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.content.leases[leaseID(r)]
	if !ok {
		respond(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	s.content.leases[leaseID(r)] = l
	respond(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) deleteLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(leaseID(r))
	s.notify()
	respond(w, http.StatusOK, map[string]any{})
}
