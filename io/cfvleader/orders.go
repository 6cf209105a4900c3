package cfvleader

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvweights"
)

// result is how an order ended.
type result struct {
	model    string
	endpoint *cfvfleet.Endpoint
	result   cfvweights.Result
	fence    int64
}

// giveOrders orders endpoints with replaced weights to load the newest.
func (d *Leader) giveOrders(ctx context.Context) {
	now := d.cfg.Now()
	if now < d.mayGive {
		return
	}
	type job struct {
		model   string
		version int64
		targets []cfvweights.Target
		byID    map[string]*cfvfleet.Endpoint
	}
	var jobs []job
	short := d.cfg.ShortPool()
	d.cfg.State.Read(func(v *cfvfleet.View) {
		for _, model := range v.Models() {
			j := job{model: model, version: v.Desired(model).Version, byID: make(map[string]*cfvfleet.Endpoint)}
			for _, e := range v.All() {
				if _, has := e.Weights[model]; !has {
					continue
				}
				j.byID[e.ID] = e
				j.targets = append(j.targets, cfvweights.Target{
					ID: e.ID, StartMillis: e.StartMillis, Version: d.cfg.LoadedVersion(e, model), Leaving: e.Leaving, ShortPool: short[e.ID], Running: d.cfg.RunningRequests(e.ID),
				})
			}
			jobs = append(jobs, j)
		}
	})
	for _, j := range jobs {
		plan := d.plans[j.model]
		if plan == nil {
			plan = cfvweights.NewPlan(max(leastLoads, len(j.targets)/loadsShare))
			d.plans[j.model] = plan
		}
		due := plan.Next(now, j.version, j.targets)
		if len(due) == 0 {
			continue
		}
		if !d.announce(ctx, j.model, j.version) {
			return
		}
		d.ordered = now
		for _, t := range due {
			go d.order(ctx, j.byID[t.ID], d.ordersUntil(), cfvweights.Order{Model: j.model, Version: j.version, Mode: cfvweights.Retain, FencingToken: d.fence})
		}
	}
}

// announce writes, before the first order for a version, that this holder gives it. It
// reports whether orders may be given.
func (d *Leader) announce(ctx context.Context, model string, version int64) bool {
	if d.recorded[model] == version {
		return true
	}
	r := record{Giver: d.cfg.Self, Versions: map[string]int64{model: version}}
	for m, v := range d.recorded {
		if m != model {
			r.Versions[m] = v
		}
	}
	data, err := json.Marshal(r)
	if err == nil {
		err = d.cfg.Store.RecordOrders(ctx, d.fence, data)
	}
	if errors.Is(err, d.cfg.Store.Conflict) {
		d.lose("another entry holds it")
		return false
	}
	if err != nil {
		d.cfg.Log.Warnw("orders can't be announced", "model", model, "version", version, "error", err.Error())
		return false
	}
	d.recorded[model] = version
	return d.holds()
}

// order gives one order, unless its time is over.
func (d *Leader) order(ctx context.Context, e *cfvfleet.Endpoint, until time.Duration, o cfvweights.Order) {
	res := result{model: o.Model, endpoint: e, fence: o.FencingToken, result: cfvweights.Unknown}
	defer func() { d.results <- res }()
	report, err := d.cfg.LoadStatus(ctx, e.Addr, e.ID)
	if err != nil {
		d.cfg.Log.Infow("an endpoint did not tell its weights", "endpoint", e.ID, "error", err.Error())
		return
	}
	if have := report.Versions[o.Model]; have >= o.Version {
		d.cfg.SetLoadedVersion(e, o.Model, have)
		res.result = cfvweights.Done
		return
	}
	if report.Busy {
		res.result = cfvweights.Busy
		return
	}
	if d.cfg.Now() >= until {
		res.result = cfvweights.Refused
		return
	}
	o.ExpectedOrders = report.AcceptedOrders
	d.cfg.Count("duty.orders", 1)
	res.result, err = d.cfg.LoadWeights(ctx, e.Addr, e.ID, o)
	pairs := []any{"endpoint", e.ID, "model", o.Model, "version", o.Version, "fence", o.FencingToken, "after", o.ExpectedOrders, "result", res.result.String()}
	if err != nil {
		pairs = append(pairs, "error", err.Error())
	}
	d.cfg.Log.Infow("an endpoint was ordered to load weights", pairs...)
	if res.result == cfvweights.Done {
		d.cfg.SetLoadedVersion(e, o.Model, o.Version)
	}
}

// takeResults hands results of orders to their plans.
func (d *Leader) takeResults() {
	for {
		select {
		case r := <-d.results:
			if r.fence != d.fence {
				continue
			}
			if r.result == cfvweights.Fenced {
				d.lose("an endpoint has seen a higher fencing token")
				continue
			}
			if plan := d.plans[r.model]; plan != nil {
				plan.RecordResult(d.cfg.Now(), r.endpoint.ID, r.result)
			}
		default:
			return
		}
	}
}
