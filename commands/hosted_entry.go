package commands

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/io/cfventry"
	"coltsfootvalve/io/cfvexchange"
	"coltsfootvalve/io/cfvreserve"
	"coltsfootvalve/io/cfvrollout"
	"coltsfootvalve/io/cfvstate"
	"coltsfootvalve/io/cfvwatch"
	"coltsfootvalve/platform"
)

// hostedEntry is an entry process on the hosting platform.
type hostedEntry struct {
	settings      platform.Settings
	log           cfvlog.Logger
	metrics       *cfvmetric.Registry
	keyValueStore *platform.KeyValueStore
	control       *platform.ControlClient
	state         *cfvstate.State
	parts         *cfventry.PartCatalog
	entry         *cfventry.Entry
	exchange      *cfvexchange.Exchange
	watcher       *cfvwatch.Watcher
	reserver      *cfvreserve.Reserver
	rollouts      *cfvrollout.Controller
	reporter      *cfvrollout.Reporter
	metering      *metering // nil without metering

	listen     func(network, addr string) (net.Listener, error)
	peerServer *http.Server

	metricsAddr   string // empty: only the peer server serves the metrics
	stopLeader    func()
	leaderStopped chan struct{} // closed when the leader loop has ended
}

// newHostedEntry creates and connects the components of an entry. Nothing runs until start.
func newHostedEntry(settings platform.Settings, log cfvlog.Logger, logSuccess int, learnCapacity bool) *hostedEntry {
	h := &hostedEntry{settings: settings, log: log, metrics: cfvmetric.New(), parts: cfventry.NewPartCatalog(cfvclock.SinceBoot), listen: net.Listen}
	h.keyValueStore = platform.NewKeyValueStore(settings.KeyValueStoreAddr, h.metrics.Count)
	h.control = platform.NewControlClient(settings.Node)
	h.state = cfvstate.New(cfvstate.Config{Decode: platform.Decode, Now: cfvclock.SinceBoot, Log: log.Component("belief"), Count: h.metrics.Count, OnHistory: h.keyValueStore.FollowHistory, SilenceTime: silenceTime(settings.HeartbeatInterval)})
	b := settings.Bounds
	h.metering = h.newMetering()
	h.entry = cfventry.New(cfventry.Config{
		Name: settings.Node, Domain: settings.Domain, CallerAddr: settings.CallerAddr, ReadyAddr: settings.ReadyAddr,
		Codec: cfventry.Codec{
			ReadRequestMeta: platform.ReadRequestMeta, RequestHeader: platform.RequestHeader, ReadResponseMeta: platform.ReadResponseMeta,
			PassesResponseHeader: platform.PassesResponseHeader, ReadHealth: platform.ReadHealth, ReadyPath: platform.ReadyPath,
			HandoverHeader: platform.HandoverHeader, ReadHandover: platform.ReadHandover,
			SetHandoverAnswer: platform.SetHandoverAnswer, ReadHandoverAnswer: platform.ReadHandoverAnswer,
		},
		Limits: cfventry.Limits{
			MaxRevokeDelay: b.MaxRevokeDelay, MaxVersionDelay: b.MaxVersionDelay, RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
			RetryWindow: b.RetryWindow, ShutdownTimeout: settings.ShutdownTimeout, Exposure: exposureLimits(b),
		},
		State: h.state, Parts: h.parts, Now: cfvclock.SinceBoot, Random: rand.Float64, BodyBudget: bodyBudget(settings), MaxCallers: settings.MaxCallers(), Log: log.Component("entry"), Metrics: h.metrics,
		Listen:    func(network, addr string) (net.Listener, error) { return h.listen(network, addr) },
		Peers:     func() []cfvfleet.Entry { return h.exchange.Responding() },
		PeerLoads: func() (map[string]cfvdispatch.Load, map[string]cfvdispatch.Demand) { return h.exchange.PeerLoads() }, LogSuccessEvery: logSuccess, LearnedCapacity: learnCapacity,
		Reserve: func(ctx context.Context, r cfvreserve.Request) (cfvreserve.Grant, bool) {
			return h.reserver.Reserve(ctx, r)
		},
		Settle:          func(g cfvreserve.Grant, request string, over bool) { h.reserver.Settle(g, request, over) },
		EvidenceCurrent: func() bool { return h.reporter.Current() }, SilenceTime: silenceTime(settings.HeartbeatInterval),
		CountRun: h.metering.countRun(),
	})
	h.reserver = cfvreserve.New(cfvreserve.Config{
		Self: settings.Node, Relays: func() []cfvfleet.Entry { return h.roster().Relays() }, Place: h.entry.Place, Settle: h.entry.Settle, Now: cfvclock.SinceBoot,
		Log: log.Component("reserve"), Count: h.metrics.Count,
	})
	h.exchange = cfvexchange.New(cfvexchange.Config{
		Self: settings.Node, Domain: settings.Domain, Seeds: settings.Seeds, State: h.state, Now: cfvclock.SinceBoot, Loads: h.entry.Loads, Demands: h.entry.Demands, Parts: h.parts.Do,
		Suspicions: h.entry.Suspicions, AddSuspicion: h.entry.AddSuspicion, PartUpdate: h.entry.PartUpdate, MergeParts: h.entry.MergeParts, Log: log.Component("exchange"), Count: h.metrics.Count,
		StartMillis: time.Now().UnixMilli(), Notices: h.entry.Notices, MergeNotice: h.entry.MergeNotice,
		StoreLost: func() bool { return h.watcher.StoreLost() }, IsLeader: h.isLeader,
	})
	h.watcher = h.newWatcher()
	h.rollouts, h.reporter = h.newRollouts(), h.newReporter()
	return h
}

// silenceTime returns after which time an endpoint that went down is no longer announced. The platform removes it after three heartbeats
// without one, and entries learn of that within a second; 0: it has no heartbeats.
func silenceTime(heartbeat time.Duration) time.Duration {
	if heartbeat <= 0 {
		return 0
	}
	return 3*heartbeat + time.Second
}

// run serves until SIGTERM or an interrupt. On SIGHUP it calls reload.
func (h *hostedEntry) run() error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := h.start(ctx); err != nil {
		return err
	}
	for s := range signals {
		if s != syscall.SIGHUP {
			break
		}
		h.reload()
	}
	return h.stop(ctx)
}

// start opens the listeners and starts the background loops, which run until ctx ends.
func (h *hostedEntry) start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start the entry: %w", err)
		}
	}()
	mux := http.NewServeMux()
	mux.Handle(h.exchange.Handler())
	mux.Handle(h.reserver.Handler())
	mux.Handle(h.rollouts.Handler())
	if h.metering != nil {
		mux.Handle(h.metering.controller.Handler())
	}
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	listener, err := h.listen("tcp", h.settings.PeerAddr)
	if err != nil {
		return err
	}
	h.peerServer = &http.Server{Handler: h.entry.PeerHandler(http.MaxBytesHandler(mux, maxPeerBodyBytes)), ReadHeaderTimeout: peerHeaderTimeout, MaxHeaderBytes: maxPeerHeaderBytes}
	go func() {
		if err := h.peerServer.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.log.Warnw("the peer server stopped", "error", err.Error())
		}
	}()
	if err = h.startMetrics(); err != nil {
		return err
	}
	if err = h.entry.Start(ctx); err != nil {
		return err
	}
	h.log.Infow("entry started", "domain", h.settings.Domain, "callers", h.settings.CallerAddr, "peers", h.settings.PeerAddr)
	leaderCtx, stopLeader := context.WithCancel(ctx)
	h.stopLeader = stopLeader
	h.startLoops(ctx)
	stopped := make(chan struct{})
	h.leaderStopped = stopped
	go func() {
		h.newLeader().Run(leaderCtx)
		close(stopped)
	}()
	return nil
}

// stop gives up the leadership, waits for running requests and closes the listeners. It does not
// wait until the leadership is released, since the key-value store may not respond and the
// shutdown timeout runs from SIGTERM on.
func (h *hostedEntry) stop(ctx context.Context) error {
	h.stopLeader()
	err := h.entry.Stop(ctx)
	select {
	case <-h.leaderStopped:
	default:
		h.log.Warnw("the leadership was not released before the entry stopped")
	}
	return errors.Join(err, h.stopPeerServer(ctx))
}

// stopPeerServer closes the peers' listener once the responses to requests that peers handed over have been sent.
func (h *hostedEntry) stopPeerServer(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, peerStopTimeout)
	defer cancel()
	if err := h.peerServer.Shutdown(ctx); err == nil {
		return nil
	}
	return h.peerServer.Close()
}

// peerStopTimeout is how long responses to peers may take when the entry has stopped.
const peerStopTimeout = 150 * time.Millisecond

// startMetrics serves the metrics on a port of their own, if one is configured.
func (h *hostedEntry) startMetrics() error {
	if h.metricsAddr == "" {
		return nil
	}
	l, err := h.listen("tcp", h.metricsAddr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout, ReadTimeout: peerHeaderTimeout, MaxHeaderBytes: maxPeerHeaderBytes}
	go func() {
		if err := server.Serve(l); err != nil {
			h.log.Warnw("the metrics server stopped", "error", err.Error())
		}
	}()
	return nil
}

// serveMetrics writes the metrics in the Prometheus text format.
func (h *hostedEntry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if age, ok := h.state.Age(); ok {
		h.metrics.Gauge("belief.ageMillis", age.Milliseconds())
	}
	h.metrics.Gauge("belief.asOf", int64(h.state.AsOf()))
	w.Header().Set("Content-Type", cfvmetric.ContentType)
	if err := h.metrics.WriteText(w); err != nil {
		h.log.Warnw("could not write the metrics", "error", err.Error())
	}
}

// peerHeaderTimeout is how long a peer may take to send the header of a request.
const peerHeaderTimeout = 2 * time.Second

// Sizes of requests of peers. The longest bodies are pulls and reports, which hold no more than the fleet's state.
const (
	maxPeerBodyBytes   = 4 << 20
	maxPeerHeaderBytes = 68 << 10 // callers' requests that are handed over have up to 64 KiB
)

// bodyBudget returns the budget for bodies; nil if the memory is not limited.
func bodyBudget(s platform.Settings) *cfvlimit.ByteBudget {
	if s.BodyBudget() <= 0 {
		return nil
	}
	return cfvlimit.NewByteBudget(s.BodyBudget())
}

// reload checks that the settings file can be read. A running process keeps the addresses
// and bounds that it started with.
func (h *hostedEntry) reload() {
	s, err := platform.ReadSettings()
	if err != nil {
		h.log.Warnw("could not read the settings; keeping the current ones", "error", err.Error())
		return
	}
	h.log.Infow("read the settings again", "node", s.Node)
}

// isRelay reports whether this entry is a relay, which reads the key-value store on behalf of
// its peers.
func (h *hostedEntry) isRelay() bool {
	return h.roster().IsRelay(h.settings.Node)
}

// watchStartDelay is how long an entry that is no seed waits for a state from its peers.
const watchStartDelay = time.Second

// watchDelay returns how long this entry waits for a state from its peers before it lists the key-value
// store. Only at the first start of the fleet callers don't wait for it. Seeds don't wait: the others get
// their first state from them.
func (h *hostedEntry) watchDelay() time.Duration {
	if !h.settings.FirstStart || h.isSeed() || len(h.settings.Seeds) == 0 {
		return 0
	}
	return watchStartDelay
}

// isSeed reports whether other entries contact this one first.
func (h *hostedEntry) isSeed() bool { return slices.Contains(h.settings.Seeds, h.settings.PeerAddr) }

// isWatcher reports whether this entry watches the key-value store on behalf of its peers. Until the
// store lists it, a seed does.
func (h *hostedEntry) isWatcher() bool {
	roster := h.exchange.CurrentRoster()
	if !roster.Lists(h.settings.Node) {
		return h.isSeed() || len(roster.Entries()) == 0
	}
	return roster.IsWatcher(h.settings.Node)
}

// roster returns the known entries. Its relays respond.
func (h *hostedEntry) roster() *cfvfleet.Roster { return h.exchange.Roster() }
