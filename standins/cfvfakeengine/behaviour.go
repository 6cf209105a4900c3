package cfvfakeengine

import "math"

// Behaviours maps each version of the weights to its behaviour.
type Behaviours map[string]Behaviour

// Behaviour describes how one version fails or slows down.
type Behaviour struct {
	FailEvery     int // every n-th request fails; 0: none fails
	Slowdown      int // factor by which requests take longer; 0 or 1: not slower
	AfterRequests int // the behaviour applies after this many requests of the version
	RunningAbove  int // the behaviour applies while more requests than this are running
}

// applies reports whether the behaviour applies after so many requests of the version and with
// so many running.
func (b Behaviour) applies(served, running int) bool {
	return served > b.AfterRequests && running > b.RunningAbove
}

// slowdown returns the factor by which a request of the version takes longer.
func (v Behaviours) slowdown(version string, served, running int) int {
	b := v[version]
	if b.Slowdown <= 1 || !b.applies(served, running) {
		return 1
	}
	return min(b.Slowdown, math.MaxInt16)
}

// fails reports whether a request of the version fails.
func (v Behaviours) fails(version string, served, running int) bool {
	b := v[version]
	return b.FailEvery > 0 && b.applies(served, running) && served%b.FailEvery == 0
}
