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

// localUpdates returns the updates that this node sends with each probe.
func (n *Node) localUpdates() cfvpeer.Gossip {
	clearances, verdicts := n.moves.Updates()
	return cfvpeer.Gossip{
		SettingsRevision: n.settings.Revision(), Suspicions: n.quarantine.Updates(), Clearances: clearances, Verdicts: verdicts,
	}
}

// applyUpdates applies the updates that a peer has sent.
func (n *Node) applyUpdates(address string, updates cfvpeer.Gossip) {
	n.settings.ObservePeerRevision(n.ctx, address, updates.SettingsRevision)
	n.quarantine.Merge(updates.Suspicions)
	n.moves.Apply(updates.Clearances, updates.Verdicts)
}

// applyVMList passes the endpoints that the VM list marks as leaving to the owner and the entry.
func (n *Node) applyVMList(vms []cfvvmlist.VM) {
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.Role == cfvvmlist.RoleEndpoint && vm.State == cfvvmlist.StateLeaving {
			leaving[vm.Address] = true
		}
	}
	n.entry.SetLeaving(leaving)
	if n.owner.SetLeaving(leaving) {
		n.owner.Configure(n.settings.Catalog(), n.members.View())
	}
}

// dismissEntry releases the slots and admissions of an entry's processes that started before
// the given time.
func (n *Node) dismissEntry(name string, before uint64) {
	n.owner.DismissEntry(name, before)
	n.limits.dismissEntry(name, before)
}

// isEntryAlive reports whether the process of an entry may still be running.
func (n *Node) isEntryAlive(entry string, startMillis uint64) bool {
	for _, m := range n.members.View().Members {
		if m.Name == entry {
			return m.StartMillis == startMillis && m.Status.String() != "dead"
		}
	}
	return false
}

// memberAddress returns the peer address of a member, or an error that names the member.
func (n *Node) memberAddress(member string) (string, error) {
	if a := n.members.Address(member); a != "" {
		return a, nil
	}
	return "", fmt.Errorf("member %q: address not known", member)
}

func (n *Node) recognise(ctx context.Context, entry string, r cfvpeer.Recognise) (cfvslot.Inventory, error) {
	if entry == n.cfg.Name {
		return n.entry.Recognise(r), nil
	}
	a, err := n.memberAddress(entry)
	if err != nil {
		return cfvslot.Inventory{}, err
	}
	return n.peers.Recognise(ctx, a, r)
}

func (n *Node) reserve(ctx context.Context, owner string, r cfvslot.Request) (cfvslot.Decision, error) {
	if owner == n.cfg.Name {
		return n.owner.Reserve(ctx.Done(), r), nil
	}
	a, err := n.memberAddress(owner)
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
	a, err := n.memberAddress(owner)
	if err != nil {
		return err
	}
	return n.peers.Release(ctx, a, list)
}

func (n *Node) report(ctx context.Context, judge string, r cfvpeer.Report) error {
	a, err := n.memberAddress(judge)
	if err != nil {
		return err
	}
	return n.peers.Report(ctx, a, r)
}

// writeSettings proposes settings changes with the node as their author.
func (n *Node) writeSettings(ctx context.Context, changes []cfvtree.Change) error {
	_, err := n.settings.Propose(ctx, cfvsettings.Proposal{Author: n.cfg.Name, Changes: changes})
	return err
}

// bookingWriter returns the name of the entry that writes the bookings with a key.
func (n *Node) bookingWriter(key string) string {
	return cfvbook.WriterOf(key, n.members.View().AllServing())
}

func (n *Node) claim(ctx context.Context, c cfvbooking.Claim) (cfvpeer.ClaimReply, error) {
	writer := n.bookingWriter(c.Key)
	if writer == n.cfg.Name {
		return n.bookings.Claim(ctx.Done(), c), nil
	}
	a, err := n.memberAddress(writer)
	if err != nil {
		return cfvpeer.ClaimReply{}, cfverror.NotRun(cfverror.ReasonClaimUnavailable, "%v", err)
	}
	return n.peers.Claim(ctx, a, c)
}

func (n *Node) conclude(ctx context.Context, c cfvbooking.Conclusion) (bool, error) {
	writer := n.bookingWriter(c.Key)
	if writer == n.cfg.Name {
		return n.bookings.Conclude(ctx.Done(), c), nil
	}
	a, err := n.memberAddress(writer)
	if err != nil {
		return false, err
	}
	return n.peers.Conclude(ctx, a, c)
}

// status returns the status of the node for the operator API.
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

// Address returns the address on which the node accepts requests.
func (n *Node) Address() string { return n.cfg.CallerAddress }
