package cfvmove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Failure: the estimate began at the first sample, so one that took long hid slow requests for hundreds of others.
func TestBaselineRecoversFromABadStart(t *testing.T) {
	tests := map[string][]time.Duration{
		"a long first one":   {time.Second},
		"a short first one":  {time.Microsecond},
		"two long first":     {time.Second, time.Second},
		"as most others are": nil,
	}
	for name, first := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBaseline()
			for _, took := range first {
				b.Record(100, took)
			}
			for i := range minBaselineSamples {
				b.Record(100, time.Duration(20+i%5)*time.Millisecond)
			}
			assert.Assert(t, b.IsSlow(100, 60*time.Millisecond))
			assert.Assert(t, !b.IsSlow(100, 24*time.Millisecond))
			assert.Assert(t, !b.IsSlow(100000, time.Hour), "no requests of that size are known")
		})
	}
}

// Failure: where requests of many sizes came slowly, no size had enough of them for a comparison, and a version that
// was several times slower was not noticed for a quarter of a minute.
func TestBaselineComparesSizesThatAreRare(t *testing.T) {
	b := NewBaseline()
	for i := range 30 {
		size := 200 << (i % 4)
		b.Record(size, time.Duration(20+i%5)*time.Millisecond)
		assert.Equal(t, b.IsSlow(size, 100*time.Millisecond), i+1 >= minBaselineSamples, "after %d requests", i+1)
	}
	for _, size := range []int{200, 400, 800, 1600} {
		assert.Assert(t, b.IsSlow(size, 100*time.Millisecond), "size %d", size)
		assert.Assert(t, !b.IsSlow(size, 24*time.Millisecond), "size %d", size)
	}
	assert.Assert(t, !b.IsSlow(1<<20, time.Hour), "no requests of that size are known")
}
