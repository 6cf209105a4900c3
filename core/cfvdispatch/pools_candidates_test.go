package cfvdispatch

import (
	"fmt"
	"testing"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

// Failure: the few endpoints of a new version served long and short prompts together, so that short ones waited
// for the prefill of long ones there and a good version looked slow.
func TestCandidatesHavePoolsInProportion(t *testing.T) {
	tests := map[string]struct {
		endpoints, shortPool int
		candidates, want     int
	}{
		"no pools":           {endpoints: 18, candidates: 4},
		"one candidate":      {endpoints: 18, shortPool: 9, candidates: 1},
		"half":               {endpoints: 18, shortPool: 9, candidates: 4, want: 2},
		"a third":            {endpoints: 18, shortPool: 6, candidates: 3, want: 1},
		"few short prompts":  {endpoints: 18, shortPool: 1, candidates: 2, want: 1},
		"many short prompts": {endpoints: 18, shortPool: 17, candidates: 2, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var candidates []*cfvfleet.Endpoint
			for i := range tt.candidates {
				candidates = append(candidates, &cfvfleet.Endpoint{ID: fmt.Sprint("c", i), Domain: fmt.Sprint("d", i%2)})
			}
			p := PoolSizer{endpoints: tt.endpoints, shortPoolSize: tt.shortPool}
			pool, pools := p.CandidatePool(candidates)
			assert.Equal(t, len(pool), tt.want)
			assert.Equal(t, pools, tt.shortPool > 0)
		})
	}
}
