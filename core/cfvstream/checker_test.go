package cfvstream

import (
	"fmt"
	"testing"

	"coltsfootvalve/common/cfverror"

	"gotest.tools/v3/assert"
)

func ExampleChecker() {
	c := New("r")
	for _, offset := range []int{0, 1, 1, 0, 2} {
		pass, err := c.Accept("r", offset)
		fmt.Println(offset, pass, err)
	}
	fmt.Println(c.NextOffset(), c.Ended())
	// Output:
	// 0 true <nil>
	// 1 true <nil>
	// 1 false <nil>
	// 0 false <nil>
	// 2 true <nil>
	// 3 false
}

func TestFaultyChunksAreRefused(t *testing.T) {
	tests := map[string]struct {
		id     string
		offset int
		reason cfverror.Reason
	}{
		"another request's id": {"other", 0, cfverror.ReasonResponseMismatch},
		"a gap":                {"r", 1, cfverror.ReasonResponseTruncated},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := New("r")
			pass, err := c.Accept(tt.id, tt.offset)
			assert.Assert(t, !pass)
			assert.Equal(t, cfverror.From(err).Reason, tt.reason)
			assert.Equal(t, c.NextOffset(), 0)
		})
	}
}
