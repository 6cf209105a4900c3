package cfvnode

import (
	"context"
	"fmt"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvbooking"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvbook"
	"coltsfootvalve/io/cfvoperator"
	"coltsfootvalve/io/cfvpeer"
	"coltsfootvalve/io/cfvsettings"
	"coltsfootvalve/io/cfvvmlist"
)

// news returns what this node tells with each probe.
func (n *Node) news() cfvpeer.Gossip {
	clearances, verdicts := n.moves.Updates()
	return cfvpeer.Gossip{
		SettingsRevision: n.settings.Revision(), Suspicions: n.suspicions.Updates(), Clearances: clearances, Verdicts: verdicts,
	}
}

// takeNews takes what a peer told.
func (n *Node) takeNews(address string, news cfvpeer.Gossip) {
	n.settings.ObservePeerRevision(n.ctx, address, news.SettingsRevision)
	n.suspicions.Merge(news.Suspicions)
	n.moves.Apply(news.Clearances, news.Verdicts)
}

// takeList notes the endpoints that the platform calls leaving.
func (n *Node) takeList(vms []cfvvmlist.VM) {
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.Role == cfvvmlist.RoleEndpoint && vm.State == cfvvmlist.StateLeaving {
			leaving[vm.Address] = true
		}
	}
	if n.owner.SetLeaving(leaving) {
		n.owner.Configure(n.settings.Catalog(), n.members.View())
	}
}

func (n *Node) entryGone(name string, before uint64) {
	n.owner.DismissEntry(name, before)
	n.limits.entryGone(name, before)
}

// alive reports whether the entry's process may still be running.
func (n *Node) alive(entry string, started uint64) bool {
	for _, m := range n.members.View().Members {
		if m.Name == entry {
			return m.StartMillis == started && m.Status.String() != "dead"
		}
	}
	return false
}

// address returns a member's address, or an error that names it.
func (n *Node) address(member string) (string, error) {
	if a := n.members.Address(member); a != "" {
		return a, nil
	}
	return "", fmt.Errorf("member %q: address not known", member)
}

func (n *Node) recognise(ctx context.Context, entry string, r cfvpeer.Recognise) (cfvslot.Inventory, error) {
	if entry == n.cfg.Name {
		return n.entry.Recognise(r), nil
	}
	a, err := n.address(entry)
	if err != nil {
		return cfvslot.Inventory{}, err
	}
	return n.peers.Recognise(ctx, a, r)
}

func (n *Node) reserve(ctx context.Context, owner string, r cfvslot.Request) (cfvslot.Decision, error) {
	if owner == n.cfg.Name {
		return n.owner.Reserve(ctx.Done(), r), nil
	}
	a, err := n.address(owner)
	if err != nil {
		return cfvslot.Decision{}, err
	}
	return n.peers.Reserve(ctx, a, r)
}

func (n *Node) release(ctx context.Context, owner string, list []cfvslot.Release) error {
	if owner == n.cfg.Name {
		n.owner.Release(list)
		return nil
	}
	a, err := n.address(owner)
	if err != nil {
		return err
	}
	return n.peers.Release(ctx, a, list)
}

func (n *Node) report(ctx context.Context, judge string, r cfvpeer.Report) error {
	a, err := n.address(judge)
	if err != nil {
		return err
	}
	return n.peers.Report(ctx, a, r)
}

// writeSettings accepts a change that the system itself makes.
func (n *Node) writeSettings(ctx context.Context, changes []cfvtree.Change) error {
	_, err := n.settings.Propose(ctx, cfvsettings.Proposal{Author: n.cfg.Name, Changes: changes})
	return err
}

func (n *Node) writerOf(key string) string {
	return cfvbook.WriterOf(key, n.members.View().AllServing())
}

func (n *Node) claim(ctx context.Context, c cfvbooking.Claim) (cfvpeer.ClaimReply, error) {
	writer := n.writerOf(c.Key)
	if writer == n.cfg.Name {
		return n.desk.Claim(ctx.Done(), c), nil
	}
	a, err := n.address(writer)
	if err != nil {
		return cfvpeer.ClaimReply{}, cfverror.NotRun(cfverror.ReasonClaimUnavailable, "%v", err)
	}
	return n.peers.Claim(ctx, a, c)
}

func (n *Node) conclude(ctx context.Context, c cfvbooking.Conclusion) (bool, error) {
	writer := n.writerOf(c.Key)
	if writer == n.cfg.Name {
		return n.desk.Conclude(ctx.Done(), c), nil
	}
	a, err := n.address(writer)
	if err != nil {
		return false, err
	}
	return n.peers.Conclude(ctx, a, c)
}

// status returns what operators see of the node.
func (n *Node) status() cfvoperator.StatusJSON {
	out := cfvoperator.StatusJSON{
		Node: n.cfg.Name, Revision: n.settings.Revision(), Running: n.callers.RunningRequests(),
		InUse: n.entry.InUse(), Stopping: n.callers.Leaving(),
		Members: []cfvoperator.MemberJSON{}, Endpoints: []cfvoperator.EndpointJSON{}, Moves: []cfvoperator.MoveJSON{},
	}
	for _, m := range n.members.View().Members {
		out.Members = append(out.Members, cfvoperator.MemberJSON{
			Name: m.Name, Address: m.Address, Region: m.Region, FailureDomain: m.Domain,
			Status: m.Status.String(), Incarnation: m.Incarnation,
		})
	}
	for _, s := range n.owner.Statuses() {
		out.Endpoints = append(out.Endpoints, cfvoperator.EndpointJSON{
			Name: s.Name, Group: s.Group, Address: s.Address, Version: s.Version, BootID: s.BootID,
			Held: s.Held, Bound: s.SlotLimit, Cold: s.Cold, Settled: s.Settled, Shut: s.Unavailable, Waiting: s.Waiting,
		})
	}
	for _, m := range n.moves.Statuses() {
		out.Moves = append(out.Moves, cfvoperator.MoveJSON{
			Service: m.Plan.Service, From: m.Plan.From, To: m.Plan.To, State: m.State, Share: m.Share,
			Deadline: m.Plan.Deadline.UTC().Format(time.RFC3339), Cause: m.Cause,
		})
	}
	return out
}

// Address returns the callers' address.
func (n *Node) Address() string { return n.cfg.CallerAddress }
