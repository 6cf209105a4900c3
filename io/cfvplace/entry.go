package cfvplace

import (
	"cmp"
	"context"
	"sync"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/core/cfvroute"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/io/cfvmembership"
	"coltsfootvalve/io/cfvpeer"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2"
)

// Limits and delays of an entry's search for a slot.
const (
	maxGroupsTried    = 4
	fullGroupBackoff  = 50 * time.Millisecond // how long no slot is requested from a full group
	releaseBatchDelay = 2 * time.Millisecond  // how long releases wait to be sent in a batch
	expireInterval    = time.Second
	releaseRetryDelay = 500 * time.Millisecond
	ownerRetryDelay   = 25 * time.Millisecond // between searches while a group changes owner
	maxRampLevels     = 4096
)

// EntryConfig configures an Entry. Reserve and Release call the owner of a group.
type EntryConfig struct {
	Self    cfvmember.Member
	Reserve func(ctx context.Context, owner string, r cfvslot.Request) (cfvslot.Decision, error)
	Release func(ctx context.Context, owner string, list []cfvslot.Release) error
	View    func() cfvmembership.View
	Catalog func() *cfvcatalog.Catalog
	Lease   time.Duration // longest time for which the entry recognises one owner

	ReserveTimeout time.Duration // in addition to the time in the owner's queue

	Log     cfvlog.Logger
	Metrics *cfvmetric.Registry
}

// Entry reserves slots at the owners of groups and tracks the slots in use.
type Entry struct {
	cfg EntryConfig

	mu              sync.Mutex
	promises        *cfvowner.Promises
	held            map[string]heldSlot
	rampLevels      *lru.Cache[string, cfvslot.RampLevel]
	fullUntil       map[string]time.Time
	leaving         map[string]bool              // endpoint addresses that the VM list marks as leaving
	pendingReleases map[string][]cfvslot.Release // by group
	releasesQueued  chan struct{}                // signals that pendingReleases is not empty
}

type heldSlot struct {
	group string
	slot  cfvslot.HeldSlot
}

// Request describes the endpoint that a request needs.
type Request struct {
	Service     cfvcatalog.Service
	Workspace   cfvcatalog.Workspace
	AffinityKey string // empty for a request that gains nothing from a cached prompt
	Version     string
	Exclude     []string
}

// NewEntry returns an entry that uses no slots.
func NewEntry(cfg EntryConfig) *Entry {
	levels, err := lru.New[string, cfvslot.RampLevel](maxRampLevels)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Entry{
		cfg:             cfg,
		promises:        cfvowner.NewPromises(time.Now(), cfg.Lease),
		held:            make(map[string]heldSlot),
		rampLevels:      levels,
		fullUntil:       make(map[string]time.Time),
		pendingReleases: make(map[string][]cfvslot.Release),
		releasesQueued:  make(chan struct{}, 1),
	}
}

// Run sends releases and removes expired state until the context is done.
func (e *Entry) Run(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.expire()
		case <-e.releasesQueued:
			time.Sleep(releaseBatchDelay)
			e.Flush(ctx)
		}
	}
}

// expire removes expired promises and backoffs of full groups.
func (e *Entry) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.promises.Expire(now)
	for group, until := range e.fullUntil {
		if !now.Before(until) {
			delete(e.fullUntil, group)
		}
	}
}

// Acquire returns a slot for the request, or a refusal; a refused request has not run. If only
// excluded endpoints are left, it uses these. While groups change owners it retries for up to
// one lease, which is how long an entry may recognise the previous owner.
func (e *Entry) Acquire(ctx context.Context, req Request) (*Slot, *cfverror.Refusal) {
	until := time.Now().Add(e.cfg.Lease)
	for {
		slot, refusal := e.searchGroups(ctx, req)
		if refusal != nil && refusal.Reason == cfverror.ReasonNoEndpoint && len(req.Exclude) > 0 {
			req.Exclude = nil
			continue
		}
		if refusal == nil || refusal.Reason != cfverror.ReasonNotOwner || !time.Now().Before(until) {
			return slot, refusal
		}
		e.cfg.Metrics.CountRetry(refusal.Reason)
		select {
		case <-ctx.Done():
			return nil, refusal
		case <-time.After(ownerRetryDelay):
		}
	}
}

// searchGroups requests a slot from each group in order of preference. If none has a free
// slot, it waits in the queue of the first group that can serve the request, provided that the
// service allows queueing.
func (e *Entry) searchGroups(ctx context.Context, req Request) (*Slot, *cfverror.Refusal) {
	key := req.AffinityKey
	if key == "" {
		key = uuid.NewString()
	}
	groups := cfvroute.Order(key, e.cfg.Self.Region, e.cfg.Catalog().Groups(req.Service.Name), maxGroupsTried)
	if len(groups) == 0 {
		return nil, cfverror.NotRun(cfverror.ReasonNoEndpoint, "service %s has no endpoint that takes work", req.Service.Name)
	}
	var last *cfverror.Refusal
	var queues []string
	for _, g := range groups {
		if e.isFull(g) {
			queues = append(queues, g)
			continue
		}
		slot, refusal := e.reserve(ctx, g, req, 0)
		if slot != nil {
			return slot, nil
		}
		last = refusal
		if !cannotServe(refusal) {
			queues = append(queues, g)
		}
	}
	if req.Service.QueueTimeout > 0 {
		slot, refusal := e.waitInQueue(ctx, queues, req)
		if slot != nil {
			return slot, nil
		}
		last = cmp.Or(refusal, last)
	}
	if last == nil {
		last = cfverror.NotRun(cfverror.ReasonEndpointsFull, "every endpoint of service %s is full", req.Service.Name)
	}
	return nil, last
}

// waitInQueue waits in the queue of the first group that can serve the request.
func (e *Entry) waitInQueue(ctx context.Context, groups []string, req Request) (slot *Slot, refusal *cfverror.Refusal) {
	for _, g := range groups {
		if ctx.Err() != nil {
			return nil, refusal
		}
		if slot, refusal = e.reserve(ctx, g, req, req.Service.QueueTimeout); !cannotServe(refusal) {
			return slot, refusal
		}
	}
	return nil, refusal
}

// cannotServe reports whether a group refused a request that it can't serve later either.
func cannotServe(r *cfverror.Refusal) bool {
	return r != nil && (r.Reason == cfverror.ReasonDrained || r.Reason == cfverror.ReasonNoEndpoint)
}

// reserve requests a slot from the owner of one group. If the call fails, reserve releases the
// slot, since the owner may have granted it, and falls back to a warm endpoint.
func (e *Entry) reserve(ctx context.Context, group string, req Request, maxQueueTime time.Duration) (*Slot, *cfverror.Refusal) {
	owner := e.ownerOf(group)
	r := cfvslot.Request{
		Slot:           uuid.NewString(),
		Group:          group,
		Entry:          e.cfg.Self.Name,
		EntryStarted:   e.cfg.Self.StartMillis,
		Workspace:      req.Workspace.Name,
		Priority:       min(req.Workspace.Priority, req.Service.Priority),
		PromptKey:      req.AffinityKey,
		Version:        req.Version,
		Exclude:        req.Exclude,
		MaxQueueTime:   maxQueueTime,
		MaxQueueLength: req.Service.QueueLength,
		MaxDuration:    req.Service.RequestTimeout,
	}
	ctx, cancel := context.WithTimeout(ctx, maxQueueTime+e.cfg.ReserveTimeout)
	defer cancel()
	sentAt := time.Now()
	d, err := e.cfg.Reserve(ctx, owner, r)
	if err != nil {
		e.cfg.Metrics.CountRetry(cfverror.ReasonOwnerUnreachable)
		e.release(group, cfvslot.Release{Slot: r.Slot})
		return e.fallback(group, req, r.Slot)
	}
	if d.Grant == nil {
		return nil, e.recordRefusal(group, req, d.Reason)
	}
	return e.accept(sentAt, group, owner, req, *d.Grant)
}

// recordRefusal returns the refusal to report and marks the group as full if it has no slots.
func (e *Entry) recordRefusal(group string, req Request, reason cfverror.Reason) *cfverror.Refusal {
	if reason == cfverror.ReasonEndpointsFull || reason == cfverror.ReasonEndpointsCold {
		e.mu.Lock()
		e.fullUntil[group] = time.Now().Add(fullGroupBackoff)
		e.mu.Unlock()
	}
	return cfverror.NotRun(reason, "group %s gives no slot for service %s", group, req.Service.Name)
}

func (e *Entry) isFull(group string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.fullUntil[group])
}

func (e *Entry) ownerOf(group string) string {
	g, _ := e.cfg.Catalog().Group(group)
	return cfvowner.Owner(group, e.cfg.View().Serving[g.Region])
}

// accept starts to use a granted slot, unless the entry recognises another owner, the endpoint
// has been drained, or the grant has expired.
func (e *Entry) accept(sentAt time.Time, group, owner string, req Request, g cfvslot.Grant) (*Slot, *cfverror.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	late := now.Sub(sentAt) > g.QueueTime+cfvslot.GrantTTL
	notRecognised := !e.promises.Allows(now, group, g.Epoch)
	if late || notRecognised || e.isDrained(group, g.Endpoint) {
		e.queueReleases(group, cfvslot.Release{Slot: g.Slot, Endpoint: g.Endpoint})
		return nil, cfverror.NotRun(cfverror.ReasonNotOwner, "the slot given in group %s can't be used any more", group)
	}
	e.rampLevels.Add(g.Endpoint, g.Level)
	e.recordHeld(group, req, g)
	return &Slot{Grant: g, Group: group, Owner: owner, entry: e}, nil
}

func (e *Entry) recordHeld(group string, req Request, g cfvslot.Grant) {
	e.held[g.Slot] = heldSlot{group, cfvslot.HeldSlot{
		Slot: g.Slot, Endpoint: g.Endpoint, Workspace: req.Workspace.Name, BootID: g.Level.BootID, MaxDuration: req.Service.RequestTimeout,
	}}
}

func (e *Entry) isDrained(group, endpoint string) bool {
	g, _ := e.cfg.Catalog().Group(group)
	for _, c := range g.Endpoints {
		if c.Name == endpoint {
			return c.Drained
		}
	}
	return true
}

// fallback uses a warm endpoint without a grant while the owner is unreachable. To limit the
// load, each entry runs at most one such request on an endpoint, and only the first entries in
// rendezvous order do so, at most half as many as the endpoint has slots. An endpoint that is known
// to be leaving is not used.
func (e *Entry) fallback(group string, req Request, slot string) (*Slot, *cfverror.Refusal) {
	g, _ := e.cfg.Catalog().Group(group)
	serving := e.cfg.View().Serving[g.Region]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range g.Endpoints {
		level, known := e.rampLevels.Get(c.Name)
		if !known || level.Slots < c.WarmSlots || c.ColdSlots == c.WarmSlots || c.Drained || e.leaving[c.Address] || e.usesEndpoint(c.Name) {
			continue
		}
		if req.Version != "" && req.Version != c.Version {
			continue
		}
		if !isAmongFirst(cfvowner.Rank(c.Name, serving), e.cfg.Self.Name, c.WarmSlots/2) {
			continue
		}
		grant := cfvslot.Grant{Slot: slot + "-fallback", Endpoint: c.Name, Address: c.Address, Version: c.Version, Level: level}
		e.recordHeld(group, req, grant)
		e.cfg.Metrics.Count("place.fallback", 1)
		return &Slot{Grant: grant, Group: group, entry: e}, nil
	}
	return nil, cfverror.NotRun(cfverror.ReasonOwnerUnreachable, "the owner of group %s can't be reached", group)
}

func (e *Entry) usesEndpoint(endpoint string) bool {
	for _, h := range e.held {
		if h.slot.Endpoint == endpoint {
			return true
		}
	}
	return false
}

func isAmongFirst(list []string, name string, n int) bool {
	for _, s := range list[:min(n, len(list))] {
		if s == name {
			return true
		}
	}
	return false
}

// Recognise returns the entry's inventory of a group to an owner: the slots in use and the
// ramp levels of the endpoints. If the owner requests a lease and the entry recognises no
// other owner, the inventory includes the promise to recognise this one.
func (e *Entry) Recognise(r cfvpeer.Recognise) cfvslot.Inventory {
	g, _ := e.cfg.Catalog().Group(r.Group)
	e.mu.Lock()
	defer e.mu.Unlock()
	inv := cfvslot.Inventory{Entry: e.cfg.Self.Name, EntryStarted: e.cfg.Self.StartMillis, Group: r.Group}
	if r.Lease > 0 {
		inv.Promised = e.promises.Promise(time.Now(), r.Group, r.Owner, min(r.Lease, e.cfg.Lease))
	}
	for _, h := range e.held {
		if h.group == r.Group {
			inv.Held = append(inv.Held, h.slot)
		}
	}
	for _, c := range g.Endpoints {
		if level, ok := e.rampLevels.Peek(c.Name); ok {
			inv.Levels = append(inv.Levels, level)
		}
	}
	return inv
}

// SetLeaving sets the addresses of the endpoints that the VM list marks as leaving.
func (e *Entry) SetLeaving(addresses map[string]bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = addresses
}

// InUse returns the number of slots in use.
func (e *Entry) InUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}
