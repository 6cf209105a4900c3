package cfvnotice

import (
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

var brittleEndpoint = &cfvfleet.Endpoint{ID: testEndpoint.ID, StartMillis: testEndpoint.StartMillis, Slots: 10}

func always() float64      { return 0 }
func neverBorrow() float64 { return 1 }

// Guards against entries that together send more than an endpoint has slots for, without borrowing.
func TestEntriesDivideTheSlotsOfABrittleEndpoint(t *testing.T) {
	for _, n := range []int{1, 3, 8, 88, 295} {
		f := newBoards(n)
		sent := 0
		for _, b := range f.boards {
			b.Observe(second, 0, testEndpoint, Notice{Brittle: 3})
			for own := 0; b.BrittleWait(second, brittleEndpoint, own, 0, neverBorrow) == 0; own++ {
				sent++
			}
		}
		assert.Equal(t, sent, 9)
	}
}

// Guards against a notice that never ends, or one that peers don't hear of.
func TestBrittleHoldsAsLongAsTheEndpointSaysSo(t *testing.T) {
	f := newBoards(3)
	f.boards[0].Observe(second, 0, testEndpoint, Notice{Brittle: 3})
	f.exchange(second, 0, 1)
	assert.Assert(t, f.boards[1].Limited(second, testEndpoint))
	f.boards[0].Observe(2*second, 2*second, testEndpoint, Notice{BrittleInvalid: true})
	f.boards[0].Observe(3*second, 2*second, testEndpoint, Notice{})
	assert.Assert(t, f.boards[0].Limited(3*second, testEndpoint))
	f.boards[0].Observe(4*second, 3*second, testEndpoint, Notice{})
	f.exchange(4*second, 1, 0)
	f.exchange(4*second, 0, 1)
	for _, b := range f.boards {
		assert.Assert(t, !b.Limited(4*second, testEndpoint))
	}
}

// Guards against endpoints that are flooded before they have said that they are brittle, and by an entry that knows no other.
func TestWhatIsNotKnownOfBrittleEndpoints(t *testing.T) {
	fresh := &cfvfleet.Endpoint{ID: "fresh", StartMillis: 2, Slots: 10}
	b := NewBoard("front-0", 0)
	b.Observe(second, 0, testEndpoint, Notice{Brittle: 3})
	assert.Assert(t, b.BrittleWait(second, brittleEndpoint, 0, 0, always) > 0, "the other entries are not known")
	b.SetEntries([]string{"front-0"})
	assert.Equal(t, b.BrittleWait(second, brittleEndpoint, 0, 0, neverBorrow), time.Duration(0))
	b.AssumeBrittle(second, []*cfvfleet.Endpoint{brittleEndpoint, fresh})
	assert.Assert(t, b.BrittleWait(second, fresh, 10, 0, always) > 0)
	assert.Equal(t, len(b.Updates(second)), 1, "what is assumed is told to no peer")
	b.Observe(2*second, 2*second, testEndpoint, Notice{})
	b.Observe(3*second, 2*second, testEndpoint, Notice{})
	b.AssumeBrittle(3*second, []*cfvfleet.Endpoint{brittleEndpoint, fresh})
	assert.Equal(t, b.BrittleWait(3*second, fresh, 10, 0, always), time.Duration(0))
}

// Guards against rejections that peers don't hear of, or count more than once.
func TestRejectionsLowerTheUseOfAllEntries(t *testing.T) {
	f := newBoards(2)
	for _, b := range f.boards {
		b.Observe(second, 0, testEndpoint, Notice{Brittle: 2})
	}
	f.boards[0].RecordRejection(2*second, testEndpoint)
	for range 3 {
		f.exchange(2*second, 0, 1)
		f.exchange(2*second, 1, 0)
	}
	assert.Assert(t, f.boards[0].BrittleWait(2*second, brittleEndpoint, 0, 0, always) > 0, "it pauses")
	for _, b := range f.boards {
		assert.Equal(t, b.brittle[testEndpoint].usable(brittleEndpoint), 7)
	}
}
