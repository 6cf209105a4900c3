package cfvnode

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/io/cfvbook"
	"coltsfootvalve/io/cfvcaller"
	"coltsfootvalve/io/cfvetcd"
	"coltsfootvalve/io/cfvforward"
	"coltsfootvalve/io/cfvmembership"
	"coltsfootvalve/io/cfvmoves"
	"coltsfootvalve/io/cfvoperator"
	"coltsfootvalve/io/cfvpeer"
	"coltsfootvalve/io/cfvplace"
	"coltsfootvalve/io/cfvserve"
	"coltsfootvalve/io/cfvsettings"
	"coltsfootvalve/io/cfvtier"
	"coltsfootvalve/io/cfvvmlist"
)

// Timings of a node.
const (
	probeWithin     = 150 * time.Millisecond
	keyValueTimeout = time.Second
	watchSilence    = 3 * time.Second
	listTimeout     = time.Second
	configureEvery  = 100 * time.Millisecond
	headerTimeout   = 10 * time.Second
	idleTimeout     = 2 * time.Minute
)

// Node is one entry VM's node.
type Node struct {
	cfg        Config
	self       cfvmember.Member
	log        cfvlog.Logger
	metrics    *cfvmetric.Registry
	tls        *cfvpeer.TLSConfig
	callerCert *cfvhttp.Certificate
	traffic    cfvhttp.Traffic // with peers

	keyValue   *cfvetcd.Client
	vmList     *cfvvmlist.Client
	peers      *cfvpeer.Client
	forward    *cfvforward.Client
	members    *cfvmembership.Runner
	settings   *cfvsettings.Store
	owner      *cfvplace.Owner
	entry      *cfvplace.Entry
	desk       *cfvbook.Bookings
	moves      *cfvmoves.Controller
	limits     *limits
	suspicions *cfvserve.Quarantine
	traces     *cfvserve.Traces
	server     *cfvserve.Server
	callers    *cfvcaller.API

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	listeners []*http.Server
	bind      func(network, address string) (net.Listener, error)
	configure configured
}

// configured is what the owner was configured by.
type configured struct {
	catalog *cfvcatalog.Catalog
	view    uint64 // its version
}

// New returns a node that has not started.
func New(cfg Config, logs io.Writer) (n *Node, err error) {
	n = &Node{cfg: cfg, bind: net.Listen, metrics: cfvmetric.New(), log: cfvlog.New(logs, cfg.Name)}
	n.self = cfvmember.Member{
		Name: cfg.Name, Address: cfg.PeerAddress, Region: cfg.Region, Domain: cfg.FailureDomain,
		StartMillis: uint64(time.Now().UnixMilli()),
	}
	if cfg.Certificate != "" {
		if n.tls, err = cfvpeer.LoadTLS(cfg.Certificate, cfg.Key, cfg.Authority); err != nil {
			return nil, err
		}
	}
	if cfg.CallerCertificate != "" {
		if n.callerCert, err = cfvhttp.LoadCertificate(cfg.CallerCertificate, cfg.CallerKey); err != nil {
			return nil, err
		}
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.keyValue = cfvetcd.New(cfvetcd.Config{Addresses: cfg.KeyValueAddresses, Timeout: cfg.KeyValueTimeout, WatchIdleTimeout: watchSilence})
	n.vmList = cfvvmlist.New(cfvvmlist.Config{Address: cfg.VMListAddress, Timeout: listTimeout})
	n.peers = cfvpeer.NewClient(cfvpeer.ClientConfig{TLS: n.tls, Traffic: &n.traffic})
	n.forward = cfvforward.New()
	n.limits = newLimits(n)
	n.suspicions = cfvserve.NewQuarantine()
	n.traces = cfvserve.NewTraces()
	n.buildControl()
	n.buildServing()
	return n, nil
}

// buildControl makes the parts that agree with the peers and the platform.
func (n *Node) buildControl() {
	n.settings = cfvsettings.New(cfvsettings.Config{
		KeyValue: cfvsettings.KeyValue{
			Get: n.keyValue.Get, Swap: n.keyValue.Swap, Put: n.keyValue.Put, Delete: n.keyValue.Delete, Watch: n.keyValue.Watch,
		},
		Fetch:   n.peers.FetchSettings,
		Log:     n.log.Component("settings"),
		Metrics: n.metrics,
	})
	n.members = cfvmembership.New(cfvmembership.Config{
		Self:             n.self,
		ProbeInterval:    n.cfg.ProbeInterval,
		ProbeTimeout:     probeWithin,
		SuspicionTimeout: n.cfg.SuspicionTimeout,
		ListInterval:     n.cfg.ListInterval,
		Seed:             n.self.StartMillis,
		Log:              n.log.Component("membership"),
		Metrics:          n.metrics,
		Probe:            n.peers.Probe,
		ReadList:         n.vmList.Read,
		LocalUpdates:     n.news,
		ApplyUpdates:     n.takeNews,
		OnList:           n.takeList,
		OnProcessesEnded: n.entryGone,
	})
	n.owner = cfvplace.NewOwner(cfvplace.OwnerConfig{
		Self: n.self, Recognise: n.recognise, ReadLoad: n.forward.ReadLoad, View: n.members.View, Lease: n.cfg.Lease,
		Log: n.log.Component("owner"), Metrics: n.metrics,
	})
	n.moves = cfvmoves.New(cfvmoves.Config{
		Self: n.self, Interval: n.cfg.MoveInterval, Lease: n.cfg.Lease, Catalog: n.settings.Catalog, View: n.members.View,
		Report: n.report, Recognise: n.recognise, ReadLoad: n.forward.ReadLoad, Order: n.forward.OrderVersion, Broadcast: n.members.Broadcast,
		WriteSettings: n.writeSettings, Log: n.log.Component("moves"), Metrics: n.metrics,
	})
	n.desk = cfvbook.New(n.ctx, cfvbook.Config{
		KeyValue: cfvbook.KeyValueStore{Get: n.keyValue.Get, Swap: n.keyValue.Swap, Grant: n.keyValue.Grant},
		Window:   func() time.Duration { return n.settings.Catalog().BookingWindow() },
		Log:      n.log.Component("bookings"),
		Metrics:  n.metrics,
	})
}

// buildServing makes the parts that requests pass through.
func (n *Node) buildServing() {
	n.entry = cfvplace.NewEntry(cfvplace.EntryConfig{
		Self: n.self, Reserve: n.reserve, Release: n.release, View: n.members.View, Catalog: n.settings.Catalog, Lease: n.cfg.Lease,
		ReserveTimeout: n.cfg.ReserveTimeout, Log: n.log.Component("placement"), Metrics: n.metrics,
	})
	n.server = cfvserve.New(cfvserve.Config{
		Self: n.self, Catalog: n.settings.Catalog, Acquire: n.entry.Acquire, Forward: n.forward,
		Tier:  cfvtier.New(cfvtier.Config{Catalog: n.settings.Catalog, Metrics: n.metrics, LookupTimeout: n.cfg.StoreLookupTimeout}),
		Claim: n.claim, Conclude: n.conclude, Admit: n.limits.admit, Dismiss: n.limits.dismiss,
		Alive:        n.alive,
		VersionFor:   n.moves.Version,
		RecordResult: n.moves.RecordRun,
		BroadcastSuspicion: func(s cfvlimit.Suspicion) {
			n.members.Broadcast(n.ctx, cfvpeer.Gossip{SettingsRevision: n.settings.Revision(), Suspicions: []cfvlimit.Suspicion{s}})
		},
		Log: n.log.Component("requests"), Metrics: n.metrics, Traces: n.traces, Quarantine: n.suspicions,
	})
	n.callers = cfvcaller.New(cfvcaller.Config{Catalog: n.settings.Catalog, Server: n.server, Metrics: n.metrics})
}

// Start opens the listeners and starts the node's work.
func (n *Node) Start() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start node %s: %w", n.cfg.Name, err)
		}
	}()
	operators := cfvoperator.New(cfvoperator.Config{
		Token: n.cfg.OperatorToken, Settings: n.settings, Traces: n.traces, Metrics: n.metrics,
		Status: n.status, ReloadCertificates: n.reload,
	})
	if err = n.listenPeers(); err != nil {
		return err
	}
	if err = n.listenCallers(); err != nil {
		return err
	}
	if err = n.listen(n.cfg.OperatorAddress, &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: headerTimeout}); err != nil {
		return err
	}
	for _, run := range []func(context.Context){n.members.Run, n.settings.Run, n.owner.Run, n.entry.Run, n.moves.Run, n.keepConfigured} {
		n.wg.Go(func() { run(n.ctx) })
	}
	n.log.Component("node").Info("The node serves callers on %s.", n.cfg.CallerAddress)
	return nil
}

func (n *Node) listenPeers() error {
	handler := cfvpeer.NewHandler(cfvpeer.Handlers{
		Probe: n.members.HandleProbe, Reserve: n.owner.Reserve, Release: n.owner.Release,
		Recognise: n.entry.Recognise, FetchSettings: n.settings.HandleFetch,
		Claim: n.desk.Claim, Conclude: n.desk.Conclude, Report: n.moves.HandleReport,
		Admit: n.limits.handleAdmit, Dismiss: n.limits.handleDismiss,
	})
	s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: new(http.Protocols)}
	if n.tls == nil {
		s.Protocols.SetUnencryptedHTTP2(true)
		return n.listen(n.cfg.PeerAddress, s)
	}
	s.Protocols.SetHTTP2(true)
	s.TLSConfig = n.tls.ServerConfig()
	return n.listen(n.cfg.PeerAddress, s)
}

func (n *Node) listenCallers() error {
	s := &http.Server{Handler: n.callers.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	if n.callerCert != nil {
		s.TLSConfig = n.callerCert.TLSConfig()
	}
	return n.listen(n.cfg.CallerAddress, s)
}

func (n *Node) listen(address string, s *http.Server) error {
	l, err := n.bind("tcp", address)
	if err != nil {
		return err
	}
	if address == n.cfg.PeerAddress {
		l = n.traffic.Listener(l)
	}
	n.listeners = append(n.listeners, s)
	n.wg.Go(func() {
		if s.TLSConfig != nil {
			err = s.ServeTLS(l, "", "")
		} else {
			err = s.Serve(l)
		}
		if err != http.ErrServerClosed {
			n.log.Component("node").Warn("The listener on %s ended: %v.", address, err)
		}
	})
	return nil
}

// keepConfigured configures the owner when settings or membership have changed.
func (n *Node) keepConfigured(ctx context.Context) {
	cfvclock.Every(ctx, configureEvery, func(context.Context) { n.configureOnce() })
}

func (n *Node) configureOnce() {
	view := n.members.View()
	catalog := n.settings.Catalog()
	n.limits.expire()
	n.metrics.Gauge("peers.bytesRead", n.traffic.BytesRead())
	n.metrics.Gauge("peers.bytesWritten", n.traffic.BytesWritten())
	if catalog == n.configure.catalog && view.Version == n.configure.view {
		return
	}
	n.configure = configured{catalog: catalog, view: view.Version}
	n.owner.Configure(catalog, view)
}

// reload reads the certificates between entry VMs anew.
func (n *Node) reload() error {
	if n.callerCert != nil {
		if err := n.callerCert.Reload(); err != nil {
			return err
		}
	}
	if n.tls == nil {
		return nil
	}
	return n.tls.Reload()
}

// Stopped says how a node stopped.
type StopResult struct {
	Interrupted int64 // requests that still ran at the limit
}

// Stop ends the node: readiness goes off and the peers are told, new requests are taken
// until callers have had time to notice, running ones finish, then the listeners close.
// When ctx ends first, what still runs is cut.
func (n *Node) Stop(ctx context.Context) StopResult {
	log := n.log.Component("node")
	log.Info("The node stops; %d requests run.", n.callers.RunningRequests())
	n.callers.Leave()
	n.members.AnnounceLeaving(ctx)
	cfvclock.Sleep(ctx, n.cfg.DrainGrace)
	n.callers.Stop()
	limit, cancel := context.WithTimeout(ctx, n.cfg.DrainTimeout)
	defer cancel()
	for limit.Err() == nil && (n.callers.RunningRequests() > 0 || n.server.PendingConclusions() > 0) {
		cfvclock.Sleep(limit, 10*time.Millisecond)
	}
	out := StopResult{Interrupted: n.callers.RunningRequests()}
	if out.Interrupted == 0 {
		n.entry.Flush(limit)
		n.members.AnnounceLeft(limit)
	}
	n.close(limit, out.Interrupted > 0)
	log.Info("The node has stopped; %d requests were cut.", out.Interrupted)
	return out
}

func (n *Node) close(ctx context.Context, hard bool) {
	n.cancel()
	for _, s := range n.listeners {
		if hard || s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	n.wg.Wait()
}
