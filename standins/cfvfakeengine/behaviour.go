package cfvfakeengine

import "math"

// Behaviours says how versions differ, by version.
type Behaviours map[string]Behaviour

// Behaviour is how one version fails or slows down.
type Behaviour struct {
	FailEvery int // every n-th request fails; 0 for none
	Slow      int // how many times slower; 0 or 1 for none
	After     int // only after so many requests
	UnderLoad int // only while more than so many run
}

func (b Behaviour) shows(served, running int) bool {
	return served > b.After && running > b.UnderLoad
}

func (v Behaviours) factor(version string, served, running int) int {
	b := v[version]
	if b.Slow <= 1 || !b.shows(served, running) {
		return 1
	}
	return min(b.Slow, math.MaxInt16)
}

func (v Behaviours) fails(version string, served, running int) bool {
	b := v[version]
	return b.FailEvery > 0 && b.shows(served, running) && served%b.FailEvery == 0
}
