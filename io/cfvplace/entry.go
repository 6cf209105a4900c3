package cfvplace

import (
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

// Bounds of an entry's search for a slot.
const (
	groupsAsked  = 4
	fullFor      = 50 * time.Millisecond // how long a full group is not asked again
	releaseBatch = 2 * time.Millisecond  // how long releases wait for others
	expireEvery  = time.Second
	releaseAgain = 500 * time.Millisecond
	ownerRetry   = 25 * time.Millisecond // between searches while a group changes its owner
	levelsKept   = 4096
)

// EntryConfig configures an entry. The functions are its seams.
type EntryConfig struct {
	Self    cfvmember.Member
	Reserve func(ctx context.Context, owner string, r cfvslot.Request) (cfvslot.Decision, error)
	Release func(ctx context.Context, owner string, list []cfvslot.Release) error
	View    func() cfvmembership.View
	Catalog func() *cfvcatalog.Catalog
	Lease   time.Duration // how long a promise to an owner holds

	ReserveTimeout time.Duration // how long an owner may take to answer, beside the wait in its queue

	Log     cfvlog.Logger
	Metrics *cfvmetric.Registry
}

// Entry asks owners for slots and keeps those in use.
type Entry struct {
	cfg EntryConfig

	mu       sync.Mutex
	promises *cfvowner.Promises
	held     map[string]heldSlot
	levels   *lru.Cache[string, cfvslot.RampLevel]
	full     map[string]time.Time
	outbox   map[string][]cfvslot.Release // by group
	poke     chan struct{}                // says that the outbox holds something
}

type heldSlot struct {
	group string
	held  cfvslot.HeldSlot
}

// Ask is what a request needs of its endpoint.
type Request struct {
	Service   cfvcatalog.Service
	Workspace cfvcatalog.Workspace
	RouteKey  string // empty for a request that any endpoint serves as well
	Version   string
	Exclude   []string
}

// NewEntry returns an entry that uses nothing.
func NewEntry(cfg EntryConfig) *Entry {
	levels, err := lru.New[string, cfvslot.RampLevel](levelsKept)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Entry{
		cfg:      cfg,
		promises: cfvowner.NewPromises(time.Now(), cfg.Lease),
		held:     make(map[string]heldSlot),
		levels:   levels,
		full:     make(map[string]time.Time),
		outbox:   make(map[string][]cfvslot.Release),
		poke:     make(chan struct{}, 1),
	}
}

// Run sends releases until the context ends.
func (e *Entry) Run(ctx context.Context) {
	t := time.NewTicker(expireEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.expire()
		case <-e.poke:
			time.Sleep(releaseBatch)
			e.Flush(ctx)
		}
	}
}

func (e *Entry) expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.promises.Expire(now)
	for group, until := range e.full {
		if !now.Before(until) {
			delete(e.full, group)
		}
	}
}

// Acquire returns a slot for the request, or a refusal of a request that was not run.
// Endpoints are excluded only while there are others. While groups change their owners it
// searches again: an entry recognises the owner before for a lease at most.
func (e *Entry) Acquire(ctx context.Context, a Request) (*Slot, *cfverror.Refusal) {
	until := time.Now().Add(e.cfg.Lease)
	for {
		slot, refusal := e.search(ctx, a)
		if refusal != nil && refusal.Reason == cfverror.ReasonNoEndpoint && len(a.Exclude) > 0 {
			a.Exclude = nil
			continue
		}
		if refusal == nil || refusal.Reason != cfverror.ReasonNotOwner || !time.Now().Before(until) {
			return slot, refusal
		}
		e.cfg.Metrics.CountRetry(refusal.Reason)
		select {
		case <-ctx.Done():
			return nil, refusal
		case <-time.After(ownerRetry):
		}
	}
}

func (e *Entry) search(ctx context.Context, a Request) (*Slot, *cfverror.Refusal) {
	key := a.RouteKey
	if key == "" {
		key = uuid.NewString()
	}
	groups := cfvroute.Order(key, e.cfg.Self.Region, e.cfg.Catalog().Groups(a.Service.Name), groupsAsked)
	if len(groups) == 0 {
		return nil, cfverror.NotRun(cfverror.ReasonNoEndpoint, "service %s has no endpoint that takes work", a.Service.Name)
	}
	var last *cfverror.Refusal
	for _, g := range groups {
		if e.isFull(g) {
			continue
		}
		slot, refusal := e.ask(ctx, g, a, 0)
		if slot != nil {
			return slot, nil
		}
		last = refusal
	}
	if a.Service.QueueTimeout > 0 && ctx.Err() == nil {
		slot, refusal := e.ask(ctx, groups[0], a, a.Service.QueueTimeout)
		if slot != nil {
			return slot, nil
		}
		last = refusal
	}
	if last == nil {
		last = cfverror.NotRun(cfverror.ReasonEndpointsFull, "every endpoint of service %s is full", a.Service.Name)
	}
	return nil, last
}

// ask asks the owner of one group.
func (e *Entry) ask(ctx context.Context, group string, a Request, queueFor time.Duration) (*Slot, *cfverror.Refusal) {
	owner := e.ownerOf(group)
	r := cfvslot.Request{
		Slot:           uuid.NewString(),
		Group:          group,
		Entry:          e.cfg.Self.Name,
		EntryStarted:   e.cfg.Self.StartMillis,
		Workspace:      a.Workspace.Name,
		Priority:       min(a.Workspace.Priority, a.Service.Priority),
		PromptKey:      a.RouteKey,
		Version:        a.Version,
		Exclude:        a.Exclude,
		MaxQueueTime:   queueFor,
		MaxQueueLength: a.Service.QueueLength,
		MaxDuration:    a.Service.RequestTimeout,
	}
	ctx, cancel := context.WithTimeout(ctx, queueFor+e.cfg.ReserveTimeout)
	defer cancel()
	sent := time.Now()
	d, err := e.cfg.Reserve(ctx, owner, r)
	if err != nil {
		e.cfg.Metrics.CountRetry(cfverror.ReasonOwnerUnreachable)
		e.release(group, cfvslot.Release{Slot: r.Slot})
		return e.fallback(group, a, r.Slot)
	}
	if d.Grant == nil {
		return nil, e.refused(group, a, d.Reason)
	}
	return e.accept(sent, group, owner, a, *d.Grant)
}

func (e *Entry) refused(group string, a Request, reason cfverror.Reason) *cfverror.Refusal {
	if reason == cfverror.ReasonEndpointsFull || reason == cfverror.ReasonEndpointsCold {
		e.mu.Lock()
		e.full[group] = time.Now().Add(fullFor)
		e.mu.Unlock()
	}
	return cfverror.NotRun(reason, "group %s gives no slot for service %s", group, a.Service.Name)
}

func (e *Entry) isFull(group string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.full[group])
}

func (e *Entry) ownerOf(group string) string {
	g, _ := e.cfg.Catalog().Group(group)
	return cfvowner.Owner(group, e.cfg.View().Serving[g.Region])
}

// accept takes a grant into use, unless another owner is recognised, the endpoint is
// drained by now, or the grant came too late to be used.
func (e *Entry) accept(sent time.Time, group, owner string, a Request, g cfvslot.Grant) (*Slot, *cfverror.Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	late := now.Sub(sent) > g.QueueTime+cfvslot.GrantTTL
	foreign := !e.promises.Allows(now, group, g.Epoch)
	if late || foreign || e.drained(group, g.Endpoint) {
		e.post(group, cfvslot.Release{Slot: g.Slot, Endpoint: g.Endpoint})
		return nil, cfverror.NotRun(cfverror.ReasonNotOwner, "the slot given in group %s can't be used any more", group)
	}
	e.levels.Add(g.Endpoint, g.Level)
	e.hold(group, a, g)
	return &Slot{Grant: g, Group: group, Owner: owner, entry: e}, nil
}

func (e *Entry) hold(group string, a Request, g cfvslot.Grant) {
	e.held[g.Slot] = heldSlot{group, cfvslot.HeldSlot{
		Slot: g.Slot, Endpoint: g.Endpoint, Workspace: a.Workspace.Name, BootID: g.Level.BootID, MaxDuration: a.Service.RequestTimeout,
	}}
}

func (e *Entry) drained(group, endpoint string) bool {
	g, _ := e.cfg.Catalog().Group(group)
	for _, c := range g.Endpoints {
		if c.Name == endpoint {
			return c.Drained
		}
	}
	return true
}

// fallback uses a warm endpoint without its owner, within this entry's fixed share: one
// request on an endpoint, by at most half as many entries as the endpoint has slots.
func (e *Entry) fallback(group string, a Request, slot string) (*Slot, *cfverror.Refusal) {
	g, _ := e.cfg.Catalog().Group(group)
	serving := e.cfg.View().Serving[g.Region]
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range g.Endpoints {
		level, known := e.levels.Get(c.Name)
		if !known || level.Slots < c.WarmSlots || c.ColdSlots == c.WarmSlots || c.Drained || e.uses(c.Name) {
			continue
		}
		if a.Version != "" && a.Version != c.Version {
			continue
		}
		if !among(cfvowner.Rank(c.Name, serving), e.cfg.Self.Name, c.WarmSlots/2) {
			continue
		}
		grant := cfvslot.Grant{Slot: slot + "-fallback", Endpoint: c.Name, Address: c.Address, Version: c.Version, Level: level}
		e.hold(group, a, grant)
		e.cfg.Metrics.Count("place.fallback", 1)
		return &Slot{Grant: grant, Group: group, entry: e}, nil
	}
	return nil, cfverror.NotRun(cfverror.ReasonOwnerUnreachable, "the owner of group %s can't be reached", group)
}

func (e *Entry) uses(endpoint string) bool {
	for _, h := range e.held {
		if h.held.Endpoint == endpoint {
			return true
		}
	}
	return false
}

func among(list []string, name string, n int) bool {
	for _, s := range list[:min(n, len(list))] {
		if s == name {
			return true
		}
	}
	return false
}

// Recognise answers an owner: what the entry uses in the group, what it knows of its
// endpoints, and a promise if one is wanted and can be made.
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
			inv.Held = append(inv.Held, h.held)
		}
	}
	for _, c := range g.Endpoints {
		if level, ok := e.levels.Peek(c.Name); ok {
			inv.Levels = append(inv.Levels, level)
		}
	}
	return inv
}

// InUse returns the number of slots in use.
func (e *Entry) InUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.held)
}
