package cfvslot

import (
	"sort"
	"time"
)

// awaitInventories marks an endpoint as unsettled after its group changes owner. An
// unsettled endpoint gets at most half of its slots, until every entry has reported its
// requests in flight there or the longest request of the previous owner has ended.
func (e *endpoint) awaitInventories(now time.Time, entries []string, maxRequestDuration time.Duration) {
	e.missingEntries = nameSet(entries)
	e.settleDeadline = now.Add(maxRequestDuration)
	e.settled = len(entries) == 0
}

// settleAfterDeadline marks the endpoint as settled once requests that a missing entry did
// not report must have ended.
func (e *endpoint) settleAfterDeadline(now time.Time) {
	if !e.settled && !now.Before(e.settleDeadline) {
		e.settled = true
		e.missingEntries = nil
	}
}

// nameSet returns the names as a set.
func nameSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// Inventory lists the slots that one entry uses on the endpoints of a group, and the ramp
// levels of these endpoints as the entry knows them.
type Inventory struct {
	Entry        string
	EntryStarted uint64 // when the entry's process started, in Unix milliseconds
	Group        string
	RequestedAt  time.Time // when the owner sent its request for the inventory
	Promised     bool      // the entry recognises this node as the group's owner
	Held         []HeldSlot
	Levels       []RampLevel
}

// ApplyInventory updates the slots from an entry's inventory. Listed slots that the table
// does not know are added. Slots of the entry that are not listed are freed, unless the
// entry may still start to use them.
func (t *Table) ApplyInventory(now time.Time, inv Inventory) []Decision {
	listed := make(map[string]bool, len(inv.Held))
	for _, h := range inv.Held {
		listed[h.Slot] = true
		t.addHeldSlot(now, inv, h)
	}
	for _, e := range t.endpoints {
		if e.cfg.Group == inv.Group {
			t.freeUnlistedSlots(e, inv, listed)
			if inv.Promised {
				e.inventoryReceived(inv.Entry)
			}
		}
	}
	if l := t.leases[inv.Group]; l != nil && inv.Promised {
		delete(l.missingEntries, inv.Entry)
	}
	for _, l := range inv.Levels {
		if e, ok := t.endpoints[l.Endpoint]; ok {
			e.applyRampLevel(l)
		}
	}
	return t.grantQueued(now, inv.Group)
}

// addHeldSlot adds a slot that an entry holds, unless it is known or has been released.
func (t *Table) addHeldSlot(now time.Time, inv Inventory, h HeldSlot) {
	e, ok := t.endpoints[h.Endpoint]
	if !ok || t.bySlot[h.Slot] != nil || t.releasedSlots.Contains(h.Slot) {
		return
	}
	e.slots[h.Slot] = &slot{
		id: h.Slot, entry: inv.Entry, entryStarted: inv.EntryStarted, workspace: h.Workspace, bootID: h.BootID, grantedAt: now, maxDuration: h.MaxDuration,
	}
	t.bySlot[h.Slot] = e
}

// freeUnlistedSlots frees the entry's slots that are missing from its inventory, if they were
// granted more than GrantTTL before the inventory was requested.
func (t *Table) freeUnlistedSlots(e *endpoint, inv Inventory, listed map[string]bool) {
	for id, s := range e.slots {
		if s.entry != inv.Entry || listed[id] || !s.lingersUntil.IsZero() {
			continue
		}
		if s.grantedAt.Add(GrantTTL).Before(inv.RequestedAt) {
			delete(e.slots, id)
			delete(t.bySlot, id)
		}
	}
}

// inventoryReceived removes an entry from those whose inventory is missing. The endpoint is
// settled when none is left.
func (e *endpoint) inventoryReceived(entry string) {
	if e.settled {
		return
	}
	delete(e.missingEntries, entry)
	e.settled = len(e.missingEntries) == 0
}

// DismissEntry frees the slots of an entry's processes that started before the given time.
// These processes have ended and their connections are closed, so none of their requests
// is still running.
func (t *Table) DismissEntry(now time.Time, entry string, before uint64) []Decision {
	for _, e := range t.endpoints {
		for id, s := range e.slots {
			if s.entry == entry && s.entryStarted < before {
				delete(e.slots, id)
				delete(t.bySlot, id)
			}
		}
		e.inventoryReceived(entry)
	}
	for _, l := range t.leases {
		delete(l.missingEntries, entry)
	}
	return t.grantAllQueued(now)
}

// Status is the state of one endpoint as reported to operators.
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
	Unavailable bool // gets no requests at the moment
	Leaving     bool // drained or leaving: gets no requests unless this is undone
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
			SlotLimit:   e.slotLimit(),
			Cold:        e.isCold(),
			Settled:     e.settled,
			Unavailable: e.unavailable(now),
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

// MissingInventories returns, for each group with an unsettled endpoint, the entries whose
// inventory has not arrived.
func (t *Table) MissingInventories() map[string][]string {
	seen := make(map[string]map[string]bool)
	for _, e := range t.endpoints {
		if e.settled {
			continue
		}
		if seen[e.cfg.Group] == nil {
			seen[e.cfg.Group] = make(map[string]bool)
		}
		for name := range e.missingEntries {
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
