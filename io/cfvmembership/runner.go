// Package cfvmembership runs the membership of a node: it probes peers, reads the
// platform's VM list, and carries news between the nodes.
package cfvmembership

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/io/cfvpeer"
	"coltsfootvalve/io/cfvvmlist"
)

// helpers is the number of members asked to probe one that does not answer.
const helpers = 2

// Config configures a runner. The functions are its seams.
type Config struct {
	Self             cfvmember.Member
	ProbeInterval    time.Duration
	ProbeTimeout     time.Duration
	SuspicionTimeout time.Duration
	ListInterval     time.Duration
	Seed             uint64
	Log              cfvlog.Logger
	Metrics          *cfvmetric.Registry
	Probe            func(ctx context.Context, address string, p cfvpeer.Probe) (cfvpeer.ProbeReply, error)
	ReadList         func(ctx context.Context) ([]cfvvmlist.VM, error)
	LocalUpdates     func() cfvpeer.Gossip                  // what the node's other parts tell; nil for nothing
	ApplyUpdates     func(address string, n cfvpeer.Gossip) // what a peer told them; nil to drop it
	OnList           func(vms []cfvvmlist.VM)               // the platform's list; nil to drop it
	OnProcessesEnded func(name string, before uint64)       // processes of a VM that have ended
}

// Runner keeps the membership table of one node.
type Runner struct {
	cfg Config

	mu    sync.Mutex
	table *cfvmember.Table
	view  View              // the latest one built
	known map[string]uint64 // start times seen, to notice restarts
}

// New returns a runner that knows only its own node.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, known: make(map[string]uint64), table: cfvmember.New(cfvmember.Config{
		Self:             cfg.Self,
		SuspicionTimeout: cfg.SuspicionTimeout,
		Rand:             rand.New(rand.NewPCG(cfg.Seed, cfg.Self.StartMillis)),
	})}
}

// Run probes and reads the list until the context ends.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	r.readList(ctx)
	wg.Go(func() { cfvclock.Every(ctx, r.cfg.ListInterval, r.readList) })
	wg.Go(func() { cfvclock.Every(ctx, r.cfg.ProbeInterval, r.probeNext) })
	wg.Wait()
}

func (r *Runner) readList(ctx context.Context) {
	vms, err := r.cfg.ReadList(ctx)
	if err != nil {
		r.cfg.Metrics.Count("membership.listFailed", 1)
		r.cfg.Log.Debug("The VM list can't be read: %v.", err)
		return
	}
	var list []cfvmember.Member
	for _, vm := range vms {
		if vm.Role == cfvvmlist.RoleEntry {
			list = append(list, cfvmember.Member{Name: vm.Name, Address: vm.Address, Region: vm.Region, Domain: vm.FailureDomain})
		}
	}
	r.mu.Lock()
	before := r.table.Members()
	r.table.SetList(list)
	removed := missing(before, r.table)
	r.mu.Unlock()
	for _, m := range removed {
		r.gone(m.Name, m.StartMillis+1)
	}
	if r.cfg.OnList != nil {
		r.cfg.OnList(vms)
	}
}

func missing(before []cfvmember.Member, t *cfvmember.Table) []cfvmember.Member {
	var out []cfvmember.Member
	for _, m := range before {
		if _, ok := t.Get(m.Name); !ok {
			out = append(out, m)
		}
	}
	return out
}

func (r *Runner) gone(name string, before uint64) {
	if r.cfg.OnProcessesEnded != nil {
		r.cfg.OnProcessesEnded(name, before)
	}
}

func (r *Runner) probeNext(ctx context.Context) {
	r.mu.Lock()
	for _, name := range r.table.ExpireSuspects(time.Now()) {
		r.cfg.Metrics.Count("membership.died", 1)
		r.cfg.Log.Warn("%s is dead: it did not refute the suspicion.", name)
	}
	suspects := r.table.SuspectsToProbe()
	m, ok := r.table.NextProbe()
	r.mu.Unlock()
	for _, s := range suspects {
		go r.exchange(ctx, s, nil)
	}
	if ok {
		r.probe(ctx, m)
	}
}

// probe probes one member, then through helpers if it does not answer.
func (r *Runner) probe(ctx context.Context, m cfvmember.Member) {
	if r.exchange(ctx, m, nil) {
		return
	}
	if r.throughHelpers(ctx, m) {
		return
	}
	r.mu.Lock()
	r.table.ProbeFailed(time.Now(), m.Name)
	r.mu.Unlock()
	r.cfg.Metrics.Count("membership.probeFailed", 1)
}

// exchange sends one probe to m and reports whether the member, or the target through
// it, answered.
func (r *Runner) exchange(ctx context.Context, m cfvmember.Member, target *cfvmember.Member) bool {
	within := r.cfg.ProbeTimeout
	if target != nil {
		within *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	r.mu.Lock()
	p := cfvpeer.Probe{From: r.table.Self(), Target: target, Gossip: r.news(m.Name)}
	r.mu.Unlock()
	reply, err := r.cfg.Probe(ctx, m.Address, p)
	if err != nil || reply.Name != m.Name {
		return false
	}
	r.take(m.Address, reply.Gossip)
	return reply.Answered
}

func (r *Runner) throughHelpers(ctx context.Context, m cfvmember.Member) bool {
	r.mu.Lock()
	list := r.table.Helpers(m.Name, helpers)
	r.mu.Unlock()
	answers := make(chan bool, len(list))
	for _, h := range list {
		go func() { answers <- r.exchange(ctx, h, &m) }()
	}
	for range list {
		if <-answers {
			return true
		}
	}
	return false
}

// news returns what to tell a peer; the caller holds the lock.
func (r *Runner) news(peer string) cfvpeer.Gossip {
	var n cfvpeer.Gossip
	if r.cfg.LocalUpdates != nil {
		n = r.cfg.LocalUpdates()
	}
	n.Updates = r.table.Updates(peer)
	return n
}

func (r *Runner) take(address string, n cfvpeer.Gossip) {
	r.mu.Lock()
	r.table.Merge(time.Now(), n.Updates)
	restarted := r.restarts(n.Updates)
	r.mu.Unlock()
	for _, m := range restarted {
		r.gone(m.Name, m.StartMillis)
	}
	if r.cfg.ApplyUpdates != nil {
		r.cfg.ApplyUpdates(address, n)
	}
}

// restarts returns the members whose process has ended since they were last seen, with
// the start time that all of their ended processes lie before.
func (r *Runner) restarts(updates []cfvmember.Member) []cfvmember.Member {
	var out []cfvmember.Member
	for _, m := range updates {
		if m.Status == cfvmember.StatusLeft && m.Name != r.cfg.Self.Name && r.known[m.Name] == m.StartMillis {
			m.StartMillis++
			out = append(out, m)
		}
		if m.StartMillis <= r.known[m.Name] {
			continue
		}
		if r.known[m.Name] != 0 {
			out = append(out, m)
		}
		r.known[m.Name] = m.StartMillis
	}
	return out
}

// HandleProbe answers a peer's probe.
func (r *Runner) HandleProbe(p cfvpeer.Probe) cfvpeer.ProbeReply {
	r.take(p.From.Address, p.Gossip)
	answered := true
	if p.Target != nil {
		answered = r.exchange(context.Background(), *p.Target, nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return cfvpeer.ProbeReply{Name: r.cfg.Self.Name, Answered: answered, Gossip: r.news(p.From.Name)}
}

// Leave marks the node as leaving and tells every serving member at once.
func (r *Runner) AnnounceLeaving(ctx context.Context) {
	r.mu.Lock()
	r.table.MarkLeaving()
	r.mu.Unlock()
	r.Broadcast(ctx, cfvpeer.Gossip{})
}

// Left tells every serving member that this node has ended and runs nothing more.
func (r *Runner) AnnounceLeft(ctx context.Context) {
	r.mu.Lock()
	r.table.MarkLeft()
	r.mu.Unlock()
	r.Broadcast(ctx, cfvpeer.Gossip{})
}

// Tell tells every serving member the news at once. It is for what can't wait for gossip
// and comes seldom.
func (r *Runner) Broadcast(ctx context.Context, n cfvpeer.Gossip) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ProbeTimeout)
	defer cancel()
	r.mu.Lock()
	self := r.table.Self()
	members := r.table.Members()
	r.mu.Unlock()
	n.Updates = []cfvmember.Member{self}
	var wg sync.WaitGroup
	for _, m := range members {
		if m.Name != self.Name && m.Serving() {
			wg.Go(func() { _, _ = r.cfg.Probe(ctx, m.Address, cfvpeer.Probe{From: self, Gossip: n}) })
		}
	}
	wg.Wait()
}

// View is the membership at one moment. It is shared and must not be changed.
type View struct {
	Version uint64 // changes whenever the view does
	Members []cfvmember.Member
	Serving map[string][]string // names of the serving members, sorted, by region
	Listed  []string            // of the node's region
}

// AllServing returns the names of the serving members of every region, sorted.
func (v View) AllServing() []string {
	var out []string
	for _, list := range v.Serving {
		out = append(out, list...)
	}
	sort.Strings(out)
	return out
}

// View returns the membership now.
func (r *Runner) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Members != nil && r.view.Version == r.table.Version() {
		return r.view
	}
	v := View{
		Version: r.table.Version(),
		Members: r.table.Members(),
		Serving: make(map[string][]string),
		Listed:  r.table.Listed(r.cfg.Self.Region),
	}
	for _, m := range v.Members {
		if m.Serving() {
			v.Serving[m.Region] = append(v.Serving[m.Region], m.Name)
		}
	}
	r.view = v
	return v
}

// Address returns a member's address; empty if it is not known.
func (r *Runner) Address(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, _ := r.table.Get(name)
	return m.Address
}
