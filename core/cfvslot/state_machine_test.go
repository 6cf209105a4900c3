package cfvslot

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"coltsfootvalve/common/cfvseed"
	"coltsfootvalve/core/cfvowner"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

const (
	testGroup       = "assistant/r/d/0"
	testCold        = 2
	testWarm        = 8
	testLease       = 3 * time.Second
	testReportAge   = 500 * time.Millisecond
	testMaxDuration = 10 * time.Second
)

// fakeEndpoint records the requests that actually run on an endpoint.
type fakeEndpoint struct {
	boot      int
	startedAt time.Time                 // time of the boot
	successes int                       // successful requests since this boot
	running   map[string]runningRequest // by slot
}

type runningRequest struct {
	entry   int
	owner   int
	grant   Grant
	expires time.Time
}

func (e *fakeEndpoint) bootID(name string) string { return fmt.Sprintf("%s-%d", name, e.boot) }

// slots returns the slots of the running requests, sorted.
func (e *fakeEndpoint) slots() []string {
	return slices.Sorted(maps.Keys(e.running))
}

// endpointNames returns the names of the endpoints, sorted.
func (m *stateMachine) endpointNames() []string {
	return slices.Sorted(maps.Keys(m.endpoints))
}

// fakeEntry is an entry VM with its promises and the ramp levels that it knows.
type fakeEntry struct {
	started  uint64
	promises *cfvowner.Promises
	levels   map[string]RampLevel
}

// fakeOwner is an entry VM that may own the group. Both owners may own it at once.
type fakeOwner struct {
	table *Table
	lease *cfvowner.Lease
	owns  bool
}

// message is a message in transit: a grant, a release or a list of inventories.
type message struct {
	owner, entry  int
	sent          time.Time
	started       uint64
	grant         *Grant
	release       *Release
	inventories   []Inventory
	bootAfterLoss int // boot that followed the loss of a connection
}

// stateMachine runs actions of owners, entries and endpoints in any order, and delays,
// reorders and loses messages. It checks the requests that actually run on each endpoint.
type stateMachine struct {
	now        time.Time
	endpoints  map[string]*fakeEndpoint
	entries    []*fakeEntry
	owners     []*fakeOwner
	messages   []message
	slots      int
	configs    int
	dispatched int
	knownBoots map[[2]string]int // by owner and endpoint: the oldest boot that may still be current, as the owner knows it
}

func newStateMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{now: time.Unix(1_000_000, 0), knownBoots: make(map[[2]string]int), endpoints: make(map[string]*fakeEndpoint)}
	for i := range rapid.IntRange(1, 2).Draw(t, "endpoints") {
		m.endpoints[fmt.Sprintf("e%d", i)] = &fakeEndpoint{boot: 1, running: make(map[string]runningRequest)}
	}
	for range rapid.IntRange(3, 5).Draw(t, "entries") {
		m.entries = append(m.entries, m.newEntry(1))
	}
	for i := range 2 {
		o := &fakeOwner{table: New(), lease: cfvowner.NewLease()}
		m.owners = append(m.owners, o)
		m.configure(o, i == 0)
	}
	m.now = m.now.Add(testLease)
	m.settleOwner(0, noEntry)
	return m
}

func (m *stateMachine) newEntry(started uint64) *fakeEntry {
	return &fakeEntry{started: started, promises: cfvowner.NewPromises(m.now, testLease), levels: make(map[string]RampLevel)}
}

// names returns the names of the entries.
func (m *stateMachine) names() []string {
	var out []string
	for i := range m.entries {
		out = append(out, fmt.Sprintf("n%d", i))
	}
	return out
}

// configure lets an owner take over the group or give it up.
func (m *stateMachine) configure(o *fakeOwner, owns bool) {
	o.owns = owns
	for key := range m.knownBoots {
		if m.owners[0] == o && key[0] == m.names()[0] || m.owners[0] != o && key[0] == m.names()[1] {
			delete(m.knownBoots, key)
		}
	}
	m.configs++
	s := TableConfig{Epoch: fmt.Sprint("epoch", m.configs), Entries: m.names(), MaxRequestDuration: testMaxDuration}
	if owns {
		for _, name := range m.endpointNames() {
			s.Endpoints = append(s.Endpoints, EndpointConfig{
				Name: name, Group: testGroup, Address: name, ColdSlots: testCold, WarmSlots: testWarm, MinRampInterval: 100 * time.Millisecond, MaxReportAge: testReportAge,
			})
		}
	} else {
		o.lease = cfvowner.NewLease()
	}
	o.table.Configure(m.now, s)
}

func (m *stateMachine) drawOwner(t *rapid.T) int { return rapid.IntRange(0, 1).Draw(t, "owner") }
func (m *stateMachine) drawEntry(t *rapid.T) int {
	return rapid.IntRange(0, len(m.entries)-1).Draw(t, "entry")
}
func (m *stateMachine) drawEndpoint(t *rapid.T) string {
	return fmt.Sprintf("e%d", rapid.IntRange(0, len(m.endpoints)-1).Draw(t, "endpoint"))
}

// reserve requests a slot from an owner. A grant is then in transit.
func (m *stateMachine) reserve(t *rapid.T) {
	owner, entry := m.drawOwner(t), m.drawEntry(t)
	m.slots++
	id := fmt.Sprintf("s%d", m.slots)
	r := Request{
		Slot: id, Group: testGroup, Entry: m.names()[entry], EntryStarted: m.entries[entry].started,
		Workspace: "w", PromptKey: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "prompt"), MaxDuration: testMaxDuration,
	}
	for _, d := range m.owners[owner].table.Reserve(m.now, r) {
		if d.Grant != nil {
			m.checkKnown(t, owner, *d.Grant)
			m.messages = append(m.messages, message{owner: owner, entry: entry, sent: m.now, started: r.EntryStarted, grant: d.Grant})
		}
	}
}

// checkKnown checks that an owner that knows of a lost connection grants no more than the cold
// slots for the boot that ended, even if a late load report shows that boot again.
func (m *stateMachine) checkKnown(t *rapid.T, owner int, g Grant) {
	var boot int
	if _, err := fmt.Sscanf(g.Level.BootID, g.Endpoint+"-%d", &boot); err != nil {
		return
	}
	if oldest := m.knownBoots[[2]string{m.names()[owner], g.Endpoint}]; boot < oldest && g.Level.Slots > testCold {
		t.Fatalf("owner %d grants a slot for boot %d of %s, but it knows of boot %d", owner, boot, g.Endpoint, oldest)
	}
}

// skipMostly skips an action in four of five cases.
func skipMostly(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "rarely") > 0 {
		t.Skip("rare")
	}
}

// serve reserves a slot and delivers the grant immediately.
func (m *stateMachine) serve(t *rapid.T) {
	before := len(m.messages)
	m.reserve(t)
	if len(m.messages) > before {
		msg := m.messages[before]
		m.messages = m.messages[:before]
		m.dispatch(t, msg)
	}
}

// warmUp settles the endpoints of an owner and completes some requests, so that the endpoints
// warm up.
func (m *stateMachine) warmUp(t *rapid.T) {
	m.settle(t)
	for range rapid.IntRange(1, 20).Draw(t, "rounds") {
		m.serve(t)
		m.finishRequest(t)
		m.deliverAll(t)
		m.advance(t, 60)
	}
}

// deliverAll delivers all messages, the oldest first.
func (m *stateMachine) deliverAll(t *rapid.T) {
	for len(m.messages) > 0 {
		msg := m.messages[0]
		m.messages = m.messages[1:]
		m.receive(t, msg)
	}
}

// deliver delivers one message in transit.
func (m *stateMachine) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	m.messages = append(m.messages[:i], m.messages[i+1:]...)
	m.receive(t, msg)
}

// receive passes a message to its receiver.
func (m *stateMachine) receive(t *rapid.T, msg message) {
	o := m.owners[msg.owner]
	switch {
	case msg.grant != nil:
		m.dispatch(t, msg)
	case msg.release != nil:
		o.table.Release(m.now, *msg.release)
		if msg.release.ConnectionLost {
			m.knownBoots[[2]string{m.names()[msg.owner], msg.release.Endpoint}] = msg.bootAfterLoss
		}
	default:
		m.applyInventories(o, msg)
	}
}

// dispatch lets an entry use a grant under the same conditions as cfvplace.Entry does, and
// checks the limits of the endpoint.
func (m *stateMachine) dispatch(t *rapid.T, msg message) {
	entry, g := m.entries[msg.entry], *msg.grant
	late := m.now.Sub(msg.sent) > g.QueueTime+GrantTTL
	notRecognised := !entry.promises.Allows(m.now, testGroup, g.Epoch)
	if late || notRecognised || entry.started != msg.started {
		m.messages = append(m.messages, message{owner: msg.owner, release: &Release{Slot: g.Slot, Endpoint: g.Endpoint}})
		return
	}
	e := m.endpoints[g.Endpoint]
	entry.levels[g.Endpoint] = g.Level
	e.running[g.Slot] = runningRequest{msg.entry, msg.owner, g, m.now.Add(testMaxDuration)}
	m.dispatched++
	m.checkCold(t, g.Endpoint, g)
	m.checkWarm(t, g.Endpoint)
}

// checkCold checks that the requests on a cold endpoint, granted by owners that knew its boot,
// don't exceed the slots that the ramp can have reached.
func (m *stateMachine) checkCold(t *rapid.T, name string, g Grant) {
	e := m.endpoints[name]
	if g.Level.BootID != e.bootID(name) {
		return
	}
	n := 0
	for _, r := range e.running {
		if r.grant.Level.BootID == e.bootID(name) {
			n++
		}
	}
	if bound := maxRampSlots(e.successes); n > bound {
		t.Fatalf("endpoint %s runs %d requests after %d successes since its boot", name, n, e.successes)
	}
}

// maxRampSlots returns the largest number of slots that a ramp can have reached after the given
// number of successes. Each doubling takes as many successes as there were slots. While two
// owners of a warm endpoint overlap, each may grant all of its slots.
func maxRampSlots(successes int) int {
	slots := testCold
	for successes >= slots && slots < testWarm {
		successes -= slots
		slots *= 2
	}
	if slots >= testWarm {
		return 2 * testWarm
	}
	return slots
}

// checkWarm checks that the requests granted in each epoch don't exceed the endpoint's slots,
// and that all of them don't exceed twice the slots while at most two epochs overlap.
func (m *stateMachine) checkWarm(t *rapid.T, name string) {
	byEpoch := make(map[string]int)
	total := 0
	for _, r := range m.endpoints[name].running {
		byEpoch[r.grant.Epoch]++
		total++
	}
	for epoch, n := range byEpoch {
		if n > testWarm {
			t.Fatalf("endpoint %s runs %d requests of epoch %s", name, n, epoch)
		}
	}
	if len(byEpoch) <= 2 && total > 2*testWarm {
		t.Fatalf("endpoint %s runs %d requests", name, total)
	}
}

// loseMessage drops a message. An entry whose grant is lost releases the slot.
func (m *stateMachine) loseMessage(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message in transit")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	msg := m.messages[i]
	m.messages = append(m.messages[:i], m.messages[i+1:]...)
	if msg.grant != nil {
		m.messages = append(m.messages, message{owner: msg.owner, release: &Release{Slot: msg.grant.Slot, Endpoint: msg.grant.Endpoint}})
	}
}

// finishRequest ends a running request.
func (m *stateMachine) finishRequest(t *rapid.T) {
	name := m.drawEndpoint(t)
	e := m.endpoints[name]
	for _, slot := range e.slots() {
		r := e.running[slot]
		outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeDone, OutcomeDone, OutcomeFailed}).Draw(t, "outcome")
		m.endRequest(name, slot, r, outcome, e.bootID(name))
		break
	}
}

// endRequest ends a running request; its release is then in transit.
func (m *stateMachine) endRequest(name, slot string, r runningRequest, outcome Outcome, boot string) {
	delete(m.endpoints[name].running, slot)
	if outcome == OutcomeDone {
		m.endpoints[name].successes++
	}
	m.messages = append(m.messages, message{owner: r.owner, release: &Release{Slot: slot, Endpoint: name, Outcome: outcome, BootID: boot}})
}

// restartEndpoint restarts an endpoint without notice. Its running requests end, and the
// endpoint is cold again.
func (m *stateMachine) restartEndpoint(t *rapid.T) {
	skipMostly(t)
	name := m.drawEndpoint(t)
	e := m.endpoints[name]
	old := e.bootID(name)
	e.boot++
	e.startedAt = m.now
	e.successes = 0
	for _, slot := range e.slots() {
		r := e.running[slot]
		delete(e.running, slot)
		m.messages = append(m.messages, message{owner: r.owner, bootAfterLoss: e.boot, release: &Release{
			Slot: slot, Endpoint: name, Outcome: OutcomeFailed, ConnectionLost: true,
		}})
	}
	_ = old
}

// deliverLoadReport delivers a load report to an owner, possibly an outdated one.
func (m *stateMachine) deliverLoadReport(t *rapid.T) {
	name := m.drawEndpoint(t)
	boot := m.endpoints[name].boot
	fresh := m.now.Sub(m.endpoints[name].startedAt) >= testReportAge
	if boot > 1 && !fresh && rapid.Bool().Draw(t, "old") {
		boot--
	}
	m.owners[m.drawOwner(t)].table.ApplyLoadReport(m.now, name, LoadReport{BootID: fmt.Sprintf("%s-%d", name, boot)})
}

// requestInventories requests inventories from some of the entries; the responses are then in
// transit.
func (m *stateMachine) requestInventories(t *rapid.T) {
	owner := m.drawOwner(t)
	if !m.owners[owner].owns {
		t.Skip("not an owner")
	}
	msg := message{owner: owner, sent: m.now}
	all := rapid.Bool().Draw(t, "all")
	for i, entry := range m.entries {
		if !all && rapid.Bool().Draw(t, "unheard") {
			continue
		}
		msg.inventories = append(msg.inventories, m.inventory(i, entry, m.owners[owner].table.Epoch(testGroup)))
	}
	m.messages = append(m.messages, msg)
}

func (m *stateMachine) inventory(i int, entry *fakeEntry, owner string) Inventory {
	inv := Inventory{Entry: m.names()[i], EntryStarted: entry.started, Group: testGroup, RequestedAt: m.now}
	inv.Promised = entry.promises.Promise(m.now, testGroup, owner, testLease)
	for _, name := range m.endpointNames() {
		e := m.endpoints[name]
		for _, slot := range e.slots() {
			if r := e.running[slot]; r.entry == i {
				inv.Held = append(inv.Held, HeldSlot{Slot: slot, Endpoint: name, Workspace: "w", BootID: r.grant.Level.BootID, MaxDuration: testMaxDuration})
			}
		}
		if l, ok := entry.levels[name]; ok {
			inv.Levels = append(inv.Levels, l)
		}
	}
	return inv
}

func (m *stateMachine) applyInventories(o *fakeOwner, msg message) {
	if !o.owns || m.now.Sub(msg.sent) > 400*time.Millisecond {
		return
	}
	for _, inv := range msg.inventories {
		if inv.Promised {
			o.lease.Renew(inv.RequestedAt, inv.Entry, testLease)
		}
	}
	if until := o.lease.Until(m.now, m.names()); !until.IsZero() {
		o.table.SetLease(m.now, testGroup, until, m.names())
	}
	for _, inv := range msg.inventories {
		o.table.ApplyInventory(m.now, inv)
	}
}

// settle lets all entries, or all but one, send their inventories and promises to an owner.
func (m *stateMachine) settle(t *rapid.T) {
	if owner := m.drawOwner(t); m.owners[owner].owns {
		m.settleOwner(owner, m.drawSilentEntry(t))
	}
}

// noEntry is the silent entry when all entries respond.
const noEntry = -1

// drawSilentEntry draws an entry that does not respond, or noEntry.
func (m *stateMachine) drawSilentEntry(t *rapid.T) int {
	return rapid.IntRange(noEntry, len(m.entries)-1).Draw(t, "silent")
}

func (m *stateMachine) settleOwner(owner, silent int) {
	o := m.owners[owner]
	for _, name := range m.endpointNames() {
		o.table.ApplyLoadReport(m.now, name, LoadReport{BootID: m.endpoints[name].bootID(name)})
	}
	msg := message{owner: owner, sent: m.now}
	for i, entry := range m.entries {
		if i != silent {
			msg.inventories = append(msg.inventories, m.inventory(i, entry, m.owners[owner].table.Epoch(testGroup)))
		}
	}
	m.applyInventories(o, msg)
}

// changeOwner changes the ownership of the group. Both owners may own it, or none.
func (m *stateMachine) changeOwner(t *rapid.T) {
	skipMostly(t)
	m.configure(m.owners[m.drawOwner(t)], rapid.Bool().Draw(t, "owns"))
}

// takeOverGroup lets one owner grant the cold slots and the other one then take over the group.
func (m *stateMachine) takeOverGroup(t *rapid.T) {
	owner := m.drawOwner(t)
	m.configure(m.owners[owner], true)
	m.settleOwner(owner, noEntry)
	for range 4 {
		m.serve(t)
	}
	m.configure(m.owners[1-owner], true)
	if rapid.Bool().Draw(t, "gives up") {
		m.configure(m.owners[owner], false)
	}
	m.advance(t, rapid.SampledFrom([]int{1, 600, 3200}).Draw(t, "millis"))
	m.settleOwner(1-owner, m.drawSilentEntry(t))
	for range 4 {
		m.serve(t)
	}
}

// killEntry ends an entry's process and starts a new one. Each owner may be notified of it.
func (m *stateMachine) killEntry(t *rapid.T) {
	skipMostly(t)
	i := m.drawEntry(t)
	started := m.entries[i].started + 1
	m.entries[i] = m.newEntry(started)
	for _, e := range m.endpoints {
		for slot, r := range e.running {
			if r.entry == i {
				delete(e.running, slot)
			}
		}
	}
	for _, o := range m.owners {
		if rapid.Bool().Draw(t, "heard") {
			o.table.DismissEntry(m.now, m.names()[i], started)
		}
	}
}

func (m *stateMachine) passTime(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 1, 20, 20, 150, 150, 600, 3200}).Draw(t, "millis")
	m.advance(t, ms)
}

// advance advances the clock, ends expired requests and runs the owners' periodic task.
func (m *stateMachine) advance(t *rapid.T, ms int) {
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	for _, name := range m.endpointNames() {
		e := m.endpoints[name]
		for _, slot := range e.slots() {
			r := e.running[slot]
			if !m.now.Before(r.expires) {
				m.endRequest(name, slot, r, OutcomeFailed, e.bootID(name))
			}
		}
	}
	for _, o := range m.owners {
		o.table.Tick(m.now)
	}
}

// checkNoLeak ends all requests, delivers all messages and lets the owners request inventories
// once. Afterwards no slot may be in use.
func (m *stateMachine) checkNoLeak(t *rapid.T) {
	m.deliverAll(t)
	for _, name := range m.endpointNames() {
		e := m.endpoints[name]
		for _, slot := range e.slots() {
			r := e.running[slot]
			m.endRequest(name, slot, r, OutcomeDone, e.bootID(name))
		}
	}
	m.deliverAll(t)
	m.advance(t, 600)
	for owner, o := range m.owners {
		for i, entry := range m.entries {
			inv := m.inventory(i, entry, m.owners[owner].table.Epoch(testGroup))
			inv.Promised = false
			o.table.ApplyInventory(m.now, inv)
			o.table.DismissEntry(m.now, m.names()[i], entry.started)
		}
		for _, s := range o.table.Statuses(m.now) {
			if s.Held > 0 {
				t.Fatalf("owner %d still has %d slots in use on %s", owner, s.Held, s.Name)
			}
		}
	}
}

// TestRequestsNeverExceedTheSlotLimit checks that no endpoint runs more requests than its slots, with
// owner changes, inconsistent views of the ownership, restarts and lost messages.
func TestRequestsNeverExceedTheSlotLimit(t *testing.T) {
	dispatched := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"reserve":   m.reserve,
			"serve":     m.serve,
			"serve2":    m.serve,
			"serve3":    m.serve,
			"deliver":   m.deliver,
			"deliver2":  m.deliver,
			"deliver3":  m.deliver,
			"lose":      m.loseMessage,
			"churn":     m.warmUp,
			"takeOver":  m.takeOverGroup,
			"finish":    m.finishRequest,
			"finish2":   m.finishRequest,
			"restart":   m.restartEndpoint,
			"observe":   m.deliverLoadReport,
			"recognise": m.requestInventories,
			"settle":    m.settle,
			"handOver":  m.changeOwner,
			"kill":      m.killEntry,
			"pass":      m.passTime,
		})
		m.checkNoLeak(t)
		dispatched += m.dispatched
	})
	if dispatched == 0 {
		t.Fatal("no request was dispatched")
	}
	t.Logf("dispatched %d requests", dispatched)
}
