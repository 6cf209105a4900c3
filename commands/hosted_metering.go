package commands

import (
	"context"
	"time"

	"coltsfootvalve/common/cfvclock"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvusage"
	"coltsfootvalve/io/cfvmetering"
	"coltsfootvalve/platform"
)

// metering holds the components that report usage to the platform.
type metering struct {
	meter      *cfvmetering.Meter
	reporter   *cfvmetering.Reporter
	controller *cfvmetering.Controller
}

// newMetering returns the components of metering; nil if metering is none of the duties.
func (h *hostedEntry) newMetering() *metering {
	if !h.settings.Duties.Metering {
		return nil
	}
	log, b := h.log.Component("metering"), h.settings.Bounds
	windows := cfvusage.Windows{Length: b.UsageWindow, Late: b.UsageDelay}
	millis := func() int64 { return time.Now().UnixMilli() }
	meter := cfvmetering.NewMeter(cfvmetering.MeterConfig{Windows: windows, Now: cfvclock.SinceBoot, Millis: millis})
	client := platform.NewDutyClient(h.settings.Duties.Addr, h.settings.Node)
	return &metering{
		meter: meter,
		reporter: cfvmetering.NewReporter(cfvmetering.ReporterConfig{
			Process: cfvusage.Process{Entry: h.settings.Node, StartMillis: millis()}, Meter: meter, Leader: h.meteringLeader,
			Entries: func() int { return len(h.roster().Entries()) }, Send: cfvmetering.SendReports(), Now: cfvclock.SinceBoot, Log: log, Count: h.metrics.Count,
		}),
		controller: cfvmetering.NewController(cfvmetering.ControllerConfig{
			Plan:  cfvusage.PlanConfig{Windows: windows, CallInterval: callInterval(h.settings.Duties.CallsPerSecond), HolderPause: b.DutyPause},
			Meter: meter, Recorded: h.recordedUsage, Conflict: platform.ErrConflict, Report: client.ReportUsage, Now: cfvclock.SinceBoot, Log: log, Count: h.metrics.Count,
			Record: func(ctx context.Context, w cfvusage.Window, fencingToken, replaces int64) (int64, error) {
				writes, err := platform.UsageWrites(w)
				if err != nil {
					return 0, err
				}
				revision, err := h.keyValueStore.Commit(ctx, platform.UsagePreconditions(fencingToken, replaces), writes)
				return int64(revision), err
			},
		}),
	}
}

// countRun returns the function that counts a request that begins to run; nil without metering.
func (m *metering) countRun() func(workspace string) {
	if m == nil {
		return nil
	}
	return m.meter.Count
}

// tick returns the function that reports usage while this entry is the leader; nil without metering.
func (m *metering) tick() func(ctx context.Context, fencingToken int64) {
	if m == nil {
		return nil
	}
	return m.controller.Tick
}

// meteringLeader returns the entry that gathers the counts, and false if none is known.
func (h *hostedEntry) meteringLeader() (cfvmetering.Leader, bool) {
	leader, ok := h.currentLeader()
	return cfvmetering.Leader{Name: leader.Name, Addr: leader.Addr, Term: leader.Term}, ok
}

// recordedUsage returns the record of usage as far as it is known, and false if none is newer than a revision. One that
// can't be read counts as that of no window, so that it is replaced. A window that a restored key-value store has lost may have
// been reported with its counts, so it counts as recorded.
func (h *hostedEntry) recordedUsage(after int64) (w cfvusage.Window, revision int64, ok bool) {
	record, ok := h.state.Record(platform.KeyUsage)
	lost, isLost := h.state.Lost(platform.KeyUsage)
	if isLost && !ok {
		record.Revision = h.state.AsOf().History().Revision(0)
	}
	if !ok && !isLost || int64(record.Revision) <= after {
		return w, 0, false
	}
	if ok {
		w = h.decodeUsage(record)
	}
	if before := h.decodeUsage(lost); isLost && before.Number > w.Number {
		w = before
	}
	return w, int64(record.Revision), true
}

// decodeUsage returns the window in a record; one that can't be read gives none.
func (h *hostedEntry) decodeUsage(r cfvmirror.Record) cfvusage.Window {
	w, err := platform.DecodeUsage(r)
	if err != nil && len(r.Value) > 0 {
		h.metrics.Count("usage.recordUnreadable", 1)
		return cfvusage.Window{}
	}
	return w
}

// callInterval returns the minimum time between two duty calls; 0 if their rate is not limited.
func callInterval(callsPerSecond float64) time.Duration {
	if callsPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / callsPerSecond)
}
