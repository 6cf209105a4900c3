// Package cfvmoves runs moves of traffic between versions. Every node applies the share that
// the judge of a move allows, counts evidence and reports it to the judge. The node of the
// judge also orders endpoints to load versions.
package cfvmoves

import (
	"context"
	"sort"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvmove"
	"coltsfootvalve/core/cfvowner"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvmembership"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvpeer"
	"coltsfootvalve/io/cfvserve"
)

// Timeouts and limits of a controller.
const (
	callTimeout  = 400 * time.Millisecond
	writeTimeout = 2 * time.Second
	maxVerdicts  = 64
)

// Config configures a Controller. Tests replace its functions.
type Config struct {
	Self          cfvmember.Member
	Interval      time.Duration // between reports and decisions
	Lease         time.Duration
	Catalog       func() *cfvcatalog.Catalog
	View          func() cfvmembership.View
	Report        func(ctx context.Context, judge string, r cfvpeer.Report) error
	Recognise     func(ctx context.Context, entry string, r cfvpeer.Recognise) (cfvslot.Inventory, error)
	ReadLoad      func(ctx context.Context, address string) (cfvopenai.LoadReport, error)
	Order         func(ctx context.Context, address string, o cfvopenai.VersionOrder) error
	Broadcast     func(ctx context.Context, g cfvpeer.Gossip)
	WriteSettings func(ctx context.Context, changes []cfvtree.Change) error
	Log           cfvlog.Logger
	Metrics       *cfvmetric.Registry
}

// Controller runs the moves of a node.
type Controller struct {
	cfg Config

	mu         sync.Mutex
	evidence   map[cfvmove.ID]map[series]*cfvmove.Evidence
	baselines  map[string]*cfvmove.Baseline // by service and route
	clearances map[cfvmove.ID]cfvmove.Clearance
	verdicts   map[cfvmove.ID]cfvmove.Verdict
	judges     map[string]*judgeState // by service
}

// series identifies the evidence about one version on one route.
type series struct {
	version string
	route   string
}

// New returns a controller without evidence, clearances or verdicts.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:        cfg,
		evidence:   make(map[cfvmove.ID]map[series]*cfvmove.Evidence),
		baselines:  make(map[string]*cfvmove.Baseline),
		clearances: make(map[cfvmove.ID]cfvmove.Clearance),
		verdicts:   make(map[cfvmove.ID]cfvmove.Verdict),
		judges:     make(map[string]*judgeState),
	}
}

// Run reports evidence and judges moves until the context is done.
func (c *Controller) Run(ctx context.Context) {
	cfvclock.Every(ctx, c.cfg.Interval, c.runOnce)
}

// runOnce reports the evidence of each move and judges the moves whose judge is this node.
func (c *Controller) runOnce(ctx context.Context) {
	members := c.cfg.View().AllServing()
	var wg sync.WaitGroup
	for _, s := range c.cfg.Catalog().Services() {
		if !s.Plan.Active() {
			c.dropJudge(s.Name)
			continue
		}
		judge := cfvowner.Owner(groupOf(s.Name), members)
		if judge != c.cfg.Self.Name {
			c.dropJudge(s.Name)
		}
		wg.Go(func() {
			c.report(ctx, judge, s.Plan.ID())
			if judge == c.cfg.Self.Name {
				c.judge(ctx, s)
			}
		})
	}
	wg.Wait()
}

// groupOf returns the group name under which entries recognise the judge of a service's moves.
func groupOf(service string) string { return "move/" + service }

// dropJudge discards the state of the judge of a service's move.
func (c *Controller) dropJudge(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.judges, service)
}

// report sends this node's evidence to the judge.
func (c *Controller) report(ctx context.Context, judge string, id cfvmove.ID) {
	r := cfvpeer.Report{Move: id, Report: cfvmove.Report{Entry: c.cfg.Self.Name, StartMillis: c.cfg.Self.StartMillis}}
	c.mu.Lock()
	for _, e := range c.evidence[id] {
		r.Report.Evidence = append(r.Report.Evidence, *e)
	}
	c.mu.Unlock()
	sort.Slice(r.Report.Evidence, func(i, j int) bool {
		a, b := r.Report.Evidence[i], r.Report.Evidence[j]
		return a.Version+a.Route < b.Version+b.Route
	})
	if judge == c.cfg.Self.Name {
		c.HandleReport(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.cfg.Report(ctx, judge, r); err != nil {
		c.cfg.Metrics.Count("moves.reportFailed", 1)
	}
}

// HandleReport passes an entry's evidence to the judge, if this node judges the move.
func (c *Controller) HandleReport(r cfvpeer.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j, ok := c.judges[r.Move.Service]; ok && j.plan.ID() == r.Move {
		j.judge.AddReport(r.Report)
	}
}

// Version returns the version that currently serves requests with the given key.
func (c *Controller) Version(s cfvcatalog.Service, key string) string {
	return s.Plan.Version(c.share(s.Plan), key)
}

// share returns the new version's share of the traffic, in percent.
func (c *Controller) share(p cfvmove.Plan) int {
	if !p.Active() || p.TakenBack {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, found := c.verdicts[p.ID()]; found {
		return 0
	}
	return c.clearances[p.ID()].Share
}

// RecordResult counts a request as evidence.
func (c *Controller) RecordResult(result cfvserve.RequestResult) {
	s, ok := c.cfg.Catalog().Service(result.Service)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	baseline := c.baselineOf(result)
	slow := !result.Failed && baseline.IsSlow(result.BodyBytes, result.Latency)
	if result.Version == s.Plan.From && !result.Failed {
		baseline.Record(result.BodyBytes, result.Latency)
	}
	if s.Plan.Active() {
		c.countRequest(s.Plan.ID(), result, slow)
	}
}

// baselineOf returns the baseline of a request's service and route. The caller must hold c.mu.
func (c *Controller) baselineOf(result cfvserve.RequestResult) *cfvmove.Baseline {
	key := result.Service + "\x00" + result.Route
	b, ok := c.baselines[key]
	if !ok {
		b = cfvmove.NewBaseline()
		c.baselines[key] = b
	}
	return b
}

// countRequest adds a request to the evidence of a move. The caller must hold c.mu.
func (c *Controller) countRequest(id cfvmove.ID, result cfvserve.RequestResult, slow bool) {
	if c.evidence[id] == nil {
		c.evidence[id] = make(map[series]*cfvmove.Evidence)
	}
	key := series{result.Version, result.Route}
	e, ok := c.evidence[id][key]
	if !ok {
		e = &cfvmove.Evidence{Service: result.Service, Version: result.Version, Route: result.Route}
		c.evidence[id][key] = e
	}
	e.Requests++
	if result.Failed {
		e.Failures++
	}
	if slow {
		e.Slow++
	}
}

// Updates returns the clearances and verdicts of active moves, to send to peers.
func (c *Controller) Updates() (clearances []cfvmove.Clearance, verdicts []cfvmove.Verdict) {
	catalog := c.cfg.Catalog()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range catalog.Services() {
		if !s.Plan.Active() {
			continue
		}
		if v, ok := c.verdicts[s.Plan.ID()]; ok {
			verdicts = append(verdicts, v)
		} else if cl, ok := c.clearances[s.Plan.ID()]; ok {
			clearances = append(clearances, cl)
		}
	}
	return clearances, verdicts
}

// Apply merges a peer's clearances and verdicts: the latest clearance of a move replaces the
// earlier one, and a verdict is permanent.
func (c *Controller) Apply(clearances []cfvmove.Clearance, verdicts []cfvmove.Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cl := range clearances {
		if cl.At.After(c.clearances[cl.Move].At) {
			c.clearances[cl.Move] = cl
		}
	}
	for _, v := range verdicts {
		c.addVerdict(v)
	}
}

// addVerdict stores a verdict. The caller must hold c.mu.
func (c *Controller) addVerdict(v cfvmove.Verdict) {
	if _, known := c.verdicts[v.Move]; known || len(c.verdicts) >= maxVerdicts {
		return
	}
	c.verdicts[v.Move] = v
	c.cfg.Metrics.Count("moves.takenBack", 1)
	c.cfg.Log.Warn("The move of %s to %s is taken back: %s.", v.Move.Service, v.Move.To, v.Cause)
}

// States of a move.
const (
	StateWaiting   = "waiting"
	StateMoving    = "moving"
	StateDone      = "done"
	StateTakenBack = "taken back"
)

// Status is the status of a move as shown to operators.
type Status struct {
	Plan  cfvmove.Plan
	State string
	Share int
	Cause string
}

// Statuses returns the status of the latest move of each service that has one.
func (c *Controller) Statuses() []Status {
	var out []Status
	for _, s := range c.cfg.Catalog().Services() {
		if s.Plan.To == "" {
			continue
		}
		st := Status{Plan: s.Plan, State: StateMoving, Share: c.share(s.Plan)}
		c.mu.Lock()
		v, found := c.verdicts[s.Plan.ID()]
		c.mu.Unlock()
		switch {
		case !s.Plan.Active():
			st.State, st.Share = StateDone, cfvmove.FullShare
		case found || s.Plan.TakenBack:
			st.State, st.Cause = StateTakenBack, v.Cause
		case time.Now().Before(s.Plan.Start):
			st.State = StateWaiting
		}
		out = append(out, st)
	}
	return out
}

// IsJudge reports whether this node judges the moves of a service, or would judge them.
func (c *Controller) IsJudge(service string) bool {
	return cfvowner.Owner(groupOf(service), c.cfg.View().AllServing()) == c.cfg.Self.Name
}
