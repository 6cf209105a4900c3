package cfvmetric

import (
	"os"
	"testing"
	"time"

	"coltsfootvalve/common/cfverror"

	"gotest.tools/v3/assert"
)

func ExampleRegistry_WriteText() {
	r := New()
	r.CountRefusal(cfverror.ReasonQueueFull)
	r.CountRefusal(cfverror.ReasonQueueFull)
	r.Gauge("owner.groups", 3)
	if err := r.WriteText(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// # TYPE coltsfootvalve_owner_groups untyped
	// coltsfootvalve_owner_groups 3
	// # TYPE coltsfootvalve_refused untyped
	// coltsfootvalve_refused{reason="queueFull"} 2
}

func TestHistogramQuantiles(t *testing.T) {
	r := New()
	for i := range 100 {
		r.Observe("answer", time.Duration(i+1)*time.Millisecond)
	}
	got := make(map[string]int64)
	for _, s := range r.Samples() {
		got[s.Name] = s.Value
	}
	assert.Equal(t, got["answer.count"], int64(100))
	assert.Equal(t, got["answer.maxMicros"], int64(100_000))
	assert.Assert(t, got["answer.p50Micros"] >= 50_000 && got["answer.p50Micros"] <= 51_000)
}

func TestSamplesAreSorted(t *testing.T) {
	r := New()
	r.Count("b", 2)
	r.Count("a", 1)
	assert.DeepEqual(t, r.Samples(), []Sample{{"a", 1}, {"b", 2}})
}
