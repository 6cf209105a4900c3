// Package cfvfakeplain is a stand-in for a plain service, such as an order service. It runs
// calls, counts the runs for each idempotency key or request, and supports fault injection.
package cfvfakeplain

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/standins/cfvfault"
)

// HeaderIdempotencyKey is the header that carries an idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// Config configures a service.
type Config struct {
	Name                  string
	HonoursIdempotencyKey bool          // run each idempotency key at most once
	CallTime              time.Duration // how long a call takes
}

// Service is a fake plain service. It is safe for concurrent use.
type Service struct {
	cfg    Config
	faults cfvfault.Injector

	mu      sync.Mutex
	boot    int
	runs    map[string]int
	leaving bool
	running int
}

// New returns a service that has run no calls.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, boot: 1, runs: make(map[string]int)}
}

// SetFault injects a fault. It supports Outage, Slow, LoseResponses, Silent, Fail,
// WrongRequestID and Truncate.
func (s *Service) SetFault(f cfvfault.Fault) { s.faults.Set(f) }

// Runs returns the number of runs by idempotency key, or by request ID for calls without a key.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for k, n := range s.runs {
		out[k] = n
	}
	return out
}

// Handler returns the HTTP handler of the service. Every path outside its control interface is
// a call.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.Handle("POST /fault", &s.faults)
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { s.setLeaving(true) })
	mux.HandleFunc("POST /return", func(http.ResponseWriter, *http.Request) { s.setLeaving(false) })
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		cfvhttp.WriteJSON(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) setLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *Service) bootID() string { return fmt.Sprintf("%s-boot-%d", s.cfg.Name, s.boot) }

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if s.faults.FaultFor(r.URL.Path).Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	s.mu.Lock()
	report := cfvopenai.LoadReport{BootID: s.bootID(), Running: s.running, Leaving: s.leaving}
	s.mu.Unlock()
	cfvhttp.WriteJSON(w, http.StatusOK, report)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	f := s.faults.FaultFor(r.URL.Path)
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	if err != nil || f.Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	runNumber := s.countRun(r)
	time.Sleep(s.cfg.CallTime + f.Delay())
	switch f.Mode {
	case cfvfault.LoseResponses:
		cfvfault.DropConnection()
	case cfvfault.Silent:
		<-r.Context().Done()
		return
	case cfvfault.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	boot, leaving := s.bootID(), s.leaving
	s.mu.Unlock()
	w.Header().Set(cfvopenai.HeaderBootID, boot)
	id := r.Header.Get(cfvopenai.HeaderRequestID)
	if f.Mode == cfvfault.WrongRequestID {
		id = "other-" + id
	}
	w.Header().Set(cfvopenai.HeaderRequestID, id)
	if leaving {
		w.Header().Set(cfvopenai.HeaderLeaving, "true")
	}
	response := fmt.Sprintf("{\"service\":%q,\"method\":%q,\"path\":%q,\"run\":%d,\"bytes\":%d}\n", s.cfg.Name, r.Method, r.URL.Path, runNumber, len(body))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusCreated)
	}
	if f.Mode == cfvfault.Truncate {
		response = response[:len(response)/2]
	}
	_, _ = io.WriteString(w, response)
}

// countRun counts a run of the call and returns the number of runs so far. A service that
// honours idempotency keys counts each key once.
func (s *Service) countRun(r *http.Request) int {
	key := r.Header.Get(HeaderIdempotencyKey)
	if key == "" {
		key = r.Header.Get(cfvopenai.HeaderRequestID)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.HonoursIdempotencyKey && s.runs[key] > 0 {
		return s.runs[key]
	}
	s.runs[key]++
	return s.runs[key]
}
