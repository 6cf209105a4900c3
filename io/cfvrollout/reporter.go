package cfvrollout

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvrollout"
	"coltsfootvalve/io/cfvwire/cfvwireentry/cfvwireentryconnect"

	"connectrpc.com/connect"
)

// Intervals, timeouts and limits of reports.
const (
	minReportInterval   = 500 * time.Millisecond
	maxReportsPerSecond = 300 // that the leader gets from all entries
	reportTimeout       = 400 * time.Millisecond
	maxUnreportedTime   = 1500 * time.Millisecond // the leader has all evidence but that of the last while of this length
	maxMissedReports    = 2                       // or the time of so many reports, if that is longer
	firstVerdictTime    = 1500 * time.Millisecond // from the first report to a leader until it has judged all evidence
)

// Leader is the present leader.
type Leader struct {
	Name string
	Addr string // peer address
	Term int64  // changes when the leadership is acquired
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Self        string
	StartMillis int64                                                             // start of this process in Unix milliseconds
	Evidence    func() []cfvrollout.Evidence                                      // about the roll-outs that are running, in a fixed order
	Leader      func() (Leader, bool)                                             // false: none is known
	Entries     func() int                                                        // number of entries that report
	Send        func(ctx context.Context, addr string, r cfvrollout.Report) error // SendReports returns such a function
	Now         func() time.Duration
	Log         cfvlog.Logger
	Count       func(name string, n int64)
}

// Reporter reports the evidence of an entry process to the leader.
type Reporter struct {
	cfg      ReporterConfig
	accepted []cfvrollout.Evidence // of the last report that a leader accepted
	term     int64                 // of that leader
	failing  bool                  // the last report was not accepted

	mu         sync.Mutex
	reportedAt time.Duration // when the leader had all evidence
	termAt     time.Duration // when this leader accepted the first report
}

// NewReporter returns a reporter. Run makes it report.
func NewReporter(cfg ReporterConfig) *Reporter { return &Reporter{cfg: cfg} }

// Current reports whether the leader has all evidence but that of the last moments, and has had the time to judge it.
// What an entry sends to a version without that is not judged by anyone.
func (r *Reporter) Current() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	return now-r.reportedAt <= max(maxUnreportedTime, (maxMissedReports+1)*r.interval()) && (r.termAt == 0 || now-r.termAt >= firstVerdictTime)
}

// recordCurrent records that the leader of a term has all evidence.
func (r *Reporter) recordCurrent(term int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedAt = r.cfg.Now()
	if term != r.term {
		r.term, r.termAt = term, r.reportedAt
	}
}

// SendReports returns a function that sends a report to the leader at an address.
func SendReports() func(ctx context.Context, addr string, r cfvrollout.Report) error {
	client := cfvhttp.NewClient(reportTimeout, 1)
	return func(ctx context.Context, addr string, r cfvrollout.Report) error {
		return sendReport(ctx, client, addr, r)
	}
}

func sendReport(ctx context.Context, client *http.Client, addr string, r cfvrollout.Report) error {
	_, err := cfvwireentryconnect.NewRolloutsClient(client, "http://"+addr, connect.WithReadMaxBytes(maxReportBytes)).Report(ctx, connect.NewRequest(encodeReport(r)))
	return err
}

// Run reports until the context ends.
func (r *Reporter) Run(ctx context.Context) {
	for cfvclock.Sleep(ctx, r.interval()) {
		r.report(ctx)
	}
}

// interval returns the time between two reports. It grows with the number of entries, for the leader's sake.
func (r *Reporter) interval() time.Duration {
	return max(minReportInterval, time.Duration(r.cfg.Entries())*time.Second/maxReportsPerSecond)
}

// report sends the evidence to the leader, unless it has accepted the same before.
func (r *Reporter) report(ctx context.Context) {
	evidence := r.cfg.Evidence()
	if len(evidence) == 0 {
		r.accepted, r.failing = nil, false
		r.recordCurrent(r.term)
		return
	}
	leader, ok := r.cfg.Leader()
	if !ok {
		r.cfg.Count("rollout.noLeader", 1)
		return
	}
	if leader.Term == r.term && slices.Equal(evidence, r.accepted) {
		r.recordCurrent(r.term)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err := r.cfg.Send(ctx, leader.Addr, cfvrollout.Report{Entry: r.cfg.Self, StartMillis: r.cfg.StartMillis, Evidence: evidence})
	if err != nil {
		r.recordFailure(leader, err)
		return
	}
	if leader.Term != r.term || r.failing {
		r.cfg.Log.Infow("the leader accepts the evidence of a roll-out", "leader", leader.Name, "term", leader.Term)
	}
	r.cfg.Count("rollout.reports", 1)
	r.accepted, r.failing = evidence, false
	r.recordCurrent(leader.Term)
}

// recordFailure records that a report was not accepted. The next one contains all its evidence.
func (r *Reporter) recordFailure(leader Leader, err error) {
	r.cfg.Count("rollout.reportsFailed", 1)
	if !r.failing {
		r.cfg.Log.Warnw("the leader does not accept the evidence of a roll-out", "leader", leader.Name, "addr", leader.Addr, "term", leader.Term, "error", err.Error())
	}
	r.failing = true
}
