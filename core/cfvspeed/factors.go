package cfvspeed

import "math"

// Bounds of a factor.
const (
	MinFactor = 0.25
	MaxFactor = 8.0
)

// Evidence and deviations that change a factor.
const (
	noEvidence   = 5.0  // two requests per second give 3, with chance rarely more than this
	fullEvidence = 10.0 // the standard error of a factor is then below 8 in 100 with noise of 2.5 times in 15 of 100
	deadBand     = 0.2  // of the logarithm: smaller differences are noise, and moving requests costs caches
)

// Measure is the measured slowness of an endpoint.
type Measure struct {
	Factor float64 // time for the same work, relative to the median endpoint; 0: not measured
	Weight float64 // weight of the evidence: the number of recent samples
}

// Join returns the measure of the evidence of both: their geometric mean by weight.
func Join(a, b Measure) Measure {
	switch {
	case !b.valid():
		return a
	case !a.valid():
		return b
	}
	weight := a.Weight + b.Weight
	return Measure{Factor: math.Exp((a.Weight*math.Log(a.Factor) + b.Weight*math.Log(b.Factor)) / weight), Weight: weight}
}

// valid reports whether a measure has evidence. A peer may report any number.
func (m Measure) valid() bool {
	return m.Weight > 0 && m.Factor > 0 && !math.IsInf(m.Weight, 0) && !math.IsInf(m.Factor, 0)
}

// Factors returns the slowness of the endpoints of one service from the joined measures of all
// entries. It lists no endpoint whose factor is 1. The measures of each entry are relative to the
// median of what that entry saw, so the factors are centred on their common median again.
func Factors(measures map[string]Measure, endpoints []string) map[string]float64 {
	terms := make([]weighted, 0, len(endpoints))
	for _, id := range endpoints {
		if m := measures[id]; m.valid() {
			terms = append(terms, weighted{math.Log(m.Factor), min(m.Weight, noEvidence)})
		}
	}
	centre := median(terms)
	out := make(map[string]float64)
	for _, id := range endpoints {
		m := measures[id]
		if !m.valid() {
			continue
		}
		trust := min(max((m.Weight-noEvidence)/(fullEvidence-noEvidence), 0), 1)
		deviation := (math.Log(m.Factor) - centre) * trust
		if math.Abs(deviation) < deadBand {
			continue
		}
		out[id] = min(max(math.Exp(deviation), MinFactor), MaxFactor)
	}
	return out
}
