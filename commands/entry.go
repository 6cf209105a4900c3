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
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvbelief"
	"coltsfootvalve/io/cfvduty"
	"coltsfootvalve/io/cfventry"
	"coltsfootvalve/io/cfvexchange"
	"coltsfootvalve/io/cfvfollow"
	"coltsfootvalve/io/cfvreserve"
	"coltsfootvalve/io/cfvstock"
	"coltsfootvalve/platform"
)

type entryCommand struct {
	con        *console
	LogLevel   string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"least level that is logged"`
	Metrics    int    `long:"metrics-port" value-name:"PORT" default:"0" description:"port at which counters and histograms are served under /metrics; 0: only at the address for entries"`
	LogSuccess int    `long:"log-success" value-name:"N" default:"50" description:"log one in N served requests; 0: none"`
}

// memoryShare is the part of the machine's memory that the heap may fill; the rest is left
// for stacks and for bytes that the kernel holds.
const memoryShare = 0.6

// hostedEntry is a process on the hosting platform.
type hostedEntry struct {
	settings platform.Settings
	log      cfvlog.Logger
	metrics  *cfvmetric.Registry
	store    *platform.Store
	engines  *platform.Engines
	belief   *cfvbelief.Belief
	parts    *cfventry.Parts
	entry    *cfventry.Entry
	exchange *cfvexchange.Exchange
	reserver *cfvreserve.Reserver

	listen func(network, addr string) (net.Listener, error)
	peers  *http.Server

	metricsAddr string // empty: no listener of its own
	stopDuty    func()
	dutyEnded   chan struct{}
}

// Execute runs an entry until SIGTERM.
func (c *entryCommand) Execute([]string) error {
	settings, err := platform.ReadSettings()
	if err != nil {
		return err
	}
	if err := cfvlog.SetLevel(c.LogLevel); err != nil {
		return err
	}
	out := cfvlog.Buffer(c.con.out)
	defer out.Close()
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB) * (1 << 20)))
	h := newHostedEntry(settings, cfvlog.New(out, settings.Node), c.LogSuccess)
	if c.Metrics > 0 {
		h.metricsAddr = net.JoinHostPort(settings.IP, strconv.Itoa(c.Metrics))
	}
	return h.run()
}

func newHostedEntry(settings platform.Settings, log cfvlog.Logger, logSuccess int) *hostedEntry {
	h := &hostedEntry{settings: settings, log: log, metrics: cfvmetric.New(), parts: cfventry.NewParts(cfvclock.Boot), listen: net.Listen}
	h.store = platform.NewStore(settings.Store, h.metrics.Count)
	h.engines = platform.NewEngines(settings.Node)
	h.belief = cfvbelief.New(cfvbelief.Config{Decode: platform.Decode, Now: cfvclock.Boot, Log: log.Part("belief")})
	b := settings.Bounds
	h.entry = cfventry.New(cfventry.Config{
		Name: settings.Node, Domain: settings.Domain, Callers: settings.Callers, Ready: settings.Ready,
		Wire: cfventry.Wire{
			ReadCall: platform.ReadCall, Forwarded: platform.Forwarded, ReadVerdict: platform.ReadVerdict,
			Returned: platform.Returned, ReadHealth: platform.ReadHealth, ReadyPath: platform.ReadyPath,
		},
		Bounds: cfventry.Bounds{
			Revoke: b.Revoke, Versions: b.Versions, RetryRatio: b.RetryRatio, RetrySlack: b.RetrySlack,
			RetryWindow: b.RetryWindow, ShutdownTime: settings.ShutdownTime,
		},
		Belief: h.belief, Parts: h.parts, Now: cfvclock.Boot, Random: rand.Float64, Log: log.Part("entry"), Metrics: h.metrics,
		Listen:    func(network, addr string) (net.Listener, error) { return h.listen(network, addr) },
		PeerLoads: func() map[string]cfvdispatch.Load { return h.exchange.Loads() }, LogSuccess: logSuccess,
		Reserve: func(ctx context.Context, a cfvreserve.Ask) (cfvreserve.Grant, bool) {
			return h.reserver.Reserve(ctx, a)
		},
		Release: func(g cfvreserve.Grant, request string, over bool) { h.reserver.Release(g, request, over) },
	})
	h.reserver = cfvreserve.New(cfvreserve.Config{
		Self: settings.Node, Entries: h.entries, Place: h.entry.Place, Settled: h.entry.Settled, Now: cfvclock.Boot,
		Log: log.Part("reserve"), Count: h.metrics.Count,
	})
	h.exchange = cfvexchange.New(cfvexchange.Config{
		Self: settings.Node, Domain: settings.Domain, Seeds: settings.Seeds, Belief: h.belief, Now: cfvclock.Boot, Loads: h.entry.Loads, Parts: h.parts.Do,
		Suspicions: h.entry.Suspicions, Suspected: h.entry.Suspected, Log: log.Part("exchange"), Count: h.metrics.Count,
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
	listener, err := h.listen("tcp", h.settings.Peers)
	if err != nil {
		return err
	}
	h.peers = &http.Server{Handler: mux, ReadHeaderTimeout: peerHeaderTimeout}
	go func() {
		if err := h.peers.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			h.log.Alarm("the interface for entries ended", "error", err.Error())
		}
	}()
	if err = h.startMetrics(); err != nil {
		return err
	}
	if err = h.entry.Start(ctx); err != nil {
		return err
	}
	h.log.Say("the entry has started", "domain", h.settings.Domain, "callers", h.settings.Callers, "peers", h.settings.Peers)
	working, stopWork := context.WithCancel(ctx)
	h.stopDuty = stopWork
	h.startLoops(ctx)
	h.dutyEnded = make(chan struct{})
	go func() {
		h.duty().Run(working)
		close(h.dutyEnded)
	}()
	return nil
}

// stop gives the duty up, lets running requests end and closes the listeners.
func (h *hostedEntry) stop(ctx context.Context) error {
	h.stopDuty()
	<-h.dutyEnded
	return errors.Join(h.entry.Stop(ctx), h.peers.Close())
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
			h.log.Alarm("the interface for metrics ended", "error", err.Error())
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
		h.log.Alarm("the metrics could not be written", "error", err.Error())
	}
}

// peerHeaderTimeout bounds how long another entry may take to send a request's head.
const peerHeaderTimeout = 2 * time.Second

// reload reads the settings again. Addresses and bounds of a running process stay.
func (h *hostedEntry) reload() {
	s, err := platform.ReadSettings()
	if err != nil {
		h.log.Alarm("the settings can't be read and stay as they are", "error", err.Error())
		return
	}
	h.log.Say("the settings were read again", "node", s.Node)
}

// hub reports whether this entry asks the platform on behalf of others.
func (h *hostedEntry) hub() bool {
	return cfvfleet.IsHub(h.settings.Node, h.entries())
}

func (h *hostedEntry) entries() (list []cfvfleet.Entry) {
	h.belief.Read(func(v *cfvfleet.View) { list = v.Entries() })
	return list
}

// startLoops starts what keeps the belief up to date.
func (h *hostedEntry) startLoops(ctx context.Context) {
	follower := cfvfollow.New(cfvfollow.Config{
		List: h.store.List, Watch: h.store.Watch, HistoryGone: platform.ErrHistoryGone, Belief: h.belief,
		Hub: h.hub, Now: cfvclock.Boot, Log: h.log.Part("follow"),
	})
	stock := cfvstock.New(cfvstock.Config{
		Self: h.settings.Node, Events: h.engines.Events, List: h.engines.List, View: h.belief.Read, Catalog: h.parts.Do,
		Now: cfvclock.Boot, Log: h.log.Part("stock"),
	})
	go follower.Run(ctx)
	go h.exchange.Run(ctx)
	go h.reserver.Run(ctx)
	go stock.Run(ctx)
	go h.announce(ctx)
}

// announcePause is the time between two tries to announce the entry.
const announcePause = 500 * time.Millisecond

// announce writes the entry's address into the store, so that others find it.
func (h *hostedEntry) announce(ctx context.Context) {
	w, err := platform.EntryWrite(cfvfleet.Entry{Name: h.settings.Node, Addr: h.settings.Peers, Domain: h.settings.Domain}, 0)
	if err != nil {
		h.log.Alarm("the entry can't be announced", "error", err.Error())
		return
	}
	for {
		if have, ok := h.belief.Item(w.Key); ok && string(have.Value) == string(w.Value) {
			return
		}
		if _, known := h.belief.Age(); known {
			if _, err = h.store.Commit(ctx, nil, []platform.Write{w}); err == nil {
				h.log.Say("the entry was announced", "addr", h.settings.Peers)
				return
			}
			h.log.Alarm("the entry could not be announced", "error", err.Error())
		}
		if !cfvclock.Sleep(ctx, announcePause) {
			return
		}
	}
}

// duty puts the giving of orders together.
func (h *hostedEntry) duty() *cfvduty.Duty {
	return cfvduty.New(cfvduty.Config{
		Self: h.settings.Node, Hub: h.hub, Belief: h.belief, Version: h.entry.Version, Loaded: h.entry.Loaded,
		Running: func(id string) int { return h.entry.Loads()[id].Running },
		Report:  h.engines.Weights, Load: h.engines.Load, Free: h.engines.Free,
		Catalog: func(f func(*cfvparts.Catalog)) { h.parts.Do(f) },
		Pause:   h.settings.Bounds.Lease, Now: cfvclock.Boot, Log: h.log.Part("duty"), Count: h.metrics.Count,
		Holder:    func() (cfvmirror.Record, bool) { return h.belief.Item(platform.KeyOrders) },
		LastGiver: func() (cfvmirror.Record, bool) { return h.belief.Item(platform.KeyLastGiver) },
		Store: cfvduty.Store{
			Grant: h.store.Grant, Renew: h.store.Renew, End: h.store.End, NoLease: platform.ErrNoLease, Conflict: platform.ErrConflict,
			Take: func(ctx context.Context, lease int64, holder []byte) (int64, error) {
				return h.store.Commit(ctx, []platform.Expected{{Key: platform.KeyOrders}}, []platform.Write{{Key: platform.KeyOrders, Value: holder, Lease: lease}})
			},
			Record: func(ctx context.Context, fence int64, record []byte) error {
				_, err := h.store.Commit(ctx, []platform.Expected{{Key: platform.KeyOrders, Revision: fence}}, []platform.Write{{Key: platform.KeyLastGiver, Value: record}})
				return err
			},
		},
	})
}
