package cfvreach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against entries that count as cut off because single endpoints fail, and against cuts that are never checked.
func TestLinksAreCheckedWhenEndpointsFail(t *testing.T) {
	type event struct {
		at       time.Duration
		endpoint string // empty: a success
		sign     Sign
	}
	const ms = time.Millisecond
	tests := map[string]struct {
		events  []event
		at      time.Duration
		checked bool
	}{
		"nothing failed":                        {events: []event{{at: 100 * ms, sign: NoResponse}}, at: 5 * time.Second},
		"two endpoints":                         {events: []event{{100 * ms, "", NoResponse}, {400 * ms, "a", NoConnection}, {500 * ms, "b", NoConnection}}, at: 500 * ms, checked: true},
		"one endpoint, often":                   {events: []event{{100 * ms, "", NoResponse}, {400 * ms, "a", NoConnection}, {500 * ms, "a", NoResponse}}, at: 500 * ms},
		"two endpoints, far apart":              {events: []event{{100 * ms, "a", NoResponse}, {1200 * ms, "", NoConnection}, {1300 * ms, "b", NoConnection}}, at: 1300 * ms},
		"two endpoints, another responds":       {events: []event{{400 * ms, "a", NoResponse}, {500 * ms, "", NoResponse}, {600 * ms, "b", NoResponse}}, at: 600 * ms},
		"no connections while old ones live on": {events: []event{{400 * ms, "a", NoConnection}, {500 * ms, "", NoResponse}, {600 * ms, "b", NoConnection}}, at: 600 * ms, checked: true},
		"the only endpoint":                     {events: []event{{100 * ms, "", NoResponse}, {1200 * ms, "a", NoResponse}}, at: 1200 * ms, checked: true},
		"few requests":                          {events: []event{{100 * ms, "", NoResponse}, {3400 * ms, "a", NoConnection}}, at: 3400 * ms, checked: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := New()
			for _, e := range tt.events {
				if e.endpoint == "" {
					r.Succeeded(e.at, e.sign)
				} else {
					r.Failed(e.at, e.endpoint, e.sign)
				}
			}
			assert.Equal(t, r.StartCheck(tt.at), tt.checked)
		})
	}
}

// Guards against an entry that stays cut off after its links have returned, or counts as cut off without a check.
func TestChecksDecide(t *testing.T) {
	r := New()
	r.Failed(time.Second, "a", NoConnection)
	r.Failed(time.Second, "b", NoConnection)
	assert.Assert(t, !r.CutOff() && r.StartCheck(time.Second))
	assert.Assert(t, !r.Checked(1200*time.Millisecond, 0, 0) && !r.CutOff(), "no endpoint was tried")
	assert.Assert(t, !r.StartCheck(1400*time.Millisecond) && r.StartCheck(1500*time.Millisecond))
	assert.Assert(t, !r.Checked(1600*time.Millisecond, 3, 1) && !r.CutOff(), "one is reached")
	r.Failed(2*time.Second, "a", NoConnection)
	r.Failed(2*time.Second, "b", NoConnection)
	assert.Assert(t, r.StartCheck(2*time.Second) && r.Checked(2400*time.Millisecond, 3, 0) && r.CutOff())
	assert.Equal(t, r.FirstSign(), 2*time.Second)
	assert.Equal(t, r.Since(), 2400*time.Millisecond)
	r.Succeeded(2450*time.Millisecond, NoResponse)
	assert.Assert(t, r.CutOff() && r.StartCheck(2500*time.Millisecond), "checked again although old connections live on")
	assert.Assert(t, r.Checked(2600*time.Millisecond, 3, 1) && !r.CutOff())
}
