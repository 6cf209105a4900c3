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

// Timeouts and intervals of a node.
const (
	probeTimeout      = 150 * time.Millisecond
	keyValueTimeout   = time.Second
	watchIdleTimeout  = 3 * time.Second
	vmListTimeout     = time.Second
	configureInterval = 100 * time.Millisecond
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
)

// Node is the node of an entry VM.
type Node struct {
	cfg               Config
	self              cfvmember.Member
	log               cfvlog.Logger
	metrics           *cfvmetric.Registry
	tls               *cfvpeer.TLSConfig
	callerCertificate *cfvhttp.Certificate
	traffic           cfvhttp.Traffic // exchanged with peers

	kvStore    *cfvetcd.Client
	vmList     *cfvvmlist.Client
	peers      *cfvpeer.Client
	forward    *cfvforward.Client
	members    *cfvmembership.Runner
	settings   *cfvsettings.Store
	owner      *cfvplace.Owner
	entry      *cfvplace.Entry
	bookings   *cfvbook.Bookings
	moves      *cfvmoves.Controller
	limits     *limits
	quarantine *cfvserve.Quarantine
	traces     *cfvserve.Traces
	server     *cfvserve.Server
	callers    *cfvcaller.API

	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	listeners   []*http.Server
	callerConns *cfvhttp.ConnTracker // nil with TLS
	callerSide  net.Listener         // of callerConns
	ownerConfig ownerConfig
}

// ownerConfig is the catalog and the membership view that the owner was last configured with.
type ownerConfig struct {
	catalog     *cfvcatalog.Catalog
	viewVersion uint64
}

// New returns a node that is not started yet.
func New(cfg Config, logs io.Writer) (n *Node, err error) {
	if cfg.Listen == nil {
		cfg.Listen = net.Listen
	}
	n = &Node{cfg: cfg, metrics: cfvmetric.New(), log: cfvlog.New(logs, cfg.Name)}
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
		if n.callerCertificate, err = cfvhttp.LoadCertificate(cfg.CallerCertificate, cfg.CallerKey); err != nil {
			return nil, err
		}
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.kvStore = cfvetcd.New(cfvetcd.Config{Addresses: cfg.KeyValueAddresses, Timeout: cfg.KeyValueTimeout, WatchIdleTimeout: watchIdleTimeout, Dial: cfg.Dial})
	n.vmList = cfvvmlist.New(cfvvmlist.Config{Address: cfg.VMListAddress, Timeout: vmListTimeout, Dial: cfg.Dial})
	n.peers = cfvpeer.NewClient(cfvpeer.ClientConfig{TLS: n.tls, Traffic: &n.traffic, Dial: cfg.Dial})
	n.forward = cfvforward.New(cfvforward.Config{Dial: cfg.Dial})
	n.limits = newLimits(n)
	n.quarantine = cfvserve.NewQuarantine()
	n.traces = cfvserve.NewTraces()
	n.buildControl()
	n.buildServing()
	return n, nil
}

// buildControl creates the control plane components, which coordinate with peers and with the
// platform.
func (n *Node) buildControl() {
	n.settings = cfvsettings.New(cfvsettings.Config{
		KeyValue: cfvsettings.KeyValue{
			Get: n.kvStore.Get, Swap: n.kvStore.Swap, Put: n.kvStore.Put, Delete: n.kvStore.Delete, Watch: n.kvStore.Watch,
		},
		Fetch:   n.peers.FetchSettings,
		Log:     n.log.Component("settings"),
		Metrics: n.metrics,
	})
	n.members = cfvmembership.New(cfvmembership.Config{
		Self:             n.self,
		ProbeInterval:    n.cfg.ProbeInterval,
		ProbeTimeout:     probeTimeout,
		SuspicionTimeout: n.cfg.SuspicionTimeout,
		ListInterval:     n.cfg.ListInterval,
		Seed:             n.self.StartMillis,
		Log:              n.log.Component("membership"),
		Metrics:          n.metrics,
		Probe:            n.peers.Probe,
		ReadList:         n.vmList.Read,
		LocalUpdates:     n.localUpdates,
		ApplyUpdates:     n.applyUpdates,
		OnList:           n.applyVMList,
		OnProcessesEnded: n.dismissEntry,
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
	n.bookings = cfvbook.New(n.ctx, cfvbook.Config{
		KeyValue: cfvbook.KeyValueStore{Get: n.kvStore.Get, Swap: n.kvStore.Swap, Grant: n.kvStore.Grant},
		Window:   func() time.Duration { return n.settings.Catalog().BookingWindow() },
		Log:      n.log.Component("bookings"),
		Metrics:  n.metrics,
	})
}

// buildServing creates the components that handle requests.
func (n *Node) buildServing() {
	n.entry = cfvplace.NewEntry(cfvplace.EntryConfig{
		Self: n.self, Reserve: n.reserve, Release: n.release, View: n.members.View, Catalog: n.settings.Catalog, Lease: n.cfg.Lease,
		ReserveTimeout: n.cfg.ReserveTimeout, Log: n.log.Component("placement"), Metrics: n.metrics,
	})
	n.server = cfvserve.New(cfvserve.Config{
		Self: n.self, Catalog: n.settings.Catalog, Acquire: n.entry.Acquire, Forward: n.forward,
		Tier:  cfvtier.New(cfvtier.Config{Catalog: n.settings.Catalog, Metrics: n.metrics, LookupTimeout: n.cfg.StoreLookupTimeout, Dial: n.cfg.Dial}),
		Claim: n.claim, Conclude: n.conclude, Admit: n.limits.admit, Dismiss: n.limits.dismiss,
		Alive:        n.isEntryAlive,
		VersionFor:   n.moves.Version,
		RecordResult: n.moves.RecordResult,
		BroadcastSuspicion: func(s cfvlimit.Suspicion) {
			n.members.Broadcast(n.ctx, cfvpeer.Gossip{SettingsRevision: n.settings.Revision(), Suspicions: []cfvlimit.Suspicion{s}})
		},
		Log: n.log.Component("requests"), Metrics: n.metrics, Traces: n.traces, Quarantine: n.quarantine,
	})
	n.callers = cfvcaller.New(cfvcaller.Config{Catalog: n.settings.Catalog, Server: n.server, Metrics: n.metrics})
}

// Start opens the listeners and starts the background tasks.
func (n *Node) Start() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start node %s: %w", n.cfg.Name, err)
		}
	}()
	operators := cfvoperator.New(cfvoperator.Config{
		Token: n.cfg.OperatorToken, Settings: n.settings, Traces: n.traces, Metrics: n.metrics,
		Status: n.status, ReloadCertificates: n.reloadCertificates,
	})
	if err = n.listenPeers(); err != nil {
		return err
	}
	if err = n.listenCallers(); err != nil {
		return err
	}
	if err = n.listen(n.cfg.OperatorAddress, &http.Server{Handler: operators.Handler(), ReadHeaderTimeout: readHeaderTimeout}); err != nil {
		return err
	}
	for _, run := range []func(context.Context){n.members.Run, n.settings.Run, n.owner.Run, n.entry.Run, n.moves.Run, n.runConfigure} {
		n.wg.Go(func() { run(n.ctx) })
	}
	n.log.Component("node").Info("The node accepts requests on %s.", n.cfg.CallerAddress)
	return nil
}

func (n *Node) listenPeers() error {
	handler := cfvpeer.NewHandler(cfvpeer.Handlers{
		Probe: n.members.HandleProbe, Reserve: n.owner.Reserve, Release: n.owner.Release,
		Recognise: n.entry.Recognise, FetchSettings: n.settings.HandleFetch,
		Claim: n.bookings.Claim, Conclude: n.bookings.Conclude, Report: n.moves.HandleReport,
		Admit: n.limits.handleAdmit, Dismiss: n.limits.handleDismiss,
	})
	s := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, Protocols: new(http.Protocols)}
	if n.tls == nil {
		s.Protocols.SetUnencryptedHTTP2(true)
		return n.listen(n.cfg.PeerAddress, s)
	}
	s.Protocols.SetHTTP2(true)
	s.TLSConfig = n.tls.ServerConfig()
	return n.listen(n.cfg.PeerAddress, s)
}

func (n *Node) listenCallers() error {
	s := &http.Server{Handler: n.callers.Handler(), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	if n.callerCertificate != nil {
		s.TLSConfig = n.callerCertificate.TLSConfig()
		return n.listen(n.cfg.CallerAddress, s)
	}
	n.callerConns = cfvhttp.NewConnTracker(func(r cfvhttp.UnansweredRequest) {
		n.metrics.Count("callers.unanswered", 1)
		n.log.Component("node").Warn("The connection of %s was closed without a response after %d bytes of a request (%s).", r.Caller, r.Bytes, r.State)
	})
	s.ConnState = n.callerConns.ConnState
	return n.listen(n.cfg.CallerAddress, s)
}

func (n *Node) listen(address string, s *http.Server) error {
	l, err := n.cfg.Listen("tcp", address)
	if err != nil {
		return err
	}
	if address == n.cfg.PeerAddress {
		l = n.traffic.Listener(l)
	}
	if address == n.cfg.CallerAddress && n.callerConns != nil {
		l = n.callerConns.Listener(l)
		n.callerSide = l
	}
	n.listeners = append(n.listeners, s)
	n.wg.Go(func() {
		if s.TLSConfig != nil {
			err = s.ServeTLS(l, "", "")
		} else {
			err = s.Serve(l)
		}
		if err != http.ErrServerClosed && !n.callers.Leaving() {
			n.log.Component("node").Warn("The listener on %s failed: %v.", address, err)
		}
	})
	return nil
}

// runConfigure calls configureOwner periodically until ctx ends.
func (n *Node) runConfigure(ctx context.Context) {
	cfvclock.Every(ctx, configureInterval, func(context.Context) { n.configureOwner() })
}

// configureOwner configures the owner if the settings or the membership have changed. It also
// expires admissions and updates the traffic metrics.
func (n *Node) configureOwner() {
	view := n.members.View()
	catalog := n.settings.Catalog()
	n.limits.expire()
	n.metrics.Gauge("peers.bytesRead", n.traffic.BytesRead())
	n.metrics.Gauge("peers.bytesWritten", n.traffic.BytesWritten())
	if catalog == n.ownerConfig.catalog && view.Version == n.ownerConfig.viewVersion {
		return
	}
	n.ownerConfig = ownerConfig{catalog: catalog, viewVersion: view.Version}
	n.owner.Configure(catalog, view)
}

// reloadCertificates reads the certificate for callers and the certificates for connections
// between entries from their files again.
func (n *Node) reloadCertificates() error {
	if n.callerCertificate != nil {
		if err := n.callerCertificate.Reload(); err != nil {
			return err
		}
	}
	if n.tls == nil {
		return nil
	}
	return n.tls.Reload()
}

// StopResult describes how a node stopped.
type StopResult struct {
	Interrupted int64 // requests that were aborted because the drain timeout passed or ctx ended
}

// Stop drains and stops the node. The node reports that it is not ready, announces to its peers
// that it is leaving, and accepts requests for the drain grace period, so that callers can
// notice. It then waits for requests in progress and closes the listeners. Requests that still
// run at the drain timeout or when ctx ends are aborted.
func (n *Node) Stop(ctx context.Context) StopResult {
	log := n.log.Component("node")
	log.Info("The node is stopping; %d requests are in progress.", n.callers.RunningRequests())
	n.callers.Leave()
	n.members.AnnounceLeaving(ctx)
	cfvclock.Sleep(ctx, n.cfg.DrainGrace)
	n.callers.Stop()
	drainCtx, cancel := context.WithTimeout(ctx, n.cfg.DrainTimeout)
	defer cancel()
	n.drainCallers(drainCtx)
	for drainCtx.Err() == nil && (n.callers.RunningRequests() > 0 || n.server.PendingConclusions() > 0) {
		cfvclock.Sleep(drainCtx, 10*time.Millisecond)
	}
	result := StopResult{Interrupted: n.callers.RunningRequests()}
	if result.Interrupted == 0 {
		n.entry.Flush(drainCtx)
		n.members.AnnounceLeft(drainCtx)
	}
	n.close(drainCtx, result.Interrupted > 0)
	log.Info("The node has stopped; %d requests were aborted.", result.Interrupted)
	return result
}

// drainCallers ends the connections of callers once the requests that were read from them are answered.
func (n *Node) drainCallers(ctx context.Context) {
	if n.callerConns == nil {
		return
	}
	_ = n.callerSide.Close() // fails only if it is closed already
	if err := n.callerConns.Drain(ctx); err != nil {
		n.log.Component("node").Warn("Connections of callers were still open at the end of the drain timeout.")
	}
}

// close closes all listeners, with their connections if abort is set or ctx ends, and waits for
// the background tasks.
func (n *Node) close(ctx context.Context, abort bool) {
	n.cancel()
	for _, s := range n.listeners {
		if abort || s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
	n.wg.Wait()
}
