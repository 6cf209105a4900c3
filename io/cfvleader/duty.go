// Package cfvleader lets one entry at a time give orders to endpoints: to load newly named
// weights, and to free cache parts of replaced ones. The duty is a lease in the platform's
// store; the revision of the item that names its holder is the fencing token.
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

// Figures of the duty.
const (
	step        = 100 * time.Millisecond
	leaseTime   = 2500 * time.Millisecond
	renewEvery  = 500 * time.Millisecond
	orderWithin = 1 * time.Second                                                                      // orders are given only so long after a renewal was sent that succeeded
	contention  = 500 * time.Millisecond                                                               // hubs wait up to this long before they take a free duty
	leafDelay   = 1 * time.Second                                                                      // other entries wait this much longer
	beliefLag   = 4600 * time.Millisecond                                                              // an entry that hears of new weights later serves nothing
	freeMargin  = 300 * time.Millisecond                                                               // clocks differ, and news travel
	freeAfter   = beliefLag + cfvparts.ReplacedWeightsFetchPeriod + cfvparts.FetchTimeout + freeMargin // no fetch of a replaced part can be under way, whoever began it
	freeLoaded  = cfvparts.FetchTimeout + freeMargin                                                   // nor so long after all endpoints run the new weights
	freeEvery   = 500 * time.Millisecond
	freeAtOnce  = 1000 // parts a call; about 40 bytes each
	loadsShare  = 6    // one in so many endpoints loads at once
	leastLoads  = 2
)

// Store is what the duty needs of the platform's store.
type Store struct {
	Grant         func(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	Renew         func(ctx context.Context, lease int64) error
	Revoke        func(ctx context.Context, lease int64) error
	Acquire       func(ctx context.Context, lease int64, holder []byte) (revision int64, err error)
	RecordOrders  func(ctx context.Context, fence int64, record []byte) error
	LeaseNotFound error
	Conflict      error
}

// Config configures a Duty.
type Config struct {
	Self             string
	Store            Store
	CurrentLeader    func() (cfvmirror.Record, bool) // the item that names the holder
	LastLeader       func() (cfvmirror.Record, bool) // the item that Record writes
	IsRelay          func() bool
	State            *cfvstate.State
	LoadedVersion    func(e *cfvfleet.Endpoint, model string) int64
	SetLoadedVersion func(e *cfvfleet.Endpoint, model string, version int64)
	RunningRequests  func(id string) int
	ShortPool        func() map[string]bool // endpoints that serve short prompts
	LoadStatus       func(ctx context.Context, addr, id string) (cfvweights.LoadStatus, error)
	LoadWeights      func(ctx context.Context, addr, id string, o cfvweights.Order) (cfvweights.Result, error)
	FreeParts        func(ctx context.Context, addr string, epoch int64, parts []cfvparts.Key) error
	Catalog          func(func(c *cfvparts.Catalog))
	HandoverPause    time.Duration // between the orders of two givers
	Now              func() time.Duration
	Log              cfvlog.Logger
	Count            func(name string, n int64)
}

// Duty takes the duty when it is free and does it while it holds it.
type Leader struct {
	cfg       Config
	lease     int64
	fence     int64 // 0: not held
	until     time.Duration
	renewed   time.Duration
	mayGive   time.Duration // orders of the holder before may still be under way until then
	freeSince time.Duration
	ordered   time.Duration // when the last order was given; 0: none was
	delay     time.Duration
	recorded  map[string]int64 // versions for which a record was written under this fence
	plans     map[string]*cfvweights.Plan
	freed     time.Duration
	loadedAt  map[cfvfleet.DesiredWeights]time.Duration // since when all endpoints run the weights
	results   chan result
}

// maxResults is how many results wait to be read; more orders are never under way.
const maxResults = 1024

// record names who gives orders for which versions.
type record struct {
	Giver    string           `json:"giver"`
	Versions map[string]int64 `json:"versions"`
}

// New returns a duty that is not held.
func New(cfg Config) *Leader {
	return &Leader{cfg: cfg, plans: make(map[string]*cfvweights.Plan), results: make(chan result, maxResults), loadedAt: make(map[cfvfleet.DesiredWeights]time.Duration)}
}

// Run takes and does the duty until the context ends, and then gives it up.
func (d *Leader) Run(ctx context.Context) {
	cfvclock.Every(ctx, step, d.turn)
	if d.fence == 0 {
		return
	}
	if d.ordered > 0 && d.cfg.Now()-d.ordered < d.cfg.HandoverPause {
		d.cfg.Log.Infow("the duty runs out, since orders were given just now", "fence", d.fence)
		return
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := d.cfg.Store.Revoke(end, d.lease); err != nil {
		d.cfg.Log.Warnw("the duty could not be given up and runs out", "error", err.Error())
		return
	}
	d.cfg.Log.Infow("the duty was given up", "fence", d.fence)
}

func (d *Leader) turn(ctx context.Context) {
	if d.fence == 0 {
		d.tryTake(ctx)
		return
	}
	d.renew(ctx)
	d.takeResults()
	if !d.holds() {
		return
	}
	d.giveOrders(ctx)
	d.freeParts(ctx)
}

// holds reports whether orders may be given.
func (d *Leader) holds() bool { return d.fence != 0 && d.cfg.Now() < d.ordersUntil() }

// ordersUntil returns when orders end unless the lease is renewed. The next holder counts on
// it: it takes the duty when the lease has run out, and waits for the rest of the pause.
func (d *Leader) ordersUntil() time.Duration { return d.until - leaseTime + orderWithin }

// tryTake takes the duty if nobody holds it.
func (d *Leader) tryTake(ctx context.Context) {
	now := d.cfg.Now()
	age, known := d.cfg.State.Age()
	if _, held := d.cfg.CurrentLeader(); held || !known || age > leaseTime {
		d.freeSince = 0
		return
	}
	if d.freeSince == 0 {
		d.freeSince, d.delay = now, time.Duration(rand.Int64N(int64(contention)))
		if !d.cfg.IsRelay() {
			d.delay += leafDelay
		}
	}
	if now-d.freeSince < d.delay {
		return
	}
	d.freeSince = 0
	lease, ttl, err := d.cfg.Store.Grant(ctx, leaseTime)
	if err != nil {
		d.cfg.Log.Warnw("no lease for the duty", "error", err.Error())
		return
	}
	holder, err := json.Marshal(d.cfg.Self)
	if err != nil {
		d.cfg.Log.Warnw("the duty's item can't be written", "error", err.Error())
		return
	}
	fence, err := d.cfg.Store.Acquire(ctx, lease, holder)
	if err != nil {
		d.cfg.Log.Infow("the duty was not taken", "error", err.Error())
		if end := d.cfg.Store.Revoke(ctx, lease); end != nil {
			d.cfg.Log.Warnw("a lease could not be given up and runs out", "error", end.Error())
		}
		return
	}
	d.lease, d.fence, d.until, d.renewed = lease, fence, now+ttl, now
	d.recorded = make(map[string]int64)
	d.plans = make(map[string]*cfvweights.Plan)
	d.mayGive = now + d.pause(now)
	d.cfg.Log.Infow("the duty was taken", "fence", fence, "ordersInMillis", (d.mayGive - now).Milliseconds())
}

// pause returns how long to wait since the holder before may have given orders just now.
func (d *Leader) pause(time.Duration) time.Duration {
	item, ok := d.cfg.LastLeader()
	if !ok {
		return 0
	}
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		d.cfg.Log.Warnw("the last giver's item can't be read", "error", err.Error())
		return max(d.cfg.HandoverPause-(leaseTime-orderWithin), 0)
	}
	if r.Giver == d.cfg.Self {
		return 0
	}
	unfinished := false
	d.cfg.State.Read(func(v *cfvfleet.View) {
		for model, version := range r.Versions {
			// Orders are given only for weights that a record names.
			unfinished = unfinished || d.cfg.Now()-v.Desired(model).Since < d.cfg.HandoverPause+leaseTime
			for _, e := range v.All() {
				if _, has := e.Weights[model]; has && d.cfg.LoadedVersion(e, model) < version {
					unfinished = true
				}
			}
		}
	})
	if unfinished {
		return max(d.cfg.HandoverPause-(leaseTime-orderWithin), 0)
	}
	return 0
}

// renew extends the lease, or notes that it has ended.
func (d *Leader) renew(ctx context.Context) {
	now := d.cfg.Now()
	if now >= d.until {
		d.lose("the lease ran out")
		return
	}
	if now-d.renewed < renewEvery {
		return
	}
	err := d.cfg.Store.Renew(ctx, d.lease)
	switch {
	case errors.Is(err, d.cfg.Store.LeaseNotFound):
		d.lose("the store no longer knows the lease")
	case err != nil:
		d.cfg.Log.Warnw("the duty could not be renewed", "error", err.Error(), "leftMillis", (d.until - now).Milliseconds())
		d.renewed = now - renewEvery + step
	default:
		d.renewed, d.until = now, now+leaseTime
	}
}

func (d *Leader) lose(why string) {
	d.cfg.Log.Warnw("the duty was lost", "fence", d.fence, "why", why)
	d.fence = 0
}
