package cfvslot

import (
	"sort"
	"time"

	"coltsfootvalve/common/cfverror"

	lru "github.com/hashicorp/golang-lru/v2"
)

// maxReleasedSlots is the number of released slots that the table remembers, so that a
// reservation that arrives after its own release is not granted.
const maxReleasedSlots = 4096

// Table holds the endpoints and queues of the groups that a node owns. It is not safe
// for concurrent use.
type Table struct {
	endpoints          map[string]*endpoint
	bySlot             map[string]*endpoint
	queues             map[string]*queue
	leases             map[string]*lease
	epochs             map[string]string // by group, set when this node took the group over
	maxRequestDuration time.Duration
	releasedSlots      *lru.Cache[string, struct{}]
}

// New returns an empty table.
func New() *Table {
	released, err := lru.New[string, struct{}](maxReleasedSlots)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Table{
		endpoints:     make(map[string]*endpoint),
		bySlot:        make(map[string]*endpoint),
		queues:        make(map[string]*queue),
		leases:        make(map[string]*lease),
		epochs:        make(map[string]string),
		releasedSlots: released,
	}
}

// Configure sets the endpoints of the groups that the node owns. New endpoints are unsettled
// until each listed entry has reported its requests in flight there.
func (t *Table) Configure(now time.Time, s TableConfig) []Decision {
	t.maxRequestDuration = s.MaxRequestDuration
	keep := make(map[string]bool, len(s.Endpoints))
	groups := make(map[string]bool)
	for _, cfg := range s.Endpoints {
		keep[cfg.Name] = true
		groups[cfg.Group] = true
		if t.epochs[cfg.Group] == "" {
			t.epochs[cfg.Group] = s.Epoch
		}
		e, ok := t.endpoints[cfg.Name]
		if !ok {
			e = newEndpoint(cfg)
			e.awaitInventories(now, s.Entries, s.MaxRequestDuration)
			t.endpoints[cfg.Name] = e
		}
		e.cfg = cfg
		e.rampSlots = max(e.rampSlots, cfg.ColdSlots)
	}
	for name, e := range t.endpoints {
		if !keep[name] {
			t.removeEndpoint(name, e)
		}
	}
	var out []Decision
	for g := range t.epochs {
		if !groups[g] {
			delete(t.epochs, g)
			delete(t.leases, g)
		}
	}
	for g, q := range t.queues {
		if !groups[g] {
			out = append(out, q.refuseAll(cfverror.ReasonNotOwner)...)
			delete(t.queues, g)
		}
	}
	return append(out, t.grantAllQueued(now)...)
}

// removeEndpoint removes an endpoint and its slots.
func (t *Table) removeEndpoint(name string, e *endpoint) {
	for id := range e.slots {
		delete(t.bySlot, id)
	}
	delete(t.endpoints, name)
}

// Reserve grants a slot to the request, queues it, or refuses it. A queued request gets its
// decision later. The returned decisions may also concern other requests.
func (t *Table) Reserve(now time.Time, r Request) []Decision {
	if t.releasedSlots.Contains(r.Slot) {
		return []Decision{{Slot: r.Slot, Reason: cfverror.ReasonCallerGone}}
	}
	if !t.owns(r.Group) {
		return []Decision{{Slot: r.Slot, Reason: cfverror.ReasonNotOwner}}
	}
	q := t.groupQueue(r.Group)
	if q.empty() {
		if g := t.reserveSlot(now, r); g != nil {
			return []Decision{{Slot: r.Slot, Grant: g}}
		}
	}
	reason := t.refusalReason(now, r)
	if r.MaxQueueTime <= 0 || reason == cfverror.ReasonDrained || reason == cfverror.ReasonNoEndpoint {
		return []Decision{{Slot: r.Slot, Reason: reason}}
	}
	evicted, queued := q.push(now, r)
	if !queued {
		return []Decision{{Slot: r.Slot, Reason: cfverror.ReasonQueueFull}}
	}
	var out []Decision
	if evicted != "" {
		out = append(out, Decision{Slot: evicted, Reason: cfverror.ReasonQueueFull})
	}
	return append(out, t.grantQueued(now, r.Group)...)
}

// Release frees a slot, updates the endpoint's state from the outcome of the request, and
// returns the decisions for queued requests that can now be granted.
func (t *Table) Release(now time.Time, r Release) []Decision {
	if r.Slot != "" {
		t.releasedSlots.Add(r.Slot, struct{}{})
	}
	for _, q := range t.queues {
		q.remove(r.Slot)
	}
	e, ok := t.endpoints[r.Endpoint]
	if holder := t.bySlot[r.Slot]; holder != nil {
		e, ok = holder, true
		t.freeSlot(now, holder, r)
	}
	if !ok {
		return nil
	}
	e.observeBoot(now, r.BootID)
	if r.Leaving && r.BootID == e.bootID {
		e.leaving, e.leavingSeenAt = true, now
	}
	switch r.Outcome {
	case OutcomeDone:
		e.recordSuccess(now, r.BootID)
	case OutcomeUnreachable:
		e.recordUnreachable(now)
	}
	if r.ConnectionLost && (r.BootID == "" || r.BootID == e.bootID) {
		e.connectionLostAt = now
	}
	return t.grantQueued(now, e.cfg.Group)
}

// freeSlot frees a released slot, after a delay if the endpoint may still run the request.
func (t *Table) freeSlot(now time.Time, e *endpoint, r Release) {
	delete(t.bySlot, r.Slot)
	if r.Linger > 0 {
		e.slots[r.Slot].lingersUntil = now.Add(r.Linger)
		return
	}
	delete(e.slots, r.Slot)
}

// ApplyLoadReport updates the endpoint's state from a load report.
func (t *Table) ApplyLoadReport(now time.Time, name string, l LoadReport) []Decision {
	e, ok := t.endpoints[name]
	if !ok {
		return nil
	}
	restarted := e.observeBoot(now, l.BootID)
	e.clearConnectionLost(now, restarted, l)
	e.recordLeaving(now, restarted, l)
	if l.Version != "" {
		e.version = l.Version
	}
	return t.grantQueued(now, e.cfg.Group)
}

// AwaitingLoadReport returns the names of the endpoints that get no requests until their
// next load report because a connection to them was lost, sorted.
func (t *Table) AwaitingLoadReport() []string {
	var out []string
	for name, e := range t.endpoints {
		if !e.connectionLostAt.IsZero() {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// RecordUnreachable records that an endpoint could not be reached for its load report.
func (t *Table) RecordUnreachable(now time.Time, name string) {
	if e, ok := t.endpoints[name]; ok {
		e.recordUnreachable(now)
	}
}

// Tick refuses requests that have waited in a queue for too long, frees slots past their
// maximum duration and grants free slots to queued requests.
func (t *Table) Tick(now time.Time) []Decision {
	var out []Decision
	for _, e := range t.endpoints {
		e.settleAfterDeadline(now)
		for id, s := range e.slots {
			expired := !s.lingersUntil.IsZero() && !now.Before(s.lingersUntil)
			if expired || now.Sub(s.grantedAt) > s.maxDuration+GrantTTL {
				delete(e.slots, id)
				delete(t.bySlot, id)
			}
		}
	}
	for _, q := range t.queues {
		out = append(out, q.expire(now)...)
	}
	return append(out, t.grantAllQueued(now)...)
}

// Epoch returns the epoch of this node's ownership of a group. Entries recognise an epoch,
// not a node, so that a slot granted before the node lost the group can't be used after the
// node owns it again.
func (t *Table) Epoch(group string) string {
	return t.epochs[group]
}

func (t *Table) owns(group string) bool {
	for _, e := range t.endpoints {
		if e.cfg.Group == group {
			return true
		}
	}
	return false
}

func (t *Table) groupQueue(group string) *queue {
	q, ok := t.queues[group]
	if !ok {
		q = &queue{}
		t.queues[group] = q
	}
	return q
}

func (t *Table) grantAllQueued(now time.Time) []Decision {
	groups := make([]string, 0, len(t.queues))
	for g := range t.queues {
		groups = append(groups, g)
	}
	sort.Strings(groups)
	var out []Decision
	for _, g := range groups {
		out = append(out, t.grantQueued(now, g)...)
	}
	return out
}

// grantQueued grants free slots to the group's queued requests, in their service order.
func (t *Table) grantQueued(now time.Time, group string) []Decision {
	q, ok := t.queues[group]
	if !ok || q.empty() {
		return nil
	}
	held := t.heldByWorkspace(group)
	var out []Decision
	for _, w := range q.serviceOrder(held) {
		if g := t.reserveSlot(now, w.request); g != nil {
			q.remove(w.request.Slot)
			g.QueueTime = now.Sub(w.queuedAt)
			out = append(out, Decision{Slot: w.request.Slot, Grant: g})
		}
	}
	return out
}

func (t *Table) heldByWorkspace(group string) map[string]int {
	out := make(map[string]int)
	for _, e := range t.endpoints {
		if e.cfg.Group != group {
			continue
		}
		for _, s := range e.slots {
			out[s.workspace]++
		}
	}
	return out
}

// reserveSlot reserves a slot for the request if one is free; otherwise it returns nil.
func (t *Table) reserveSlot(now time.Time, r Request) *Grant {
	e := t.chooseEndpoint(now, r)
	if e == nil {
		return nil
	}
	e.slots[r.Slot] = &slot{
		id: r.Slot, entry: r.Entry, entryStarted: r.EntryStarted, workspace: r.Workspace, bootID: e.bootID, grantedAt: now, maxDuration: r.MaxDuration,
	}
	t.bySlot[r.Slot] = e
	return &Grant{
		Slot:     r.Slot,
		Endpoint: e.cfg.Name,
		Address:  e.cfg.Address,
		Version:  e.version,
		Epoch:    t.epochs[e.cfg.Group],
		Level:    RampLevel{e.cfg.Name, e.bootID, e.slotLimit()},
	}
}
