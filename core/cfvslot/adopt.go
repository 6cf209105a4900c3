package cfvslot

import (
	"sort"
	"time"
)

// unsettle starts the hand-over of an endpoint: it gets no more than half of its slots
// until every entry has told what it has in flight there.
func (e *endpoint) unsettle(now time.Time, entries []string, longest time.Duration) {
	e.unheard = nameSet(entries)
	e.settleBy = now.Add(longest)
	e.settled = len(entries) == 0
}

func (e *endpoint) settleByTime(now time.Time) {
	if !e.settled && !now.Before(e.settleBy) {
		e.settled = true
		e.unheard = nil
	}
}

func nameSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// Inventory is what one entry has in flight on endpoints of a group and what it knows of
// their ramps.
type Inventory struct {
	Entry        string
	EntryStarted uint64 // when the entry's process started
	Group        string
	RequestedAt  time.Time // when the owner sent its question
	Promised     bool      // the entry recognises this node as the group's owner
	Held         []HeldSlot
	Levels       []RampLevel
}

// Adopt takes an entry's inventory: slots unknown here are counted from now on, slots
// that the entry has had time to use and does not name are free.
func (t *Table) ApplyInventory(now time.Time, inv Inventory) []Decision {
	named := make(map[string]bool, len(inv.Held))
	for _, h := range inv.Held {
		named[h.Slot] = true
		t.adoptSlot(now, inv, h)
	}
	for _, e := range t.endpoints {
		if e.cfg.Group == inv.Group {
			t.dropUnnamed(e, inv, named)
			if inv.Promised {
				e.heard(inv.Entry)
			}
		}
	}
	if l := t.leases[inv.Group]; l != nil && inv.Promised {
		delete(l.unheard, inv.Entry)
	}
	for _, l := range inv.Levels {
		if e, ok := t.endpoints[l.Endpoint]; ok {
			e.learnLevel(l)
		}
	}
	return t.pump(now, inv.Group)
}

func (t *Table) adoptSlot(now time.Time, inv Inventory, h HeldSlot) {
	e, ok := t.endpoints[h.Endpoint]
	if !ok || t.bySlot[h.Slot] != nil || t.released.Contains(h.Slot) {
		return
	}
	e.slots[h.Slot] = &slot{
		id: h.Slot, entry: inv.Entry, started: inv.EntryStarted, workspace: h.Workspace, bootID: h.BootID, granted: now, limit: h.MaxDuration,
	}
	t.bySlot[h.Slot] = e
}

// dropUnnamed frees the entry's slots that it had time to use before the question and
// does not name.
func (t *Table) dropUnnamed(e *endpoint, inv Inventory, named map[string]bool) {
	for id, s := range e.slots {
		if s.entry != inv.Entry || named[id] || !s.lingers.IsZero() {
			continue
		}
		if s.granted.Add(GrantTTL).Before(inv.RequestedAt) {
			delete(e.slots, id)
			delete(t.bySlot, id)
		}
	}
}

// heard notes that the entry has told what it has in flight.
func (e *endpoint) heard(entry string) {
	if e.settled {
		return
	}
	delete(e.unheard, entry)
	e.settled = len(e.unheard) == 0
}

// EntryGone frees the slots of an entry's processes that started before the given time:
// they have ended and their connections are closed, so nothing of them runs any more.
func (t *Table) DismissEntry(now time.Time, entry string, before uint64) []Decision {
	for _, e := range t.endpoints {
		for id, s := range e.slots {
			if s.entry == entry && s.started < before {
				delete(e.slots, id)
				delete(t.bySlot, id)
			}
		}
		e.heard(entry)
	}
	for _, l := range t.leases {
		delete(l.unheard, entry)
	}
	return t.pumpAll(now)
}

// Status is the state of one endpoint as operators read it.
type Status struct {
	Name        string
	Group       string
	Address     string
	Version     string
	BootID      string
	Held        int
	SlotLimit   int
	Cold        bool
	Settled     bool
	Unavailable bool // gets no work at the moment
	Leaving     bool // gets no work any more, or not until it is taken back
	Waiting     int
}

// Statuses returns the state of every endpoint, sorted by name.
func (t *Table) Statuses(now time.Time) []Status {
	var out []Status
	for _, e := range t.endpoints {
		s := Status{
			Name:        e.cfg.Name,
			Group:       e.cfg.Group,
			Address:     e.cfg.Address,
			Version:     e.version,
			BootID:      e.bootID,
			Held:        len(e.slots),
			SlotLimit:   e.limit(),
			Cold:        e.isCold(),
			Settled:     e.settled,
			Unavailable: e.shut(now),
			Leaving:     e.cfg.Drained || e.leaving,
		}
		if q, ok := t.queues[e.cfg.Group]; ok {
			s.Waiting = len(q.list)
		}
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Unsettled returns, for each group, the entries that have not told what they hold.
func (t *Table) MissingInventories() map[string][]string {
	seen := make(map[string]map[string]bool)
	for _, e := range t.endpoints {
		if e.settled {
			continue
		}
		if seen[e.cfg.Group] == nil {
			seen[e.cfg.Group] = make(map[string]bool)
		}
		for name := range e.unheard {
			seen[e.cfg.Group][name] = true
		}
	}
	out := make(map[string][]string, len(seen))
	for g, names := range seen {
		for n := range names {
			out[g] = append(out[g], n)
		}
		sort.Strings(out[g])
	}
	return out
}

// ColdGroups returns the groups that have a cold endpoint, sorted.
func (t *Table) ColdGroups() []string {
	seen := make(map[string]bool)
	for _, e := range t.endpoints {
		if e.isCold() {
			seen[e.cfg.Group] = true
		}
	}
	out := make([]string, 0, len(seen))
	for g := range seen {
		out = append(out, g)
	}
	sort.Strings(out)
	return out
}
