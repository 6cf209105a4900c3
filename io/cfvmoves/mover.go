// Package cfvmoves runs version moves: every node follows the share that a move's judge
// clears, counts evidence, and hands it to the judge; the judge's node also has endpoints
// load versions.
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

// Bounds of a mover's work.
const (
	callWithin   = 400 * time.Millisecond
	writeWithin  = 2 * time.Second
	verdictsKept = 64
)

// Config configures a mover. The functions are its seams.
type Config struct {
	Self          cfvmember.Member
	Interval      time.Duration // of reports and decisions
	Lease         time.Duration
	Catalog       func() *cfvcatalog.Catalog
	View          func() cfvmembership.View
	Report        func(ctx context.Context, judge string, r cfvpeer.Report) error
	Recognise     func(ctx context.Context, entry string, r cfvpeer.Recognise) (cfvslot.Inventory, error)
	ReadLoad      func(ctx context.Context, address string) (cfvopenai.LoadReport, error)
	Order         func(ctx context.Context, address string, o cfvopenai.VersionOrder) error
	Broadcast     func(ctx context.Context, n cfvpeer.Gossip)
	WriteSettings func(ctx context.Context, changes []cfvtree.Change) error
	Log           cfvlog.Logger
	Metrics       *cfvmetric.Registry
}

// Mover runs the moves of a node.
type Controller struct {
	cfg Config

	mu         sync.Mutex
	evidence   map[cfvmove.ID]map[route]*cfvmove.Evidence
	usual      map[string]*cfvmove.Baseline // by service and route
	clearances map[cfvmove.ID]cfvmove.Clearance
	verdicts   map[cfvmove.ID]cfvmove.Verdict
	judging    map[string]*judging // by service
}

// route names one series of evidence.
type route struct {
	version string
	path    string
}

// New returns a mover that has seen nothing.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:        cfg,
		evidence:   make(map[cfvmove.ID]map[route]*cfvmove.Evidence),
		usual:      make(map[string]*cfvmove.Baseline),
		clearances: make(map[cfvmove.ID]cfvmove.Clearance),
		verdicts:   make(map[cfvmove.ID]cfvmove.Verdict),
		judging:    make(map[string]*judging),
	}
}

// Run reports and judges until the context ends.
func (m *Controller) Run(ctx context.Context) {
	cfvclock.Every(ctx, m.cfg.Interval, m.turn)
}

// turn reports on each move and judges those that fall to this node.
func (m *Controller) turn(ctx context.Context) {
	members := m.cfg.View().AllServing()
	var wg sync.WaitGroup
	for _, s := range m.cfg.Catalog().Services() {
		if !s.Plan.Active() {
			m.drop(s.Name)
			continue
		}
		judge := cfvowner.Owner(groupOf(s.Name), members)
		if judge != m.cfg.Self.Name {
			m.drop(s.Name)
		}
		wg.Go(func() {
			m.report(ctx, judge, s.Plan.ID())
			if judge == m.cfg.Self.Name {
				m.judge(ctx, s)
			}
		})
	}
	wg.Wait()
}

// groupOf returns the name under which a move's judge is recognised.
func groupOf(service string) string { return "move/" + service }

func (m *Controller) drop(service string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.judging, service)
}

// report hands this node's evidence to the judge.
func (m *Controller) report(ctx context.Context, judge string, id cfvmove.ID) {
	r := cfvpeer.Report{Move: id, Report: cfvmove.Report{Entry: m.cfg.Self.Name, StartMillis: m.cfg.Self.StartMillis}}
	m.mu.Lock()
	for _, e := range m.evidence[id] {
		r.Report.Evidence = append(r.Report.Evidence, *e)
	}
	m.mu.Unlock()
	sort.Slice(r.Report.Evidence, func(i, j int) bool {
		a, b := r.Report.Evidence[i], r.Report.Evidence[j]
		return a.Version+a.Route < b.Version+b.Route
	})
	if judge == m.cfg.Self.Name {
		m.HandleReport(r)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callWithin)
	defer cancel()
	if err := m.cfg.Report(ctx, judge, r); err != nil {
		m.cfg.Metrics.Count("moves.reportFailed", 1)
	}
}

// HandleReport takes an entry's evidence.
func (m *Controller) HandleReport(r cfvpeer.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if j, ok := m.judging[r.Move.Service]; ok && j.plan.ID() == r.Move {
		j.judge.AddReport(r.Report)
	}
}

// Version returns the version that serves a request now.
func (m *Controller) Version(s cfvcatalog.Service, key string) string {
	return s.Plan.Version(m.share(s.Plan), key)
}

// share returns how much of the traffic the new version gets, in percent.
func (m *Controller) share(p cfvmove.Plan) int {
	if !p.Active() || p.TakenBack {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, bad := m.verdicts[p.ID()]; bad {
		return 0
	}
	return m.clearances[p.ID()].Share
}

// TakeRun counts a request as evidence.
func (m *Controller) RecordRun(run cfvserve.RequestResult) {
	s, ok := m.cfg.Catalog().Service(run.Service)
	if !ok {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	usual := m.usualOf(run)
	slow := !run.Failed && usual.IsSlow(run.BodyBytes, run.Latency)
	if run.Version == s.Plan.From && !run.Failed {
		usual.Record(run.BodyBytes, run.Latency)
	}
	if s.Plan.Active() {
		m.count(s.Plan.ID(), run, slow)
	}
}

func (m *Controller) usualOf(run cfvserve.RequestResult) *cfvmove.Baseline {
	key := run.Service + "\x00" + run.Route
	u, ok := m.usual[key]
	if !ok {
		u = cfvmove.NewBaseline()
		m.usual[key] = u
	}
	return u
}

func (m *Controller) count(id cfvmove.ID, run cfvserve.RequestResult, slow bool) {
	if m.evidence[id] == nil {
		m.evidence[id] = make(map[route]*cfvmove.Evidence)
	}
	r := route{run.Version, run.Route}
	e, ok := m.evidence[id][r]
	if !ok {
		e = &cfvmove.Evidence{Service: run.Service, Version: run.Version, Route: run.Route}
		m.evidence[id][r] = e
	}
	e.Requests++
	if run.Failed {
		e.Failures++
	}
	if slow {
		e.Slow++
	}
}

// News returns what to tell a peer: the clearances and verdicts of moves that go on.
func (m *Controller) Updates() (clearances []cfvmove.Clearance, verdicts []cfvmove.Verdict) {
	c := m.cfg.Catalog()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range c.Services() {
		if !s.Plan.Active() {
			continue
		}
		if v, ok := m.verdicts[s.Plan.ID()]; ok {
			verdicts = append(verdicts, v)
		} else if cl, ok := m.clearances[s.Plan.ID()]; ok {
			clearances = append(clearances, cl)
		}
	}
	return clearances, verdicts
}

// Take takes what a peer told: the latest clearance, and verdicts for good.
func (m *Controller) Apply(clearances []cfvmove.Clearance, verdicts []cfvmove.Verdict) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range clearances {
		if c.At.After(m.clearances[c.Move].At) {
			m.clearances[c.Move] = c
		}
	}
	for _, v := range verdicts {
		m.addVerdict(v)
	}
}

// addVerdict keeps a verdict; the caller holds the lock.
func (m *Controller) addVerdict(v cfvmove.Verdict) {
	if _, known := m.verdicts[v.Move]; known || len(m.verdicts) >= verdictsKept {
		return
	}
	m.verdicts[v.Move] = v
	m.cfg.Metrics.Count("moves.takenBack", 1)
	m.cfg.Log.Warn("The move of %s to %s is taken back: %s.", v.Move.Service, v.Move.To, v.Cause)
}

// States of a move.
const (
	StateWaiting   = "waiting"
	StateMoving    = "moving"
	StateDone      = "done"
	StateTakenBack = "taken back"
)

// Status is a move as operators see it.
type Status struct {
	Plan  cfvmove.Plan
	State string
	Share int
	Cause string
}

// Statuses returns the latest move of each service that has one.
func (m *Controller) Statuses() []Status {
	var out []Status
	for _, s := range m.cfg.Catalog().Services() {
		if s.Plan.To == "" {
			continue
		}
		st := Status{Plan: s.Plan, State: StateMoving, Share: m.share(s.Plan)}
		m.mu.Lock()
		v, bad := m.verdicts[s.Plan.ID()]
		m.mu.Unlock()
		switch {
		case !s.Plan.Active():
			st.State, st.Share = StateDone, cfvmove.FullShare
		case bad || s.Plan.TakenBack:
			st.State, st.Cause = StateTakenBack, v.Cause
		case time.Now().Before(s.Plan.Start):
			st.State = StateWaiting
		}
		out = append(out, st)
	}
	return out
}

// Judges reports whether this node judges, or would judge, the moves of a service.
func (m *Controller) IsJudge(service string) bool {
	return cfvowner.Owner(groupOf(service), m.cfg.View().AllServing()) == m.cfg.Self.Name
}
