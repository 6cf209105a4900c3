package cfvfakekv

import (
	"sort"
	"time"

	"coltsfootvalve/io/cfvetcd"
)

// MaxValueBytes is the size of the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// store holds the keys, the leases and the active watches. Its methods are called with the
// server's lock held.
type store struct {
	revision int64
	keys     map[string]cfvetcd.KeyValue
	leases   map[int64]*lease
	nextID   int64
	watchers map[*watcher]bool
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// watcher is an active watch of a key or a range of keys.
type watcher struct {
	key, end string
	events   chan cfvetcd.Event
}

func newStore() *store {
	return &store{
		keys:     make(map[string]cfvetcd.KeyValue),
		leases:   make(map[int64]*lease),
		watchers: make(map[*watcher]bool),
	}
}

func (s *store) header() cfvetcd.Header {
	return cfvetcd.Header{Revision: s.revision}
}

// inRange reports whether key lies in the range [from, end). An empty end selects from alone.
func inRange(key, from, end string) bool {
	if end == "" {
		return key == from
	}
	return key >= from && key < end
}

func (s *store) read(key, end string) []cfvetcd.KeyValue {
	var out []cfvetcd.KeyValue
	for k, kv := range s.keys {
		if inRange(k, key, end) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return string(out[i].Key) < string(out[j].Key) })
	return out
}

// txn applies the operations of a transaction if all its comparisons hold.
func (s *store) txn(req cfvetcd.TxnRequest) cfvetcd.TxnResponse {
	resp := cfvetcd.TxnResponse{Succeeded: true}
	for _, c := range req.Compare {
		if s.keys[string(c.Key)].ModRevision != c.ModRevision {
			resp.Succeeded = false
		}
	}
	if resp.Succeeded {
		s.revision++
		for _, op := range req.Success {
			s.apply(op)
		}
	}
	resp.Header = s.header()
	return resp
}

func (s *store) apply(op cfvetcd.Operation) {
	switch {
	case op.Put != nil:
		key := string(op.Put.Key)
		kv := s.keys[key]
		if kv.ModRevision == 0 {
			kv.CreateRevision = s.revision
		}
		kv.Key = op.Put.Key
		kv.Value = op.Put.Value
		kv.ModRevision = s.revision
		kv.Lease = op.Put.Lease
		s.keys[key] = kv
		s.notify(cfvetcd.Event{KV: kv})
	case op.Delete != nil:
		s.remove(string(op.Delete.Key))
	}
}

func (s *store) remove(key string) {
	kv, ok := s.keys[key]
	if !ok {
		return
	}
	delete(s.keys, key)
	kv.ModRevision = s.revision
	kv.Value = nil
	s.notify(cfvetcd.Event{Type: "DELETE", KV: kv})
}

// notify sends an event to every watch whose range contains the key. A watch that has fallen
// behind is closed.
func (s *store) notify(e cfvetcd.Event) {
	for w := range s.watchers {
		if !inRange(string(e.KV.Key), w.key, w.end) {
			continue
		}
		select {
		case w.events <- e:
		default:
			close(w.events)
			delete(s.watchers, w)
		}
	}
}

func (s *store) grant(now time.Time, ttl int64) cfvetcd.GrantResponse {
	s.nextID++
	l := &lease{ttl: time.Duration(ttl) * time.Second}
	l.expires = now.Add(l.ttl)
	s.leases[s.nextID] = l
	return cfvetcd.GrantResponse{ID: s.nextID, TTL: ttl}
}

func (s *store) keepAlive(now time.Time, id int64) cfvetcd.GrantResponse {
	l, ok := s.leases[id]
	if !ok {
		return cfvetcd.GrantResponse{ID: id}
	}
	l.expires = now.Add(l.ttl)
	return cfvetcd.GrantResponse{ID: id, TTL: int64(l.ttl / time.Second)}
}

// expire removes expired leases and their keys.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		delete(s.leases, id)
		s.revision++
		for k, kv := range s.keys {
			if kv.Lease == id {
				s.remove(k)
			}
		}
	}
}
