package cfvmetering

import (
	"context"
	"net/http"
	"reflect"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvusage"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
)

// Intervals, timeouts and limits of reports.
const (
	minReportInterval   = 500 * time.Millisecond
	maxReportInterval   = 2 * time.Second // the last report of a window arrives before the leader records it, also if one is lost
	maxReportsPerSecond = 80              // that the leader gets from all entries, unless that exceeds the longest interval
	reportTimeout       = 400 * time.Millisecond
	clockInterval       = 2 * time.Second // counts that have not changed are reported this often, for the estimate of true time
	minClockChange      = int64(1000)     // milliseconds; smaller changes of the estimate of true time are not logged
)

// Leader is the present leader.
type Leader struct {
	Name string
	Addr string // peer address
	Term int64  // changes when the leadership is acquired
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Process cfvusage.Process
	Meter   *Meter
	Leader  func() (Leader, bool)                                                                   // false: none is known
	Entries func() int                                                                              // number of entries that report
	Send    func(ctx context.Context, addr string, r cfvusage.Report) (trueMillis int64, err error) // SendReports returns such a function; 0: true time is not known
	Now     func() time.Duration
	Log     cfvlog.Logger
	Count   func(name string, n int64)
}

// Reporter reports the counts of an entry process to the leader.
type Reporter struct {
	cfg      ReporterConfig
	accepted []cfvusage.Window // of the last report that a leader accepted
	term     int64             // of that leader
	at       time.Duration     // time of that report
	failing  bool              // the last report was not accepted
}

// NewReporter returns a reporter. Run makes it report.
func NewReporter(cfg ReporterConfig) *Reporter { return &Reporter{cfg: cfg} }

// SendReports returns a function that sends a report to the leader at an address.
func SendReports() func(ctx context.Context, addr string, r cfvusage.Report) (int64, error) {
	client := cfvhttp.NewClient(reportTimeout, 1)
	return func(ctx context.Context, addr string, r cfvusage.Report) (int64, error) {
		return sendReport(ctx, client, addr, r)
	}
}

func sendReport(ctx context.Context, client *http.Client, addr string, r cfvusage.Report) (int64, error) {
	resp, err := cfvwireentryconnect.NewMeteringClient(client, "http://"+addr, connect.WithReadMaxBytes(maxReportBytes)).Report(ctx, connect.NewRequest(encodeReport(r)))
	if err != nil {
		return 0, err
	}
	return resp.Msg.GetTrueMillis(), nil
}

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for cfvclock.Sleep(ctx, r.interval()) {
		r.cfg.Meter.sample()
		r.report(ctx)
	}
}

// interval returns the time between two reports. It grows with the number of entries, for the leader's sake.
func (r *Reporter) interval() time.Duration {
	return min(max(minReportInterval, time.Duration(r.cfg.Entries())*time.Second/maxReportsPerSecond), maxReportInterval)
}

// report sends the counts to the leader, unless it has accepted the same just before.
func (r *Reporter) report(ctx context.Context) {
	leader, ok := r.cfg.Leader()
	if !ok {
		r.cfg.Count("usage.noLeader", 1)
		return
	}
	windows, trueMillis := r.cfg.Meter.windows()
	start := r.cfg.Now()
	if leader.Term == r.term && start-r.at < clockInterval && reflect.DeepEqual(windows, r.accepted) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	fleetMillis, err := r.cfg.Send(ctx, leader.Addr, cfvusage.Report{Process: r.cfg.Process, Windows: windows, TrueMillis: trueMillis})
	if err != nil {
		r.recordFailure(leader, err)
		return
	}
	if leader.Term != r.term || r.failing {
		r.cfg.Log.Infow("the leader accepts the counts of requests", "leader", leader.Name, "term", leader.Term)
	}
	r.cfg.Count("usage.reports", 1)
	r.accepted, r.term, r.at, r.failing = windows, leader.Term, start, false
	// A response that arrived before a freeze of this process, and was read after it, tells an old time.
	if end := r.cfg.Now(); fleetMillis > 0 && end-start <= reportTimeout {
		r.setFleet(start+(end-start)/2, fleetMillis)
	}
}

// setFleet takes over the fleet's estimate of true time.
func (r *Reporter) setFleet(at time.Duration, trueMillis int64) {
	change := r.cfg.Meter.setFleet(at, trueMillis)
	if change > minClockChange || change < -minClockChange {
		r.cfg.Count("usage.clockChanges", 1)
		r.cfg.Log.Warnw("the estimate of true time has changed", "changeMillis", change)
	}
}

// recordFailure records that a report was not accepted. The next one contains all its counts.
func (r *Reporter) recordFailure(leader Leader, err error) {
	r.cfg.Count("usage.reportsFailed", 1)
	if !r.failing {
		r.cfg.Log.Warnw("the leader does not accept the counts of requests", "leader", leader.Name, "addr", leader.Addr, "term", leader.Term, "error", err.Error())
	}
	r.failing = true
}
