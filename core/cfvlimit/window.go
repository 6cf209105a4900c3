package cfvlimit

import "time"

// A window is divided into steps. The history covers the current window and the one before.
const (
	windowSteps  = 20
	historySteps = 2*windowSteps + 2
)

// RetryWindow limits the retries of one service at one entry. In any sliding window, the
// number of retries is at most the ratio times the number of requests, plus this entry's
// share of the slack, which is divided among all entries. The requests are those of that
// window, of the window before it or of the window that begins half a window earlier,
// whichever has the most. It is not safe for concurrent use.
type RetryWindow struct {
	ratio    float64
	slack    float64
	step     time.Duration
	current  int64 // index of the current step
	requests [historySteps]int
	retries  [historySteps]int
}

// RetryConfig configures a RetryWindow.
type RetryConfig struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries of this entry in each window
	Window time.Duration
}

// NewRetryWindow returns an empty window.
func NewRetryWindow(cfg RetryConfig) *RetryWindow {
	return &RetryWindow{ratio: cfg.Ratio, slack: cfg.Slack, step: max(cfg.Window/windowSteps, time.Millisecond)}
}

// SetSlack changes this entry's share of the slack.
func (w *RetryWindow) SetSlack(slack float64) { w.slack = slack }

// CountRequest counts a request of a caller.
func (w *RetryWindow) CountRequest(now time.Duration) {
	w.advance(now)
	w.requests[w.current%historySteps]++
}

// CanRetry reports whether a retry stays within the limit of every window that contains
// now. Steps that a window covers only partly count for the retries, but not for the
// requests.
func (w *RetryWindow) CanRetry(now time.Duration) bool {
	w.advance(now)
	retries := 0
	for back := int64(0); back <= windowSteps; back++ {
		first := w.current - back
		retries += w.sum(&w.retries, first, first)
		requests := max(
			w.sum(&w.requests, first+1, w.current),
			w.sum(&w.requests, first-windowSteps/2+1, min(first+windowSteps/2-1, w.current)),
			w.sum(&w.requests, first-windowSteps+1, first-1),
		)
		if float64(retries+1) > w.ratio*float64(requests)+w.slack {
			return false
		}
	}
	return true
}

// TakeRetry reports whether a retry is allowed, and counts it if so.
func (w *RetryWindow) TakeRetry(now time.Duration) bool {
	if !w.CanRetry(now) {
		return false
	}
	w.retries[w.current%historySteps]++
	return true
}

// sum returns the total of the steps from first to last.
func (w *RetryWindow) sum(steps *[historySteps]int, first, last int64) (n int) {
	for i := max(first, w.current-historySteps+1, 0); i <= last; i++ {
		n += steps[i%historySteps]
	}
	return n
}

// advance moves to the step of now and clears the steps that fell out of the history.
func (w *RetryWindow) advance(now time.Duration) {
	n := int64(now / w.step)
	for i := max(w.current+1, n-historySteps+1); i <= n; i++ {
		w.requests[i%historySteps], w.retries[i%historySteps] = 0, 0
	}
	w.current = max(w.current, n)
}
