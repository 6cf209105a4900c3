// Package cfvmember implements the membership table of the entry VMs in the manner of SWIM,
// with incarnations, suspicion and a bounded number of piggybacked updates.
package cfvmember

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// Status is the status of a member as this node knows it.
type Status int

// The statuses, ordered from the weakest to the strongest claim about one incarnation.
const (
	StatusAlive Status = iota
	StatusSuspect
	StatusLeaving
	StatusDead
	StatusLeft // announced by the member itself when its process has ended all work
)

// String returns the name of the status as shown to operators.
func (s Status) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[s]
}

// Member is what a node knows of one entry VM.
type Member struct {
	Name        string
	Address     string
	Region      string
	Domain      string
	StartMillis uint64 // when the process started, in milliseconds since 1970
	Incarnation uint64 // increased by the member itself to refute a claim about it
	Status      Status
}

// Serving reports whether the member may own groups.
func (m Member) Serving() bool {
	return m.Status == StatusAlive || m.Status == StatusSuspect
}

// Config configures a Table.
type Config struct {
	Self             Member
	SuspicionTimeout time.Duration
	Rand             *rand.Rand
}

// MaxUpdates is the maximum number of updates in one message.
const MaxUpdates = 12

// deadProbeInterval is the interval of the probes that may go to dead members, counted in
// probes. They let the members find each other again after a network partition.
const deadProbeInterval = 4

// retransmitFactor times the binary logarithm of the number of members is how often one update
// is sent.
const retransmitFactor = 3

// Table holds what one node knows of all members. It is not safe for concurrent use.
type Table struct {
	cfg        Config
	members    map[string]*record
	probeOrder []string
	nextProbe  int
	probeCount int
	version    uint64
}

// record is a member with the state that this node keeps about it.
type record struct {
	member           Member
	suspectedAt      time.Time
	suspectedByProbe bool // a failed probe of this node caused the suspicion
	sentCount        int
	listed           bool
}

// New returns a table that holds only its own node.
func New(cfg Config) *Table {
	t := &Table{cfg: cfg, members: make(map[string]*record)}
	t.members[cfg.Self.Name] = &record{member: cfg.Self, listed: true}
	return t
}

// Version returns a number that changes whenever the record of any member changes.
func (t *Table) Version() uint64 { return t.version }

// Self returns the record of the node itself.
func (t *Table) Self() Member {
	return t.members[t.cfg.Self.Name].member
}

// SetList applies the platform's list of VMs. Unknown VMs are added as alive with start time
// zero. Members that are not listed and are leaving, dead or left are removed.
func (t *Table) SetList(list []Member) {
	listed := make(map[string]bool, len(list))
	for _, m := range list {
		listed[m.Name] = true
		r, ok := t.members[m.Name]
		if !ok {
			m.StartMillis = 0
			m.Status = StatusAlive
			r = &record{member: m}
			t.members[m.Name] = r
			t.version++
		}
		if r.member.StartMillis == 0 && m.Name != t.cfg.Self.Name && r.member.Address != m.Address {
			r.member.Address = m.Address
			t.version++
		}
	}
	for name, r := range t.members {
		if isListed := listed[name] || name == t.cfg.Self.Name; isListed != r.listed {
			r.listed = isListed
			t.version++
		}
		if !r.listed && r.member.Status >= StatusLeaving {
			delete(t.members, name)
			t.version++
		}
	}
}

// MarkLeaving marks the node itself as leaving.
func (t *Table) MarkLeaving() {
	self := t.members[t.cfg.Self.Name]
	t.version++
	self.member.Status = StatusLeaving
	self.member.Incarnation++
	self.sentCount = 0
}

// MarkLeft marks the node itself as left, before its last message to its peers.
func (t *Table) MarkLeft() {
	self := t.members[t.cfg.Self.Name]
	t.version++
	self.member.Status = StatusLeft
	self.member.Incarnation++
}

// NextProbe returns the member to probe now, in shuffled rounds. Dead members that are still
// in the table may be probed only with one probe in deadProbeInterval.
func (t *Table) NextProbe() (m Member, ok bool) {
	t.probeCount++
	probeDead := t.probeCount%deadProbeInterval == 0
	for range 2 * (len(t.members) + 1) {
		if t.nextProbe >= len(t.probeOrder) {
			t.shuffleProbeOrder()
		}
		if len(t.probeOrder) == 0 {
			return m, false
		}
		r, known := t.members[t.probeOrder[t.nextProbe]]
		t.nextProbe++
		if !known {
			continue
		}
		dead := r.member.Status >= StatusDead
		if !dead || probeDead {
			return r.member, true
		}
	}
	return m, false
}

// shuffleProbeOrder starts a new round of probes.
func (t *Table) shuffleProbeOrder() {
	t.probeOrder = t.probeOrder[:0]
	for name := range t.members {
		if name != t.cfg.Self.Name {
			t.probeOrder = append(t.probeOrder, name)
		}
	}
	sort.Strings(t.probeOrder)
	t.cfg.Rand.Shuffle(len(t.probeOrder), func(i, j int) {
		t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i]
	})
	t.nextProbe = 0
}

// Helpers returns up to n random alive members for indirect probes of the target.
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

// ProbeFailed records that neither the member nor any helper responded. An alive member becomes
// suspect.
func (t *Table) ProbeFailed(now time.Time, name string) {
	r, ok := t.members[name]
	if !ok || r.member.Status != StatusAlive {
		return
	}
	t.version++
	r.member.Status = StatusSuspect
	r.suspectedAt = now
	r.suspectedByProbe = true
	r.sentCount = 0
}

// SuspectsToProbe returns the members that this node's own probes made suspect, sorted by name.
// They are probed again in each interval, so that no member is declared dead because of a
// single lost message.
func (t *Table) SuspectsToProbe() []Member {
	var out []Member
	for _, r := range t.members {
		if r.suspectedByProbe && r.member.Status == StatusSuspect {
			out = append(out, r.member)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ExpireSuspects declares dead the members that stayed suspect for the suspicion timeout, and
// returns their names.
func (t *Table) ExpireSuspects(now time.Time) []string {
	var out []string
	for name, r := range t.members {
		if r.member.Status == StatusSuspect && now.Sub(r.suspectedAt) >= t.cfg.SuspicionTimeout {
			t.version++
			r.member.Status = StatusDead
			r.sentCount = 0
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}

// Updates returns the updates to send to a peer: always the record of this node, the record of
// the peer if it is not alive in this table, so that the peer can refute it, then the updates sent
// least often.
func (t *Table) Updates(peer string) []Member {
	out := []Member{t.Self()}
	if r, ok := t.members[peer]; ok && r.member.Status != StatusAlive {
		out = append(out, r.member)
	}
	limit := retransmitFactor * int(math.Ceil(math.Log2(float64(len(t.members)+1))))
	var fresh []*record
	for name, r := range t.members {
		if r.sentCount < limit && name != t.cfg.Self.Name && name != peer {
			fresh = append(fresh, r)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].sentCount != fresh[j].sentCount {
			return fresh[i].sentCount < fresh[j].sentCount
		}
		return fresh[i].member.Name < fresh[j].member.Name
	})
	for _, r := range fresh {
		if len(out) >= MaxUpdates {
			break
		}
		r.sentCount++
		out = append(out, r.member)
	}
	return out
}

// Merge applies the updates of a peer. The node refutes a claim about itself with a new
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

// refute increases the node's incarnation if the claim would supersede its own record.
func (t *Table) refute(m Member) {
	self := t.members[m.Name]
	if m.StartMillis != self.member.StartMillis || m.Status == self.member.Status {
		return
	}
	higher := m.Incarnation > self.member.Incarnation
	stronger := m.Incarnation == self.member.Incarnation && m.Status > self.member.Status
	if higher || stronger {
		self.member.Incarnation = m.Incarnation + 1
		self.sentCount = 0
	}
}

func (t *Table) mergeOne(now time.Time, m Member) {
	r, ok := t.members[m.Name]
	if !ok {
		if m.Status >= StatusDead {
			return
		}
		r = &record{member: m, suspectedAt: now}
		t.members[m.Name] = r
		t.version++
		return
	}
	if !supersedes(m, r.member) {
		return
	}
	if m.Status == StatusSuspect {
		r.suspectedAt = now
	}
	t.version++
	r.member = m
	r.suspectedByProbe = false
	r.sentCount = 0
}

// supersedes reports whether the claim a replaces the claim b about the same member.
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
	r, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return r.member, true
}

// Members returns all known members, sorted by name.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.members))
	for _, r := range t.members {
		out = append(out, r.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Listed returns the sorted names of the region's members on the platform's list, without
// those that have announced that they left. Majorities are counted over these members. Two
// majorities still overlap if one of them counts a member that has left, since such a member
// makes no promises any more.
func (t *Table) Listed(region string) []string {
	var out []string
	for name, r := range t.members {
		if r.listed && r.member.Region == region && r.member.Status != StatusLeft {
			out = append(out, name)
		}
	}
	sort.Strings(out)
	return out
}
