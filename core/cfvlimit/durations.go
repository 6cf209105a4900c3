package cfvlimit

import "time"

// Durations holds the shortest and the longest duration of recent requests. Times are durations on a clock that
// never runs backwards. It is not safe for concurrent use.
type Durations struct {
	from             time.Duration // start of the current period
	current, earlier durationRange
}

// durationRange is the range of the durations in one period; zero if there are none.
type durationRange struct{ shortest, longest time.Duration }

func (r *durationRange) add(d time.Duration) {
	if r.longest == 0 || d < r.shortest {
		r.shortest = d
	}
	r.longest = max(r.longest, d)
}

// durationPeriod is the length of a period. Requests count for one to two periods.
const durationPeriod = 30 * time.Second

// Add adds the duration of a request that ended now.
func (d *Durations) Add(now, took time.Duration) {
	d.advance(now)
	d.current.add(max(took, 1))
}

// Range returns the shortest and the longest duration of recent requests, and false if there were none.
func (d *Durations) Range(now time.Duration) (shortest, longest time.Duration, ok bool) {
	d.advance(now)
	sum := d.current
	if d.earlier.longest > 0 {
		sum.add(d.earlier.shortest)
		sum.add(d.earlier.longest)
	}
	return sum.shortest, sum.longest, sum.longest > 0
}

// advance starts a new period if the current one has ended.
func (d *Durations) advance(now time.Duration) {
	switch passed := now - d.from; {
	case passed >= 2*durationPeriod:
		*d = Durations{from: now}
	case passed >= durationPeriod:
		*d = Durations{from: d.from + durationPeriod, earlier: d.current}
	}
}
