package cfvmetering

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvusage"
	"coltsfootvalve/io/cfvwire/cfvwireentry"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
)

// maxTickAge is the time after a tick up to which a call may begin. The fencing token may have been replaced since
// if the process was frozen in between; the call would be refused.
const maxTickAge = 500 * time.Millisecond

// ControllerConfig configures a Controller.
type ControllerConfig struct {
	Plan     cfvusage.PlanConfig
	Meter    *Meter
	Recorded func(after int64) (w cfvusage.Window, revision int64, ok bool) // the record of usage as far as it is known; false: none is newer than that revision
	Record   func(ctx context.Context, w cfvusage.Window, fencingToken, replaces int64) (revision int64, err error)
	Conflict error // returned by Record if this entry is not the leader, or the replaced revision not the newest one
	Report   func(ctx context.Context, fencingToken int64, w cfvusage.Window) (cfvusage.Verdict, error)
	Now      func() time.Duration
	Log      cfvlog.Logger
	Count    func(name string, n int64)
}

// Controller gathers the counts of the entries and reports them to the platform while this entry is the leader. It
// keeps the counts that it gets also while it isn't.
type Controller struct {
	cfg ControllerConfig

	mu        sync.Mutex
	collector *cfvusage.Collector
	estimates *cfvusage.Estimates
	plan      *cfvusage.Plan
	busy      bool // a write or a call is in progress
}

// NewController returns a controller without counts.
func NewController(cfg ControllerConfig) *Controller {
	w := cfg.Plan.Windows
	return &Controller{
		cfg: cfg, collector: cfvusage.NewCollector(w), estimates: cfvusage.NewEstimates(),
		plan: cfvusage.NewPlan(cfg.Plan, cfg.Now(), w.At(cfg.Meter.Millis())),
	}
}

// maxReportBytes is the maximum size of a report. One with ten windows of a thousand workspaces has a tenth of it.
const maxReportBytes = 4 << 20

// Handler returns the path and the handler of the reports of entries.
func (c *Controller) Handler() (string, http.Handler) {
	return cfvwireentryconnect.NewMeteringHandler(c, connect.WithReadMaxBytes(maxReportBytes))
}

// Report takes in the report of an entry.
func (c *Controller) Report(_ context.Context, req *connect.Request[cfvwireentry.UsageReportRequest]) (*connect.Response[cfvwireentry.UsageReportResponse], error) {
	return connect.NewResponse(&cfvwireentry.UsageReportResponse{TrueMillis: c.AddReport(decodeReport(req.Msg))}), nil
}

// AddReport takes in the report of an entry. It returns the median of the entries' estimates of the present time.
func (c *Controller) AddReport(r cfvusage.Report) (trueMillis int64) {
	c.cfg.Count("usage.reportsReceived", 1)
	current := c.cfg.Plan.Windows.At(c.cfg.Meter.Millis())
	now, own := c.cfg.Now(), c.cfg.Meter.own()
	c.mu.Lock()
	defer c.mu.Unlock()
	if ignored := c.collector.Add(current, r); ignored > 0 {
		c.cfg.Count("usage.windowsIgnored", int64(ignored))
	}
	c.estimates.Add(now, r.Process.Entry, r.TrueMillis)
	return c.estimates.Median(now, own)
}

// Tick starts the next write or call, if one is due and none is in progress. The leader calls it while its fencing
// token is valid. It waits for neither the key-value store nor the platform.
func (c *Controller) Tick(ctx context.Context, fencingToken int64) {
	now, millis := c.cfg.Now(), c.cfg.Meter.Millis()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return
	}
	if record, revision, ok := c.cfg.Recorded(c.plan.Revision()); ok {
		c.plan.Observe(record, revision)
	}
	step := c.plan.Next(now, millis, fencingToken, c.collector.Counts)
	if missed := c.plan.TakeMissed(); missed > 0 {
		c.cfg.Count("usage.late", int64(missed))
		c.cfg.Log.Warnw("windows of usage were not reported in time", "windows", missed, "fence", fencingToken)
	}
	if step.Action == cfvusage.Wait {
		return
	}
	c.busy = true
	go c.carryOut(ctx, now, fencingToken, step)
}

// carryOut carries out a step of a tick.
func (c *Controller) carryOut(ctx context.Context, tickAt time.Duration, fencingToken int64, s cfvusage.Step) {
	switch {
	case c.cfg.Now()-tickAt > maxTickAge:
		c.cfg.Count("usage.stepsDropped", 1)
	case s.Action == cfvusage.Record:
		c.record(ctx, fencingToken, s)
	default:
		c.report(ctx, fencingToken, s)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
}

// record records a window. If the response is lost, it may have been recorded: later writes then fail until the
// record is known.
func (c *Controller) record(ctx context.Context, fencingToken int64, s cfvusage.Step) {
	revision, err := c.cfg.Record(ctx, s.Window, fencingToken, s.Revision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.cfg.Count("usage.recorded", 1)
		c.plan.Recorded(s.Window, revision)
		return
	}
	conflict := errors.Is(err, c.cfg.Conflict)
	reason := "usage.writeFailed"
	if conflict {
		reason = "usage.writeConflict"
	}
	c.cfg.Count(reason, 1)
	c.plan.RecordFailed(c.cfg.Now(), conflict)
	c.cfg.Log.Warnw("could not record the usage of a window", "window", s.Window.Number, "record", s.Revision, "fence", fencingToken, "error", err.Error())
}

// report reports the recorded window to the platform.
func (c *Controller) report(ctx context.Context, fencingToken int64, s cfvusage.Step) {
	verdict, err := c.cfg.Report(ctx, fencingToken, s.Window)
	c.cfg.Count("usage.sent", 1)
	if s.Repeated {
		c.cfg.Count("usage.repeated", 1)
	}
	c.mu.Lock()
	c.plan.Called(c.cfg.Now(), s, fencingToken, verdict)
	c.mu.Unlock()
	untilDue := c.cfg.Plan.Windows.Due(s.Window.Number) - c.cfg.Meter.Millis()
	if verdict == cfvusage.Accepted {
		c.cfg.Count("usage.accepted", 1)
		c.cfg.Log.Infow("reported the usage of a window", "window", s.Window.Number, "workspaces", len(s.Window.Counts), "requests", requests(s.Window),
			"fence", fencingToken, "repeated", s.Repeated, "untilDueMillis", untilDue)
		return
	}
	c.cfg.Count("usage.refused."+verdict.String(), 1)
	pairs := []any{"window", s.Window.Number, "reason", verdict.String(), "fence", fencingToken, "repeated", s.Repeated, "untilDueMillis", untilDue}
	if err != nil {
		pairs = append(pairs, "error", err.Error())
	}
	c.cfg.Log.Warnw("the platform did not accept the usage of a window", pairs...)
}

// requests returns the number of requests of all workspaces in a window.
func requests(w cfvusage.Window) (n uint64) {
	for _, count := range w.Counts {
		n += count
	}
	return n
}
