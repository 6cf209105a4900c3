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

// orderMargin is how long a lease must still hold when an order is given: longer than the
// order's call may take.
const orderMargin = 2 * callWithin

// judging is what the judge of one move keeps.
type judging struct {
	plan  cfvmove.Plan
	judge *cfvmove.Judge
	loads *cfvmove.LoadPlanner
	lease *cfvowner.Lease
	epoch string
	since time.Time // of the lease that holds now; zero without one
	until time.Time
	told  int
}

// judge decides on one move and carries the decision out.
func (m *Controller) judge(ctx context.Context, s cfvcatalog.Service) {
	j := m.judgingOf(s.Plan)
	endpoints := m.readEndpoints(ctx, s)
	now := time.Now()
	m.mu.Lock()
	if v, bad := m.verdicts[s.Plan.ID()]; bad {
		j.judge.SetVerdict(v)
	}
	d := j.judge.Decide(now, capacity(s.Plan, endpoints))
	m.mu.Unlock()
	m.tell(ctx, j, d, now)
	m.giveOrders(ctx, j, endpoints, d)
	m.write(ctx, s.Plan, d)
}

func (m *Controller) judgingOf(p cfvmove.Plan) *judging {
	m.mu.Lock()
	defer m.mu.Unlock()
	j, ok := m.judging[p.Service]
	if !ok || j.plan.ID() != p.ID() || j.plan.TakenBack != p.TakenBack {
		now := time.Now()
		j = &judging{
			plan:  p,
			judge: cfvmove.NewJudge(now, p, m.clearances[p.ID()].Share),
			loads: cfvmove.NewLoadPlanner(),
			lease: cfvowner.NewLease(),
			epoch: fmt.Sprintf("%s/%d/move/%d", m.cfg.Self.Name, m.cfg.Self.StartMillis, now.UnixNano()),
		}
		m.judging[p.Service] = j
		m.cfg.Log.Info("This node judges the move of %s to %s.", p.Service, p.To)
	}
	return j
}

// readEndpoints reads the load report of each endpoint of the service that takes work.
func (m *Controller) readEndpoints(ctx context.Context, s cfvcatalog.Service) []cfvmove.Endpoint {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	var out []cfvmove.Endpoint
	for _, g := range m.cfg.Catalog().Groups(s.Name) {
		for _, c := range g.Endpoints {
			if !c.Drained {
				out = append(out, cfvmove.Endpoint{Name: c.Name, Address: c.Address})
			}
		}
	}
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() {
			if r, err := m.cfg.ReadLoad(ctx, out[i].Address); err == nil {
				out[i].Version, out[i].Loading, out[i].Known = r.Version, r.Loading, true
			}
		})
	}
	wg.Wait()
	return out
}

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

// tell spreads a clearance by gossip and a verdict at once.
func (m *Controller) tell(ctx context.Context, j *judging, d cfvmove.Decision, now time.Time) {
	if d.Verdict == nil {
		m.Apply([]cfvmove.Clearance{{Move: j.plan.ID(), Share: d.Share, At: now}}, nil)
		if d.Share != j.told {
			j.told = d.Share
			m.cfg.Broadcast(ctx, cfvpeer.Gossip{Clearances: []cfvmove.Clearance{{Move: j.plan.ID(), Share: d.Share, At: now}}})
			m.cfg.Log.Info("The move of %s to %s has %d%% of the traffic.", j.plan.Service, j.plan.To, d.Share)
		}
		return
	}
	m.mu.Lock()
	_, known := m.verdicts[d.Verdict.Move]
	m.mu.Unlock()
	if !known {
		m.Apply(nil, []cfvmove.Verdict{*d.Verdict})
		m.cfg.Broadcast(ctx, cfvpeer.Gossip{Verdicts: []cfvmove.Verdict{*d.Verdict}})
	}
}

// giveOrders has endpoints load versions while a majority recognises this node as the
// move's judge. Under a new lease it waits until the orders of an earlier judge have
// taken effect.
func (m *Controller) giveOrders(ctx context.Context, j *judging, endpoints []cfvmove.Endpoint, d cfvmove.Decision) {
	m.renew(ctx, j)
	now := time.Now()
	if j.since.IsZero() || now.Sub(j.since) < m.cfg.Lease || now.Add(orderMargin).After(j.until) {
		return
	}
	for _, o := range j.loads.Next(now, j.plan, endpoints, d.ReadyShare) {
		m.cfg.Metrics.Count("moves.orders", 1)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callWithin)
			defer cancel()
			order := cfvopenai.VersionOrder{Version: o.Version, FencingToken: j.since.UnixMilli()}
			if err := m.cfg.Order(ctx, o.Address, order); err != nil {
				m.cfg.Metrics.Count("moves.orderFailed", 1)
				m.cfg.Log.Warn("Endpoint %s does not take the order to load %s: %v.", o.Endpoint, o.Version, err)
			}
		}()
	}
}

// renew asks the listed entries to recognise this node as the move's judge.
func (m *Controller) renew(ctx context.Context, j *judging) {
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	listed := m.cfg.View().Listed
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, entry := range listed {
		wg.Go(func() {
			asked := time.Now()
			inv, err := m.cfg.Recognise(ctx, entry, cfvpeer.Recognise{Group: groupOf(j.plan.Service), Owner: j.epoch, Lease: m.cfg.Lease})
			if err != nil || !inv.Promised {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			j.lease.Renew(asked, entry, m.cfg.Lease)
		})
	}
	wg.Wait()
	now := time.Now()
	until := j.lease.Until(now, listed)
	if until.IsZero() {
		j.since = time.Time{}
		return
	}
	if j.since.IsZero() || now.After(j.until) {
		j.since = now
	}
	j.until = until
}

// write has the end of a move written into the settings, again each turn until the
// key-value service takes it.
func (m *Controller) write(ctx context.Context, p cfvmove.Plan, d cfvmove.Decision) {
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
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	if err := m.cfg.WriteSettings(ctx, changes); err != nil {
		m.cfg.Metrics.Count("moves.writeFailed", 1)
	}
}
