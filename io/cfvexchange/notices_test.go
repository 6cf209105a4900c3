package cfvexchange

import (
	"slices"
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvnotice"

	"gotest.tools/v3/assert"
)

func TestNoticesKeepAllFieldsOnTheWire(t *testing.T) {
	want := []cfvnotice.Update{
		{Endpoint: cfvfleet.Incarnation{ID: "a", StartMillis: 7}, Limit: 11.9, Age: 5 * time.Millisecond, Stamp: cfvnotice.Stamp{Entry: "front-1", Sequence: 9}},
		{Endpoint: cfvfleet.Incarnation{ID: "b", StartMillis: 8}, Kind: cfvnotice.Leaving, Age: time.Second},
	}
	brittle := []cfvnotice.Update{
		{Endpoint: cfvfleet.Incarnation{ID: "c", StartMillis: 9}, Kind: cfvnotice.Brittle, Limit: 2.5, Stamp: cfvnotice.Stamp{Entry: "front-2", Sequence: 3}, Factor: 0.5, Borrowing: 0.1},
		{Endpoint: cfvfleet.Incarnation{ID: "c", StartMillis: 9}, Kind: cfvnotice.Rejection, Age: time.Second, Stamp: cfvnotice.Stamp{Entry: "front-2", Sequence: 4}},
	}
	var got []cfvnotice.Update
	notices, brittleNotices := noticesToWire(slices.Concat(want, brittle))
	for _, w := range notices {
		got = append(got, noticeFromWire(w))
	}
	for _, w := range brittleNotices {
		got = append(got, brittleFromWire(w))
	}
	for i := range got {
		got[i].Age -= time.Millisecond // rounded up
	}
	assert.DeepEqual(t, got, slices.Concat(want, brittle))
}
