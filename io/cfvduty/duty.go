// Package cfvduty lets one entry at a time give orders to endpoints: to load newly named
// weights, and to free cache parts of replaced ones. The duty is a lease in the platform's
// store; the revision of the item that names its holder is the fencing token.
package cfvduty

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
	"coltsfootvalve/io/cfvbelief"
)

// Figures of the duty.
const (
	step        = 100 * time.Millisecond
	leaseTime   = 2500 * time.Millisecond
	renewEvery  = 500 * time.Millisecond
	orderWithin = 1 * time.Second                                                   // orders are given only so long after a renewal was sent that succeeded
	contention  = 500 * time.Millisecond                                            // hubs wait up to this long before they take a free duty
	leafDelay   = 1 * time.Second                                                   // other entries wait this much longer
	beliefLag   = 4600 * time.Millisecond                                           // an entry that hears of new weights later serves nothing
	freeMargin  = 300 * time.Millisecond                                            // clocks differ, and news travel
	freeAfter   = beliefLag + cfvparts.OldFetches + cfvparts.FetchTime + freeMargin // no fetch of a replaced part can be under way, whoever began it
	freeLoaded  = cfvparts.FetchTime + freeMargin                                   // nor so long after all endpoints run the new weights
	freeEvery   = 500 * time.Millisecond
	freeAtOnce  = 1000 // parts a call; about 40 bytes each
	loadsShare  = 6    // one in so many endpoints loads at once
	leastLoads  = 2
)

// Store is what the duty needs of the platform's store.
type Store struct {
	Grant    func(ctx context.Context, ttl time.Duration) (lease int64, granted time.Duration, err error)
	Renew    func(ctx context.Context, lease int64) error
	End      func(ctx context.Context, lease int64) error
	Take     func(ctx context.Context, lease int64, holder []byte) (revision int64, err error)
	Record   func(ctx context.Context, fence int64, record []byte) error
	NoLease  error
	Conflict error
}

// Config configures a Duty.
type Config struct {
	Self      string
	Store     Store
	Holder    func() (cfvmirror.Record, bool) // the item that names the holder
	LastGiver func() (cfvmirror.Record, bool) // the item that Record writes
	Hub       func() bool
	Belief    *cfvbelief.Belief
	Version   func(e *cfvfleet.Endpoint, model string) int64
	Loaded    func(e *cfvfleet.Endpoint, model string, version int64)
	Running   func(id string) int
	Short     func() map[string]bool // endpoints that serve short prompts
	Report    func(ctx context.Context, addr, id string) (cfvweights.Report, error)
	Load      func(ctx context.Context, addr, id string, o cfvweights.Order) (cfvweights.Result, error)
	Free      func(ctx context.Context, addr string, epoch int64, parts []cfvparts.Key) error
	Catalog   func(func(c *cfvparts.Catalog))
	Pause     time.Duration // between the orders of two givers
	Now       func() time.Duration
	Log       cfvlog.Logger
	Count     func(name string, n int64)
}

// Duty takes the duty when it is free and does it while it holds it.
type Duty struct {
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
	loadedAt  map[cfvfleet.NamedWeights]time.Duration // since when all endpoints run the weights
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
func New(cfg Config) *Duty {
	return &Duty{cfg: cfg, plans: make(map[string]*cfvweights.Plan), results: make(chan result, maxResults), loadedAt: make(map[cfvfleet.NamedWeights]time.Duration)}
}

// Run takes and does the duty until the context ends, and then gives it up.
func (d *Duty) Run(ctx context.Context) {
	cfvclock.Every(ctx, step, d.turn)
	if d.fence == 0 {
		return
	}
	if d.ordered > 0 && d.cfg.Now()-d.ordered < d.cfg.Pause {
		d.cfg.Log.Say("the duty runs out, since orders were given just now", "fence", d.fence)
		return
	}
	end, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	if err := d.cfg.Store.End(end, d.lease); err != nil {
		d.cfg.Log.Alarm("the duty could not be given up and runs out", "error", err.Error())
		return
	}
	d.cfg.Log.Say("the duty was given up", "fence", d.fence)
}

func (d *Duty) turn(ctx context.Context) {
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
func (d *Duty) holds() bool { return d.fence != 0 && d.cfg.Now() < d.ordersUntil() }

// ordersUntil returns when orders end unless the lease is renewed. The next holder counts on
// it: it takes the duty when the lease has run out, and waits for the rest of the pause.
func (d *Duty) ordersUntil() time.Duration { return d.until - leaseTime + orderWithin }

// tryTake takes the duty if nobody holds it.
func (d *Duty) tryTake(ctx context.Context) {
	now := d.cfg.Now()
	age, known := d.cfg.Belief.Age()
	if _, held := d.cfg.Holder(); held || !known || age > leaseTime {
		d.freeSince = 0
		return
	}
	if d.freeSince == 0 {
		d.freeSince, d.delay = now, time.Duration(rand.Int64N(int64(contention)))
		if !d.cfg.Hub() {
			d.delay += leafDelay
		}
	}
	if now-d.freeSince < d.delay {
		return
	}
	d.freeSince = 0
	lease, ttl, err := d.cfg.Store.Grant(ctx, leaseTime)
	if err != nil {
		d.cfg.Log.Alarm("no lease for the duty", "error", err.Error())
		return
	}
	holder, err := json.Marshal(d.cfg.Self)
	if err != nil {
		d.cfg.Log.Alarm("the duty's item can't be written", "error", err.Error())
		return
	}
	fence, err := d.cfg.Store.Take(ctx, lease, holder)
	if err != nil {
		d.cfg.Log.Say("the duty was not taken", "error", err.Error())
		if end := d.cfg.Store.End(ctx, lease); end != nil {
			d.cfg.Log.Alarm("a lease could not be given up and runs out", "error", end.Error())
		}
		return
	}
	d.lease, d.fence, d.until, d.renewed = lease, fence, now+ttl, now
	d.recorded = make(map[string]int64)
	d.plans = make(map[string]*cfvweights.Plan)
	d.mayGive = now + d.pause(now)
	d.cfg.Log.Say("the duty was taken", "fence", fence, "ordersInMillis", (d.mayGive - now).Milliseconds())
}

// pause returns how long to wait since the holder before may have given orders just now.
func (d *Duty) pause(time.Duration) time.Duration {
	item, ok := d.cfg.LastGiver()
	if !ok {
		return 0
	}
	var r record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		d.cfg.Log.Alarm("the last giver's item can't be read", "error", err.Error())
		return max(d.cfg.Pause-(leaseTime-orderWithin), 0)
	}
	if r.Giver == d.cfg.Self {
		return 0
	}
	unfinished := false
	d.cfg.Belief.Read(func(v *cfvfleet.View) {
		for model, version := range r.Versions {
			// Orders are given only for weights that a record names.
			unfinished = unfinished || d.cfg.Now()-v.Wanted(model).Since < d.cfg.Pause+leaseTime
			for _, e := range v.All() {
				if _, has := e.Weights[model]; has && d.cfg.Version(e, model) < version {
					unfinished = true
				}
			}
		}
	})
	if unfinished {
		return max(d.cfg.Pause-(leaseTime-orderWithin), 0)
	}
	return 0
}

// renew extends the lease, or notes that it has ended.
func (d *Duty) renew(ctx context.Context) {
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
	case errors.Is(err, d.cfg.Store.NoLease):
		d.lose("the store no longer knows the lease")
	case err != nil:
		d.cfg.Log.Alarm("the duty could not be renewed", "error", err.Error(), "leftMillis", (d.until - now).Milliseconds())
		d.renewed = now - renewEvery + step
	default:
		d.renewed, d.until = now, now+leaseTime
	}
}

func (d *Duty) lose(why string) {
	d.cfg.Log.Alarm("the duty was lost", "fence", d.fence, "why", why)
	d.fence = 0
}
