// Package cfvleader elects one entry as the leader. The leader orders endpoints to load the
// desired weights and frees cache parts of replaced weights. Leadership is a lease in the
// platform's key-value store. The revision of the record that names the leader is the fencing
// token.
package cfvleader

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/core/cfvweights"
	"coltsfootvalve/io/cfvstate"
)

// Timeouts and limits.
const (
	tickInterval  = 100 * time.Millisecond
	leaseTTL      = 1800 * time.Millisecond
	renewInterval = 400 * time.Millisecond
	orderWindow   = 800 * time.Millisecond // orders are sent only this long after the start of a successful renewal

	maxVacancyAge    = 4 * time.Second        // age of the state up to which it shows a vacancy; the store checks it once more
	maxAcquireJitter = 300 * time.Millisecond // relay entries wait up to this long before they acquire a vacant leadership
	nonRelayDelay    = 1 * time.Second        // other entries wait this much longer
	youngAge         = 2 * time.Second        // entries that started within this time wait longer, since they know no times from before
	youngDelay       = 500 * time.Millisecond

	maxStateLag = 4600 * time.Millisecond // an entry that receives new desired weights later than this serves no requests
	freeMargin  = 300 * time.Millisecond  // for clock differences and the propagation of updates
	// freeDelay is the time after which no entry's fetch of a replaced part can be in progress.
	freeDelay = maxStateLag + cfvparts.ReplacedWeightsFetchPeriod + cfvparts.FetchTimeout + freeMargin
	// loadedFreeDelay is the same, counted from when all endpoints run the new weights.
	loadedFreeDelay = cfvparts.FetchTimeout + freeMargin
	// scopeFreeDelay is the same, counted from when the configuration stopped using a cache scope.
	scopeFreeDelay = maxStateLag + cfvparts.FetchTimeout + freeMargin
	freeInterval   = 500 * time.Millisecond
	freeBatchSize  = 1000 // parts per call; about 40 bytes each

	endpointsPerLoad   = 6 // one in this many endpoints loads at a time
	minConcurrentLoads = 2
)

// Store holds the operations of the platform's key-value store that the leader needs.
type Store struct {
	Grant         func(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	Renew         func(ctx context.Context, lease int64) error
	Revoke        func(ctx context.Context, lease int64) error
	Acquire       func(ctx context.Context, lease int64, leader []byte) (revision int64, err error)
	RecordOrders  func(ctx context.Context, fencingToken int64, record []byte) error
	RemoveEntry   func(ctx context.Context, fencingToken int64, name string) error // removes the announcement of an entry
	LeaseNotFound error
	Conflict      error
}

// Config configures a Leader.
type Config struct {
	Self             string
	Store            Store
	CurrentLeader    func() (cfvmirror.Record, bool) // the record that names the leader
	LastLeader       func() (cfvmirror.Record, bool) // the record that Store.RecordOrders writes
	IsRelay          func() bool
	State            *cfvstate.State
	LoadedVersion    func(e *cfvfleet.Endpoint, model string) int64
	SetLoadedVersion func(e *cfvfleet.Endpoint, model string, version int64)
	RunningRequests  func(id string) int
	ShortPool        func() map[string]bool // endpoints of the short-prompt pool
	LoadStatus       func(ctx context.Context, addr, id string) (cfvweights.LoadStatus, error)
	LoadWeights      func(ctx context.Context, addr, id string, o cfvweights.Order) (cfvweights.Result, error)
	FreeParts        func(ctx context.Context, addr string, epoch, until int64, parts []cfvparts.Key) error // until: on the store's clock in milliseconds; 0: no limit
	Catalog          func(func(c *cfvparts.Catalog))
	Rollouts         func(ctx context.Context, fencingToken int64) // carries out roll-outs; it must not wait
	ReportUsage      func(ctx context.Context, fencingToken int64) // reports usage to the platform; it must not wait; nil: usage is not reported
	GoneEntries      func() []string                               // entries that will probably not return
	CutOff           func() bool                                   // reports whether this entry is cut off from the endpoints, which it can't order then; nil: it never is
	HandoverPause    time.Duration                                 // minimum time between the orders of two leaders; 0: endpoints check fencing tokens, and none is needed
	Now              func() time.Duration
	Log              cfvlog.Logger
	Count            func(name string, n int64)
}

// Leader acquires the leadership when it is vacant, and sends orders while it is the leader.
type Leader struct {
	cfg              Config
	lease            int64
	fencingToken     int64 // 0 if not the leader
	leaseExpires     time.Duration
	renewedAt        time.Duration
	ordersFrom       time.Duration // orders of the previous leader may be in progress until then
	startedAt        time.Duration
	vacantSince      time.Duration
	lastOrderAt      time.Duration // time of the last order; 0 if none was sent
	acquireDelay     time.Duration
	recordedVersions map[string]int64 // versions recorded with this fencing token, by model
	plans            map[string]*cfvweights.Plan
	lastFreeAt       time.Duration
	loadedSince      map[cfvfleet.DesiredWeights]time.Duration // time since which all endpoints run the weights
	unusedScopes     unusedScopes
	removals         removals
	asOf             cfvmirror.Revision // of the state at the last tick; 0: there was none
	restoredAt       time.Duration      // when this entry learned that the key-value store was restored; 0: never
	results          chan orderResult
}

// resultBufferSize is the capacity of the results channel. At most this many orders are in progress.
const resultBufferSize = 1024

// orderRecord names the leader that sends orders and the versions they are for.
type orderRecord struct {
	LeaderName string           `json:"giver"`
	Versions   map[string]int64 `json:"versions"`
}

// New returns a Leader that has not acquired the leadership.
func New(cfg Config) *Leader {
	if cfg.CutOff == nil {
		cfg.CutOff = func() bool { return false }
	}
	return &Leader{cfg: cfg, plans: make(map[string]*cfvweights.Plan), results: make(chan orderResult, resultBufferSize), loadedSince: make(map[cfvfleet.DesiredWeights]time.Duration)}
}

// Run takes part in the election and sends orders while it is the leader, until the context
// ends. Then it releases the leadership, unless orders were sent just before.
func (l *Leader) Run(ctx context.Context) {
	l.startedAt = l.cfg.Now()
	cfvclock.Every(ctx, tickInterval, l.tick)
	l.resign(ctx)
}

// resign releases the leadership, unless orders were sent just before: the next leader relies on the rest of the lease.
func (l *Leader) resign(ctx context.Context) {
	if l.fencingToken == 0 {
		return
	}
	fencingToken := l.fencingToken
	l.fencingToken = 0
	if l.lastOrderAt > 0 && l.cfg.Now()-l.lastOrderAt < l.cfg.HandoverPause {
		l.cfg.Log.Infow("orders were sent just now, letting the leadership expire", "fence", fencingToken)
		return
	}
	releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := l.cfg.Store.Revoke(releaseCtx, l.lease); err != nil {
		l.cfg.Log.Warnw("could not release the leadership, letting it expire", "error", err.Error())
		return
	}
	l.cfg.Log.Infow("released the leadership", "fence", fencingToken)
}

func (l *Leader) tick(ctx context.Context) {
	l.observeHistory()
	if l.cfg.CutOff() {
		l.vacantSince = 0
		if l.fencingToken != 0 {
			l.cfg.Log.Warnw("giving up the leadership, since no endpoint can be reached", "fence", l.fencingToken)
			l.resign(ctx)
		}
		return
	}
	if l.fencingToken == 0 {
		l.tryAcquire(ctx)
		return
	}
	l.renew(ctx)
	l.processResults()
	if cfvmirror.Revision(l.fencingToken).History() > l.asOf.History() { // the state is from before the restore after which this entry became the leader
		return
	}
	if l.fencingToken != 0 && l.cfg.Now() < l.leaseExpires {
		l.cfg.Rollouts(ctx, l.fencingToken)
		if l.cfg.ReportUsage != nil {
			l.cfg.ReportUsage(ctx, l.fencingToken)
		}
	}
	if !l.canOrder() {
		return
	}
	l.removeEntries(ctx)
	l.sendOrders(ctx)
	l.freeParts(ctx)
}

// observeHistory notices that the key-value store was restored from an older copy. The lease is gone then.
func (l *Leader) observeHistory() {
	before := l.asOf
	l.asOf = l.cfg.State.AsOf()
	if before == 0 || l.asOf.History() <= before.History() {
		return
	}
	l.restoredAt = l.cfg.Now()
	if l.fencingToken != 0 && cfvmirror.Revision(l.fencingToken).History() < l.asOf.History() {
		l.stepDown("the key-value store was restored from an older copy")
	}
}

// canOrder reports whether orders may be sent.
func (l *Leader) canOrder() bool { return l.fencingToken != 0 && l.cfg.Now() < l.orderDeadline() }

// orderDeadline returns the time from which no orders are sent unless the lease is renewed. The
// next leader relies on it: it acquires the leadership when the lease has expired, and waits for
// the rest of the handover pause.
func (l *Leader) orderDeadline() time.Duration { return l.leaseExpires - leaseTTL + orderWindow }

// tryAcquire acquires the leadership if there is no leader.
func (l *Leader) tryAcquire(ctx context.Context) {
	now := l.cfg.Now()
	age, known := l.cfg.State.Age()
	if _, held := l.cfg.CurrentLeader(); held || !known || age > maxVacancyAge {
		l.vacantSince = 0
		return
	}
	if l.vacantSince == 0 {
		l.vacantSince, l.acquireDelay = now, time.Duration(rand.Int64N(int64(maxAcquireJitter)))
		if !l.cfg.IsRelay() {
			l.acquireDelay += nonRelayDelay
		}
		if now-l.startedAt < youngAge {
			l.acquireDelay += youngDelay
		}
	}
	if now-l.vacantSince < l.acquireDelay {
		return
	}
	l.vacantSince = 0
	lease, ttl, err := l.cfg.Store.Grant(ctx, leaseTTL)
	if err != nil {
		l.cfg.Log.Warnw("could not get a lease for the leadership", "error", err.Error())
		return
	}
	self, err := json.Marshal(l.cfg.Self)
	if err != nil {
		l.cfg.Log.Warnw("could not encode the leader record", "error", err.Error())
		return
	}
	fencingToken, err := l.cfg.Store.Acquire(ctx, lease, self)
	if err != nil {
		l.cfg.Log.Infow("could not acquire the leadership", "error", err.Error())
		if revokeErr := l.cfg.Store.Revoke(ctx, lease); revokeErr != nil {
			l.cfg.Log.Warnw("could not revoke the lease, letting it expire", "error", revokeErr.Error())
		}
		return
	}
	l.lease, l.fencingToken, l.leaseExpires, l.renewedAt = lease, fencingToken, now+ttl, now
	l.recordedVersions = make(map[string]int64)
	l.plans = make(map[string]*cfvweights.Plan)
	l.ordersFrom = now + l.handoverWait(now)
	l.cfg.Log.Infow("acquired the leadership", "fence", fencingToken, "ordersInMillis", (l.ordersFrom - now).Milliseconds())
}

// handoverWait returns how long to wait because the previous leader may have sent orders just
// before.
func (l *Leader) handoverWait(now time.Duration) time.Duration {
	// The previous lease ended with a restore, of which its holder learned at the next renewal.
	if wait := l.restoredAt + orderWindow + l.cfg.HandoverPause - now; l.cfg.HandoverPause > 0 && l.restoredAt > 0 && wait > 0 {
		return wait
	}
	last, ok := l.cfg.LastLeader()
	if !ok {
		return 0
	}
	var r orderRecord
	if err := json.Unmarshal(last.Value, &r); err != nil {
		l.cfg.Log.Warnw("could not decode the record of the last leader", "error", err.Error())
		return max(l.cfg.HandoverPause-(leaseTTL-orderWindow), 0)
	}
	if r.LeaderName == l.cfg.Self {
		return 0
	}
	unfinished := false
	l.cfg.State.Read(func(v *cfvfleet.View) {
		for model, version := range r.Versions {
			// Orders are sent only for versions in the record.
			unfinished = unfinished || l.cfg.Now()-v.Desired(model).Since < l.cfg.HandoverPause+leaseTTL
			for _, e := range v.All() {
				if _, has := e.Weights[model]; has && l.cfg.LoadedVersion(e, model) < version {
					unfinished = true
				}
			}
		}
	})
	if unfinished {
		return max(l.cfg.HandoverPause-(leaseTTL-orderWindow), 0)
	}
	return 0
}

// renew renews the lease, or steps down if it has ended.
func (l *Leader) renew(ctx context.Context) {
	now := l.cfg.Now()
	if now >= l.leaseExpires {
		l.stepDown("the lease expired")
		return
	}
	if now-l.renewedAt < renewInterval {
		return
	}
	err := l.cfg.Store.Renew(ctx, l.lease)
	switch {
	case errors.Is(err, l.cfg.Store.LeaseNotFound):
		l.stepDown("the lease no longer exists")
	case err != nil:
		l.cfg.Log.Warnw("could not renew the leadership", "error", err.Error(), "leftMillis", (l.leaseExpires - now).Milliseconds())
		l.renewedAt = now - renewInterval + tickInterval
	default:
		l.renewedAt, l.leaseExpires = now, now+leaseTTL
	}
}

func (l *Leader) stepDown(reason string) {
	l.cfg.Log.Warnw("lost the leadership", "fence", l.fencingToken, "why", reason)
	l.fencingToken = 0
}
