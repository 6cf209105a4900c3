package cfvslot

import (
	"fmt"
	"testing"
	"time"

	"coltsfootvalve/common/cfverror"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(2_000_000, 0)

// warmTable returns a table whose only endpoint is warm and settled.
func warmTable(slots int) *Table {
	t := New()
	t.Configure(testStart, TableConfig{Epoch: "e", MaxRequestDuration: time.Minute, Endpoints: []EndpointConfig{
		{Name: "a", Group: testGroup, Address: "a", ColdSlots: slots, WarmSlots: slots, MinRampInterval: time.Second},
	}})
	t.ApplyLoadReport(testStart, "a", LoadReport{BootID: "boot"})
	t.SetLease(testStart, testGroup, testStart.Add(time.Hour), nil)
	return t
}

func ask(slot, workspace string, priority int) Request {
	return Request{
		Slot: slot, Group: testGroup, Entry: "n", Workspace: workspace, Priority: priority,
		MaxQueueTime: time.Second, MaxQueueLength: 4, MaxDuration: time.Minute,
	}
}

func TestReserveAfterItsOwnReleaseGivesNothingAway(t *testing.T) {
	tab := warmTable(1)
	tab.Release(testStart, Release{Slot: "s1"})
	got := tab.Reserve(testStart, ask("s1", "w", 5))
	assert.Equal(t, got[0].Reason, cfverror.ReasonCallerGone)
	assert.Equal(t, tab.Statuses(testStart)[0].Held, 0)
}

func TestQueueServesByPriorityThenFewestSlots(t *testing.T) {
	tab := warmTable(2)
	tab.Reserve(testStart, ask("flood1", "flood", 5))
	tab.Reserve(testStart, ask("flood2", "flood", 5))
	tab.Reserve(testStart, ask("flood3", "flood", 5))
	tab.Reserve(testStart, ask("small", "small", 5))
	tab.Reserve(testStart, ask("urgent", "flood", 1))
	first := tab.Release(testStart, Release{Slot: "flood1", Endpoint: "a", Outcome: OutcomeDone, BootID: "boot"})
	assert.Equal(t, first[0].Slot, "urgent")
	second := tab.Release(testStart, Release{Slot: "flood2", Endpoint: "a", Outcome: OutcomeDone, BootID: "boot"})
	assert.Equal(t, second[0].Slot, "small")
}

func TestFullQueueShedsTheFloodFirst(t *testing.T) {
	tests := map[string]struct {
		newcomer Request
		evicted  string
		reason   cfverror.Reason
	}{
		"a small workspace pushes a flood out": {ask("new", "small", 5), "flood4", cfverror.ReasonQueueFull},
		"a lower priority class is refused":    {ask("new", "small", 9), "new", cfverror.ReasonQueueFull},
		"the flood itself is refused":          {ask("new", "flood", 5), "new", cfverror.ReasonQueueFull},
		"a higher class pushes a flood out":    {ask("new", "flood", 0), "flood4", cfverror.ReasonQueueFull},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tab := warmTable(1)
			for i := range 5 {
				tab.Reserve(testStart, ask(fmt.Sprint("flood", i), "flood", 5))
			}
			got := tab.Reserve(testStart, tt.newcomer)
			assert.Equal(t, got[0].Slot, tt.evicted)
			assert.Equal(t, got[0].Reason, tt.reason)
		})
	}
}

func TestQueueTimeoutIsARefusal(t *testing.T) {
	tab := warmTable(1)
	tab.Reserve(testStart, ask("s1", "w", 5))
	tab.Reserve(testStart, ask("s2", "w", 5))
	assert.Equal(t, len(tab.Tick(testStart.Add(999*time.Millisecond))), 0)
	got := tab.Tick(testStart.Add(time.Second))
	assert.Equal(t, got[0].Slot, "s2")
	assert.Equal(t, got[0].Reason, cfverror.ReasonQueueTimeout)
}

func TestDrainedOrLeavingEndpointGetsNothing(t *testing.T) {
	tests := map[string]func(*Table){
		"drained by an operator": func(tab *Table) {
			cfg := tab.endpoints["a"].cfg
			cfg.Drained = true
			tab.Configure(testStart, TableConfig{Epoch: "e2", MaxRequestDuration: time.Minute, Endpoints: []EndpointConfig{cfg}})
		},
		"leaving by its load report": func(tab *Table) {
			tab.ApplyLoadReport(testStart, "a", LoadReport{BootID: "boot", Leaving: true})
		},
		"leaving by its own answer": func(tab *Table) {
			tab.Release(testStart, Release{Slot: "x", Endpoint: "a", Outcome: OutcomeDone, BootID: "boot", Leaving: true})
		},
	}
	for name, shut := range tests {
		t.Run(name, func(t *testing.T) {
			tab := warmTable(4)
			shut(tab)
			got := tab.Reserve(testStart, ask("s", "w", 5))
			assert.Equal(t, got[0].Reason, cfverror.ReasonDrained)
		})
	}
}

func TestRequestThatBrokeOffKeepsItsSlotForAWhile(t *testing.T) {
	tab := warmTable(1)
	tab.Reserve(testStart, ask("s1", "w", 5))
	tab.Release(testStart, Release{Slot: "s1", Endpoint: "a", Outcome: OutcomeFailed, Linger: time.Second})
	assert.Assert(t, tab.Reserve(testStart, ask("s2", "w", 5)) == nil, "queued while the request may still run")
	got := tab.Tick(testStart.Add(time.Second))
	assert.Equal(t, got[0].Reason, cfverror.ReasonQueueTimeout)
	got = tab.Reserve(testStart.Add(time.Second), ask("s3", "w", 5))
	assert.Assert(t, got[0].Grant != nil)
}

func TestNewBootFreesWhatBrokeOff(t *testing.T) {
	tab := warmTable(1)
	tab.Reserve(testStart, ask("s1", "w", 5))
	tab.Release(testStart, Release{Slot: "s1", Endpoint: "a", Outcome: OutcomeFailed, Linger: time.Hour})
	tab.ApplyLoadReport(testStart, "a", LoadReport{BootID: "boot2"})
	got := tab.Reserve(testStart, ask("s2", "w", 5))
	assert.Assert(t, got[0].Grant != nil)
}

func TestReturningPromptGoesToItsEndpoint(t *testing.T) {
	tab := New()
	s := TableConfig{Epoch: "e", MaxRequestDuration: time.Minute}
	for i := range 6 {
		name := fmt.Sprint("a", i)
		s.Endpoints = append(s.Endpoints, EndpointConfig{Name: name, Group: testGroup, Address: name, ColdSlots: 8, WarmSlots: 8, MinRampInterval: time.Second})
	}
	tab.Configure(testStart, s)
	tab.SetLease(testStart, testGroup, testStart.Add(100*time.Hour), nil)
	r := ask("s0", "w", 5)
	r.PromptKey = "norm-review"
	first := tab.Reserve(testStart, r)[0].Grant.Endpoint
	tab.Release(testStart, Release{Slot: "s0", Endpoint: first, Outcome: OutcomeDone})
	r.Slot = "s1"
	assert.Equal(t, tab.Reserve(testStart.Add(48*time.Hour), r)[0].Grant.Endpoint, first)
}

// BenchmarkTable measures a reservation and its release at an owner, by the endpoints
// that it owns in groups of eight.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			tab := New()
			s := TableConfig{Epoch: "e", MaxRequestDuration: time.Minute}
			for i := range n {
				name := fmt.Sprint("a", i)
				s.Endpoints = append(s.Endpoints, EndpointConfig{
					Name: name, Group: fmt.Sprint("g", i/8), Address: name, ColdSlots: 8, WarmSlots: 8, MinRampInterval: time.Second,
				})
			}
			tab.Configure(testStart, s)
			for i := range (n + 7) / 8 {
				tab.SetLease(testStart, fmt.Sprint("g", i), testStart.Add(time.Hour), nil)
			}
			b.ResetTimer()
			for i := range b.N {
				r := ask(fmt.Sprint(i), "w", 5)
				r.Group, r.PromptKey = fmt.Sprint("g", i%((n+7)/8)), fmt.Sprint("p", i%1000)
				g := tab.Reserve(testStart, r)[0].Grant
				tab.Release(testStart, Release{Slot: r.Slot, Endpoint: g.Endpoint, Outcome: OutcomeDone})
			}
		})
	}
}
