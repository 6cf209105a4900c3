// Package cfvfakeengine is a stand-in for a model engine. It serves OpenAI-style completions with
// server-sent events, has a simple cost model and a prefix cache of limited size, and supports
// fault injection.
package cfvfakeengine

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/standins/cfvfault"
)

// bytesPerToken is the length of a prompt token of the stand-in.
const bytesPerToken = 4

// Config configures an engine.
type Config struct {
	Name              string
	Version           string
	PrefillPerToken   time.Duration
	DecodePerToken    time.Duration
	MaxBatch          int
	MaxColdRequests   int           // concurrent requests that a cold engine can serve; more crash it; 0 for no limit
	ColdFor           time.Duration // how long an engine stays cold after a start
	ColdSlowdown      int           // factor by which a cold engine is slower
	CacheBlocks       int
	LoadReportLag     time.Duration // age of load reports
	CrashOn           string        // a prompt that contains this text crashes the engine
	EnforceFencing    bool          // refuse orders with an old fencing token
	WeightsLoadTime   time.Duration // how long loading weights takes without a weight store
	WeightStore       *WeightStore  // shared between engines; nil for none
	EventLag          time.Duration // delay until cache events are published
	DropEventEvery    int           // every n-th cache event is lost; 0: none is lost
	VersionBehaviours Behaviours
	Dial              cfvhttp.DialFunc // connects to store VMs; nil to use the network of the operating system
}

// Stats holds the counters of an engine.
type Stats struct {
	Requests    int `json:"requests"`
	Running     int `json:"running"`
	MostRunning int `json:"mostRunning"`
	MostCold    int `json:"mostCold"`
	Crashes     int `json:"crashes"`
	Cancelled   int `json:"cancelled"`
	Prefilled   int `json:"prefilledTokens"`
	Cached      int `json:"cachedTokens"`

	Imported       int `json:"importedBlocks"`
	ImportsRefused int `json:"importsRefused"`
	Exported       int `json:"exportedBlocks"`
	WrongBlocks    int `json:"wrongBlocks"` // imported blocks of another prompt, workspace or version
}

// Engine is a fake model engine. It is safe for concurrent use.
type Engine struct {
	cfg    Config
	faults cfvfault.Injector
	cache  *cache
	events *eventLog
	batch  *batch
	stores *http.Client

	mu           sync.Mutex
	boot         int
	bootTime     time.Time
	ctx          context.Context
	crash        context.CancelFunc
	leaving      bool
	version      string
	loading      bool
	fencingToken int64
	served       map[string]int
	stats        Stats
	reports      []timedReport
}

// timedReport is a load report with the time at which it was made.
type timedReport struct {
	at     time.Time
	report cfvopenai.LoadReport
}

// New returns an engine that has just started.
func New(cfg Config) *Engine {
	e := &Engine{cfg: cfg, version: cfg.Version, cache: newCache(cfg.CacheBlocks), batch: newBatch(cfg.MaxBatch)}
	e.stores = cfvhttp.NewClientWithDial(cfg.Dial, storeDialTimeout, maxIdlePerStore)
	e.served = make(map[string]int)
	e.events = &eventLog{lag: cfg.EventLag, dropEvery: cfg.DropEventEvery}
	e.startBoot()
	return e
}

// startBoot begins a new boot with an empty cache. Callers hold the lock, unless no other
// goroutine uses the engine yet.
func (e *Engine) startBoot() {
	e.boot++
	e.bootTime = time.Now()
	e.ctx, e.crash = context.WithCancel(context.Background())
	e.cache.clear()
}

// Restart ends all running requests and restarts the engine, which is then cold.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restartLocked()
}

func (e *Engine) restartLocked() {
	e.crash()
	e.stats.Running = 0
	e.startBoot()
	e.reports = nil
}

// SetLeaving sets whether the engine announces that it is leaving.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetFault injects a fault. It supports Outage, Slow, Fail, Silent, Dribble (of streams),
// Truncate and WrongRequestID.
func (e *Engine) SetFault(f cfvfault.Fault) { e.faults.Set(f) }

// ClearCache empties the prefix cache, as eviction would over time.
func (e *Engine) ClearCache() { e.cache.clear() }

// Stats returns the current counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Handler returns the HTTP handler of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.Handle("GET /events", e.events)
	mux.HandleFunc("POST /orders/version", e.serveVersionOrder)
	mux.Handle("POST /fault", &e.faults)
	mux.HandleFunc("POST /restart", func(w http.ResponseWriter, _ *http.Request) { e.Restart() })
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) { e.SetLeaving(true) })
	mux.HandleFunc("POST /return", func(w http.ResponseWriter, _ *http.Request) { e.SetLeaving(false) })
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) {
		cfvhttp.WriteJSON(w, http.StatusOK, e.Stats())
	})
	return mux
}

func (e *Engine) bootID() string {
	return fmt.Sprintf("%s-boot-%d", e.cfg.Name, e.boot)
}

func (e *Engine) isCold() bool {
	return time.Since(e.bootTime) < e.cfg.ColdFor
}

// activeRequest is a request that the engine is running.
type activeRequest struct {
	ctx            context.Context
	cancel         context.CancelFunc
	request        cfvopenai.Request
	id             string
	resumeFrom     int
	slowdown       int
	cachedTokens   int
	importedBlocks int
	keys           []string
	promptTokens   int
	started        time.Time
	endOnce        sync.Once
	bootID         string
	version        string
}

// begin registers a request. It returns false if the request crashes the engine: because the
// engine is cold and over its limit, or because of the text in the prompt.
func (e *Engine) begin(ctx context.Context, req cfvopenai.Request) (r *activeRequest, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Requests++
	e.stats.Running++
	e.stats.MostRunning = max(e.stats.MostRunning, e.stats.Running)
	r = &activeRequest{request: req, slowdown: 1, bootID: e.bootID(), version: e.version, started: time.Now()}
	if e.isCold() {
		e.stats.MostCold = max(e.stats.MostCold, e.stats.Running)
		r.slowdown = max(1, e.cfg.ColdSlowdown)
	}
	overloaded := e.isCold() && e.cfg.MaxColdRequests > 0 && e.stats.Running > e.cfg.MaxColdRequests
	crashPrompt := e.cfg.CrashOn != "" && strings.Contains(req.PromptText(), e.cfg.CrashOn)
	if overloaded || crashPrompt {
		e.stats.Crashes++
		e.restartLocked()
		return r, false
	}
	boot := e.ctx
	r.ctx, r.cancel = context.WithCancel(ctx)
	context.AfterFunc(boot, r.cancel)
	e.served[e.version]++
	r.slowdown *= e.cfg.VersionBehaviours.slowdown(e.version, e.served[e.version], e.stats.Running)
	return r, true
}

// end unregisters a request, unless a restart has done so. A request ends with its last token,
// before the response is sent completely.
func (e *Engine) end(r *activeRequest) {
	r.endOnce.Do(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.bootID == e.bootID() {
			e.stats.Running--
		}
	})
}

func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	if e.faults.FaultFor(r.URL.Path).Mode == cfvfault.Outage {
		cfvfault.DropConnection()
	}
	e.mu.Lock()
	now := time.Now()
	e.reports = append(e.reports, timedReport{now, cfvopenai.LoadReport{
		BootID: e.bootID(), Version: e.version, Running: e.stats.Running, Waiting: e.batch.waiting(), Leaving: e.leaving, Loading: e.loading,
	}})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.cfg.LoadReportLag {
		e.reports = e.reports[1:]
	}
	report := e.reports[0].report
	e.mu.Unlock()
	cfvhttp.WriteJSON(w, http.StatusOK, report)
}

func (e *Engine) serveVersionOrder(w http.ResponseWriter, r *http.Request) {
	var o cfvopenai.VersionOrder
	if !cfvhttp.ReadJSON(w, r, 1<<16, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.EnforceFencing && o.FencingToken < e.fencingToken {
		cfvhttp.WriteJSON(w, http.StatusConflict, map[string]string{"error": "old fencing number"})
		return
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	if e.version != o.Version && !e.loading {
		e.startLoad(o.Version)
	}
	cfvhttp.WriteJSON(w, http.StatusOK, o)
}

// startLoad begins to load a version of the weights, which replaces the current one when the
// load is done. Running requests keep the version that they began with. The caller holds the
// lock.
func (e *Engine) startLoad(version string) {
	e.loading = true
	boot := e.boot
	loadTime, end := e.cfg.WeightsLoadTime, func() {}
	if e.cfg.WeightStore != nil {
		loadTime, end = e.cfg.WeightStore.beginLoad()
	}
	time.AfterFunc(loadTime, func() {
		end()
		e.mu.Lock()
		defer e.mu.Unlock()
		e.loading = false
		if e.boot == boot {
			e.version = version
			e.cache.clear()
		}
	})
}

// Version returns the version of the weights that the engine runs.
func (e *Engine) Version() string { return e.currentVersion() }
