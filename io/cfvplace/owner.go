// Package cfvplace places requests on endpoints. Its owner side grants the slots of the
// groups that the node owns. Its entry side reserves slots at the owners and tracks the slots
// in use.
package cfvplace

import (
	"context"
	"fmt"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/io/cfvmembership"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvpeer"
)

// Intervals of an owner's periodic tasks, and the timeout of its calls.
const (
	tickInterval       = 100 * time.Millisecond
	loadReportInterval = 500 * time.Millisecond
	reconcileInterval  = 15 * time.Second
	callTimeout        = 400 * time.Millisecond
)

// renewalsPerLease is how many times a lease is renewed within its duration.
const renewalsPerLease = 3

// OwnerConfig configures an Owner. Recognise calls an entry, ReadLoad an endpoint.
type OwnerConfig struct {
	Self      cfvmember.Member
	Recognise func(ctx context.Context, entry string, r cfvpeer.Recognise) (cfvslot.Inventory, error)
	ReadLoad  func(ctx context.Context, address string) (cfvopenai.LoadReport, error)
	View      func() cfvmembership.View
	Lease     time.Duration // duration of the leases that the owner requests
	Log       cfvlog.Logger
	Metrics   *cfvmetric.Registry
}

// Owner grants the slots of the groups that a node owns.
type Owner struct {
	cfg OwnerConfig

	mu            sync.Mutex
	table         *cfvslot.Table
	owned         map[string]bool
	endpoints     map[string]string // addresses by name
	leases        map[string]*cfvowner.Lease
	waiters       map[string]chan cfvslot.Decision
	leaving       map[string]bool // endpoint addresses that the VM list marks as leaving
	lastReconcile time.Time
	configCount   int
	readingLoad   map[string]bool // endpoints whose load report is being read after a lost connection
}

// NewOwner returns an owner without groups.
func NewOwner(cfg OwnerConfig) *Owner {
	return &Owner{
		cfg:         cfg,
		table:       cfvslot.New(),
		owned:       make(map[string]bool),
		leases:      make(map[string]*cfvowner.Lease),
		waiters:     make(map[string]chan cfvslot.Decision),
		leaving:     make(map[string]bool),
		readingLoad: make(map[string]bool),
	}
}

// Run runs the owner's periodic tasks until the context is done.
func (o *Owner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { cfvclock.Every(ctx, tickInterval, o.tick) })
	wg.Go(func() { cfvclock.Every(ctx, loadReportInterval, o.readLoads) })
	wg.Go(func() { cfvclock.Every(ctx, o.cfg.Lease/renewalsPerLease, o.recognise) })
	wg.Wait()
}

// Configure applies the current settings and membership.
func (o *Owner) Configure(c *cfvcatalog.Catalog, v cfvmembership.View) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configCount++
	cfg := cfvslot.TableConfig{
		Epoch:              fmt.Sprintf("%s/%d/%d", o.cfg.Self.Name, o.cfg.Self.StartMillis, o.configCount),
		Entries:            v.Listed,
		MaxRequestDuration: c.MaxRequestTimeout(),
	}
	owned := make(map[string]bool)
	o.endpoints = make(map[string]string)
	for _, s := range c.Services() {
		for _, g := range c.Groups(s.Name) {
			if g.Region != o.cfg.Self.Region || cfvowner.Owner(g.Key, v.Serving[g.Region]) != o.cfg.Self.Name {
				continue
			}
			owned[g.Key] = true
			cfg.Endpoints = append(cfg.Endpoints, o.markLeaving(g.Endpoints)...)
		}
	}
	o.setOwned(owned)
	o.deliver(o.table.Configure(time.Now(), cfg))
}

// markLeaving returns a copy of the list in which the endpoints that the VM list marks as
// leaving are drained, and records the addresses of all. The caller must hold the lock.
func (o *Owner) markLeaving(list []cfvslot.EndpointConfig) []cfvslot.EndpointConfig {
	out := append([]cfvslot.EndpointConfig(nil), list...)
	for i := range out {
		o.endpoints[out[i].Name] = out[i].Address
		if o.leaving[out[i].Address] {
			out[i].Drained = true
		}
	}
	return out
}

// setOwned sets the owned groups and logs those gained and lost. The caller must hold the
// lock.
func (o *Owner) setOwned(owned map[string]bool) {
	for g := range owned {
		if !o.owned[g] {
			o.cfg.Metrics.Count("owner.takeovers", 1)
			o.cfg.Log.Info("This node owns group %s.", g)
		}
	}
	for g := range o.owned {
		if !owned[g] {
			delete(o.leases, g)
			o.cfg.Log.Info("This node no longer owns group %s.", g)
		}
	}
	o.owned = owned
	o.cfg.Metrics.Gauge("owner.groups", int64(len(owned)))
}

// SetLeaving sets the addresses of the endpoints that the VM list marks as leaving and
// reports whether they changed.
func (o *Owner) SetLeaving(addresses map[string]bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	changed := len(addresses) != len(o.leaving)
	for a := range addresses {
		changed = changed || !o.leaving[a]
	}
	o.leaving = addresses
	return changed
}

// Reserve decides on a reservation request. A queued request waits for its decision until
// done is closed.
func (o *Owner) Reserve(done <-chan struct{}, r cfvslot.Request) cfvslot.Decision {
	ch := make(chan cfvslot.Decision, 1)
	o.mu.Lock()
	if !o.owned[r.Group] {
		o.mu.Unlock()
		return cfvslot.Decision{Slot: r.Slot, Reason: cfverror.ReasonNotOwner}
	}
	o.waiters[r.Slot] = ch
	o.deliver(o.table.Reserve(time.Now(), r))
	o.mu.Unlock()
	select {
	case d := <-ch:
		return d
	case <-done:
		o.Release([]cfvslot.Release{{Slot: r.Slot}})
		o.mu.Lock()
		delete(o.waiters, r.Slot)
		o.mu.Unlock()
		return cfvslot.Decision{Slot: r.Slot, Reason: cfverror.ReasonCallerGone}
	}
}

// deliver sends decisions to the calls of Reserve that wait for them. The caller must hold
// the lock.
func (o *Owner) deliver(list []cfvslot.Decision) {
	for _, d := range list {
		if d.Grant == nil {
			o.cfg.Metrics.Count("owner.refused."+string(d.Reason), 1)
		} else {
			o.cfg.Metrics.Count("owner.granted", 1)
		}
		if ch, ok := o.waiters[d.Slot]; ok {
			delete(o.waiters, d.Slot)
			ch <- d
		}
	}
}

// Release frees slots. It also reads the load reports of endpoints to which a connection was
// lost, without waiting for the next interval.
func (o *Owner) Release(list []cfvslot.Release) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for _, r := range list {
		o.deliver(o.table.Release(now, r))
	}
	for _, name := range o.table.AwaitingLoadReport() {
		if !o.readingLoad[name] {
			o.readingLoad[name] = true
			go o.readLoadNow(name, o.endpoints[name])
		}
	}
}

// readLoadNow reads the load report of an endpoint to which a connection was lost.
func (o *Owner) readLoadNow(name, address string) {
	o.readLoad(context.Background(), name, address)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.readingLoad, name)
}

// DismissEntry frees the slots of an entry's processes that started before the given time and
// have ended.
func (o *Owner) DismissEntry(entry string, before uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deliver(o.table.DismissEntry(time.Now(), entry, before))
}

// Statuses returns the state of every endpoint that the node owns.
func (o *Owner) Statuses() []cfvslot.Status {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Statuses(time.Now())
}

func (o *Owner) tick(context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.deliver(o.table.Tick(time.Now()))
}

// readLoads reads the load report of every endpoint that the node owns.
func (o *Owner) readLoads(ctx context.Context) {
	o.mu.Lock()
	list := make(map[string]string, len(o.endpoints))
	for name, address := range o.endpoints {
		list[name] = address
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	for name, address := range list {
		wg.Go(func() { o.readLoad(ctx, name, address) })
	}
	wg.Wait()
}

// readLoad reads the load report of one endpoint and applies it.
func (o *Owner) readLoad(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	report, err := o.cfg.ReadLoad(ctx, address)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if err != nil {
		o.cfg.Metrics.Count("owner.loadFailed", 1)
		o.table.RecordUnreachable(now, name)
		return
	}
	load := cfvslot.LoadReport{BootID: report.BootID, Version: report.Version, Leaving: report.Leaving, Took: now.Sub(requestedAt)}
	o.deliver(o.table.ApplyLoadReport(now, name, load))
}

// recognise requests promises and inventories for the groups that have a cold or unsettled
// endpoint. For all other groups it requests inventories at each reconcileInterval.
func (o *Owner) recognise(ctx context.Context) {
	view := o.cfg.View()
	o.mu.Lock()
	groups := make(map[string]bool)
	for _, g := range o.table.ColdGroups() {
		groups[g] = true
	}
	for g := range o.table.MissingInventories() {
		groups[g] = true
	}
	reconcile := time.Since(o.lastReconcile) >= reconcileInterval
	if reconcile {
		o.lastReconcile = time.Now()
	}
	owned := make([]string, 0, len(o.owned))
	for g := range o.owned {
		owned = append(owned, g)
	}
	o.mu.Unlock()
	var wg sync.WaitGroup
	for _, g := range owned {
		if groups[g] {
			wg.Go(func() { o.recogniseGroup(ctx, g, o.cfg.Lease, view) })
		} else if reconcile {
			wg.Go(func() { o.recogniseGroup(ctx, g, 0, view) })
		}
	}
	wg.Wait()
}

// recogniseGroup requests the inventory of one group from every listed entry, and a promise
// if leaseDuration is not 0. It waits for all responses before it applies them.
func (o *Owner) recogniseGroup(ctx context.Context, group string, leaseDuration time.Duration, view cfvmembership.View) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o.mu.Lock()
	epoch := o.table.Epoch(group)
	o.mu.Unlock()
	inventories := make(chan cfvslot.Inventory, len(view.Listed))
	for _, entry := range view.Listed {
		go func() {
			requestedAt := time.Now()
			inv, err := o.cfg.Recognise(ctx, entry, cfvpeer.Recognise{Group: group, Owner: epoch, Lease: leaseDuration})
			if err != nil {
				inv = cfvslot.Inventory{}
			}
			inv.RequestedAt = requestedAt
			inventories <- inv
		}()
	}
	var list []cfvslot.Inventory
	for range view.Listed {
		if inv := <-inventories; inv.Entry != "" {
			list = append(list, inv)
		}
	}
	o.applyInventories(group, epoch, leaseDuration, view.Listed, list)
}

// applyInventories applies the inventories, unless the node has lost the group or taken it
// over again since they were requested.
func (o *Owner) applyInventories(group, epoch string, leaseDuration time.Duration, listed []string, list []cfvslot.Inventory) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.owned[group] || o.table.Epoch(group) != epoch {
		return
	}
	now := time.Now()
	if leaseDuration > 0 {
		o.deliver(o.renewLease(now, group, leaseDuration, listed, list))
	}
	for _, inv := range list {
		inv.Group = group
		o.deliver(o.table.ApplyInventory(now, inv))
	}
}

// renewLease records the promises and extends the group's lease if a majority of the listed
// entries has made one.
func (o *Owner) renewLease(now time.Time, group string, leaseDuration time.Duration, listed []string, list []cfvslot.Inventory) []cfvslot.Decision {
	lease, ok := o.leases[group]
	if !ok {
		lease = cfvowner.NewLease()
		o.leases[group] = lease
	}
	for _, inv := range list {
		if inv.Promised {
			lease.Renew(inv.RequestedAt, inv.Entry, leaseDuration)
		}
	}
	until := lease.Until(now, listed)
	if until.IsZero() {
		o.cfg.Metrics.Count("owner.leaseMissing", 1)
		return nil
	}
	return o.table.SetLease(now, group, until, listed)
}
