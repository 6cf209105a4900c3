// Package cfventry serves callers on a hosted platform: it takes their requests, sends each
// to an endpoint and returns the answer. What the platform's headers mean comes in as
// functions.
package cfventry

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvreserve"
	"coltsfootvalve/io/cfvstate"

	"github.com/labstack/echo/v4"
)

// Wire translates between the platform's headers and the product's types.
type Codec struct {
	ReadCall             func(http.Header) (cfvcall.RequestMeta, error)
	RequestHeader        func(http.Header, cfvcall.ForwardOptions) http.Header
	ReadResponseMeta     func(status int, h http.Header) cfvcall.ResponseMeta
	PassesResponseHeader func(header string) bool
	ReadHealth           func(status int, h http.Header) (id string, healthy bool, coldFor time.Duration)
	ReadyPath            string
}

// Bounds are the figures that the operators hold the system to.
type Limits struct {
	MaxRevokeDelay  time.Duration // a removed key is not served later than this; 0: no bound
	MaxVersionDelay time.Duration // nothing begins on older weights later than this
	RetryRatio      float64
	RetrySlack      float64
	RetryWindow     time.Duration
	ShutdownTimeout time.Duration
}

// Config configures an Entry.
type Config struct {
	Name            string
	Domain          string
	CallerAddr      string // address
	ReadyAddr       string // address
	Codec           Codec
	Limits          Limits
	State           *cfvstate.State
	Parts           *PartCatalog
	PeerLoads       func() (map[string]cfvdispatch.Load, map[string]cfvdispatch.Demand) // what other entries have under way
	Reserve         func(context.Context, cfvreserve.Request) (cfvreserve.Grant, bool)  // places a long prompt; nil: none do
	Settle          func(g cfvreserve.Grant, request string, over bool)
	Now             func() time.Duration // a clock that also runs while the machine is suspended
	Random          func() float64
	Listen          func(network, addr string) (net.Listener, error)
	Log             cfvlog.Logger
	Metrics         *cfvmetric.Registry
	LogSuccessEvery int // one in so many served requests is logged; 0: none
}

// Entry is the part of a process that serves callers. It is safe for concurrent use.
type Entry struct {
	cfg       Config
	upstreams *upstreams
	probes    *http.Client
	callers   *http.Server
	ready     *http.Server
	stopping  atomic.Bool
	running   atomic.Int64
	served    atomic.Int64

	mu         sync.Mutex
	dispatcher *cfvdispatch.Dispatcher
	quarantine *cfvlimit.Quarantine
	budgets    map[string]*cfvlimit.RetryWindow        // by service
	usual      map[string]*cfvdispatch.FailureBaseline // by route
	keep       map[string]time.Duration                // idle time of connections, by service
	ledger     *cfvdispatch.GrantTable
	lanes      map[string]*cfvdispatch.PoolSizer // by service
	entries    int
}

// New returns an entry that does not listen yet.
func New(cfg Config) *Entry {
	e := &Entry{
		cfg: cfg, dispatcher: cfvdispatch.New(cfg.Name), quarantine: cfvlimit.NewQuarantineWith(cfvlimit.QuarantineConfig{CrashThreshold: crashesBorne, Duration: suspectedFor}),
		budgets: make(map[string]*cfvlimit.RetryWindow), usual: make(map[string]*cfvdispatch.FailureBaseline),
		keep: make(map[string]time.Duration), lanes: make(map[string]*cfvdispatch.PoolSizer), entries: 1, ledger: cfvdispatch.NewGrantTable(),
	}
	e.upstreams = newUpstreams(func() { cfg.Metrics.Count("endpoints.dials", 1) })
	e.probes = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext, DisableKeepAlives: true,
	}}
	return e
}

// Limits of the servers. Callers' own limits come with the configuration.
const (
	headerTimeout  = 10 * time.Second
	callerIdle     = 120 * time.Second // beyond any idle time that a configuration allows
	callerHeaders  = 64 << 10
	housekeeping   = 500 * time.Millisecond
	refreshPeers   = 200 * time.Millisecond
	stopAccepting  = 2500 * time.Millisecond // the balancer needs two questions, a second apart
	shutdownMargin = 400 * time.Millisecond
)

// Start listens for callers and for the balancer.
func (e *Entry) Start(ctx context.Context) (err error) {
	front := echo.New()
	front.HideBanner, front.HidePort = true, true
	front.Any("/*", func(c echo.Context) error {
		e.serve(c.Response().Writer, c.Request())
		return nil
	})
	e.callers = &http.Server{Handler: front, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: callerHeaders}
	e.ready = &http.Server{Handler: http.HandlerFunc(e.serveReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}
	for _, s := range []struct {
		server *http.Server
		addr   string
	}{{e.callers, e.cfg.CallerAddr}, {e.ready, e.cfg.ReadyAddr}} {
		l, err := e.cfg.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.addr, err)
		}
		go func() {
			if err := s.server.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
				e.cfg.Log.Warnw("a server ended", "addr", s.addr, "error", err.Error())
			}
		}()
	}
	go cfvclock.Every(ctx, housekeeping, func(context.Context) { e.tidy() })
	go cfvclock.Every(ctx, refreshPeers, func(context.Context) { e.takePeerLoads() })
	return nil
}

// Stop ends the entry without cutting a request: it answers that it is not ready, goes on
// for as long as the balancer may send connections, and then waits for what runs.
func (e *Entry) Stop(ctx context.Context) error {
	e.stopping.Store(true)
	begun := e.cfg.Now()
	e.cfg.Log.Infow("the entry stops", "running", e.running.Load())
	cfvclock.Sleep(ctx, stopAccepting)
	left := e.cfg.Limits.ShutdownTimeout - (e.cfg.Now() - begun) - shutdownMargin
	wait, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	err := e.callers.Shutdown(wait)
	e.cfg.Log.Infow("the entry has stopped", "running", e.running.Load(), "tookMillis", (e.cfg.Now() - begun).Milliseconds())
	return errors.Join(err, e.ready.Close())
}

// fresh reports whether the belief is young enough to serve requests with keys, and its
// age.
func (e *Entry) fresh() (age time.Duration, ok bool) {
	age, known := e.cfg.State.Age()
	if !known {
		return 0, false
	}
	return age, e.cfg.Limits.MaxRevokeDelay <= 0 || age < e.cfg.Limits.MaxRevokeDelay-revokeMargin
}

// revokeMargin covers clocks that drift and the time between the check and the sending.
const revokeMargin = 400 * time.Millisecond

func (e *Entry) serveReady(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if r.URL.Path != e.cfg.Codec.ReadyPath {
		status = http.StatusNotFound
	} else if _, ok := e.fresh(); !ok || e.stopping.Load() || e.index() == nil {
		status = http.StatusServiceUnavailable
	}
	w.WriteHeader(status)
}

func (e *Entry) index() (x *cfvfleet.Index) {
	e.cfg.State.Read(func(v *cfvfleet.View) { x = v.Index() })
	return x
}

// tidy forgets what concerns endpoints and entries that are gone.
func (e *Entry) tidy() {
	var all []*cfvfleet.Endpoint
	var names []string
	e.cfg.State.Read(func(v *cfvfleet.View) {
		all = v.All()
		for _, n := range v.Entries() {
			names = append(names, n.Name)
		}
	})
	e.mu.Lock()
	e.dispatcher.Retain(all)
	e.dispatcher.SetEntries(names)
	e.entries = max(len(names), 1)
	e.quarantine.Expire(time.Now())
	for _, b := range e.budgets {
		b.SetSlack(e.slack())
	}
	e.mu.Unlock()
	e.upstreams.keepOnly(all)
}

// slack is this entry's part of the repeats that are allowed beside the ratio, with room
// for entries that are not known yet.
func (e *Entry) slack() float64 { return e.cfg.Limits.RetrySlack / float64(e.entries+1) }

func (e *Entry) takePeerLoads() {
	loads, demands := e.cfg.PeerLoads()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetPeerLoads(loads)
	for service, d := range demands {
		e.lanesOf(service).SetPeerDemand(d)
	}
}

// lanesOf returns the lanes of a service. The caller holds the lock.
func (e *Entry) lanesOf(service string) *cfvdispatch.PoolSizer {
	l := e.lanes[service]
	if l == nil {
		l = &cfvdispatch.PoolSizer{}
		e.lanes[service] = l
	}
	return l
}

// ShortLane returns the endpoints of all services that are for short prompts.
func (e *Entry) ShortPool() map[string]bool {
	usable := make(map[string][]*cfvfleet.Endpoint)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		for _, ep := range v.All() {
			if usable[ep.Service] == nil {
				usable[ep.Service] = v.Usable(ep.Service)
			}
		}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]bool)
	for service, l := range e.lanes {
		if border := l.ShortPoolSize(len(usable[service])); border > 0 {
			maps.Copy(out, cfvdispatch.ShortPool(usable[service], border))
		}
	}
	return out
}

// Demands returns the recent work of this entry's callers by service.
func (e *Entry) Demands() map[string]cfvdispatch.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]cfvdispatch.Demand)
	for service, l := range e.lanes {
		out[service] = l.LocalDemand(e.cfg.Now())
	}
	return out
}

// Loads returns what this entry has at the endpoints.
func (e *Entry) Loads() map[string]cfvdispatch.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.LocalLoads()
}

// Suspicions returns what is suspected of requests that crash endpoints.
func (e *Entry) Suspicions() []cfvlimit.Suspicion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.quarantine.Updates(suspicionsAtOnce, suspicionsTimes)
}

// Bounds on suspicions. Requests are named by path, key and body, so that an innocent one
// that comes often may meet two crashes by chance.
const (
	crashesBorne     = 3 // the platform bears three
	suspectedFor     = time.Minute
	suspicionsAtOnce = 16
	suspicionsTimes  = 24
)

// Suspected takes a suspicion of another entry.
func (e *Entry) AddSuspicion(s cfvlimit.Suspicion) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quarantine.Merge(time.Now(), s)
}

// Loaded notes the weights that an endpoint was seen to run.
func (e *Entry) ObserveWeights(ep *cfvfleet.Endpoint, model string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.RecordWeights(ep, model, version)
}

// Version returns the version of a model's weights that an endpoint is believed to run.
func (e *Entry) WeightsVersion(ep *cfvfleet.Endpoint, model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.WeightsVersion(ep, model)
}

// budget returns the repeats of a service. The caller holds the lock.
func (e *Entry) budget(service string) *cfvlimit.RetryWindow {
	b := e.budgets[service]
	if b == nil {
		b = cfvlimit.NewRetryWindow(cfvlimit.RetryConfig{
			Ratio: e.cfg.Limits.RetryRatio * ratioUsed, Slack: e.slack(), Window: e.cfg.Limits.RetryWindow,
		})
		e.budgets[service] = b
	}
	return b
}

// ratioUsed is the part of the allowed ratio that entries use: repeats of endpoints that
// reject are counted by them too.
const ratioUsed = 0.9

// mayRepeat takes one repeat from the budget of a service.
func (e *Entry) mayRepeat(service string, reason cfverror.Reason) bool {
	e.mu.Lock()
	ok := e.budget(service).TakeRetry(e.cfg.Now())
	e.mu.Unlock()
	if ok {
		e.cfg.Metrics.CountRetry(reason)
	}
	return ok
}

// Parts tells where shared parts of prompts are kept. It is safe for concurrent use.
type PartCatalog struct {
	mu      sync.Mutex
	catalog *cfvparts.Catalog
	now     func() time.Duration
}

// NewParts returns a lookup over a catalogue.
func NewPartCatalog(now func() time.Duration) *PartCatalog {
	return &PartCatalog{catalog: cfvparts.NewCatalog(), now: now}
}

// Do calls f with the catalogue, which f must not keep.
func (p *PartCatalog) Do(f func(c *cfvparts.Catalog)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.catalog)
}
