// Package cfvcache decides which cache blocks of a prompt to import, by the estimated
// time to the first token, and which to export.
package cfvcache

import "time"

// smoothing is the weight of a new sample in an estimate.
const smoothingFactor = 0.2

// Estimator keeps what importing and recomputing a block took lately. It is not safe for
// concurrent use.
type Estimator struct {
	importSeconds     float64 // seconds
	computeSeconds    float64 // seconds
	bestImportSeconds float64 // seconds that an import takes on a quiet link
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
		e.computeSeconds += smoothingFactor * (s.TimeToFirstToken.Seconds()/float64(s.ComputedBlocks) - e.computeSeconds)
	case s.ImportedBlocks > 0:
		rest := s.TimeToFirstToken.Seconds() - float64(s.ComputedBlocks)*e.computeSeconds
		e.importSeconds += smoothingFactor * (max(rest, 0)/float64(s.ImportedBlocks) - e.importSeconds)
		e.bestImportSeconds = min(e.bestImportSeconds, e.importSeconds)
	}
}

// Import reports whether importing is expected to give the first token sooner than
// computing the same blocks.
func (e *Estimator) ImportIsFaster() bool {
	return e.importSeconds < e.computeSeconds
}

// crowded is how many times slower than on a quiet link imports are when exports wait.
const maxImportSlowdown = 3

// Export reports whether the link has room for exports, which go last.
func (e *Estimator) LinkHasCapacity() bool {
	return e.importSeconds <= maxImportSlowdown*e.bestImportSeconds
}

// probeEvery is how many refused imports pass before one is tried again, so that an
// estimate of a link that was slow is corrected once it is not.
const probeInterval = 16

// Chooser turns estimates into choices and tries the other way now and then.
type Policy struct {
	estimator      *Estimator
	skippedImports int
}

// NewChooser returns a chooser on the estimator.
func NewPolicy(e *Estimator) *Policy { return &Policy{estimator: e} }

// Learn takes a sample.
func (c *Policy) RecordSample(s Sample) { c.estimator.RecordSample(s) }

// Import reports whether to import.
func (c *Policy) ShouldImport() bool {
	if c.estimator.ImportIsFaster() {
		c.skippedImports = 0
		return true
	}
	c.skippedImports++
	return c.skippedImports%probeInterval == 0
}

// Export reports whether to export.
func (c *Policy) ShouldExport() bool { return c.estimator.LinkHasCapacity() }
