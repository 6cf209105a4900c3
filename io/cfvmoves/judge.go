package cfvmoves

import (
	"context"
	"fmt"
	"sync"
	"time"

	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvpeer"
)

// minLeaseLeft is how long the lease must still be valid when an order is sent. It is longer
// than the call of the order may take.
const minLeaseLeft = 2 * callTimeout

// judgeState is the state of the judge of one move on this node.
type judgeState struct {
	plan           cfvmove.Plan
	judge          *cfvmove.Judge
	loads          *cfvmove.LoadPlanner
	lease          *cfvowner.Lease
	epoch          string
	leaseSince     time.Time // start of the current lease; zero without a lease
	leaseUntil     time.Time
	broadcastShare int
}

// judge decides on one move and carries out the decision.
func (c *Controller) judge(ctx context.Context, s cfvcatalog.Service) {
	j := c.judgeStateOf(s.Plan)
	endpoints := c.readEndpoints(ctx, s)
	now := time.Now()
	c.mu.Lock()
	if v, found := c.verdicts[s.Plan.ID()]; found {
		j.judge.SetVerdict(v)
	}
	d := j.judge.Decide(now, capacity(s.Plan, endpoints))
	c.mu.Unlock()
	c.broadcast(ctx, j, d, now)
	c.sendLoadOrders(ctx, j, endpoints, d)
	c.writeResult(ctx, s.Plan, d)
}

// judgeStateOf returns the state of the judge of a move, which it creates for a new or
// changed plan.
func (c *Controller) judgeStateOf(p cfvmove.Plan) *judgeState {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.judges[p.Service]
	if !ok || j.plan.ID() != p.ID() || j.plan.TakenBack != p.TakenBack {
		now := time.Now()
		j = &judgeState{
			plan:  p,
			judge: cfvmove.NewJudge(now, p, c.clearances[p.ID()].Share),
			loads: cfvmove.NewLoadPlanner(),
			lease: cfvowner.NewLease(),
			epoch: fmt.Sprintf("%s/%d/move/%d", c.cfg.Self.Name, c.cfg.Self.StartMillis, now.UnixNano()),
		}
		c.judges[p.Service] = j
		c.cfg.Log.Info("This node judges the move of %s to %s.", p.Service, p.To)
	}
	return j
}

// readEndpoints reads the load reports of the endpoints of the service that are not drained.
func (c *Controller) readEndpoints(ctx context.Context, s cfvcatalog.Service) []cfvmove.Endpoint {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var out []cfvmove.Endpoint
	for _, g := range c.cfg.Catalog().Groups(s.Name) {
		for _, endpoint := range g.Endpoints {
			if !endpoint.Drained {
				out = append(out, cfvmove.Endpoint{Name: endpoint.Name, Address: endpoint.Address})
			}
		}
	}
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			if r, err := c.cfg.ReadLoad(ctx, out[i].Address); err == nil {
				out[i].Version, out[i].Loading, out[i].Known = r.Version, r.Loading, true
			}
		})
	}
	wg.Wait()
	return out
}

// capacity counts the endpoints whose load report was read and those of them that have moved.
func capacity(p cfvmove.Plan, list []cfvmove.Endpoint) cfvmove.Capacity {
	var c cfvmove.Capacity
	for _, e := range list {
		if !e.Known {
			continue
		}
		c.Total++
		if e.Version == p.To && !e.Loading {
			c.Moved++
		}
	}
	return c
}

// broadcast applies the decision on this node and sends a changed share or a new verdict to
// all peers at once. Gossip repeats the clearance with each probe.
func (c *Controller) broadcast(ctx context.Context, j *judgeState, d cfvmove.Decision, now time.Time) {
	if d.Verdict == nil {
		c.Apply([]cfvmove.Clearance{{Move: j.plan.ID(), Share: d.Share, At: now}}, nil)
		if d.Share != j.broadcastShare {
			j.broadcastShare = d.Share
			c.cfg.Broadcast(ctx, cfvpeer.Gossip{Clearances: []cfvmove.Clearance{{Move: j.plan.ID(), Share: d.Share, At: now}}})
			c.cfg.Log.Info("The move of %s to %s has %d%% of the traffic.", j.plan.Service, j.plan.To, d.Share)
		}
		return
	}
	c.mu.Lock()
	_, known := c.verdicts[d.Verdict.Move]
	c.mu.Unlock()
	if !known {
		c.Apply(nil, []cfvmove.Verdict{*d.Verdict})
		c.cfg.Broadcast(ctx, cfvpeer.Gossip{Verdicts: []cfvmove.Verdict{*d.Verdict}})
	}
}

// sendLoadOrders orders endpoints to load versions while a majority of the entries recognises
// this node as the move's judge. Under a new lease it first waits for one lease duration, so
// that the orders of an earlier judge have taken effect.
func (c *Controller) sendLoadOrders(ctx context.Context, j *judgeState, endpoints []cfvmove.Endpoint, d cfvmove.Decision) {
	c.renewLease(ctx, j)
	now := time.Now()
	if j.leaseSince.IsZero() || now.Sub(j.leaseSince) < c.cfg.Lease || now.Add(minLeaseLeft).After(j.leaseUntil) {
		return
	}
	for _, o := range j.loads.Next(now, j.plan, endpoints, d.ReadyShare) {
		c.cfg.Metrics.Count("moves.orders", 1)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			order := cfvopenai.VersionOrder{Version: o.Version, FencingToken: j.leaseSince.UnixMilli()}
			if err := c.cfg.Order(ctx, o.Address, order); err != nil {
				c.cfg.Metrics.Count("moves.orderFailed", 1)
				c.cfg.Log.Warn("Endpoint %s did not accept the order to load %s: %v.", o.Endpoint, o.Version, err)
			}
		}()
	}
}

// renewLease asks the listed entries to recognise this node as the move's judge.
func (c *Controller) renewLease(ctx context.Context, j *judgeState) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed := c.cfg.View().Listed
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, entry := range listed {
		wg.Go(func() {
			sentAt := time.Now()
			inventory, err := c.cfg.Recognise(ctx, entry, cfvpeer.Recognise{Group: groupOf(j.plan.Service), Owner: j.epoch, Lease: c.cfg.Lease})
			if err != nil || !inventory.Promised {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			j.lease.Renew(sentAt, entry, c.cfg.Lease)
		})
	}
	wg.Wait()
	now := time.Now()
	until := j.lease.Until(now, listed)
	if until.IsZero() {
		j.leaseSince = time.Time{}
		return
	}
	if j.leaseSince.IsZero() || now.After(j.leaseUntil) {
		j.leaseSince = now
	}
	j.leaseUntil = until
}

// writeResult writes the end of a move to the settings. It is called again in each interval,
// so a failed write is retried until the key-value store accepts it.
func (c *Controller) writeResult(ctx context.Context, p cfvmove.Plan, d cfvmove.Decision) {
	path := "services/" + p.Service
	var changes []cfvtree.Change
	switch {
	case d.Verdict != nil && !p.TakenBack:
		changes = append(changes, cfvtree.Change{Path: path, Name: cfvtree.MoveTakenBack, Value: cfvtree.BoolValue(true)})
	case d.Done:
		changes = append(changes, cfvtree.Change{Path: path, Name: cfvtree.ActiveVersion, Value: cfvtree.TextValue(p.To)})
	default:
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.cfg.WriteSettings(ctx, changes); err != nil {
		c.cfg.Metrics.Count("moves.writeFailed", 1)
	}
}
