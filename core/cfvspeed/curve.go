package cfvspeed

import (
	"math"
	"time"
)

// Segments of a curve, over the logarithm of the work.
const (
	segments     = 20
	segmentStart = 2.302585 // logarithm of baseWorkMs
	segmentWidth = 0.5      // the last one ends at 220 s of work
)

// curve tells how the logarithm of the time grows with that of the work. It is linear within each
// segment, so that it fits both slots, which queue beyond their number, and a serial prefill.
type curve struct {
	variance  [segments]float64 // of the work within endpoints; sums that decay
	shared    [segments]float64 // covariance of work and time
	slope     [segments]float64
	level     [segments + 1]float64 // at the start of each segment
	updatedAt time.Duration
}

func newCurve(now time.Duration) curve {
	c := curve{updatedAt: now}
	c.update(now)
	return c
}

// segment returns the segment of a logarithm of work.
func segment(work float64) int {
	return min(max(int((work-segmentStart)/segmentWidth), 0), segments-1)
}

// at returns the curve's value.
func (c *curve) at(work float64) float64 {
	i := segment(work)
	return c.level[i] + (work-segmentStart-float64(i)*segmentWidth)*c.slope[i]
}

// add adds a sample that differs by took from its endpoint's mean time, and the mean of that
// endpoint's work.
func (c *curve) add(work, mean, took float64) {
	i := segment((work + mean) / 2)
	work, took = min(max(work-mean, -maxStep), maxStep), min(max(took, -maxStep), maxStep)
	c.variance[i] += work * work
	c.shared[i] += work * took
}

// update computes the curve from the samples so far.
func (c *curve) update(now time.Duration) {
	f := math.Exp(-float64(max(now-c.updatedAt, 0)) / float64(curveTime))
	c.updatedAt = now
	for i := range segments {
		c.variance[i] *= f
		c.shared[i] *= f
		c.slope[i] = min(max((c.shared[i]+priorSlope*priorVariance)/(c.variance[i]+priorVariance), 0), maxSlope)
		c.level[i+1] = c.level[i] + c.slope[i]*segmentWidth
	}
}
