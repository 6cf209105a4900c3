package cfvmetric

import (
	"os"
	"testing"

	"coltsfootvalve/common/cfverror"

	"gotest.tools/v3/assert"
)

func ExampleRegistry_WriteText() {
	r := New()
	r.Refused(cfverror.ReasonQueueFull)
	r.Refused(cfverror.ReasonQueueFull)
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

func TestSamplesAreSorted(t *testing.T) {
	r := New()
	r.Count("b", 2)
	r.Count("a", 1)
	assert.DeepEqual(t, r.Samples(), []Sample{{"a", 1}, {"b", 2}})
}
