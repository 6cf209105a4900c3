package cfvlimit

import "time"

// A window is cut into steps; the history covers the window and the one before it.
const (
	windowSteps  = 20
	historySteps = 2*windowSteps + 2
)

// RepeatWindow bounds repeats of one service at one entry: in any window, wherever it
// begins, they stay below a share of the requests and the entry's part of the slack that
// all entries have together. The requests are those of that window, of the one before it
// or of the one half a window before it, whichever has most. It is not safe for concurrent
// use.
type RetryWindow struct {
	ratio    float64
	slack    float64
	step     time.Duration
	at       int64 // number of the current step
	requests [historySteps]int
	repeats  [historySteps]int
}

// RepeatConfig configures a RepeatWindow.
type RetryConfig struct {
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats besides, for this entry
	Window time.Duration
}

// NewRepeatWindow returns an empty window.
func NewRetryWindow(cfg RetryConfig) *RetryWindow {
	return &RetryWindow{ratio: cfg.Ratio, slack: cfg.Slack, step: max(cfg.Window/windowSteps, time.Millisecond)}
}

// SetSlack changes the entry's part of the slack.
func (w *RetryWindow) SetSlack(slack float64) { w.slack = slack }

// Request counts a request of a caller.
func (w *RetryWindow) CountRequest(now time.Duration) {
	w.turn(now)
	w.requests[w.at%historySteps]++
}

// Room reports whether a request may be sent once more: every window that contains this
// moment bears it. Steps that a window covers in part count for the repeats, and not for
// the requests.
func (w *RetryWindow) CanRetry(now time.Duration) bool {
	w.turn(now)
	repeats := 0
	for back := int64(0); back <= windowSteps; back++ {
		first := w.at - back
		repeats += w.count(&w.repeats, first, first)
		requests := max(
			w.count(&w.requests, first+1, w.at),
			w.count(&w.requests, first-windowSteps/2+1, min(first+windowSteps/2-1, w.at)),
			w.count(&w.requests, first-windowSteps+1, first-1),
		)
		if float64(repeats+1) > w.ratio*float64(requests)+w.slack {
			return false
		}
	}
	return true
}

// Take reports whether a request may be sent once more, and counts it.
func (w *RetryWindow) TakeRetry(now time.Duration) bool {
	if !w.CanRetry(now) {
		return false
	}
	w.repeats[w.at%historySteps]++
	return true
}

// count adds up the steps from first to last.
func (w *RetryWindow) count(steps *[historySteps]int, first, last int64) (n int) {
	for i := max(first, w.at-historySteps+1, 0); i <= last; i++ {
		n += steps[i%historySteps]
	}
	return n
}

// turn clears the steps that have left the history.
func (w *RetryWindow) turn(now time.Duration) {
	n := int64(now / w.step)
	for i := max(w.at+1, n-historySteps+1); i <= n; i++ {
		w.requests[i%historySteps], w.repeats[i%historySteps] = 0, 0
	}
	w.at = max(w.at, n)
}
