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

// limits keeps the limits of the workspaces that fall to this node, and asks the keepers
// of the others.
type limits struct {
	node *Node

	mu    sync.Mutex
	table *cfvlimit.WorkspaceLimiter // of the workspaces that this node keeps
	local *cfvlimit.WorkspaceLimiter // this entry's share while a keeper can't be reached
}

func newLimits(n *Node) *limits {
	return &limits{node: n, table: cfvlimit.NewWorkspaceLimiter(), local: cfvlimit.NewWorkspaceLimiter()}
}

func (l *limits) keeper(workspace string) string {
	return cfvowner.Owner("workspace/"+workspace, l.node.members.View().Serving[l.node.cfg.Region])
}

// handleAdmit answers a peer.
func (l *limits) handleAdmit(a cfvlimit.Admission) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.table.Admit(time.Now(), a))
}

func (l *limits) handleDismiss(d cfvpeer.Dismiss) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range d.RequestIDs {
		l.table.Dismiss(d.Workspace, id)
	}
}

// admit asks the workspace's keeper; while it can't be reached, this entry admits its
// equal share of the limits.
func (l *limits) admit(ctx context.Context, a cfvlimit.Admission) cfverror.Reason {
	keeper := l.keeper(a.Workspace)
	if keeper == l.node.cfg.Name {
		return cfverror.Reason(l.handleAdmit(a))
	}
	ctx, cancel := context.WithTimeout(ctx, l.node.cfg.AdmitTimeout)
	defer cancel()
	reason, err := l.node.peers.Admit(ctx, l.node.members.Address(keeper), a)
	if err == nil {
		return cfverror.Reason(reason)
	}
	l.node.metrics.Count("limits.keeperUnreachable", 1)
	n := max(1, len(l.node.members.View().Serving[l.node.cfg.Region]))
	a.MaxConcurrent = share(a.MaxConcurrent, n)
	a.MaxPerSecond = share(a.MaxPerSecond, n)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local.Admit(time.Now(), a)
}

// share returns the n-th part of a limit, at least one; no limit stays none.
func share(limit, n int) int {
	if limit == 0 {
		return 0
	}
	return max(1, limit/n)
}

// dismiss counts a request out where it was counted in.
func (l *limits) dismiss(workspace, requestID string) {
	l.mu.Lock()
	l.table.Dismiss(workspace, requestID)
	l.local.Dismiss(workspace, requestID)
	l.mu.Unlock()
	keeper := l.keeper(workspace)
	if keeper == l.node.cfg.Name {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.node.cfg.AdmitTimeout)
		defer cancel()
		_ = l.node.peers.Dismiss(ctx, l.node.members.Address(keeper), cfvpeer.Dismiss{Workspace: workspace, RequestIDs: []string{requestID}})
	}()
}

func (l *limits) entryGone(entry string, before uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.DismissEntry(entry, before)
}

func (l *limits) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.table.Expire(now)
	l.local.Expire(now)
}
