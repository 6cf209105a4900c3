package cfvfakeengine

import "math"

// Behaviours says how versions differ, by version.
type Behaviours map[string]Behaviour

// Behaviour is how one version fails or slows down.
type Behaviour struct {
	FailEvery int // every n-th request fails; 0 for none
	Slowdown      int // how many times slower; 0 or 1 for none
	AfterRequests     int // only after so many requests
	RunningAbove int // only while more than so many run
}

func (b Behaviour) applies(served, running int) bool {
	return served > b.AfterRequests && running > b.RunningAbove
}

func (v Behaviours) slowdown(version string, served, running int) int {
	b := v[version]
	if b.Slowdown <= 1 || !b.applies(served, running) {
		return 1
	}
	return min(b.Slowdown, math.MaxInt16)
}

func (v Behaviours) fails(version string, served, running int) bool {
	b := v[version]
	return b.FailEvery > 0 && b.applies(served, running) && served%b.FailEvery == 0
}
