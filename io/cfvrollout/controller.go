package cfvrollout

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvrollout"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
)

// Intervals and limits of writes.
const (
	writeRetryDelay  = 300 * time.Millisecond // between a failed write and the next attempt
	writeRepeatDelay = 500 * time.Millisecond // the end of a roll-out is written again if there is no answer for this long
	maxWrites        = 4                      // of the same end in progress
)

// Limits are the operators' bounds on a bad version.
type Limits = cfvrollout.Limits

// Write is a progress and the conditions under which it is recorded.
type Write struct {
	Progress     cfvfleet.RolloutProgress
	FencingToken int64              // the writer is still the leader
	Order        int64              // number of the order's revision, which is still the newest
	Record       cfvmirror.Revision // of the record of progress, which is still the last; 0: there is none
}

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	View     func(func(*cfvfleet.View))
	Record   func(ctx context.Context, w Write) (revision cfvmirror.Revision, err error)
	Conflict error // returned by Record if a condition doesn't hold
	Limits   Limits
	Now      func() time.Duration
	Millis   func() int64 // time of day in Unix milliseconds
	Log      cfvlog.Logger
	Count    func(name string, n int64)
}

// Controller carries out the roll-outs while this entry is the leader. It keeps the evidence of the entries
// also while it isn't.
type Controller struct {
	cfg ControllerConfig

	mu      sync.Mutex
	reports map[process]cfvrollout.Report // the latest of each entry process
	runs    map[string]*run               // by service
}

// process identifies one run of an entry.
type process struct {
	entry       string
	startMillis int64
}

// run is the roll-out of one service.
type run struct {
	policy  *cfvrollout.Policy
	written cfvfleet.RolloutProgress      // the last progress that this entry has recorded
	record  cfvmirror.Revision            // its revision; 0: none
	at      time.Duration                 // when it was recorded
	writing map[cfvfleet.RolloutPhase]int // writes in progress
	retryAt time.Duration                 // after a failed write
	sentAt  time.Duration                 // when the last write was sent
	logged  cfvfleet.RolloutProgress      // the last decision in the log
}

// mayWrite reports whether another write may be sent. All but one of the writes in progress fail, since the first
// one that is carried out changes the record.
func (n *run) mayWrite(now time.Duration, phase cfvfleet.RolloutPhase) bool {
	switch {
	case n.writing[phase] == 0:
		return now >= n.retryAt
	case phase == cfvfleet.RolloutRunning:
		return false
	}
	return n.writing[phase] < maxWrites && now >= n.sentAt+writeRepeatDelay
}

// NewController returns a controller without evidence.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{cfg: cfg, reports: make(map[process]cfvrollout.Report), runs: make(map[string]*run)}
}

// Handler returns the path and the handler of the reports of peers.
func (c *Controller) Handler() (string, http.Handler) {
	return cfvwireentryconnect.NewRolloutsHandler(c, connect.WithReadMaxBytes(maxReportBytes))
}

const maxReportBytes = 1 << 20

// Report replaces the evidence of an entry.
func (c *Controller) Report(_ context.Context, req *connect.Request[cfvwireentry.ReportRequest]) (*connect.Response[cfvwireentry.ReportResponse], error) {
	c.AddReport(decodeReport(req.Msg))
	return connect.NewResponse(&cfvwireentry.ReportResponse{}), nil
}

// AddReport replaces the evidence of an entry.
func (c *Controller) AddReport(r cfvrollout.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Count("rollout.reportsReceived", 1)
	c.reports[process{r.Entry, r.StartMillis}] = r
	for _, run := range c.runs {
		run.policy.AddReport(r)
	}
}

// Tick decides on the running roll-outs and records what was decided. The leader calls it while its fencing
// token is valid. It doesn't wait for the key-value store.
func (c *Controller) Tick(ctx context.Context, fencingToken int64) {
	now := c.cfg.Now()
	rollouts, fleets := c.readView(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropEnded(rollouts)
	for i, r := range rollouts {
		run := c.runOf(now, r)
		run.overlay(r, cfvmirror.Revision(fencingToken).History())
		next, changed := run.next(now, r, fleets[i])
		if !changed || !run.mayWrite(now, next.Phase) {
			continue
		}
		c.logDecision(now, run, r, next, fleets[i])
		run.writing[next.Phase]++
		run.sentAt = now
		go c.record(ctx, run, Write{Progress: next, FencingToken: fencingToken, Order: r.Revision, Record: r.RecordRevision})
	}
}

// next returns the progress to record, and false if the recorded one is to stay.
func (n *run) next(now time.Duration, r *cfvfleet.Rollout, f cfvrollout.Fleet) (next cfvfleet.RolloutProgress, changed bool) {
	if r.Unrecorded {
		next = r.Progress
		next.OrderRevision = r.Revision
		return next, true
	}
	return n.policy.Next(now, r, f)
}

// readView returns the roll-outs that have not ended, or whose end is not recorded any more, and the endpoints of their services.
func (c *Controller) readView(now time.Duration) (rollouts []*cfvfleet.Rollout, fleets []cfvrollout.Fleet) {
	c.cfg.View(func(v *cfvfleet.View) {
		for _, r := range v.Rollouts() {
			if r.Progress.Phase == cfvfleet.RolloutRunning || r.Unrecorded {
				rollouts = append(rollouts, r)
				fleets = append(fleets, fleetOf(now, v, r))
			}
		}
	})
	return rollouts, fleets
}

// fleetOf describes the endpoints of a roll-out's service. The target version is warm when half of its
// endpoints are.
func fleetOf(now time.Duration, v *cfvfleet.View, r *cfvfleet.Rollout) (f cfvrollout.Fleet) {
	var warm []time.Duration
	for _, e := range v.Usable(r.Service) {
		if e.SoftwareVersion != r.Target {
			f.Stable++
			continue
		}
		f.Target++
		warm = append(warm, max(v.KnownSince(now, e.ID)+cfvrollout.WarmUpTime, v.ColdUntil(e.ID)))
	}
	for _, e := range v.All() {
		if e.Service == r.Service && e.SoftwareVersion != r.Target {
			f.OldVersions = append(f.OldVersions, e.SoftwareVersion)
		}
	}
	if len(warm) > 0 {
		slices.Sort(warm)
		f.WarmAt = warm[len(warm)/2]
	}
	slices.Sort(f.OldVersions)
	f.OldVersions = slices.Compact(f.OldVersions)
	return f
}

// dropEnded forgets the roll-outs that have ended, and all evidence if none is left. The caller must hold the
// lock.
func (c *Controller) dropEnded(rollouts []*cfvfleet.Rollout) {
	for service := range c.runs {
		if !slices.ContainsFunc(rollouts, func(r *cfvfleet.Rollout) bool { return r.Service == service }) {
			delete(c.runs, service)
		}
	}
	if len(rollouts) == 0 {
		clear(c.reports)
	}
}

// runOf returns the run of an order. Another order of the same service begins a new one. The caller must hold
// the lock.
func (c *Controller) runOf(now time.Duration, r *cfvfleet.Rollout) *run {
	if have := c.runs[r.Service]; have != nil && (have.policy.Revision() == r.Revision || have.policy.Revision() == r.Formerly) {
		have.policy.Renumber(r.Revision)
		return have
	}
	n := &run{policy: cfvrollout.NewPolicy(now, c.cfg.Millis(), r, c.cfg.Limits), writing: make(map[cfvfleet.RolloutPhase]int)}
	for _, report := range c.reports {
		n.policy.AddReport(report)
	}
	c.runs[r.Service] = n
	c.cfg.Log.Infow("this entry carries out a roll-out", "service", r.Service, "target", r.Target, "order", r.Revision, "durationMillis", r.Duration.Milliseconds(),
		"elapsedMillis", n.policy.Elapsed(now).Milliseconds(), "share", r.Progress.Share, "recorded", r.RecordRevision)
	return n
}

// overlay replaces the recorded progress by one that this entry has written since. What it wrote in an earlier history of the
// key-value store may be lost; an end is written again.
func (n *run) overlay(r *cfvfleet.Rollout, history cfvmirror.History) {
	if n.record.History() < history {
		n.record = 0
		if ended := n.written.Phase != cfvfleet.RolloutRunning; ended && r.Progress.Phase == cfvfleet.RolloutRunning {
			r.Progress, r.ProgressAt, r.Unrecorded = n.written, n.at, true
		}
		return
	}
	if n.record > r.RecordRevision {
		r.Progress, r.ProgressAt, r.RecordRevision = n.written, n.at, n.record
	}
}

// phaseNames are the names of the phases in the metrics.
var phaseNames = map[cfvfleet.RolloutPhase]string{
	cfvfleet.RolloutRunning: "running", cfvfleet.RolloutCompleted: "completed", cfvfleet.RolloutRolledBack: "rolledBack",
}

// record writes a progress. If the answer is lost, it may have been written: the next write then fails until
// the record is known.
func (c *Controller) record(ctx context.Context, n *run, w Write) {
	start := c.cfg.Now()
	revision, err := c.cfg.Record(ctx, w)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	n.writing[w.Progress.Phase]--
	if err == nil {
		c.cfg.Count("rollout.recorded."+phaseNames[w.Progress.Phase], 1)
		n.policy.RecordWrite(now - start)
		if revision > n.record {
			n.written, n.record, n.at = w.Progress, revision, now
		}
		return
	}
	n.retryAt = now + writeRetryDelay
	reason := "rollout.writeFailed"
	if errors.Is(err, c.cfg.Conflict) {
		reason = "rollout.writeConflict"
	}
	c.cfg.Count(reason, 1)
	c.cfg.Log.Warnw("could not record the progress of a roll-out", "service", w.Progress.Service, "phase", int(w.Progress.Phase), "share", w.Progress.Share,
		"order", w.Order, "record", w.Record, "fence", w.FencingToken, "tookMillis", (now - start).Milliseconds(), "error", err.Error())
}

// logDecision logs a change of the share or of the phase with the evidence for it.
func (c *Controller) logDecision(now time.Duration, n *run, r *cfvfleet.Rollout, next cfvfleet.RolloutProgress, f cfvrollout.Fleet) {
	if next.Phase == n.logged.Phase && next.Share == n.logged.Share && n.logged.Target != "" {
		return
	}
	n.logged = next
	target, all := n.policy.Requests()
	c.cfg.Log.Infow("decided on a roll-out", "service", r.Service, "target", r.Target, "phase", int(next.Phase), "share", next.Share, "before", r.Progress.Share,
		"cause", next.Cause, "elapsedMillis", next.Elapsed.Milliseconds(), "requests", target, "all", all, "evidence", n.policy.Describe(), "endpoints", f.Target, "others", f.Stable, "warm", now >= f.WarmAt)
}
