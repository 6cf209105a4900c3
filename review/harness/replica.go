package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const headerPrefix = "X-Coltsfootvalve-"

// run is a request that a replica began to run.
type run struct {
	id, method, path, tenant, replica string
	bodyBytes                         int
	at                                time.Time
}

// replica is a stand-in for a sound replica of a plain service.
type replica struct {
	id, service, zone string
	work              time.Duration // duration of a run
	answerBytes       int
	rec               *recorder
	server            *http.Server
	addr              string
	born              int64
	engine            *engine // nil for a plain service

	mu      sync.Mutex
	runs    []run
	leaving bool
	answer  func(w http.ResponseWriter, r *http.Request) // instead of the usual answer, after the work; may be nil
}

// startReplica starts a replica on a free port.
func startReplica(id, service, zone string, work time.Duration, rec *recorder) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &replica{id: id, service: service, zone: zone, work: work, answerBytes: 800, rec: rec, addr: l.Addr().String(), born: time.Now().UnixMilli()}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // ends with the replica
	return s, nil
}

// item returns the entry with which the replica registers itself.
func (s *replica) item(state string) map[string]any {
	item := map[string]any{
		"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 16, "state": state, "coldLeftMs": 0, "seq": 1, "born": s.born,
	}
	if s.engine != nil {
		item["stage"], item["models"] = "colocated", []any{map[string]any{"name": s.engine.model, "version": 1, "adapters": []string{}}}
	}
	return item
}

// register writes the replica's entry.
func (s *replica) register(f *fleet, state string) time.Time {
	return f.put("servers/"+s.id, s.item(state))
}

// Times of replicas that are replaced.
const (
	heartbeat  = 1200 * time.Millisecond
	coldTime   = 3 * time.Second
	drainTime  = 2 * time.Second
	lingerTime = 1500 * time.Millisecond // for which a replica that leaves serves beyond drainTime
)

// warmUp registers a replica that has just started, and writes its entry again with each heartbeat until it is warm.
func (s *replica) warmUp(f *fleet) {
	for left := coldTime; ; left -= heartbeat {
		item := s.item("ready")
		item["coldLeftMs"] = max(left, 0).Milliseconds()
		f.put("servers/"+s.id, item)
		if left <= 0 {
			return
		}
		time.Sleep(heartbeat)
	}
}

// leave drains the replica and ends it.
func (s *replica) leave(f *fleet) {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	s.register(f, "draining")
	time.Sleep(drainTime)
	f.kv.Remove("servers/" + s.id)
	time.Sleep(lingerTime)
	_ = s.server.Close()
}

// startRelease replaces the replicas of a service one after the other: the new one starts first, then the old one leaves.
func (f *fleet) startRelease(service string, replicas []*replica) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for n := len(replicas); ; n++ {
			select {
			case <-done:
				return
			case <-time.After(releaseInterval):
			}
			old := replicas[0]
			s, err := startReplica(fmt.Sprintf("i-%s-%d", service, n), service, old.zone, old.work, f.rec)
			if err != nil {
				f.rec.say("could not start a replica: %v", err)
				return
			}
			replicas = append(replicas[1:], s)
			go s.warmUp(f)
			go old.leave(f)
		}
	}()
	return sync.OnceFunc(func() {
		close(done)
		<-ended
	})
}

// setAnswer sets what answers a request after the replica's work.
func (s *replica) setAnswer(f func(w http.ResponseWriter, r *http.Request)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = f
}

// allRuns returns the requests that the replica began to run.
func (s *replica) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}

func (s *replica) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerPrefix + "Request-Id")
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" && id == "" {
		w.Header().Set(headerPrefix+"Replica-Id", s.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if s.engine != nil && s.engine.serveControl(w, r) {
		return
	}
	w.Header().Set(headerPrefix+"Request-Id", id)
	if expected := r.Header.Get(headerPrefix + "Expect-Replica"); expected != "" && expected != s.id {
		w.Header().Set(headerPrefix+"Replica-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{id: id, method: r.Method, path: r.URL.Path, tenant: r.Header.Get(headerPrefix + "Tenant"), replica: s.id, bodyBytes: len(body), at: time.Now()})
	answer := s.answer
	s.mu.Unlock()
	s.rec.add("replica %s runs request %s", s.id, id)
	if s.engine != nil {
		w.Header().Set(headerPrefix+"Weight-Versions", "1")
		s.engine.prefill(r, s.id, s.rec)
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.rec.add("replica %s drops request %s: its connection is closed", s.id, id)
		return
	}
	w.Header().Set(headerPrefix+"Server-Stamp", fmt.Sprintf("stamp.%s.%s", s.id, id))
	if answer != nil {
		answer(w, r)
		return
	}
	_, _ = w.Write(make([]byte, s.answerBytes)) // the caller may be gone
}
