// Package cfvmember is the membership of the entry VMs: a SWIM-style table with
// incarnations, suspicion and bounded piggybacked updates.
package cfvmember

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Status is what a member is believed to be.
type Status int

// The statuses, from the weakest claim to the strongest at one incarnation.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusLeaving
	StatusDead
	StatusLeft // said by the member itself at its end: nothing of it runs any more
)

// String returns the status as operators read it.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[s]
}

// Member is one entry VM as its peers know it.
type Member struct {
	Name        string
	Address     string
	Region      string
	Domain      string
	StartMillis uint64 // when the process started, in milliseconds since 1970
	Incarnation uint64 // raised by the member itself to refute a claim about it
	Status      Status
}

// Serving reports whether the member may own groups.
func (m Member) Serving() bool {
	return m.Status == StatusAlive || m.Status == StatusSuspect
}

// Config configures a table.
type Config struct {
	Self             Member
	SuspicionTimeout time.Duration
	Rand             *rand.Rand
}

// MaxUpdates is the number of updates that one message carries.
const MaxUpdates = 12

// deadProbeEvery is how many probe turns pass between probes of dead members, which is
// how a split heals.
const deadProbeEvery = 4

// retransmitFactor scales how often one update is sent, times the logarithm of the fleet.
const retransmitFactor = 3

// Table holds what one node knows of all members. It is not safe for concurrent use.
type Table struct {
	cfg     Config
	members map[string]*entry
	order   []string
	next    int
	turns   int
	version uint64
}

type entry struct {
	member    Member
	suspected time.Time
	mine      bool // the suspicion comes from this node's own probe
	sent      int
	listed    bool
}

// New returns a table that holds only its own node.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, members: make(map[string]*entry)}
	t.members[cfg.Self.Name] = &entry{member: cfg.Self, listed: true}
	return t
}

// Version returns a number that changes whenever what is known of any member does.
func (t *Table) Version() uint64 { return t.version }

// Self returns the node's own record.
func (t *Table) Self() Member {
	return t.members[t.cfg.Self.Name].member
}

// SetList takes the platform's list of VMs. Unknown ones join as alive at start
// time zero; those neither listed nor alive are forgotten.
func (t *Table) SetList(list []Member) {
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Name] = true
		e, ok := t.members[m.Name]
		if !ok {
			m.StartMillis = 0
			m.Status = StatusAlive
			e = &entry{member: m}
			t.members[m.Name] = e
			t.version++
		}
		if e.member.StartMillis == 0 && m.Name != t.cfg.Self.Name && e.member.Address != m.Address {
			e.member.Address = m.Address
			t.version++
		}
	}
	for name, e := range t.members {
		if now := listed[name] || name == t.cfg.Self.Name; now != e.listed {
			e.listed = now
			t.version++
		}
		if !e.listed && e.member.Status >= StatusLeaving {
			delete(t.members, name)
			t.version++
		}
	}
}

// Leave marks the own node as leaving.
func (t *Table) MarkLeaving() {
	self := t.members[t.cfg.Self.Name]
	t.version++
	self.member.Status = StatusLeaving
	self.member.Incarnation++
	self.sent = 0
}

// Left marks the node as ended; it is the last thing that it says.
func (t *Table) MarkLeft() {
	self := t.members[t.cfg.Self.Name]
	t.version++
	self.member.Status = StatusLeft
	self.member.Incarnation++
}

// NextProbe returns the member to probe now, in shuffled rounds. Dead members that are
// still listed get one turn in a few.
func (t *Table) NextProbe() (m Member, ok bool) {
	t.turns++
	wantDead := t.turns%deadProbeEvery == 0
	for range 2 * (len(t.members) + 1) {
		if t.next >= len(t.order) {
			t.shuffle()
		}
		if len(t.order) == 0 {
			return m, false
		}
		e, known := t.members[t.order[t.next]]
		t.next++
		if !known {
			continue
		}
		dead := e.member.Status >= StatusDead
		if !dead || wantDead {
			return e.member, true
		}
	}
	return m, false
}

func (t *Table) shuffle() {
	t.order = t.order[:0]
	for name := range t.members {
		if name != t.cfg.Self.Name {
			t.order = append(t.order, name)
		}
	}
	sort.Strings(t.order)
	t.cfg.Rand.Shuffle(len(t.order), func(i, j int) {
		t.order[i], t.order[j] = t.order[j], t.order[i]
	})
	t.next = 0
}

// Helpers returns up to n members that can be asked to probe the target.
func (t *Table) Helpers(target string, n int) []Member {
	var out []Member
	for _, m := range t.Members() {
		if m.Name != t.cfg.Self.Name && m.Name != target && m.Status == StatusAlive {
			out = append(out, m)
		}
	}
	t.cfg.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// ProbeFailed says that neither the member nor any helper answered.
func (t *Table) ProbeFailed(now time.Time, name string) {
	e, ok := t.members[name]
	if !ok || e.member.Status != StatusAlive {
		return
	}
	t.version++
	e.member.Status = StatusSuspect
	e.suspected = now
	e.mine = true
	e.sent = 0
}

// Recheck returns the members that this node's own probes made suspect, sorted by name.
// They are probed again each period, so that a lost message alone kills nobody.
func (t *Table) SuspectsToProbe() []Member {
	var out []Member
	for _, e := range t.members {
		if e.mine && e.member.Status == StatusSuspect {
			out = append(out, e.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Tick declares dead those that stayed suspect too long and returns their names.
func (t *Table) ExpireSuspects(now time.Time) []string {
	var out []string
	for name, e := range t.members {
		if e.member.Status == StatusSuspect && now.Sub(e.suspected) >= t.cfg.SuspicionTimeout {
			t.version++
			e.member.Status = StatusDead
			e.sent = 0
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Updates returns what to send to a peer: always the own record, what the peer has
// wrong about itself, then the updates sent least often.
func (t *Table) Updates(peer string) []Member {
	out := []Member{t.Self()}
	if e, ok := t.members[peer]; ok && e.member.Status != StatusAlive {
		out = append(out, e.member)
	}
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(len(t.members)+1))))
	var fresh []*entry
	for name, e := range t.members {
		if e.sent < limit && name != t.cfg.Self.Name && name != peer {
			fresh = append(fresh, e)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sent != fresh[j].sent {
			return fresh[i].sent < fresh[j].sent
		}
		return fresh[i].member.Name < fresh[j].member.Name
	})
	for _, e := range fresh {
		if len(out) >= MaxUpdates {
			break
		}
		e.sent++
		out = append(out, e.member)
	}
	return out
}

// Merge takes the updates of a peer. A claim against the own node is refuted by a new
// incarnation.
func (t *Table) Merge(now time.Time, updates []Member) {
	for _, m := range updates {
		if m.Name == t.cfg.Self.Name {
			t.refute(m)
			continue
		}
		t.mergeOne(now, m)
	}
}

func (t *Table) refute(m Member) {
	self := t.members[m.Name]
	if m.StartMillis != self.member.StartMillis || m.Status == self.member.Status {
		return
	}
	higher := m.Incarnation > self.member.Incarnation
	stronger := m.Incarnation == self.member.Incarnation && m.Status > self.member.Status
	if higher || stronger {
		self.member.Incarnation = m.Incarnation + 1
		self.sent = 0
	}
}

func (t *Table) mergeOne(now time.Time, m Member) {
	e, ok := t.members[m.Name]
	if !ok {
		if m.Status >= StatusDead {
			return
		}
		e = &entry{member: m, suspected: now}
		t.members[m.Name] = e
		t.version++
		return
	}
	if !supersedes(m, e.member) {
		return
	}
	if m.Status == StatusSuspect {
		e.suspected = now
	}
	t.version++
	e.member = m
	e.mine = false
	e.sent = 0
}

// supersedes reports whether the claim a replaces the claim b about one member.
func supersedes(a, b Member) bool {
	if a.StartMillis != b.StartMillis {
		return a.StartMillis > b.StartMillis
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Status > b.Status
}

// Get returns the record of a member.
func (t *Table) Get(name string) (Member, bool) {
	e, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return e.member, true
}

// Members returns every known member, sorted by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, e := range t.members {
		out = append(out, e.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Listed returns the names of the region's members on the platform's list, sorted, but
// for those that said themselves that they have ended. It is the head count that a
// majority is taken of: two majorities of it meet even if one counts a member that has
// ended, since such a member never promises anything.
func (t *Table) Listed(region string) []string {
	var out []string
	for name, e := range t.members {
		if e.listed && e.member.Region == region && e.member.Status != StatusLeft {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
