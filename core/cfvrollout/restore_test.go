package cfvrollout

import (
	"testing"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

// Guards against bounds that begin anew: an order that is written again after a restore has another revision, and the version got
// the slack once more, also at entries that had found it worse.
func TestOrderThatIsWrittenAgainKeepsItsCounts(t *testing.T) {
	order := cfvfleet.RolloutOrder{Service: "s", Target: "v2", Duration: 1000}
	before := &cfvfleet.Rollout{RolloutOrder: order, Revision: 9, NotBefore: 1}
	again := &cfvfleet.Rollout{RolloutOrder: order, Revision: 4, Formerly: 9, NotBefore: 1}
	other := &cfvfleet.Rollout{RolloutOrder: order, Revision: 5, NotBefore: 1}
	seat := SeatOf("a", []string{"a"})

	x := NewExposure(Limits{ExposureShare: 0.1, ExposureSlack: 10})
	for x.Take(0, before, seat) {
	}
	assert.Assert(t, !x.Take(0, again, seat))
	assert.Assert(t, x.Take(0, other, seat), "another order has a slack of its own")

	c := NewCounter()
	for range 200 {
		c.Record(before, Sample{Service: "s", Version: "v1", Route: "r"})
		c.Record(before, Sample{Service: "s", Version: "v2", Route: "r", Failed: true})
	}
	assert.Assert(t, c.Rejected("s", 9))
	evidence := c.Evidence([]*cfvfleet.Rollout{again})
	assert.Equal(t, len(evidence), 2)
	for _, e := range evidence {
		assert.Equal(t, e.Order, int64(4))
		assert.Equal(t, e.Requests, uint64(200))
	}
	assert.Assert(t, c.Rejected("s", 4))
	assert.Equal(t, len(c.Evidence([]*cfvfleet.Rollout{other})), 0)

	p := NewPolicy(0, 0, before, Limits{})
	p.Renumber(4)
	p.AddReport(Report{Entry: "a", Evidence: evidence})
	target, all := p.Requests()
	assert.Equal(t, target, 200.0)
	assert.Equal(t, all, 400.0)
	assert.Equal(t, p.Revision(), int64(4))
}
