package cfvnode

import (
	"context"
	"sync"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/io/cfvpeer"
)

// limits enforces the limits of workspaces. Each workspace has one owner in the region, which
// counts its requests. The node counts the requests of the workspaces that it owns and asks
// the owners of the others.
type limits struct {
	node *Node

	mu       sync.Mutex
	owned    *cfvlimit.WorkspaceLimiter // of the workspaces that this node owns
	fallback *cfvlimit.WorkspaceLimiter // this entry's share, used while an owner is unreachable
}

func newLimits(n *Node) *limits {
	return &limits{node: n, owned: cfvlimit.NewWorkspaceLimiter(), fallback: cfvlimit.NewWorkspaceLimiter()}
}

// ownerOf returns the name of the entry that counts the requests of a workspace.
func (l *limits) ownerOf(workspace string) string {
	return cfvowner.Owner("workspace/"+workspace, l.node.members.View().Serving[l.node.cfg.Region])
}

// handleAdmit handles an admission request of a peer.
func (l *limits) handleAdmit(a cfvlimit.Admission) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.owned.Admit(time.Now(), a))
}

func (l *limits) handleDismiss(d cfvpeer.Dismiss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range d.RequestIDs {
		l.owned.Dismiss(d.Workspace, id)
	}
}

// admit asks the owner of the workspace to admit a request. While the owner is unreachable,
// this entry applies an equal share of the limits.
func (l *limits) admit(ctx context.Context, a cfvlimit.Admission) cfverror.Reason {
	owner := l.ownerOf(a.Workspace)
	if owner == l.node.cfg.Name {
		return cfverror.Reason(l.handleAdmit(a))
	}
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.AdmitTimeout)
	defer cancel()
	reason, err := l.node.peers.Admit(ctx, l.node.members.Address(owner), a)
	if err == nil {
		return cfverror.Reason(reason)
	}
	l.node.metrics.Count("limits.keeperUnreachable", 1)
	n := max(1, len(l.node.members.View().Serving[l.node.cfg.Region]))
	a.MaxConcurrent = share(a.MaxConcurrent, n)
	a.MaxPerSecond = share(a.MaxPerSecond, n)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fallback.Admit(time.Now(), a)
}

// share divides a limit by n. The result is at least 1, or 0 for no limit.
func share(limit, n int) int {
	if limit == 0 {
		return 0
	}
	return max(1, limit/n)
}

// dismiss removes a finished request from the counts here and at the owner of the workspace.
func (l *limits) dismiss(workspace, requestID string) {
	l.mu.Lock()
	l.owned.Dismiss(workspace, requestID)
	l.fallback.Dismiss(workspace, requestID)
	l.mu.Unlock()
	owner := l.ownerOf(workspace)
	if owner == l.node.cfg.Name {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.node.cfg.AdmitTimeout)
		defer cancel()
		_ = l.node.peers.Dismiss(ctx, l.node.members.Address(owner), cfvpeer.Dismiss{Workspace: workspace, RequestIDs: []string{requestID}})
	}()
}

func (l *limits) dismissEntry(entry string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owned.DismissEntry(entry, before)
}

func (l *limits) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.owned.Expire(now)
	l.fallback.Expire(now)
}
