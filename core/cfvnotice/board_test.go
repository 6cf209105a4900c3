package cfvnotice

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"coltsfootvalve/common/cfvseed"
	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

var testEndpoint = cfvfleet.Incarnation{ID: "desk-0", StartMillis: 1}

const second = time.Second

// boards are the boards of a fleet that share what endpoints say.
type boards struct {
	names  []string
	boards []*Board
}

func newBoards(n int) *boards {
	var f boards
	for i := range n {
		f.names = append(f.names, fmt.Sprint("front-", i))
	}
	for _, name := range f.names {
		b := NewBoard(name, 0)
		b.SetEntries(f.names)
		f.boards = append(f.boards, b)
	}
	return &f
}

// exchange lets a board tell another what it knows, as a pull does.
func (f *boards) exchange(now time.Duration, from, to int) {
	for _, u := range f.boards[from].Updates(now) {
		f.boards[to].Merge(now, u)
	}
}

// Failure: every entry by itself sent as many requests to an endpoint as this took from all together.
func TestEntriesTogetherKeepToALimit(t *testing.T) {
	const window, slack, factor = 4 * second, 5, 1.5
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 8, 88, 295}).Draw(t, "entries")
		limit := rapid.SampledFrom([]float64{0.1, 0.5, 1, 2, 11.9, 50, 400}).Draw(t, "limit")
		perSecond := rapid.SampledFrom([]float64{10, 100, 300}).Draw(t, "requests per second")
		lost := rapid.IntRange(0, n-1).Draw(t, "lost entries")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		f := newBoards(n)
		for _, b := range f.boards {
			b.Observe(second, 0, testEndpoint, Notice{Limit: limit})
		}
		var sent []time.Duration
		interval := time.Duration(float64(second) / perSecond)
		for at := second; at < 13*second; at += interval {
			i := random.IntN(n)
			if at > 7*second && i < lost {
				continue // it was killed
			}
			if at > 10*second { // the others have noticed
				f.boards[i].SetEntries(f.names[lost:])
			}
			if f.boards[i].Take(at, testEndpoint) {
				sent = append(sent, at)
				f.boards[i].Observe(at, at, testEndpoint, Notice{Limit: limit})
			}
		}
		for i, from := range sent {
			count := 0
			for _, at := range sent[i:] {
				if at < from+window {
					count++
				}
			}
			if float64(count) > factor*limit*window.Seconds()+slack {
				t.Fatalf("%d requests in 4 s from %v, limit %v", count, from, limit)
			}
		}
	})
}

// Guards against a limit that leaves an endpoint idle although there is demand for it.
func TestLimitIsUsed(t *testing.T) {
	for name, tt := range map[string]struct {
		entries int
		limit   float64
	}{"few entries": {8, 11.9}, "one a second": {8, 1}, "many entries": {295, 1}, "high": {88, 40}} {
		t.Run(name, func(t *testing.T) {
			f := newBoards(tt.entries)
			sent := 0
			for at := second; at < 21*second; at += 20 * time.Millisecond {
				for _, b := range f.boards {
					if at == second {
						b.Observe(at, 0, testEndpoint, Notice{Limit: tt.limit})
					}
					if b.Take(at, testEndpoint) {
						sent++
					}
				}
			}
			assert.Assert(t, float64(sent) >= 0.6*tt.limit*20, "%d sent", sent)
		})
	}
}

// Guards against a limit that never ends, or ends because responses overtook each other.
func TestLimitHoldsAsLongAsTheEndpointSaysSo(t *testing.T) {
	type response struct {
		at, sentAt time.Duration
		limit      float64
	}
	tests := map[string]struct {
		responses []response
		limited   bool
	}{
		"named":                   {[]response{{2 * second, second, 4}}, true},
		"overtaken":               {[]response{{2 * second, second, 4}, {2 * second, second, 0}, {3 * second, second, 0}}, true},
		"one without":             {[]response{{2 * second, second, 4}, {4 * second, 3 * second, 0}}, true},
		"two without":             {[]response{{2 * second, second, 4}, {4 * second, 3 * second, 0}, {5 * second, 4 * second, 0}}, false},
		"two without, too close":  {[]response{{2 * second, second, 4}, {4 * second, 3 * second, 0}, {4*second + 1, 3 * second, 0}}, true},
		"named again in between":  {[]response{{2 * second, second, 4}, {4 * second, 3 * second, 0}, {4*second + 1, 3 * second, 4}, {5 * second, 4*second + 2, 0}}, true},
		"ended, then named again": {[]response{{2 * second, second, 4}, {4 * second, 3 * second, 0}, {5 * second, 4 * second, 0}, {6 * second, 5 * second, 4}}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBoard("front-0", 0)
			for _, r := range tt.responses {
				b.Observe(r.at, r.sentAt, testEndpoint, Notice{Limit: r.limit})
			}
			assert.Equal(t, b.Limited(10*second, testEndpoint), tt.limited)
			b.Observe(11*second, 10*second, testEndpoint, Notice{LimitInvalid: true})
			assert.Equal(t, b.Limited(12*second, testEndpoint), tt.limited, "an unreadable limit changes nothing")
		})
	}
}

// Guards against entries that send nothing to an endpoint and so never hear that its limit has changed or ended.
func TestEntriesHearOfLimitsFromPeers(t *testing.T) {
	f := newBoards(3)
	f.boards[0].Observe(second, 0, testEndpoint, Notice{Limit: 4})
	f.exchange(2*second, 0, 1)
	f.exchange(2*second, 1, 2)
	assert.Assert(t, f.boards[2].Limited(2*second, testEndpoint))

	f.boards[0].Observe(4*second, 3*second, testEndpoint, Notice{})
	f.boards[0].Observe(5*second, 4*second, testEndpoint, Notice{})
	f.exchange(5*second, 2, 0) // an older notice doesn't bring the limit back
	assert.Assert(t, !f.boards[0].Limited(5*second, testEndpoint))
	f.exchange(5*second, 0, 2)
	assert.Assert(t, !f.boards[2].Limited(5*second, testEndpoint))
	f.exchange(5*second, 1, 2)
	assert.Assert(t, !f.boards[2].Limited(5*second, testEndpoint))

	for _, limit := range []float64{math.NaN(), math.Inf(1), -1, 2 * MaxLimit} {
		assert.Assert(t, !f.boards[2].Merge(6*second, Update{Endpoint: testEndpoint, Limit: limit}))
	}
}

// Guards against a board that keeps what it knows of endpoints that are gone, or forgets what holds.
func TestBoardForgetsWhatNoLongerMatters(t *testing.T) {
	gone := cfvfleet.Incarnation{ID: "gone", StartMillis: 1}
	b := NewBoard("front-0", 0)
	for _, id := range []cfvfleet.Incarnation{testEndpoint, gone} {
		b.Observe(second, 0, id, Notice{Limit: 3, Leaving: true, RetryAfter: second})
	}
	b.Retain(second+forgetAfter+1, []*cfvfleet.Endpoint{{ID: testEndpoint.ID, StartMillis: testEndpoint.StartMillis}})
	assert.Equal(t, len(b.Updates(2*second+forgetAfter)), 2)
	assert.Assert(t, !b.Limited(2*second+forgetAfter, gone))
}

// Failure: two entries told each other of a limit in turn, and each took the echo of its own notice for a newer one, since a
// message takes some time. So a limit never ended.
func TestEchoOfANoticeIsNoNews(t *testing.T) {
	const transit = 40 * time.Millisecond
	f := newBoards(3)
	f.boards[0].Observe(second, 0, testEndpoint, Notice{Limit: 1})
	ended := time.Duration(0)
	for at := second; at < 10*second && ended == 0; at += 100 * time.Millisecond {
		for from := range f.boards {
			for to := range f.boards {
				updates := f.boards[from].Updates(at)
				for _, u := range updates {
					f.boards[to].Merge(at+transit, u)
				}
			}
		}
		if at%(700*time.Millisecond) == 0 {
			f.boards[0].Observe(at, at-10*time.Millisecond, testEndpoint, Notice{})
		}
		if !f.boards[1].Limited(at, testEndpoint) && !f.boards[2].Limited(at, testEndpoint) && !f.boards[0].Limited(at, testEndpoint) {
			ended = at
		}
	}
	assert.Assert(t, ended > 0 && ended <= 4*second, "ended at %v", ended)
}
