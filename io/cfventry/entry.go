// Package cfventry serves callers on a hosted platform: it forwards each request to an
// endpoint and returns the response. The functions of a Codec translate the platform's
// headers.
package cfventry

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvnotice"
	"coltsfootvalve/core/cfvreach"
	"coltsfootvalve/core/cfvrollout"
	"coltsfootvalve/io/cfvreserve"
	"coltsfootvalve/io/cfvstate"
)

// Codec translates between the platform's headers and the types of this module.
type Codec struct {
	ReadRequestMeta      func(http.Header) (cfvcall.RequestMeta, error)
	RequestHeader        func(http.Header, cfvcall.ForwardOptions) http.Header
	ReadResponseMeta     func(status int, h http.Header) cfvcall.ResponseMeta
	PassesResponseHeader func(header string) bool
	ReadHealth           func(status int, h http.Header) (id string, healthy bool, coldFor time.Duration)
	ReadyPath            string

	HandoverHeader     func(http.Header, cfvcall.HandoverOptions) http.Header // of a request that a peer is to serve
	ReadHandover       func(http.Header) (possibleRuns int, ok bool)          // false: the request was not handed over
	SetHandoverAnswer  func(http.Header, cfvcall.HandoverAnswer)              // in a response to a peer
	ReadHandoverAnswer func(http.Header) cfvcall.HandoverAnswer               // of a peer
}

// Limits are the service levels that operators require.
type Limits struct {
	MaxRevokeDelay  time.Duration // longest time that a removed API key is still served; 0 means no limit
	MaxVersionDelay time.Duration // longest time that requests still start on replaced weights; 0 means no limit
	RetryRatio      float64       // retries per request
	RetrySlack      float64       // retries of all entries in addition to the ratio
	RetryWindow     time.Duration
	ShutdownTimeout time.Duration
	Exposure        cfvrollout.Limits // of callers to a version that is rolled out
}

// Config configures an Entry.
type Config struct {
	Name            string
	Domain          string
	CallerAddr      string // listen address for callers
	ReadyAddr       string // listen address for the load balancer's readiness probes
	Codec           Codec
	Limits          Limits
	State           *cfvstate.State
	Parts           *PartCatalog
	PeerLoads       func() (map[string]cfvdispatch.Load, map[string]cfvdispatch.Demand) // running work of all peers
	Reserve         func(context.Context, cfvreserve.Request) (cfvreserve.Grant, bool)  // requests the placement of a long prompt; nil disables it
	EvidenceCurrent func() bool                                                         // reports whether the leader has the evidence about roll-outs; nil: always
	Settle          func(g cfvreserve.Grant, request string, over bool)                 // reports that the prefill is done, or that the request is over
	CountRun        func(workspace string)                                              // counts a request that begins to run; nil: requests are not counted
	Now             func() time.Duration                                                // a clock that also runs while the VM is suspended
	Random          func() float64
	Peers           func() []cfvfleet.Entry // other entries that respond; nil: requests are never handed over
	BodyBudget      *cfvlimit.ByteBudget    // for bodies that are not yet forwarded, and for responses that are kept; nil: no limit
	MaxCallers      int                     // connections of callers; 0: no limit
	Listen          func(network, addr string) (net.Listener, error)
	DialPeer        func(ctx context.Context, network, addr string) (net.Conn, error) // connects to peers to hand requests over; nil: over TCP
	Dial            func(ctx context.Context, network, addr string) (net.Conn, error) // connects to endpoints, also for health probes; nil: over TCP
	Log             cfvlog.Logger
	Metrics         *cfvmetric.Registry
	SilenceTime     time.Duration // after which an endpoint that went down has announced another process, or is no longer announced; 0: 5 s
	LogSuccessEvery int           // logs every nth served request; 0 logs none
	LearnedCapacity bool          // places requests by the measured speed of endpoints
}

// Entry accepts requests of callers and forwards them to endpoints. It is safe for concurrent
// use.
type Entry struct {
	cfg          Config
	connPools    *connPools
	pending      *pendingAttempts
	probeClient  *http.Client
	callerServer *http.Server
	callers      *cfvhttp.ConnTracker
	listener     net.Listener // for callers
	readyServer  *http.Server
	baseContext  context.Context // of all connections of callers
	endRequests  context.CancelCauseFunc
	stopping     atomic.Bool
	stopAt       atomic.Int64 // when running requests are ended, in nanoseconds on the clock; valid while stopping
	entriesKnown atomic.Bool  // the list of entries has been passed on
	running      atomic.Int64
	speeds       *speeds
	served       atomic.Int64
	limitWarned  atomic.Int64 // configured limit of a body that was logged as too large

	mu           sync.Mutex
	dispatcher   *cfvdispatch.Dispatcher
	quarantine   *cfvlimit.Quarantine
	parts        *cfvlimit.PartQuarantine
	probed       map[cfvfleet.Incarnation]bool           // endpoints whose health is probed
	doubtfulEnds map[string][]doubtfulEnd                // by endpoint incarnation
	blockedParts map[cfvlimit.PartKey]bool               // as last logged
	retryBudgets map[string]*cfvlimit.RetryWindow        // by service
	baselines    map[string]*cfvdispatch.FailureBaseline // by route
	keepAlives   map[string]time.Duration                // idle timeout that endpoints announced, by service
	grantTable   *cfvdispatch.GrantTable
	poolSizers   map[string]*cfvdispatch.PoolSizer // by service
	admissions   map[string]*cfvdispatch.Admission // by service; used while this entry is the placer
	rollouts     *cfvrollout.Counter
	exposure     *cfvrollout.Exposure
	notices      *cfvnotice.Board
	seat         cfvrollout.Seat
	entryCount   int
	durations    map[string]*cfvlimit.Durations // by route

	reach      reach
	handovers  *handovers
	handedOver atomic.Int64 // requests of peers that are served here
	takesNone  atomic.Bool  // no more requests of peers, as the entry is about to end
}

// New returns an entry. Start makes it listen.
func New(cfg Config) *Entry {
	if cfg.SilenceTime == 0 {
		cfg.SilenceTime = defaultSilence
	}
	e := &Entry{
		cfg: cfg, dispatcher: cfvdispatch.New(cfg.Name), quarantine: cfvlimit.NewQuarantineWith(cfvlimit.QuarantineConfig{CrashThreshold: quarantineCrashes, Duration: suspicionTTL, AnsweredTTL: answeredTTL}),
		parts:  cfvlimit.NewPartQuarantine(cfvlimit.DefaultPartConfig()),
		probed: make(map[cfvfleet.Incarnation]bool), doubtfulEnds: make(map[string][]doubtfulEnd),
		retryBudgets: make(map[string]*cfvlimit.RetryWindow), baselines: make(map[string]*cfvdispatch.FailureBaseline),
		keepAlives: make(map[string]time.Duration), poolSizers: make(map[string]*cfvdispatch.PoolSizer), admissions: make(map[string]*cfvdispatch.Admission), entryCount: 1, grantTable: cfvdispatch.NewGrantTable(),
		durations: make(map[string]*cfvlimit.Durations),
		rollouts:  cfvrollout.NewCounter(), exposure: cfvrollout.NewExposure(cfg.Limits.Exposure), notices: cfvnotice.NewBoard(cfg.Name, time.Now().UnixMicro()),
	}
	e.pending, e.speeds = newPendingAttempts(), newSpeeds()
	e.baseContext, e.endRequests = context.WithCancelCause(context.Background())
	e.connPools = newConnPools(cfg.Now, func() { cfg.Metrics.Count("endpoints.dials", 1) }, func(id cfvfleet.Incarnation) { go e.suspectRestart(id) }, cfg.Dial, cfg.BodyBudget)
	e.reach.reach, e.handovers = cfvreach.New(), newHandovers(cfg.DialPeer, cfg.Now, cfg.BodyBudget)
	e.connPools.onDialEnd = e.recordDial
	probeDial := cfg.Dial
	if probeDial == nil {
		probeDial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext
	}
	e.probeClient = &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DialContext: probeDial, DisableKeepAlives: true, MaxResponseHeaderBytes: maxProbeHeaderBytes}}
	return e
}

// stateFresh returns the age of the state and whether it is recent enough to serve requests
// that need an API key.
func (e *Entry) stateFresh() (age time.Duration, ok bool) {
	age, known := e.cfg.State.Age()
	if !known {
		return 0, false
	}
	return age, e.cfg.Limits.MaxRevokeDelay <= 0 || age < e.cfg.Limits.MaxRevokeDelay-revocationMargin
}

// revocationMargin covers clock drift and the time between the check and the send.
const revocationMargin = 400 * time.Millisecond

// index returns the index of the current configuration; nil if none is known yet.
func (e *Entry) index() (x *cfvfleet.Index) {
	e.cfg.State.Read(func(v *cfvfleet.View) { x = v.Index() })
	return x
}

// cleanUp removes expired suspicions and the data about endpoints and entries that are gone.
func (e *Entry) cleanUp() {
	e.updateEntries()
	var all []*cfvfleet.Endpoint
	e.cfg.State.Read(func(v *cfvfleet.View) { all = v.All() })
	e.mu.Lock()
	e.dispatcher.Retain(e.cfg.Now(), all)
	e.notices.Retain(e.cfg.Now(), all)
	e.quarantine.Expire(time.Now())
	e.mu.Unlock()
	e.cleanUpParts()
	e.cfg.Metrics.Gauge("bodies.reservedBytes", e.cfg.BodyBudget.Used())
	e.connPools.retain(all)
}

// updateEntries adapts what all entries share, such as the retry budgets, to the list of entries.
func (e *Entry) updateEntries() {
	var names []string
	e.cfg.State.Read(func(v *cfvfleet.View) {
		for _, n := range v.Roster().Entries() {
			names = append(names, n.Name)
		}
	})
	e.entriesKnown.Store(len(names) > 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetEntries(names)
	e.notices.SetEntries(names)
	e.entryCount = max(len(names), 1)
	e.seat = cfvrollout.SeatOf(e.cfg.Name, names)
	for _, b := range e.retryBudgets {
		b.SetSlack(e.retrySlack())
	}
}

// retrySlack returns this entry's share of the retries that are allowed in addition to the
// ratio. It leaves one share for entries that are not known yet.
func (e *Entry) retrySlack() float64 { return e.cfg.Limits.RetrySlack / float64(e.entryCount+1) }

// updatePeerLoads passes the load of the peers to the dispatcher and their demand to the pool
// sizers.
func (e *Entry) updatePeerLoads() {
	loads, demands := e.cfg.PeerLoads()
	e.updateSpeeds(loads)
	var all []*cfvfleet.Endpoint
	e.cfg.State.Read(func(v *cfvfleet.View) { all = v.All() })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.SetPeerLoads(loads)
	for _, ep := range all {
		e.notices.Balance(e.cfg.Now(), ep, e.dispatcher.TotalLoad(ep.ID).Running)
	}
	for service, d := range demands {
		e.poolSizer(service).SetPeerDemand(d)
	}
}

// poolSizer returns the pool sizer of a service. The caller must hold e.mu.
func (e *Entry) poolSizer(service string) *cfvdispatch.PoolSizer {
	sizer := e.poolSizers[service]
	if sizer == nil {
		sizer = &cfvdispatch.PoolSizer{}
		e.poolSizers[service] = sizer
	}
	return sizer
}

// admission returns the admission of a service. The caller must hold e.mu.
func (e *Entry) admission(service string) *cfvdispatch.Admission {
	a := e.admissions[service]
	if a == nil {
		a = cfvdispatch.NewAdmission()
		e.admissions[service] = a
	}
	return a
}

// ShortPool returns the endpoints of all services that are in a short-prompt pool.
func (e *Entry) ShortPool() map[string]bool {
	usable := make(map[string][]*cfvfleet.Endpoint)
	e.cfg.State.Read(func(v *cfvfleet.View) {
		for _, ep := range v.All() {
			if usable[ep.Service] == nil {
				usable[ep.Service] = v.Serving(ep.Service, false)
			}
		}
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]bool)
	for service, sizer := range e.poolSizers {
		if size := sizer.ShortPoolSize(len(usable[service])); size > 0 {
			maps.Copy(out, cfvdispatch.ShortPool(usable[service], size))
		}
	}
	return out
}

// Demands returns the recent demand of this entry's callers by service.
func (e *Entry) Demands() map[string]cfvdispatch.Demand {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]cfvdispatch.Demand)
	for service, sizer := range e.poolSizers {
		out[service] = sizer.LocalDemand(e.cfg.Now())
	}
	return out
}

// Loads returns the running work of this entry by endpoint, and the speed that it measured there.
func (e *Entry) Loads() map[string]cfvdispatch.Load {
	e.mu.Lock()
	loads := e.dispatcher.LocalLoads()
	e.mu.Unlock()
	if e.cfg.LearnedCapacity {
		for id, m := range e.speeds.measures(e.cfg.Now()) {
			l := loads[id]
			l.Speed = m
			loads[id] = l
		}
	}
	return loads
}

// ObserveWeights records the version of a model's weights that an endpoint was seen to run.
func (e *Entry) ObserveWeights(ep *cfvfleet.Endpoint, model string, version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dispatcher.RecordWeights(ep, model, version)
}

// WeightsVersion returns the last known version of a model's weights at an endpoint.
func (e *Entry) WeightsVersion(ep *cfvfleet.Endpoint, model string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher.WeightsVersion(ep, model)
}

// retryBudget returns the retry budget of a service. The caller must hold e.mu.
func (e *Entry) retryBudget(service string) *cfvlimit.RetryWindow {
	b := e.retryBudgets[service]
	if b == nil {
		b = cfvlimit.NewRetryWindow(cfvlimit.RetryConfig{
			Ratio: e.cfg.Limits.RetryRatio * retryRatioShare, Slack: e.retrySlack(), Window: e.cfg.Limits.RetryWindow,
		})
		e.retryBudgets[service] = b
	}
	return b
}

// retryRatioShare is the share of the allowed retry ratio that entries use. Endpoints that
// reject a request count its retry too.
const retryRatioShare = 0.9

// takeRetry takes one retry from the budget of a service and reports whether there was one.
func (e *Entry) takeRetry(service string, reason cfverror.Reason) bool {
	e.mu.Lock()
	ok := e.retryBudget(service).TakeRetry(e.cfg.Now())
	e.mu.Unlock()
	if ok {
		e.cfg.Metrics.CountRetry(reason)
	}
	return ok
}
