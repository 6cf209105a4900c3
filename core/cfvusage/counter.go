// Package cfvusage counts the requests that begin to run, by workspace and by windows of true time, and decides
// when the leader reports a window to the platform.
package cfvusage

import (
	"maps"
	"slices"
	"time"
)

// minKept is the minimum number of windows that entries report and the leader keeps.
const minKept = 4

// Windows divides true time into windows of equal length. Window k begins k lengths after 1970.
type Windows struct {
	Length time.Duration
	Late   time.Duration // a report is due this long after the end of its window
}

// At returns the window of a time in Unix milliseconds.
func (w Windows) At(millis int64) int64 { return millis / w.Length.Milliseconds() }

// End returns the end of a window in Unix milliseconds.
func (w Windows) End(window int64) int64 { return (window + 1) * w.Length.Milliseconds() }

// Due returns when the report of a window is due, in Unix milliseconds.
func (w Windows) Due(window int64) int64 { return w.End(window) + w.Late.Milliseconds() }

// kept returns the number of windows whose counts are kept: the present one, and all that may still be reported.
func (w Windows) kept() int64 { return max(minKept, int64((w.Late+w.Length-1)/w.Length)+2) }

// keeps reports whether the counts of a window are kept in the current one. Later windows are kept as well, since
// the estimates of true time of two entries differ.
func (w Windows) keeps(current, window int64) bool {
	return window > current-w.kept() && window < current+w.kept()
}

// Window holds the counts of one window by workspace.
type Window struct {
	Number int64
	Counts map[string]uint64
}

// Counter counts the requests of one entry process. It is not safe for concurrent use.
type Counter struct {
	windows Windows
	current int64
	counts  map[int64]map[string]uint64
}

// NewCounter returns a counter without counts.
func NewCounter(w Windows) *Counter {
	return &Counter{windows: w, counts: make(map[int64]map[string]uint64)}
}

// Add counts a request of a workspace that began to run in the current window.
func (c *Counter) Add(current int64, workspace string) {
	c.prune(current)
	counts := c.counts[current]
	if counts == nil {
		counts = make(map[string]uint64)
		c.counts[current] = counts
	}
	counts[workspace]++
}

// Windows returns copies of the kept windows in order.
func (c *Counter) Windows(current int64) (out []Window) {
	c.prune(current)
	for _, number := range slices.Sorted(maps.Keys(c.counts)) {
		out = append(out, Window{Number: number, Counts: maps.Clone(c.counts[number])})
	}
	return out
}

func (c *Counter) prune(current int64) {
	if current == c.current {
		return
	}
	c.current = current
	maps.DeleteFunc(c.counts, func(number int64, _ map[string]uint64) bool { return !c.windows.keeps(current, number) })
}
