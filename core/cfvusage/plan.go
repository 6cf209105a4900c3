package cfvusage

import "time"

// Delays of writes and calls.
const (
	maxSettleTime = 4 * time.Second // from the end of a window until it is recorded; the last reports of entries have arrived by then
	settleShare   = 0.4             // of the time until a report is due, if that is shorter
	gatherTime    = 2500 * time.Millisecond
	lastWriteTime = 1500 * time.Millisecond // a new leader records a window at the latest this long before the report is due
	retryDelay    = 500 * time.Millisecond  // from a call without acceptance to its repetition
	tooManyDelay  = time.Second             // likewise, after too many calls
	lateCallTime  = 5 * time.Second         // a call without a response may be executed until so long after it
	writeDelay    = 300 * time.Millisecond  // from a failed write to the next attempt
)

// Verdict is the platform's response to a report.
type Verdict int

// Verdicts.
const (
	Unknown  Verdict = iota // no response, or an error; the report may have been accepted
	Accepted                // also an exact repetition
	Fenced                  // another holder has called with a higher fencing token
	TooMany                 // too many calls
)

// String returns the name of the verdict in counters.
func (v Verdict) String() string {
	return [...]string{"unknown", "accepted", "fenced", "tooMany"}[v]
}

// Action is what the leader does next.
type Action int

// Actions.
const (
	Wait   Action = iota // nothing
	Record               // write the window to the record of usage, if that is unchanged and this entry is still the leader
	Send                 // report the recorded window to the platform
)

// Step is an action and the window that it is about.
type Step struct {
	Action   Action
	Window   Window
	Revision int64 // of the record of usage that is replaced; 0: none. Of the record that is sent.
	Repeated bool  // the window has been sent before by this process
}

// PlanConfig configures a Plan.
type PlanConfig struct {
	Windows      Windows
	CallInterval time.Duration // minimum time between two calls
	HolderPause  time.Duration // a process makes no call under a new fencing token until this long after its last call
}

// Plan decides which window the leader records and reports next. A window is recorded once, before it is reported,
// and reported with exactly the recorded counts, so two leaders cannot report different ones. It is not safe for
// concurrent use.
type Plan struct {
	cfg         PlanConfig
	firstWindow int64 // the first one that is reported if nothing was recorded
	token       int64
	termAt      time.Duration // first tick with this token
	fenced      bool          // calls with this token are refused
	lastCallAt  time.Duration // latest time at which the last call can have been executed
	resumeAt    time.Duration // no call before
	writeAt     time.Duration // no write before

	record      Window // the newest known
	revision    int64  // its revision; 0: none
	ended       int64  // revision of the newest record that needs no further call
	sent        int64  // revision of the record of the last call
	written     int64  // revision of the last record that this process wrote
	lastWindow  int64  // highest window that was recorded
	missed      int    // windows that were not accepted in time
	hasRecorded bool   // lastWindow is set
}

// NewPlan returns the plan of a process that starts in a window. An earlier process of this entry may have made a
// call just before.
func NewPlan(cfg PlanConfig, now time.Duration, window int64) *Plan {
	return &Plan{cfg: cfg, firstWindow: window, lastCallAt: now}
}

// Observe takes in the record of usage as far as it is known, which may be outdated.
func (p *Plan) Observe(record Window, revision int64) {
	if revision <= p.revision {
		return
	}
	p.record, p.revision = record, revision
	if !p.hasRecorded || record.Number > p.lastWindow {
		p.lastWindow, p.hasRecorded = record.Number, true
	}
}

// Revision returns the revision of the newest known record; 0: none.
func (p *Plan) Revision() int64 { return p.revision }

// Next returns the next step of the leader with a fencing token; millis is the estimate of true time. It calls
// counts for a window that is to be recorded.
func (p *Plan) Next(now time.Duration, millis, token int64, counts func(window int64) map[string]uint64) Step {
	if token != p.token {
		p.token, p.termAt, p.fenced = token, now, false
		p.resumeAt = max(p.resumeAt, p.lastCallAt+p.cfg.HolderPause)
	}
	if p.fenced {
		return Step{}
	}
	if p.revision > p.ended {
		if millis < p.cfg.Windows.Due(p.record.Number) {
			return p.send(now)
		}
		p.ended = p.revision
		if p.revision == p.written || p.revision == p.sent { // else another leader may have been told that it is accepted
			p.missed++
		}
	}
	window, ok := p.nextWindow(now, millis)
	if !ok || now < p.writeAt {
		return Step{}
	}
	return Step{Action: Record, Window: Window{Number: window, Counts: counts(window)}, Revision: p.revision}
}

func (p *Plan) send(now time.Duration) Step {
	if now < p.resumeAt {
		return Step{}
	}
	return Step{Action: Send, Window: p.record, Revision: p.revision, Repeated: p.sent == p.revision}
}

// nextWindow returns the oldest window that is not recorded and whose report is not overdue, and whether its counts
// are complete.
func (p *Plan) nextWindow(now time.Duration, millis int64) (window int64, ok bool) {
	w := p.cfg.Windows
	window = p.firstWindow
	if p.hasRecorded {
		window = p.lastWindow + 1
	}
	oldest := w.At(millis-w.Late.Milliseconds()) - 1
	for window = max(window, oldest); w.Due(window) <= millis; {
		window++
	}
	settle := min(maxSettleTime, time.Duration(settleShare*float64(w.Late)))
	if millis < w.End(window)+settle.Milliseconds() {
		return window, false
	}
	// The entries report to a new leader from the moment when they learn of it.
	return window, now-p.termAt >= gatherTime || millis >= w.Due(window)-lastWriteTime.Milliseconds()
}

// Recorded takes in that a window was recorded.
func (p *Plan) Recorded(w Window, revision int64) {
	if p.hasRecorded {
		p.missed += int(max(w.Number-p.lastWindow-1, 0))
	}
	p.Observe(w, revision)
	p.written = revision
}

// RecordFailed takes in that a window was perhaps not recorded. With a conflict, the known record is not the newest
// one, or was removed.
func (p *Plan) RecordFailed(now time.Duration, conflict bool) {
	p.writeAt = now + writeDelay
	if conflict {
		p.revision, p.record = 0, Window{}
	}
}

// Called takes in the end of a call that was made with a step and a fencing token.
func (p *Plan) Called(now time.Duration, s Step, token int64, v Verdict) {
	p.lastCallAt, p.sent = now, s.Revision
	if v == Unknown {
		p.lastCallAt += lateCallTime
	}
	switch v {
	case Accepted:
		p.ended = max(p.ended, s.Revision)
	case Fenced:
		p.fenced = p.fenced || token == p.token
	}
	wait := retryDelay
	switch v {
	case Accepted:
		wait = 0
	case TooMany:
		wait = tooManyDelay
	}
	p.resumeAt = max(p.resumeAt, now+max(wait, p.cfg.CallInterval))
}

// TakeMissed returns how many windows were not accepted or not recorded in time, and resets that number.
func (p *Plan) TakeMissed() (n int) {
	n, p.missed = p.missed, 0
	return n
}
