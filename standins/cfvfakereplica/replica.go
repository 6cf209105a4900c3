// Package cfvfakereplica is a stand-in for an endpoint on the hosting platform, which the platform
// calls a replica. It runs requests and streams, marks requests that it refuses as not run, accepts
// orders to load weights, and supports the faults that occur at the platform's endpoints.
package cfvfakereplica

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/standins/cfvfault"
)

// Config configures a replica.
type Config struct {
	ID            string
	RequestTime   time.Duration // duration of a request
	StreamEvents  int           // number of events in a stream; 0: responses are not streams
	EventInterval time.Duration // time between two events
	Model         string        // model whose weights it runs; empty: none
	Room          Room          // for requests; without slots there is always room
}

// Run is a request that the replica began to run.
type Run struct {
	At        time.Time
	ID        string
	Workspace string
	Path      string
	Body      string
	Salt      string
	Weights   string
	Resumed   string
}

// Replica is a fake endpoint. It is safe for concurrent use.
type Replica struct {
	cfg    Config
	faults cfvfault.Injector

	mu           sync.Mutex
	runs         []Run
	arrivals     []time.Time     // of requests, also of rejected ones
	header       http.Header     // added to all responses to requests
	cancelled    map[string]bool // IDs of requests whose caller disconnected before the end
	leaving      bool
	orders       int64
	fencingToken int64
	version      int64
	leaders      []string
	queue        *queue
}

// New returns a replica that runs version 1 of its weights.
func New(cfg Config) *Replica {
	return &Replica{cfg: cfg, cancelled: make(map[string]bool), version: 1, header: make(http.Header), queue: newQueue(cfg.Room)}
}

// SetFault injects a fault. Refuse rejects requests without running them, Fail responds with
// status 500, Outage drops the connection, Silent never responds, Truncate ends responses early,
// WrongRequestID responds with the ID of another request, LoseResponses runs requests and drops
// the connection, and Slow delays responses.
func (r *Replica) SetFault(f cfvfault.Fault) { r.faults.Set(f) }

// StartLeaving makes the health check fail.
func (r *Replica) StartLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// SetHeader adds a header to all responses to requests. An empty value removes it.
func (r *Replica) SetHeader(name, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.header.Del(name)
	if value != "" {
		r.header.Set(name, value)
	}
}

// Arrivals returns when requests arrived, whether they were run or not.
func (r *Replica) Arrivals() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.arrivals...)
}

// Runs returns the requests that the replica began to run.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}

// Cancelled reports whether the caller of a request disconnected before its end.
func (r *Replica) Cancelled(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancelled[id]
}

// WeightsVersion returns the version of the weights and the leaders whose orders were accepted, in
// order.
func (r *Replica) WeightsVersion() (version int64, leaders []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, append([]string(nil), r.leaders...)
}

// Handler returns the HTTP handler of the replica.
func (r *Replica) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", r.health)
	mux.HandleFunc("GET /-/report", r.report)
	mux.HandleFunc("POST /-/order", r.order)
	mux.HandleFunc("POST /fault", r.faults.ServeHTTP)
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { cfvhttp.WriteJSON(w, http.StatusOK, r.Runs()) })
	mux.HandleFunc("/", r.serve)
	return mux
}

func (r *Replica) health(w http.ResponseWriter, _ *http.Request) {
	leave, ok := r.queue.enter()
	if !ok {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	leave()
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Header().Set("X-Coltsfootvalve-Replica-Id", r.cfg.ID)
	if r.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (r *Replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	cfvhttp.WriteJSON(w, http.StatusOK, map[string]any{
		"busy": false, "seq": r.orders, "models": []map[string]any{{"name": r.cfg.Model, "version": r.version}},
	})
}

func (r *Replica) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Version  int64
		Holder   string
		Fence    int64
		Expected int64
	}
	if err := json.NewDecoder(req.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case o.Fence < r.fencingToken:
		w.WriteHeader(http.StatusPreconditionFailed)
	case o.Expected != r.orders:
		w.WriteHeader(http.StatusConflict)
	default:
		r.fencingToken, r.version = o.Fence, o.Version
		r.orders++
		r.leaders = append(r.leaders, o.Holder)
		w.WriteHeader(http.StatusAccepted)
	}
}

// reject responds that the request was not run.
func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Coltsfootvalve-Not-Run", "1")
	w.WriteHeader(status)
}

// serve runs a request.
func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("X-Coltsfootvalve-Request-Id")
	w.Header().Set("X-Coltsfootvalve-Request-Id", id)
	r.mu.Lock()
	r.arrivals = append(r.arrivals, time.Now())
	maps.Copy(w.Header(), r.header)
	r.mu.Unlock()
	r.queue.announce(w.Header())
	if expected := req.Header.Get("X-Coltsfootvalve-Expect-Replica"); expected != "" && expected != r.cfg.ID {
		w.Header().Set("X-Coltsfootvalve-Replica-Id", r.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	weights := strconv.FormatInt(r.version, 10)
	r.mu.Unlock()
	if expected := req.Header.Get("X-Coltsfootvalve-Expect-Version"); expected != "" && expected != weights {
		w.Header().Set("X-Coltsfootvalve-Replica-Id", r.cfg.ID) // the response does not report the version that is loaded
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.cfg.Model != "" {
		w.Header().Set("X-Coltsfootvalve-Weight-Versions", weights)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	f := r.faults.FaultFor(req.URL.Path)
	switch f.Mode {
	case cfvfault.Refuse:
		reject(w, http.StatusServiceUnavailable)
		return
	case cfvfault.Outage:
		cfvfault.DropConnection()
	}
	leave, ok := r.queue.enter()
	if !ok {
		reject(w, http.StatusServiceUnavailable)
		return
	}
	defer leave()
	run := Run{
		At: time.Now(), ID: id, Workspace: req.Header.Get("X-Coltsfootvalve-Tenant"), Path: req.URL.Path, Body: string(body),
		Salt: req.Header.Get("X-Coltsfootvalve-Cache-Salt"), Weights: req.Header.Get("X-Coltsfootvalve-Expect-Version"),
		Resumed: req.Header.Get("Last-Event-Id"),
	}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-done:
		case <-req.Context().Done():
			r.mu.Lock()
			r.cancelled[id] = true
			r.mu.Unlock()
		}
	}()
	switch f.Mode {
	case cfvfault.Silent:
		<-req.Context().Done()
		return
	case cfvfault.LoseResponses:
		cfvfault.DropConnection()
	case cfvfault.WrongRequestID:
		id = "of-another-request"
	case cfvfault.Slow:
		time.Sleep(f.Delay())
	}
	time.Sleep(r.cfg.RequestTime)
	w.Header().Set("X-Coltsfootvalve-Request-Id", id)
	w.Header().Set("X-Coltsfootvalve-Server-Stamp", "stamp."+r.cfg.ID+"."+id)
	if r.cfg.StreamEvents > 0 {
		r.stream(w, req, run.Resumed, f)
		return
	}
	r.respond(w, f)
}

// respond sends a response that is not a stream.
func (r *Replica) respond(w http.ResponseWriter, f cfvfault.Fault) {
	const body = "the whole answer"
	switch f.Mode {
	case cfvfault.Fail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case cfvfault.Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body[:len(body)/2]) // shorter than Content-Length, so the caller detects the truncation
		cfvfault.DropConnection()
	}
	_, _ = io.WriteString(w, body) // the caller may have disconnected
}

// stream sends the events that follow after, the ID of the last event that the caller received.
func (r *Replica) stream(w http.ResponseWriter, req *http.Request, after string, f cfvfault.Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	if after != "" {
		n, err := strconv.Atoi(after)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		from = n + 1
	}
	for i := from; i < r.cfg.StreamEvents; i++ {
		if f.Mode == cfvfault.Truncate && i == from+r.cfg.StreamEvents/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i) // an incomplete event
			w.(http.Flusher).Flush()
			cfvfault.DropConnection()
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: token-%d\n\n", i, i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		select {
		case <-req.Context().Done():
			return
		case <-time.After(r.cfg.EventInterval):
		}
	}
}
