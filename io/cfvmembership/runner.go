// Package cfvmembership runs the membership protocol of a node. It probes peers, reads the
// platform's VM list and exchanges updates with the peers.
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

// maxHelpers is the number of members that are asked to probe a member that does not respond.
const maxHelpers = 2

// Config configures a Runner. Tests replace its functions.
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
	LocalUpdates     func() cfvpeer.Gossip                  // returns the updates of the node's other components; may be nil
	ApplyUpdates     func(address string, g cfvpeer.Gossip) // applies a peer's updates to them; may be nil
	OnList           func(vms []cfvvmlist.VM)               // is called with the platform's list; may be nil
	OnProcessesEnded func(name string, before uint64)       // is called when the processes of a VM that started before this time have ended; may be nil
}

// Runner maintains the membership table of one node.
type Runner struct {
	cfg Config

	mu          sync.Mutex
	table       *cfvmember.Table
	view        View              // cached; see Runner.View
	latestStart map[string]uint64 // latest start time by member, to detect restarts
}

// New returns a runner whose table holds only its own node.
func New(cfg Config) *Runner {
	return &Runner{cfg: cfg, latestStart: make(map[string]uint64), table: cfvmember.New(cfvmember.Config{
		Self:             cfg.Self,
		SuspicionTimeout: cfg.SuspicionTimeout,
		Rand:             rand.New(rand.NewPCG(cfg.Seed, cfg.Self.StartMillis)),
	})}
}

// Run probes peers and reads the VM list until the context is done.
func (r *Runner) Run(ctx context.Context) {
	var wg sync.WaitGroup
	r.readList(ctx)
	wg.Go(func() { cfvclock.Every(ctx, r.cfg.ListInterval, r.readList) })
	wg.Go(func() { cfvclock.Every(ctx, r.cfg.ProbeInterval, r.probeNext) })
	wg.Wait()
}

// readList reads the platform's VM list and applies it to the table.
func (r *Runner) readList(ctx context.Context) {
	vms, err := r.cfg.ReadList(ctx)
	if err != nil {
		r.cfg.Metrics.Count("membership.listFailed", 1)
		r.cfg.Log.Debug("Failed to read the VM list: %v.", err)
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
	removed := removedMembers(before, r.table)
	r.mu.Unlock()
	for _, m := range removed {
		r.processesEnded(m.Name, m.StartMillis+1)
	}
	if r.cfg.OnList != nil {
		r.cfg.OnList(vms)
	}
}

// removedMembers returns the members that are no longer in the table.
func removedMembers(before []cfvmember.Member, t *cfvmember.Table) []cfvmember.Member {
	var out []cfvmember.Member
	for _, m := range before {
		if _, ok := t.Get(m.Name); !ok {
			out = append(out, m)
		}
	}
	return out
}

func (r *Runner) processesEnded(name string, before uint64) {
	if r.cfg.OnProcessesEnded != nil {
		r.cfg.OnProcessesEnded(name, before)
	}
}

// probeNext probes the next member and all members that this node suspects.
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

// probe probes one member, and probes it through helpers if it does not respond. If that fails
// too, the member becomes suspect.
func (r *Runner) probe(ctx context.Context, m cfvmember.Member) {
	if r.exchange(ctx, m, nil) {
		return
	}
	if r.probeThroughHelpers(ctx, m) {
		return
	}
	r.mu.Lock()
	r.table.ProbeFailed(time.Now(), m.Name)
	r.mu.Unlock()
	r.cfg.Metrics.Count("membership.probeFailed", 1)
}

// exchange sends one probe to m and merges its reply. It reports whether the target responded
// to m or, without a target, whether m responded.
func (r *Runner) exchange(ctx context.Context, m cfvmember.Member, target *cfvmember.Member) bool {
	timeout := r.cfg.ProbeTimeout
	if target != nil {
		timeout *= 2
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r.mu.Lock()
	p := cfvpeer.Probe{From: r.table.Self(), Target: target, Gossip: r.updatesFor(m.Name)}
	r.mu.Unlock()
	reply, err := r.cfg.Probe(ctx, m.Address, p)
	if err != nil || reply.Name != m.Name {
		return false
	}
	r.merge(m.Address, reply.Gossip)
	return reply.Responded
}

// probeThroughHelpers asks helpers to probe a member and reports whether any of them got a
// response.
func (r *Runner) probeThroughHelpers(ctx context.Context, m cfvmember.Member) bool {
	r.mu.Lock()
	helpers := r.table.Helpers(m.Name, maxHelpers)
	r.mu.Unlock()
	responses := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() { responses <- r.exchange(ctx, h, &m) }()
	}
	for range helpers {
		if <-responses {
			return true
		}
	}
	return false
}

// updatesFor returns the updates to send to a peer. The caller must hold r.mu.
func (r *Runner) updatesFor(peer string) cfvpeer.Gossip {
	var gossip cfvpeer.Gossip
	if r.cfg.LocalUpdates != nil {
		gossip = r.cfg.LocalUpdates()
	}
	gossip.Updates = r.table.Updates(peer)
	return gossip
}

// merge applies the updates of a peer.
func (r *Runner) merge(address string, gossip cfvpeer.Gossip) {
	r.mu.Lock()
	r.table.Merge(time.Now(), gossip.Updates)
	ended := r.endedProcesses(gossip.Updates)
	r.mu.Unlock()
	for _, m := range ended {
		r.processesEnded(m.Name, m.StartMillis)
	}
	if r.cfg.ApplyUpdates != nil {
		r.cfg.ApplyUpdates(address, gossip)
	}
}

// endedProcesses returns the members of which a process has ended since the last update. All
// ended processes of a member started before the StartMillis of the returned record.
func (r *Runner) endedProcesses(updates []cfvmember.Member) []cfvmember.Member {
	var out []cfvmember.Member
	for _, m := range updates {
		if m.Status == cfvmember.StatusLeft && m.Name != r.cfg.Self.Name && r.latestStart[m.Name] == m.StartMillis {
			m.StartMillis++
			out = append(out, m)
		}
		if m.StartMillis <= r.latestStart[m.Name] {
			continue
		}
		if r.latestStart[m.Name] != 0 {
			out = append(out, m)
		}
		r.latestStart[m.Name] = m.StartMillis
	}
	return out
}

// HandleProbe handles a peer's probe. It probes the target, if there is one.
func (r *Runner) HandleProbe(p cfvpeer.Probe) cfvpeer.ProbeReply {
	r.merge(p.From.Address, p.Gossip)
	responded := true
	if p.Target != nil {
		responded = r.exchange(context.Background(), *p.Target, nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return cfvpeer.ProbeReply{Name: r.cfg.Self.Name, Responded: responded, Gossip: r.updatesFor(p.From.Name)}
}

// AnnounceLeaving marks the node as leaving and sends that to all serving members at once.
func (r *Runner) AnnounceLeaving(ctx context.Context) {
	r.mu.Lock()
	r.table.MarkLeaving()
	r.mu.Unlock()
	r.Broadcast(ctx, cfvpeer.Gossip{})
}

// AnnounceLeft announces to all serving members that this node has left and runs no more work.
func (r *Runner) AnnounceLeft(ctx context.Context) {
	r.mu.Lock()
	r.table.MarkLeft()
	r.mu.Unlock()
	r.Broadcast(ctx, cfvpeer.Gossip{})
}

// Broadcast sends updates to all serving members at once. It is meant for rare updates that
// must not wait for gossip.
func (r *Runner) Broadcast(ctx context.Context, gossip cfvpeer.Gossip) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.ProbeTimeout)
	defer cancel()
	r.mu.Lock()
	self := r.table.Self()
	members := r.table.Members()
	r.mu.Unlock()
	gossip.Updates = []cfvmember.Member{self}
	var wg sync.WaitGroup
	for _, m := range members {
		if m.Name != self.Name && m.Serving() {
			wg.Go(func() { _, _ = r.cfg.Probe(ctx, m.Address, cfvpeer.Probe{From: self, Gossip: gossip}) })
		}
	}
	wg.Wait()
}

// View is a snapshot of the membership. It is shared and must not be modified.
type View struct {
	Version uint64 // changes whenever the view changes
	Members []cfvmember.Member
	Serving map[string][]string // names of the serving members, sorted, by region
	Listed  []string            // names of the members in the node's region that majorities are counted over, sorted
}

// AllServing returns the sorted names of the serving members of all regions.
func (v View) AllServing() []string {
	var out []string
	for _, list := range v.Serving {
		out = append(out, list...)
	}
	sort.Strings(out)
	return out
}

// View returns the current membership.
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

// Address returns a member's address, or "" if it is unknown.
func (r *Runner) Address(name string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, _ := r.table.Get(name)
	return m.Address
}
