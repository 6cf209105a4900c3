package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const headerPrefix = "X-Coltsfootvalve-"

// poisonBody is the body of a request that crashes the replicas that run it.
const poisonBody = "poison"

// crashTime is how long the requests of a replica go on while its connections are being closed.
const crashTime = 100 * time.Millisecond

// heartbeat is the time between two entries of a replica in the store.
const heartbeat = 1200 * time.Millisecond

// modelName is the model of the replicas that answer with streams.
const modelName = "model-1"

// run is a request that a replica began to run.
type run struct {
	At      time.Time
	Replica string
	ID      string
	Tenant  string
	Method  string
	Target  string
	Body    int64
	Prompt  string
}

// runLog holds the runs of all replicas.
type runLog struct {
	mu      sync.Mutex
	runs    []run
	crashes []time.Time
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// crashTimes returns when replicas crashed.
func (l *runLog) crashTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.crashes...)
}

// replica is a stand-in for a plain replica. It answers each request after some work.
type replica struct {
	id, addr, service string
	work              time.Duration
	slots             chan struct{}
	log               *runLog
	answer            func(w http.ResponseWriter, r *http.Request)             // nil: a short body
	poison            func(p *replica, w http.ResponseWriter)                  // runs a request that crashes the replica; nil: none does
	stream            func(p *replica, w http.ResponseWriter, r *http.Request) // answers with a stream; nil: it does not
	once              sync.Once
	crashed           chan struct{} // closed when the process ends
	seq               int64
	born              int64
}

func newReplica(id, addr, service string, work time.Duration, slots int, log *runLog) *replica {
	return &replica{id: id, addr: addr, service: service, work: work, slots: make(chan struct{}, slots), log: log, crashed: make(chan struct{}), born: time.Now().UnixMilli()}
}

// announce writes the replica's entry into the store.
func (p *replica) announce(s *store) {
	p.seq++
	entry := map[string]any{
		"service": p.service, "addr": p.addr, "zone": "north", "version": "v1", "slots": cap(p.slots), "state": "ready", "coldLeftMs": 0, "seq": p.seq, "born": p.born,
	}
	if p.stream != nil {
		entry["stage"], entry["models"] = "colocated", []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}
	}
	s.put("servers/"+p.id, entry)
}

// beat announces the replica all the time.
func (p *replica) beat(s *store) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-p.crashed:
			time.Sleep(3 * heartbeat) // the store removes the entry of a silent replica
			s.drop("servers/" + p.id)
			return
		case <-tick.C:
			p.announce(s)
		}
	}
}

// crash ends the replica's process, with all its connections.
func (p *replica) crash() {
	p.once.Do(func() {
		p.log.mu.Lock()
		p.log.crashes = append(p.log.crashes, time.Now())
		p.log.mu.Unlock()
		close(p.crashed)
	})
	time.Sleep(crashTime)
}

func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/healthz" {
		h.Set(headerPrefix+"Replica-Id", p.id)
		return
	}
	id := r.Header.Get(headerPrefix + "Request-Id")
	h.Set(headerPrefix+"Request-Id", id)
	if want := r.Header.Get(headerPrefix + "Expect-Replica"); want != "" && want != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := int64(len(body))
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-time.After(time.Second):
		h.Set(headerPrefix+"Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.log.add(run{time.Now(), p.id, id, r.Header.Get(headerPrefix + "Tenant"), r.Method, r.RequestURI, n, r.Header.Get(headerPrefix + "Prompt-Prefix")})
	if p.poison != nil && string(body) == poisonBody {
		h.Set(headerPrefix+"Server-Stamp", fmt.Sprintf("%s.%s", p.id, id))
		p.poison(p, w)
		p.crash()
		panic(http.ErrAbortHandler)
	}
	if p.stream != nil {
		p.stream(p, w, r)
		return
	}
	time.Sleep(p.work)
	h.Set(headerPrefix+"Server-Stamp", fmt.Sprintf("%s.%s", p.id, id))
	if p.answer != nil {
		p.answer(w, r)
		return
	}
	text := "answer of " + p.id + " to " + id
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // the caller may have left
}
