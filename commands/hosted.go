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
	"syscall"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/io/cfventry"
	"coltsfootvalve/io/cfvexchange"
	"coltsfootvalve/io/cfvreserve"
	"coltsfootvalve/io/cfvstate"
	"coltsfootvalve/platform"
)

// hostedEntry is a process on the hosting platform.
type hostedEntry struct {
	settings platform.Settings
	log      cfvlog.Logger
	metrics  *cfvmetric.Registry
	store    *platform.KeyValueStore
	engines  *platform.ControlClient
	belief   *cfvstate.State
	parts    *cfventry.PartCatalog
	entry    *cfventry.Entry
	exchange *cfvexchange.Exchange
	reserver *cfvreserve.Reserver

	listen func(network, addr string) (net.Listener, error)
	peers  *http.Server

	metricsAddr string // empty: no listener of its own
	stopDuty    func()
	dutyEnded   chan struct{}
}

func newHostedEntry(settings platform.Settings, log cfvlog.Logger, logSuccess int) *hostedEntry {
	h := &hostedEntry{settings: settings, log: log, metrics: cfvmetric.New(), parts: cfventry.NewPartCatalog(cfvclock.SinceBoot), listen: net.Listen}
	h.store = platform.NewKeyValueStore(settings.KeyValueStoreAddr, h.metrics.Count)
	h.engines = platform.NewControlClient(settings.Node)
	h.belief = cfvstate.New(cfvstate.Config{Decode: platform.Decode, Now: cfvclock.SinceBoot, Log: log.Component("belief")})
	b := settings.Bounds
	h.entry = cfventry.New(cfventry.Config{
		Name: settings.Node, Domain: settings.Domain, CallerAddr: settings.CallerAddr, ReadyAddr: settings.ReadyAddr,
		Codec: cfventry.Codec{
			ReadCall: platform.ReadRequestMeta, RequestHeader: platform.RequestHeader, ReadResponseMeta: platform.ReadResponseMeta,
			PassesResponseHeader: platform.PassesResponseHeader, ReadHealth: platform.ReadHealth, ReadyPath: platform.ReadyPath,
		},
		Limits: cfventry.Limits{
			MaxRevokeDelay: b.KeyRevocation, MaxVersionDelay: b.WeightsRollout, RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
			RetryWindow: b.RetryWindow, ShutdownTimeout: settings.ShutdownTimeout,
		},
		State: h.belief, Parts: h.parts, Now: cfvclock.SinceBoot, Random: rand.Float64, Log: log.Component("entry"), Metrics: h.metrics,
		Listen:    func(network, addr string) (net.Listener, error) { return h.listen(network, addr) },
		PeerLoads: func() (map[string]cfvdispatch.Load, map[string]cfvdispatch.Demand) { return h.exchange.PeerLoads() }, LogSuccessEvery: logSuccess,
		Reserve: func(ctx context.Context, a cfvreserve.Request) (cfvreserve.Grant, bool) {
			return h.reserver.Reserve(ctx, a)
		},
		Settle: func(g cfvreserve.Grant, request string, over bool) { h.reserver.Settle(g, request, over) },
	})
	h.reserver = cfvreserve.New(cfvreserve.Config{
		Self: settings.Node, Entries: h.entries, Place: h.entry.Place, Settle: h.entry.Settle, Now: cfvclock.SinceBoot,
		Log: log.Component("reserve"), Count: h.metrics.Count,
	})
	h.exchange = cfvexchange.New(cfvexchange.Config{
		Self: settings.Node, Domain: settings.Domain, Seeds: settings.Seeds, State: h.belief, Now: cfvclock.SinceBoot, Loads: h.entry.Loads, Demands: h.entry.Demands, Parts: h.parts.Do,
		Suspicions: h.entry.Suspicions, AddSuspicion: h.entry.AddSuspicion, Log: log.Component("exchange"), Count: h.metrics.Count,
		StartMillis: time.Now().UnixMilli(),
	})
	return h
}

// run serves until a signal ends the process.
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

// start listens and begins all work, which goes on until the context ends.
func (h *hostedEntry) start(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start the entry: %w", err)
		}
	}()
	mux := http.NewServeMux()
	mux.Handle(h.exchange.Handler())
	mux.Handle(h.reserver.Handler())
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	listener, err := h.listen("tcp", h.settings.PeerAddr)
	if err != nil {
		return err
	}
	h.peers = &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
	go func() {
		if err := h.peers.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.log.Warnw("the interface for entries ended", "error", err.Error())
		}
	}()
	if err = h.startMetrics(); err != nil {
		return err
	}
	if err = h.entry.Start(ctx); err != nil {
		return err
	}
	h.log.Infow("the entry has started", "domain", h.settings.Domain, "callers", h.settings.CallerAddr, "peers", h.settings.PeerAddr)
	working, stopWork := context.WithCancel(ctx)
	h.stopDuty = stopWork
	h.startLoops(ctx)
	ended := make(chan struct{})
	h.dutyEnded = ended
	go func() {
		h.duty().Run(working)
		close(ended)
	}()
	return nil
}

// stop gives the duty up, lets running requests end and closes the listeners. The time to
// stop runs from the signal, so nothing waits for a store that does not answer.
func (h *hostedEntry) stop(ctx context.Context) error {
	h.stopDuty()
	err := h.entry.Stop(ctx)
	select {
	case <-h.dutyEnded:
	default:
		h.log.Warnw("the duty had not ended when the entry stopped")
	}
	return errors.Join(err, h.peers.Close())
}

// startMetrics listens for those who read the metrics.
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
	server := &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
	go func() {
		if err := server.Serve(l); err != nil {
			h.log.Warnw("the interface for metrics ended", "error", err.Error())
		}
	}()
	return nil
}

// serveMetrics writes the counters in the Prometheus text format.
func (h *hostedEntry) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	if age, ok := h.belief.Age(); ok {
		h.metrics.Gauge("belief.ageMillis", age.Milliseconds())
	}
	h.metrics.Gauge("belief.asOf", h.belief.AsOf())
	w.Header().Set("Content-Type", cfvmetric.ContentType)
	if err := h.metrics.WriteText(w); err != nil {
		h.log.Warnw("the metrics could not be written", "error", err.Error())
	}
}

// peerHeaderTimeout bounds how long another entry may take to send a request's head.
const peerHeaderTimeout = 2 * time.Second

// reload reads the settings again. Addresses and bounds of a running process stay.
func (h *hostedEntry) reload() {
	s, err := platform.ReadSettings()
	if err != nil {
		h.log.Warnw("the settings can't be read and stay as they are", "error", err.Error())
		return
	}
	h.log.Infow("the settings were read again", "node", s.Node)
}

// hub reports whether this entry asks the platform on behalf of others.
func (h *hostedEntry) hub() bool {
	return cfvfleet.IsRelay(h.settings.Node, h.entries())
}

func (h *hostedEntry) entries() (list []cfvfleet.Entry) {
	h.belief.Read(func(v *cfvfleet.View) { list = v.Entries() })
	return list
}
