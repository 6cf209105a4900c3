package cfvusage

import "maps"

// Process identifies one run of an entry.
type Process struct {
	Entry       string
	StartMillis int64
}

// Report holds the absolute counts of an entry process and its estimate of the present time.
type Report struct {
	Process    Process
	Windows    []Window
	TrueMillis int64
}

// Collector sums the counts of all entries. For each window it keeps the highest count of each process and
// workspace, so reports may be repeated and arrive in any order. It is not safe for concurrent use.
type Collector struct {
	windows Windows
	current int64
	counts  map[int64]map[Process]map[string]uint64
}

// NewCollector returns a collector without counts.
func NewCollector(w Windows) *Collector {
	return &Collector{windows: w, counts: make(map[int64]map[Process]map[string]uint64)}
}

// Add takes in a report. It returns the number of its windows that are too old or too new to be kept.
func (c *Collector) Add(current int64, r Report) (ignored int) {
	c.prune(current)
	for _, w := range r.Windows {
		if !c.windows.keeps(current, w.Number) {
			ignored++
			continue
		}
		c.add(r.Process, w)
	}
	return ignored
}

func (c *Collector) add(p Process, w Window) {
	processes := c.counts[w.Number]
	if processes == nil {
		processes = make(map[Process]map[string]uint64)
		c.counts[w.Number] = processes
	}
	highest := processes[p]
	if highest == nil {
		highest = make(map[string]uint64, len(w.Counts))
		processes[p] = highest
	}
	for workspace, n := range w.Counts {
		highest[workspace] = max(highest[workspace], n)
	}
}

// Counts returns the sums of a window by workspace. It is never nil.
func (c *Collector) Counts(window int64) map[string]uint64 {
	sums := make(map[string]uint64)
	for _, counts := range c.counts[window] {
		for workspace, n := range counts {
			sums[workspace] += n
		}
	}
	return sums
}

func (c *Collector) prune(current int64) {
	if current == c.current {
		return
	}
	c.current = current
	maps.DeleteFunc(c.counts, func(number int64, _ map[Process]map[string]uint64) bool { return !c.windows.keeps(current, number) })
}
