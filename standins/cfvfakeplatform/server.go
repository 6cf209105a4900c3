package cfvfakeplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/standins/cfvfault"
)

// pageSize is the number of items on one page of a listing. It is smaller than the platform's, so
// that tests cover listings of more than one page.
const pageSize = 5

// Server serves the platform's key-value store. It is safe for concurrent use.
type Server struct {
	*KeyValueStore
	faults cfvfault.Injector
}

// New returns a server with an empty store.
func New() *Server { return &Server{KeyValueStore: NewKeyValueStore()} }

// SetFault injects a fault. It supports Outage, Slow, LoseResponses, Silent, and Refuse, which
// responds with status 429.
func (s *Server) SetFault(f cfvfault.Fault) { s.faults.Set(f) }

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-range", s.getRange)
	mux.HandleFunc("GET /-/kv-watch", s.getWatch)
	mux.HandleFunc("POST /-/kv-txn", s.postTxn)
	mux.HandleFunc("POST /-/kv-lease", s.postLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.postKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.deleteLease)
	mux.HandleFunc("POST /fault", s.faults.ServeHTTP)
	mux.HandleFunc("POST /put/{key...}", s.operatorPut)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, "/-/") {
			mux.ServeHTTP(w, r)
			return
		}
		_, era, tells, away := s.status()
		if tells {
			w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
		}
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f := s.faults.FaultFor(r.URL.Path)
		switch f.Mode {
		case cfvfault.Outage:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case cfvfault.Refuse:
			w.WriteHeader(http.StatusTooManyRequests)
			return
		case cfvfault.Silent:
			// The server detects a closed connection only after the body has been read.
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				cfvfault.DropConnection()
			}
			<-r.Context().Done()
			cfvfault.DropConnection()
		case cfvfault.Slow:
			time.Sleep(f.Delay())
		case cfvfault.LoseResponses:
			mux.ServeHTTP(discardWriter{http.Header{}}, r)
			cfvfault.DropConnection()
		}
		mux.ServeHTTP(w, r)
	})
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{ h http.Header }

func (d discardWriter) Header() http.Header         { return d.h }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

// operatorPut writes or removes an item as the operator would. It is not part of the platform's
// interface.
func (s *Server) operatorPut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, cfvhttp.MaxResponseBytes))
	if err != nil {
		cfvhttp.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	if r.URL.Query().Has("remove") {
		s.Remove(r.PathValue("key"))
	} else {
		s.Put(r.PathValue("key"), value)
	}
	cfvhttp.WriteJSON(w, http.StatusOK, map[string]int64{"rev": s.Revision()})
}

func (s *Server) getRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	s.expire()
	items, more := s.list(q.Get("pathPrefix"), q.Get("after"), pageSize)
	asOf := s.rev
	s.mu.Unlock()
	cfvhttp.WriteJSON(w, http.StatusOK, map[string]any{"items": items, "morePages": more, "asOf": asOf})
}

func (s *Server) getWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	started, _, _, _ := s.status()
	for waiting := true; ; {
		s.mu.Lock()
		s.expire()
		events, ok := s.eventsSince(q.Get("pathPrefix"), after)
		asOf, changed, cut := s.rev, s.changed, s.away || s.era != started
		s.mu.Unlock()
		if cut {
			cfvfault.DropConnection()
		}
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			cfvhttp.WriteJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// txnRequest is a transaction as it is sent to the platform.
type txnRequest struct {
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

func (s *Server) postTxn(w http.ResponseWriter, r *http.Request) {
	var t txnRequest
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status, rev := s.commit(t)
	s.mu.Unlock()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	cfvhttp.WriteJSON(w, status, map[string]int64{"rev": rev})
}

// commit applies a transaction if its preconditions hold. The caller holds the lock.
func (s *Server) commit(t txnRequest) (status int, rev int64) {
	s.expire()
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			return http.StatusPreconditionFailed, 0
		}
	}
	for _, i := range t.Writes {
		if strings.HasPrefix(i.Key, "op/") || strings.HasPrefix(i.Key, "servers/") {
			return http.StatusForbidden, 0
		}
		if i.Lease != 0 && s.leases[i.Lease] == nil {
			return http.StatusNotFound, 0
		}
	}
	s.rev++
	for _, i := range t.Writes {
		s.write(Item{Key: i.Key, Value: i.Value, Lease: i.Lease})
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notifyWatchers()
	return http.StatusOK, s.rev
}

func (s *Server) postLease(w http.ResponseWriter, r *http.Request) {
	var in struct{ TTLMs int64 }
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || in.TTLMs < 1000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.nextID++
	id, ttl := s.nextID, time.Duration(in.TTLMs)*time.Millisecond
	s.leases[id] = &lease{ttl, s.now().Add(ttl)}
	s.mu.Unlock()
	cfvhttp.WriteJSON(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": in.TTLMs})
}

// leaseID returns the lease ID in the path, or 0 if it is not a number.
func leaseID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0 // no lease has this ID
	}
	return id
}

func (s *Server) postKeep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	l := s.leases[leaseID(r)]
	if l != nil {
		l.expires = s.now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	cfvhttp.WriteJSON(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *Server) deleteLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.revokeLease(leaseID(r))
	s.mu.Unlock()
	cfvhttp.WriteJSON(w, http.StatusOK, map[string]bool{})
}
