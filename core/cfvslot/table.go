package cfvslot

import (
	"sort"
	"time"

	"coltsfootvalve/common/cfverror"

	lru "github.com/hashicorp/golang-lru/v2"
)

// releasedKept is the number of released slots remembered, so that a reservation that
// arrives after its own release gives nothing away.
const releasedKept = 4096

// Table holds the endpoints and queues of the groups that a node owns. It is not safe
// for concurrent use.
type Table struct {
	endpoints map[string]*endpoint
	bySlot    map[string]*endpoint
	queues    map[string]*queue
	leases    map[string]*lease
	epochs    map[string]string // by group, from the configuration that took it over
	longest   time.Duration
	released  *lru.Cache[string, struct{}]
}

// New returns an empty table.
func New() *Table {
	released, err := lru.New[string, struct{}](releasedKept)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &Table{
		endpoints: make(map[string]*endpoint),
		bySlot:    make(map[string]*endpoint),
		queues:    make(map[string]*queue),
		leases:    make(map[string]*lease),
		epochs:    make(map[string]string),
		released:  released,
	}
}

// Configure sets the endpoints of the groups that the node owns now. Endpoints that are
// new here stay unsettled until each listed entry has told what it has in flight there.
func (t *Table) Configure(now time.Time, s TableConfig) []Decision {
	t.longest = s.MaxRequestDuration
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
			e.unsettle(now, s.Entries, s.MaxRequestDuration)
			t.endpoints[cfg.Name] = e
		}
		e.cfg = cfg
		e.bound = max(e.bound, cfg.ColdSlots)
	}
	for name, e := range t.endpoints {
		if !keep[name] {
			t.drop(name, e)
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
	return append(out, t.pumpAll(now)...)
}

func (t *Table) drop(name string, e *endpoint) {
	for id := range e.slots {
		delete(t.bySlot, id)
	}
	delete(t.endpoints, name)
}

// Reserve places the request, queues it, or refuses it. A queued request has no decision
// yet; the decisions returned may also be those of other requests.
func (t *Table) Reserve(now time.Time, r Request) []Decision {
	if t.released.Contains(r.Slot) {
		return []Decision{{Slot: r.Slot, Reason: cfverror.ReasonCallerGone}}
	}
	if !t.owns(r.Group) {
		return []Decision{{Slot: r.Slot, Reason: cfverror.ReasonNotOwner}}
	}
	q := t.queue(r.Group)
	if q.empty() {
		if g := t.place(now, r); g != nil {
			return []Decision{{Slot: r.Slot, Grant: g}}
		}
	}
	reason := t.whyNot(now, r)
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
	return append(out, t.pump(now, r.Group)...)
}

// Release gives a slot back, learns from how its request ended, and returns the
// decisions of queued requests that can go now.
func (t *Table) Release(now time.Time, r Release) []Decision {
	if r.Slot != "" {
		t.released.Add(r.Slot, struct{}{})
	}
	for _, q := range t.queues {
		q.remove(r.Slot)
	}
	e, ok := t.endpoints[r.Endpoint]
	if holder := t.bySlot[r.Slot]; holder != nil {
		e, ok = holder, true
		t.vacate(now, holder, r)
	}
	if !ok {
		return nil
	}
	e.observeBoot(now, r.BootID)
	e.leaving = e.leaving || (r.Leaving && r.BootID == e.bootID)
	switch r.Outcome {
	case OutcomeDone:
		e.success(now, r.BootID)
	case OutcomeUnreachable:
		e.unreachable(now)
	}
	if r.ConnectionLost && (r.BootID == "" || r.BootID == e.bootID) {
		e.doubted = now
	}
	return t.pump(now, e.cfg.Group)
}

// vacate frees a released slot, or lets it linger while its request may still run.
func (t *Table) vacate(now time.Time, e *endpoint, r Release) {
	delete(t.bySlot, r.Slot)
	if r.Linger > 0 {
		e.slots[r.Slot].lingers = now.Add(r.Linger)
		return
	}
	delete(e.slots, r.Slot)
}

// Observe takes a load report.
func (t *Table) ApplyLoadReport(now time.Time, name string, l LoadReport) []Decision {
	e, ok := t.endpoints[name]
	if !ok {
		return nil
	}
	e.resolveDoubt(now, e.observeBoot(now, l.BootID))
	e.leaving = l.Leaving
	if l.Version != "" {
		e.version = l.Version
	}
	return t.pump(now, e.cfg.Group)
}

// Doubtful returns the names of the endpoints that wait for a load report since a
// connection to them broke, sorted.
func (t *Table) AwaitingLoadReport() []string {
	var out []string
	for name, e := range t.endpoints {
		if !e.doubted.IsZero() {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Unreachable says that an endpoint could not be reached for its load report.
func (t *Table) RecordUnreachable(now time.Time, name string) {
	if e, ok := t.endpoints[name]; ok {
		e.unreachable(now)
	}
}

// Tick refuses those that waited too long, frees slots past their limit and serves
// queues that can go on.
func (t *Table) Tick(now time.Time) []Decision {
	var out []Decision
	for _, e := range t.endpoints {
		e.settleByTime(now)
		for id, s := range e.slots {
			over := !s.lingers.IsZero() && !now.Before(s.lingers)
			if over || now.Sub(s.granted) > s.limit+GrantTTL {
				delete(e.slots, id)
				delete(t.bySlot, id)
			}
		}
	}
	for _, q := range t.queues {
		out = append(out, q.expire(now)...)
	}
	return append(out, t.pumpAll(now)...)
}

// Epoch returns the name of this node's hold on a group. It is what entries recognise,
// so that a slot given before the group was lost is not used after it was regained.
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

func (t *Table) queue(group string) *queue {
	q, ok := t.queues[group]
	if !ok {
		q = &queue{}
		t.queues[group] = q
	}
	return q
}

func (t *Table) pumpAll(now time.Time) []Decision {
	groups := make([]string, 0, len(t.queues))
	for g := range t.queues {
		groups = append(groups, g)
	}
	sort.Strings(groups)
	var out []Decision
	for _, g := range groups {
		out = append(out, t.pump(now, g)...)
	}
	return out
}

// pump places queued requests of the group in order while they fit.
func (t *Table) pump(now time.Time, group string) []Decision {
	q, ok := t.queues[group]
	if !ok || q.empty() {
		return nil
	}
	held := t.heldByWorkspace(group)
	var out []Decision
	for _, w := range q.inOrder(held) {
		if g := t.place(now, w.request); g != nil {
			q.remove(w.request.Slot)
			g.QueueTime = now.Sub(w.since)
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

// place reserves a slot for the request if one is free.
func (t *Table) place(now time.Time, r Request) *Grant {
	e := t.choose(now, r)
	if e == nil {
		return nil
	}
	e.slots[r.Slot] = &slot{
		id: r.Slot, entry: r.Entry, started: r.EntryStarted, workspace: r.Workspace, bootID: e.bootID, granted: now, limit: r.MaxDuration,
	}
	t.bySlot[r.Slot] = e
	return &Grant{
		Slot:     r.Slot,
		Endpoint: e.cfg.Name,
		Address:  e.cfg.Address,
		Version:  e.version,
		Epoch:    t.epochs[e.cfg.Group],
		Level:    RampLevel{e.cfg.Name, e.bootID, e.limit()},
	}
}
