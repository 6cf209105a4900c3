package cfvexchange

import (
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvnotice"

	"gotest.tools/v3/assert"
)

func TestNoticesKeepAllFieldsOnTheWire(t *testing.T) {
	want := []cfvnotice.Update{
		{Endpoint: cfvfleet.Incarnation{ID: "a", StartMillis: 7}, Limit: 11.9, Age: 5 * time.Millisecond, Stamp: cfvnotice.Stamp{Entry: "front-1", Sequence: 9}},
		{Endpoint: cfvfleet.Incarnation{ID: "b", StartMillis: 8}, Leaving: true, Age: time.Second},
	}
	for i, w := range noticesToWire(want) {
		got := noticeFromWire(w)
		assert.Equal(t, got.Age, want[i].Age+time.Millisecond) // rounded up
		got.Age = want[i].Age
		assert.DeepEqual(t, got, want[i])
	}
}
