// Package cfvfakekv is a stand-in for the platform's key-value store. It implements the parts of
// the JSON form of etcd's version 3 protocol that the project uses, in memory.
package cfvfakekv

import (
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvetcd"
	"coltsfootvalve/standins/cfvfault"

	"golang.org/x/time/rate"
)

// Config configures a server.
type Config struct {
	WritesPerSecond int           // 0 for no limit
	ReadsPerSecond  int           // 0 for no limit
	Latency         time.Duration // duration of a call
}

// Stats counts the calls that were served, or refused by a rate limit (Limited).
type Stats struct {
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Limited int64 `json:"limited"`
}

// Server is a fake key-value store. It is safe for concurrent use.
type Server struct {
	cfg    Config
	faults cfvfault.Injector
	reads  *rate.Limiter
	writes *rate.Limiter

	mu    sync.Mutex
	store *store
	stats Stats
}

// New returns an empty server.
func New(cfg Config) *Server {
	return &Server{
		cfg:    cfg,
		reads:  newLimiter(cfg.ReadsPerSecond),
		writes: newLimiter(cfg.WritesPerSecond),
		store:  newStore(),
	}
}

func newLimiter(n int) *rate.Limiter {
	if n <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(n), n)
}

// Handler returns the HTTP handler of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", s.read(s.serveRange))
	mux.HandleFunc("POST /v3/kv/txn", s.write(s.serveTxn))
	mux.HandleFunc("POST /v3/lease/grant", s.write(s.serveGrant))
	mux.HandleFunc("POST /v3/lease/keepalive", s.write(s.serveKeepAlive))
	mux.HandleFunc("POST /v3/watch", s.serveWatch)
	mux.Handle("POST /fault", &s.faults)
	mux.HandleFunc("GET /stats", s.serveStats)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// SetFault injects a fault. Calls support Outage, Slow and LoseResponses; watches support Outage
// and Silent.
func (s *Server) SetFault(f cfvfault.Fault) { s.faults.Set(f) }

// Stats returns the current counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) serveStats(w http.ResponseWriter, _ *http.Request) {
	cfvhttp.WriteJSON(w, http.StatusOK, s.Stats())
}

func (s *Server) read(h http.HandlerFunc) http.HandlerFunc {
	return s.withLimit(s.reads, func() { s.stats.Reads++ }, h)
}

func (s *Server) write(h http.HandlerFunc) http.HandlerFunc {
	return s.withLimit(s.writes, func() { s.stats.Writes++ }, h)
}

// withLimit wraps h with a rate limit and the current fault.
func (s *Server) withLimit(l *rate.Limiter, count func(), h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.faults.FaultFor(r.URL.Path)
		if f.Mode == cfvfault.Outage {
			cfvfault.DropConnection()
		}
		s.mu.Lock()
		allowed := l.Allow()
		if allowed {
			count()
		} else {
			s.stats.Limited++
		}
		s.mu.Unlock()
		if !allowed {
			cfvhttp.WriteJSON(w, http.StatusTooManyRequests, map[string]string{"error": "rate bound"})
			return
		}
		time.Sleep(s.cfg.Latency + f.Delay())
		if f.Mode == cfvfault.LoseResponses {
			h(discardWriter{}, r)
			cfvfault.DropConnection()
		}
		h(w, r)
	}
}

// discardWriter is a response writer that discards the response.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}

func (s *Server) serveRange(w http.ResponseWriter, r *http.Request) {
	var req cfvetcd.RangeRequest
	if !cfvhttp.ReadJSON(w, r, 1<<20, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(time.Now())
	resp := cfvetcd.RangeResponse{Header: s.store.header()}
	resp.KVs = s.store.read(string(req.Key), string(req.RangeEnd))
	cfvhttp.WriteJSON(w, http.StatusOK, resp)
}

func (s *Server) serveTxn(w http.ResponseWriter, r *http.Request) {
	var req cfvetcd.TxnRequest
	if !cfvhttp.ReadJSON(w, r, 4<<20, &req) {
		return
	}
	for _, op := range req.Success {
		if op.Put != nil && len(op.Put.Value) > MaxValueBytes {
			cfvhttp.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": "value over a megabyte"})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(time.Now())
	cfvhttp.WriteJSON(w, http.StatusOK, s.store.txn(req))
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req cfvetcd.GrantRequest
	if !cfvhttp.ReadJSON(w, r, 1<<16, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cfvhttp.WriteJSON(w, http.StatusOK, s.store.grant(time.Now(), req.TTL))
}

func (s *Server) serveKeepAlive(w http.ResponseWriter, r *http.Request) {
	var req cfvetcd.KeepAliveRequest
	if !cfvhttp.ReadJSON(w, r, 1<<16, &req) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.expire(time.Now())
	cfvhttp.WriteJSON(w, http.StatusOK, cfvetcd.KeepAliveResponse{Result: s.store.keepAlive(time.Now(), req.ID)})
}
