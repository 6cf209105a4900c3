package cfvdispatch

import (
	"math"
	"slices"
)

// Limits of the prompt lengths that are learned.
const (
	lengthDecay      = 0.98 // weight kept by the earlier prompts of a route at each new one: about the last fifty count
	minLengthPrompts = 8.0  // prompts of a route below which its mean length is not used
	minLengthRatio   = 2.0  // routes whose mean lengths differ by less send prompts of one kind
	maxLengthRoutes  = 1000
)

// PromptLengths learns from which length on a prompt of a service is long. Services differ: where some
// routes send prompts of 400 tokens and others of 17,000, one of 3,000 belongs with the long ones;
// where they send 2,400 and 12,000, with the short ones.
type PromptLengths struct {
	routes map[string]*routeLengths
}

// routeLengths is the mean of the logarithms of a route's prompt lengths, with the number of prompts
// that it is based on.
type routeLengths struct {
	logMean float64
	prompts float64
}

// Record counts a prompt of a route.
func (l *PromptLengths) Record(route string, tokens int) {
	if l.routes == nil {
		l.routes = make(map[string]*routeLengths)
	}
	r := l.routes[route]
	if r == nil {
		if len(l.routes) >= maxLengthRoutes {
			clear(l.routes)
		}
		r = &routeLengths{}
		l.routes[route] = r
	}
	r.prompts = r.prompts*lengthDecay + 1
	r.logMean += (math.Log(float64(max(tokens, 1))) - r.logMean) / r.prompts
}

// LongTokens returns the length from which a prompt is long: between the routes whose mean lengths lie
// furthest apart. It is LongPromptTokens if no two of them lie far apart.
func (l *PromptLengths) LongTokens() int {
	var means []float64
	for _, r := range l.routes {
		if r.prompts >= minLengthPrompts {
			means = append(means, r.logMean)
		}
	}
	slices.Sort(means)
	widest, between := math.Log(minLengthRatio), 0.0
	for i := 1; i < len(means); i++ {
		if gap := means[i] - means[i-1]; gap >= widest {
			widest, between = gap, (means[i]+means[i-1])/2
		}
	}
	if between == 0 {
		return LongPromptTokens
	}
	return int(math.Exp(between))
}
