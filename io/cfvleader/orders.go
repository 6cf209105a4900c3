package cfvleader

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvweights"
)

// orderResult is the outcome of an order.
type orderResult struct {
	model        string
	endpoint     *cfvfleet.Endpoint
	result       cfvweights.Result
	fencingToken int64
}

// sendOrders orders endpoints that run replaced weights to load the desired ones.
func (l *Leader) sendOrders(ctx context.Context) {
	now := l.cfg.Now()
	if now < l.ordersFrom {
		return
	}
	type job struct {
		model   string
		version int64
		targets []cfvweights.Target
		byID    map[string]*cfvfleet.Endpoint
	}
	var jobs []job
	short := l.cfg.ShortPool()
	l.cfg.State.Read(func(v *cfvfleet.View) {
		for _, model := range v.Models() {
			j := job{model: model, version: v.Desired(model).Version, byID: make(map[string]*cfvfleet.Endpoint)}
			for _, e := range v.All() {
				if _, has := e.Weights[model]; !has {
					continue
				}
				j.byID[e.ID] = e
				j.targets = append(j.targets, cfvweights.Target{
					ID: e.ID, StartMillis: e.StartMillis, Version: l.cfg.LoadedVersion(e, model), Leaving: e.Leaving, ShortPool: short[e.ID], Running: l.cfg.RunningRequests(e.ID),
				})
			}
			jobs = append(jobs, j)
		}
	})
	for _, j := range jobs {
		plan := l.plans[j.model]
		if plan == nil {
			plan = cfvweights.NewPlan(max(minConcurrentLoads, len(j.targets)/endpointsPerLoad))
			l.plans[j.model] = plan
		}
		due := plan.Next(now, j.version, j.targets)
		if len(due) == 0 {
			continue
		}
		if !l.recordOrders(ctx, j.model, j.version) {
			return
		}
		l.lastOrderAt = now
		for _, t := range due {
			go l.sendOrder(ctx, j.byID[t.ID], l.orderDeadline(), cfvweights.Order{Model: j.model, Version: j.version, Mode: cfvweights.Retain, FencingToken: l.fencingToken})
		}
	}
}

// recordOrders writes a record before the first order for a version, which names this leader and
// the version. It reports whether orders may be sent.
func (l *Leader) recordOrders(ctx context.Context, model string, version int64) bool {
	if l.recordedVersions[model] == version {
		return true
	}
	r := orderRecord{LeaderName: l.cfg.Self, Versions: map[string]int64{model: version}}
	for m, v := range l.recordedVersions {
		if m != model {
			r.Versions[m] = v
		}
	}
	data, err := json.Marshal(r)
	if err == nil {
		err = l.cfg.Store.RecordOrders(ctx, l.fencingToken, data)
	}
	if errors.Is(err, l.cfg.Store.Conflict) {
		l.stepDown("another entry is the leader")
		return false
	}
	if err != nil {
		l.cfg.Log.Warnw("could not record the orders", "model", model, "version", version, "error", err.Error())
		return false
	}
	l.recordedVersions[model] = version
	return l.canOrder()
}

// sendOrder sends an order to an endpoint unless the deadline has passed.
func (l *Leader) sendOrder(ctx context.Context, e *cfvfleet.Endpoint, deadline time.Duration, o cfvweights.Order) {
	res := orderResult{model: o.Model, endpoint: e, fencingToken: o.FencingToken, result: cfvweights.Unknown}
	defer func() { l.results <- res }()
	status, err := l.cfg.LoadStatus(ctx, e.Addr, e.ID)
	if err != nil {
		l.cfg.Log.Infow("endpoint did not report its weights", "endpoint", e.ID, "error", err.Error())
		return
	}
	if loaded := status.Versions[o.Model]; loaded >= o.Version {
		l.cfg.SetLoadedVersion(e, o.Model, loaded)
		res.result = cfvweights.Done
		return
	}
	if status.Busy {
		res.result = cfvweights.Busy
		return
	}
	if l.cfg.Now() >= deadline {
		res.result = cfvweights.Refused
		return
	}
	o.ExpectedOrders = status.AcceptedOrders
	l.cfg.Count("duty.orders", 1)
	res.result, err = l.cfg.LoadWeights(ctx, e.Addr, e.ID, o)
	fields := []any{"endpoint", e.ID, "model", o.Model, "version", o.Version, "fence", o.FencingToken, "after", o.ExpectedOrders, "result", res.result.String()}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	l.cfg.Log.Infow("ordered an endpoint to load weights", fields...)
	if res.result == cfvweights.Done {
		l.cfg.SetLoadedVersion(e, o.Model, o.Version)
	}
}

// processResults passes the outcomes of orders to their plans.
func (l *Leader) processResults() {
	for {
		select {
		case r := <-l.results:
			if r.fencingToken != l.fencingToken {
				continue
			}
			if r.result == cfvweights.Fenced {
				l.stepDown("an endpoint has accepted a higher fencing token")
				continue
			}
			if plan := l.plans[r.model]; plan != nil {
				plan.RecordResult(l.cfg.Now(), r.endpoint.ID, r.result)
			}
		default:
			return
		}
	}
}
