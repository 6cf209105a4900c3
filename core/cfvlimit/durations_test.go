package cfvlimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDurationsOfRecentRequests(t *testing.T) {
	type request struct{ at, took time.Duration }
	tests := map[string]struct {
		requests          []request
		at                time.Duration
		shortest, longest time.Duration
	}{
		"none":                    {at: time.Hour},
		"one":                     {requests: []request{{time.Hour, 3 * time.Second}}, at: time.Hour, shortest: 3 * time.Second, longest: 3 * time.Second},
		"three":                   {requests: []request{{time.Hour, 3}, {time.Hour + 1, 2}, {time.Hour + 2, 5}}, at: time.Hour + 2, shortest: 2, longest: 5},
		"of the period before":    {requests: []request{{time.Hour, 3}, {time.Hour + durationPeriod, 2}}, at: time.Hour + durationPeriod, shortest: 2, longest: 3},
		"of two periods before":   {requests: []request{{time.Hour, 3}, {time.Hour + durationPeriod, 2}}, at: time.Hour + 2*durationPeriod, shortest: 2, longest: 2},
		"of a long time before":   {requests: []request{{time.Hour, 3}}, at: 2 * time.Hour},
		"ended at once":           {requests: []request{{time.Hour, 0}}, at: time.Hour, shortest: 1, longest: 1},
		"the first after a pause": {requests: []request{{time.Hour, 3}, {2 * time.Hour, 7}}, at: 2 * time.Hour, shortest: 7, longest: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var d Durations
			for _, r := range tt.requests {
				d.Add(r.at, r.took)
			}
			shortest, longest, ok := d.Range(tt.at)
			assert.Equal(t, ok, tt.longest > 0)
			assert.Equal(t, shortest, tt.shortest)
			assert.Equal(t, longest, tt.longest)
		})
	}
}
