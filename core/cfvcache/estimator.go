// Package cfvcache decides which cache blocks of a prompt to import, by the estimated
// time to the first token, and which to export.
package cfvcache

import "time"

// smoothing is the weight of a new sample in an estimate.
const smoothing = 0.2

// Estimator keeps what importing and recomputing a block took lately. It is not safe for
// concurrent use.
type Estimator struct {
	importBlock  float64 // seconds
	computeBlock float64 // seconds
	best         float64 // seconds that an import takes on a quiet link
}

// NewEstimator returns an estimator that starts from two guesses.
func NewEstimator(importBlock, computeBlock time.Duration) *Estimator {
	return &Estimator{importBlock.Seconds(), computeBlock.Seconds(), importBlock.Seconds()}
}

// Sample is what one request showed: the blocks that were imported, those computed, and
// the time to its first token.
type Sample struct {
	ImportedBlocks   int
	ComputedBlocks   int
	TimeToFirstToken time.Duration
}

// Learn corrects the estimate of whatever dominated the request.
func (e *Estimator) RecordSample(s Sample) {
	switch {
	case s.ComputedBlocks > 0 && s.ImportedBlocks == 0:
		e.computeBlock += smoothing * (s.TimeToFirstToken.Seconds()/float64(s.ComputedBlocks) - e.computeBlock)
	case s.ImportedBlocks > 0:
		rest := s.TimeToFirstToken.Seconds() - float64(s.ComputedBlocks)*e.computeBlock
		e.importBlock += smoothing * (max(rest, 0)/float64(s.ImportedBlocks) - e.importBlock)
		e.best = min(e.best, e.importBlock)
	}
}

// Import reports whether importing is expected to give the first token sooner than
// computing the same blocks.
func (e *Estimator) ImportIsFaster() bool {
	return e.importBlock < e.computeBlock
}

// crowded is how many times slower than on a quiet link imports are when exports wait.
const crowded = 3

// Export reports whether the link has room for exports, which go last.
func (e *Estimator) LinkHasCapacity() bool {
	return e.importBlock <= crowded*e.best
}

// probeEvery is how many refused imports pass before one is tried again, so that an
// estimate of a link that was slow is corrected once it is not.
const probeEvery = 16

// Chooser turns estimates into choices and tries the other way now and then.
type Policy struct {
	estimator *Estimator
	refused   int
}

// NewChooser returns a chooser on the estimator.
func NewPolicy(e *Estimator) *Policy { return &Policy{estimator: e} }

// Learn takes a sample.
func (c *Policy) RecordSample(s Sample) { c.estimator.RecordSample(s) }

// Import reports whether to import.
func (c *Policy) ShouldImport() bool {
	if c.estimator.ImportIsFaster() {
		c.refused = 0
		return true
	}
	c.refused++
	return c.refused%probeEvery == 0
}

// Export reports whether to export.
func (c *Policy) ShouldExport() bool { return c.estimator.LinkHasCapacity() }
