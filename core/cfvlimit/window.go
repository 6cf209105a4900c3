package cfvlimit

import "time"

// windowSlots is into how many steps a window is cut.
const windowSlots = 20

// RepeatWindow bounds repeats of one service at one entry: within any window they stay below
// a share of the requests in it and the entry's part of the slack that all entries have
// together. It is not safe for concurrent use.
type RepeatWindow struct {
	ratio    float64
	slack    float64
	step     time.Duration
	at       int64 // number of the current step
	requests [windowSlots]int
	repeats  [windowSlots]int
}

// RepeatConfig configures a RepeatWindow.
type RepeatConfig struct {
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats besides, for this entry
	Window time.Duration
}

// NewRepeatWindow returns an empty window.
func NewRepeatWindow(cfg RepeatConfig) *RepeatWindow {
	return &RepeatWindow{ratio: cfg.Ratio, slack: cfg.Slack, step: max(cfg.Window/(windowSlots-1), time.Millisecond)}
}

// SetSlack changes the entry's part of the slack.
func (w *RepeatWindow) SetSlack(slack float64) { w.slack = slack }

// Request counts a request of a caller.
func (w *RepeatWindow) Request(now time.Duration) {
	w.turn(now)
	w.requests[w.at%windowSlots]++
}

// Room reports whether a request may be sent once more.
func (w *RepeatWindow) Room(now time.Duration) bool {
	w.turn(now)
	requests, repeats := 0, 0
	for i := range windowSlots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return float64(repeats+1) <= w.ratio*float64(requests)+w.slack
}

// Take reports whether a request may be sent once more, and counts it.
func (w *RepeatWindow) Take(now time.Duration) bool {
	if !w.Room(now) {
		return false
	}
	w.repeats[w.at%windowSlots]++
	return true
}

// turn clears the steps that have left the window.
func (w *RepeatWindow) turn(now time.Duration) {
	n := int64(now / w.step)
	for i := w.at + 1; i <= n && i <= w.at+windowSlots; i++ {
		w.requests[i%windowSlots], w.repeats[i%windowSlots] = 0, 0
	}
	w.at = max(w.at, n)
}
