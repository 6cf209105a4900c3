// Package cfvspeed estimates how fast the endpoints of a service are, from the times of the
// requests that they serve. There are no probes.
//
// The time of a request depends on the work in progress at its endpoint. The logarithm of the
// time is modelled as a term of the endpoint plus a curve over the logarithm of the work. The
// curve is fitted within each endpoint only: a slow endpoint also has more work in progress, which
// would explain its times away otherwise.
package cfvspeed

import (
	"math"
	"slices"
	"time"
)

// Parameters of the estimate.
const (
	evidenceTime    = 1500 * time.Millisecond // time constant of the evidence: 4 in 100 of it are left after 5 s
	curveTime       = 15 * time.Second        // time constant of the curve
	medianInterval  = 200 * time.Millisecond  // the medians are computed at most this often
	minCellWeight   = 2.0                     // evidence from which a sample counts for the curve
	maxMedianWeight = 3.0                     // evidence of an endpoint above which its weight in the median stays the same
	// With less evidence, the median follows slowly: of an entry with one request per second, the last ones
	// may all have gone to one slow endpoint. Lag cancels out when measures are joined.
	fullMedianWeight = 100.0
	maxDeviation     = 3.0 // of a logarithm from the median: a factor of 20
	maxStep          = 1.0 // of a logarithm from the endpoint's mean, for the curve
	priorSlope       = 0.5 // of the curve: 0: the time does not depend on the work; 1: in proportion
	priorVariance    = 1.0 // weight of the prior slope, in units of the squared logarithm of work
	maxSlope         = 1.0
	minEvidence      = 1e-3 // less evidence is discarded
	maxCells         = 1024 // endpoints of all classes; bounds the memory
)

// Work of an endpoint in milliseconds, as in the score of cfvdispatch.
const (
	baseWorkMs   = 10.0
	tokensPerMs  = 60.0
	runningMs    = 6.0
	minSampleDur = 50 * time.Microsecond // shorter times are below the resolution of the measurement
)

// Class tells requests apart whose times are not comparable.
type Class struct {
	Service string
	Route   string
	Long    bool // the prompt is long
}

// Sample is the time of one attempt.
type Sample struct {
	Class         Class
	Endpoint      string
	Took          time.Duration // from the send to the first token, or to the response of a plain request
	Censored      bool          // the attempt was given up after Took, so it would have taken longer
	Running       int           // other requests that ran there when the endpoint was chosen
	PendingTokens int           // tokens of the other prompts that were not prefilled then
	Tokens        int           // of the prompt itself, without cached parts
}

// work returns the logarithm of the work in progress, in milliseconds.
func (s *Sample) work() float64 {
	return math.Log(baseWorkMs + float64(max(s.PendingTokens+s.Tokens, 0))/tokensPerMs + float64(max(s.Running, 0))*runningMs)
}

// cell is the evidence about one endpoint in one class. Its sums decay over time.
type cell struct {
	weight, work, took float64 // sums over samples; work and took of logarithms
	rest               float64 // sum of the logarithms of the times, less the curve
	at                 time.Duration
}

func (c *cell) decay(now time.Duration) {
	if now <= c.at {
		return
	}
	f := math.Exp(-float64(now-c.at) / float64(evidenceTime))
	c.weight, c.work, c.took, c.rest, c.at = c.weight*f, c.work*f, c.took*f, c.rest*f, now
}

// classState is the evidence about one class.
type classState struct {
	cells   map[string]*cell // by endpoint
	curve   curve
	median  float64 // of the endpoints' terms, smoothed
	known   bool    // the median is known
	usualMs float64 // time of a request at the median endpoint
}

// term returns the endpoint's term of the logarithm of the time.
func (c *cell) term() float64 { return c.rest / c.weight }

// Estimator estimates the speed of endpoints at one entry. All times are readings of one clock.
// An Estimator is not safe for concurrent use.
type Estimator struct {
	classes  map[Class]*classState
	cells    int
	measures map[string]Measure // as last computed
	at       time.Duration      // of the last computation
	computed bool
}

// New returns an Estimator without evidence.
func New() *Estimator { return &Estimator{classes: make(map[Class]*classState)} }

// Record adds a sample. Its cost does not depend on the number of endpoints.
func (e *Estimator) Record(now time.Duration, s Sample) {
	took := math.Log(float64(max(s.Took, minSampleDur)) / float64(time.Millisecond))
	work := s.work()
	c := e.classes[s.Class]
	if s.Censored && (c == nil || !c.known || took-c.curve.at(work) < c.median) {
		return // a lower bound below the usual time tells nothing
	}
	if c == nil {
		c = &classState{cells: make(map[string]*cell), curve: newCurve(now)}
		e.classes[s.Class] = c
	}
	if c.known {
		usual := c.curve.at(work) + c.median
		took = min(max(took, usual-maxDeviation), usual+maxDeviation)
	}
	o := c.cells[s.Endpoint]
	if o == nil {
		if e.cells >= maxCells {
			return
		}
		e.cells++
		o = &cell{at: now}
		c.cells[s.Endpoint] = o
	}
	o.decay(now)
	if o.weight >= minCellWeight {
		c.curve.add(work, o.work/o.weight, took-o.took/o.weight)
	}
	o.weight, o.work, o.took, o.rest = o.weight+1, o.work+work, o.took+took, o.rest+took-c.curve.at(work)
}

// Measures returns what was measured lately, by endpoint. It computes the medians at most every
// 200 ms; the caller must not change the map.
func (e *Estimator) Measures(now time.Duration) map[string]Measure {
	if e.computed && now-e.at < medianInterval {
		return e.measures
	}
	e.at, e.computed = now, true
	sums := make(map[string]Measure)
	for class, c := range e.classes {
		e.update(now, c)
		if len(c.cells) == 0 {
			delete(e.classes, class)
			continue
		}
		for id, o := range c.cells {
			deviation := min(max(o.term()-c.median, -maxDeviation), maxDeviation)
			sums[id] = Join(sums[id], Measure{Factor: math.Exp(deviation), Weight: o.weight})
		}
	}
	e.measures = sums
	return sums
}

// update decays the evidence of a class and computes its median.
func (e *Estimator) update(now time.Duration, c *classState) {
	var terms []weighted
	var usual, weight float64
	c.curve.update(now)
	for id, o := range c.cells {
		if o.decay(now); o.weight < minEvidence {
			delete(c.cells, id)
			e.cells--
			continue
		}
		terms = append(terms, weighted{o.term(), min(o.weight, maxMedianWeight)})
		usual, weight = usual+o.took-o.rest, weight+o.weight
	}
	if len(terms) == 0 {
		return
	}
	gain := 1.0
	if c.known {
		gain = min(weight/fullMedianWeight, 1)
	}
	c.median, c.known = c.median+(median(terms)-c.median)*gain, true
	c.usualMs = math.Exp(c.median + usual/weight)
}

// UsualMs returns how many milliseconds a request of a class takes at the median endpoint, with
// the work that was in progress lately; 0 if it is not known.
func (e *Estimator) UsualMs(class Class) float64 {
	if c := e.classes[class]; c != nil {
		return c.usualMs
	}
	return 0
}

// weighted is a value with its weight in a median.
type weighted struct{ value, weight float64 }

// median returns the weighted median; between two halves of the same weight it is their middle.
func median(list []weighted) float64 {
	slices.SortFunc(list, func(a, b weighted) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		}
		return 0
	})
	half := 0.0
	for _, w := range list {
		half += w.weight / 2
	}
	for i, w := range list {
		if half -= w.weight; half > 1e-9 {
			continue
		}
		if half > -1e-9 && i+1 < len(list) {
			return (w.value + list[i+1].value) / 2
		}
		return w.value
	}
	return 0
}
