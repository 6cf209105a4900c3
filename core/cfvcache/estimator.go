// Package cfvcache decides whether the cache blocks of a prompt are imported from a store or
// recomputed, by the estimated time to the first token, and whether blocks are exported.
package cfvcache

import "time"

// smoothingFactor is the weight of a new sample in the exponentially weighted averages.
const smoothingFactor = 0.2

// Estimator estimates the time to import and to recompute one block from recent requests. It is
// not safe for concurrent use.
type Estimator struct {
	importSeconds     float64 // per block
	computeSeconds    float64 // per block
	bestImportSeconds float64 // per block, on an idle link
}

// NewEstimator returns an estimator with initial estimates for one block.
func NewEstimator(importBlock, computeBlock time.Duration) *Estimator {
	return &Estimator{importBlock.Seconds(), computeBlock.Seconds(), importBlock.Seconds()}
}

// Sample describes one request: the number of imported and of computed blocks, and the time to
// the first token.
type Sample struct {
	ImportedBlocks   int
	ComputedBlocks   int
	TimeToFirstToken time.Duration
}

// RecordSample updates the estimates from one request. If blocks were imported, it subtracts the
// estimated time of the computed blocks and updates the import time. If all blocks were computed,
// it updates the compute time.
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

// ImportIsFaster reports whether importing blocks is estimated to be faster than computing them.
func (e *Estimator) ImportIsFaster() bool {
	return e.importSeconds < e.computeSeconds
}

// maxImportSlowdown is the ratio of the import time to that on an idle link above which no
// exports start.
const maxImportSlowdown = 3

// LinkHasCapacity reports whether the link has capacity for exports, which have the lowest
// priority.
func (e *Estimator) LinkHasCapacity() bool {
	return e.importSeconds <= maxImportSlowdown*e.bestImportSeconds
}

// probeInterval is the number of requests after which an import is tried although computing is
// estimated to be faster. Without it, the estimate for a slow link would never be corrected.
const probeInterval = 16

// Policy decides on imports and exports by the estimates. It also tries an import now and then
// when computing is estimated to be faster, to keep the estimate current.
type Policy struct {
	estimator      *Estimator
	skippedImports int
}

// NewPolicy returns a policy that uses the estimator.
func NewPolicy(e *Estimator) *Policy { return &Policy{estimator: e} }

// RecordSample passes a sample to the estimator.
func (p *Policy) RecordSample(s Sample) { p.estimator.RecordSample(s) }

// ShouldImport reports whether to import the blocks of a request.
func (p *Policy) ShouldImport() bool {
	if p.estimator.ImportIsFaster() {
		p.skippedImports = 0
		return true
	}
	p.skippedImports++
	return p.skippedImports%probeInterval == 0
}

// ShouldExport reports whether to export the blocks of a request.
func (p *Policy) ShouldExport() bool { return p.estimator.LinkHasCapacity() }
