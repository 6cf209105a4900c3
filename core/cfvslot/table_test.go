package cfvslot

import (
	"fmt"
	"testing"
	"time"

	"coltsfootvalve/common/cfverror"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(2_000_000, 0)

// warmTable returns a table with one endpoint, which is warm and settled.
func warmTable(slots int) *Table {
	t := New()
	t.Configure(testStart, TableConfig{Epoch: "e", MaxRequestDuration: time.Minute, Endpoints: []EndpointConfig{
		{Name: "a", Group: testGroup, Address: "a", ColdSlots: slots, WarmSlots: slots, MinRampInterval: time.Second},
	}})
	t.ApplyLoadReport(testStart, "a", LoadReport{BootID: "boot"})
	t.SetLease(testStart, testGroup, testStart.Add(time.Hour), nil)
	return t
}

func testRequest(slot, workspace string, priority int) Request {
	return Request{
		Slot: slot, Group: testGroup, Entry: "n", Workspace: workspace, Priority: priority,
		MaxQueueTime: time.Second, MaxQueueLength: 4, MaxDuration: time.Minute,
	}
}

func TestReserveAfterItsOwnReleaseIsRefused(t *testing.T) {
	table := warmTable(1)
	table.Release(testStart, Release{Slot: "s1"})
	got := table.Reserve(testStart, testRequest("s1", "w", 5))
	assert.Equal(t, got[0].Reason, cfverror.ReasonCallerGone)
	assert.Equal(t, table.Statuses(testStart)[0].Held, 0)
}

func TestQueueServesByPriorityThenFewestSlots(t *testing.T) {
	table := warmTable(2)
	table.Reserve(testStart, testRequest("flood1", "flood", 5))
	table.Reserve(testStart, testRequest("flood2", "flood", 5))
	table.Reserve(testStart, testRequest("flood3", "flood", 5))
	table.Reserve(testStart, testRequest("small", "small", 5))
	table.Reserve(testStart, testRequest("urgent", "flood", 1))
	first := table.Release(testStart, Release{Slot: "flood1", Endpoint: "a", Outcome: OutcomeDone, BootID: "boot"})
	assert.Equal(t, first[0].Slot, "urgent")
	second := table.Release(testStart, Release{Slot: "flood2", Endpoint: "a", Outcome: OutcomeDone, BootID: "boot"})
	assert.Equal(t, second[0].Slot, "small")
}

func TestFullQueueEvictsFromTheLargestWorkspace(t *testing.T) {
	tests := map[string]struct {
		request Request
		evicted string
		reason  cfverror.Reason
	}{
		"a small workspace evicts the largest":       {testRequest("new", "small", 5), "flood4", cfverror.ReasonQueueFull},
		"a lower priority class is refused":          {testRequest("new", "small", 9), "new", cfverror.ReasonQueueFull},
		"the largest workspace is refused":           {testRequest("new", "flood", 5), "new", cfverror.ReasonQueueFull},
		"a higher priority class evicts the largest": {testRequest("new", "flood", 0), "flood4", cfverror.ReasonQueueFull},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			table := warmTable(1)
			for i := range 5 {
				table.Reserve(testStart, testRequest(fmt.Sprint("flood", i), "flood", 5))
			}
			got := table.Reserve(testStart, tt.request)
			assert.Equal(t, got[0].Slot, tt.evicted)
			assert.Equal(t, got[0].Reason, tt.reason)
		})
	}
}

func TestQueueTimeoutIsARefusal(t *testing.T) {
	table := warmTable(1)
	table.Reserve(testStart, testRequest("s1", "w", 5))
	table.Reserve(testStart, testRequest("s2", "w", 5))
	assert.Equal(t, len(table.Tick(testStart.Add(999*time.Millisecond))), 0)
	got := table.Tick(testStart.Add(time.Second))
	assert.Equal(t, got[0].Slot, "s2")
	assert.Equal(t, got[0].Reason, cfverror.ReasonQueueTimeout)
}

func TestDrainedOrLeavingEndpointGetsNoRequests(t *testing.T) {
	tests := map[string]func(*Table){
		"drained by an operator": func(table *Table) {
			cfg := table.endpoints["a"].cfg
			cfg.Drained = true
			table.Configure(testStart, TableConfig{Epoch: "e2", MaxRequestDuration: time.Minute, Endpoints: []EndpointConfig{cfg}})
		},
		"leaving by its load report": func(table *Table) {
			table.ApplyLoadReport(testStart, "a", LoadReport{BootID: "boot", Leaving: true})
		},
		"leaving by its own response": func(table *Table) {
			table.Release(testStart, Release{Slot: "x", Endpoint: "a", Outcome: OutcomeDone, BootID: "boot", Leaving: true})
		},
	}
	for name, makeUnavailable := range tests {
		t.Run(name, func(t *testing.T) {
			table := warmTable(4)
			makeUnavailable(table)
			got := table.Reserve(testStart, testRequest("s", "w", 5))
			assert.Equal(t, got[0].Reason, cfverror.ReasonDrained)
		})
	}
}

// Failure: a load report made before an endpoint announced that it is leaving arrives after the announcement, and the
// endpoint gets requests again.
func TestLateLoadReportDoesNotUndoLeaving(t *testing.T) {
	const maxAge, took = 50 * time.Millisecond, 300 * time.Millisecond
	tests := map[string]struct {
		after  time.Duration // from the announcement until the report arrives
		report LoadReport
		grants bool
	}{
		"older than the announcement":     {10 * time.Millisecond, LoadReport{BootID: "boot"}, false},
		"possibly older":                  {maxAge - 1, LoadReport{BootID: "boot"}, false},
		"possibly older, on its way long": {maxAge + took - 1, LoadReport{BootID: "boot", Took: took}, false},
		"newer":                           {maxAge, LoadReport{BootID: "boot"}, true},
		"newer, on its way long":          {maxAge + took, LoadReport{BootID: "boot", Took: took}, true},
		"of the next boot":                {10 * time.Millisecond, LoadReport{BootID: "boot2"}, true},
	}
	for name, tt := range tests {
		for _, byResponse := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/announced by a response %v", name, byResponse), func(t *testing.T) {
				table := warmTable(4)
				table.endpoints["a"].cfg.MaxReportAge = maxAge
				if byResponse {
					table.Release(testStart, Release{Slot: "x", Endpoint: "a", Outcome: OutcomeDone, BootID: "boot", Leaving: true})
				} else {
					table.ApplyLoadReport(testStart, "a", LoadReport{BootID: "boot", Leaving: true})
				}
				now := testStart.Add(tt.after)
				table.ApplyLoadReport(now, "a", tt.report)
				got := table.Reserve(now, testRequest("s", "w", 5))
				assert.Equal(t, got[0].Grant != nil, tt.grants)
			})
		}
	}
}

// Failure: a load report that was on its way for long makes an endpoint available that was lost since.
func TestLateLoadReportDoesNotEndALoss(t *testing.T) {
	const maxAge, took = 50 * time.Millisecond, 300 * time.Millisecond
	table := warmTable(4)
	table.endpoints["a"].cfg.MaxReportAge = maxAge
	table.Release(testStart, Release{Slot: "x", Endpoint: "a", Outcome: OutcomeFailed, ConnectionLost: true})
	table.ApplyLoadReport(testStart.Add(took), "a", LoadReport{BootID: "boot", Took: took})
	assert.Equal(t, len(table.AwaitingLoadReport()), 1)
	table.ApplyLoadReport(testStart.Add(maxAge+took), "a", LoadReport{BootID: "boot", Took: took})
	assert.Equal(t, len(table.AwaitingLoadReport()), 0)
}

func TestInterruptedRequestKeepsItsSlotWhileItLingers(t *testing.T) {
	table := warmTable(1)
	table.Reserve(testStart, testRequest("s1", "w", 5))
	table.Release(testStart, Release{Slot: "s1", Endpoint: "a", Outcome: OutcomeFailed, Linger: time.Second})
	assert.Assert(t, table.Reserve(testStart, testRequest("s2", "w", 5)) == nil, "not queued while the first request may still run")
	got := table.Tick(testStart.Add(time.Second))
	assert.Equal(t, got[0].Reason, cfverror.ReasonQueueTimeout)
	got = table.Reserve(testStart.Add(time.Second), testRequest("s3", "w", 5))
	assert.Assert(t, got[0].Grant != nil)
}

func TestRestartFreesLingeringSlots(t *testing.T) {
	table := warmTable(1)
	table.Reserve(testStart, testRequest("s1", "w", 5))
	table.Release(testStart, Release{Slot: "s1", Endpoint: "a", Outcome: OutcomeFailed, Linger: time.Hour})
	table.ApplyLoadReport(testStart, "a", LoadReport{BootID: "boot2"})
	got := table.Reserve(testStart, testRequest("s2", "w", 5))
	assert.Assert(t, got[0].Grant != nil)
}

func TestReturningPromptGoesToItsEndpoint(t *testing.T) {
	table := New()
	s := TableConfig{Epoch: "e", MaxRequestDuration: time.Minute}
	for i := range 6 {
		name := fmt.Sprint("a", i)
		s.Endpoints = append(s.Endpoints, EndpointConfig{Name: name, Group: testGroup, Address: name, ColdSlots: 8, WarmSlots: 8, MinRampInterval: time.Second})
	}
	table.Configure(testStart, s)
	table.SetLease(testStart, testGroup, testStart.Add(100*time.Hour), nil)
	r := testRequest("s0", "w", 5)
	r.PromptKey = "norm-review"
	first := table.Reserve(testStart, r)[0].Grant.Endpoint
	table.Release(testStart, Release{Slot: "s0", Endpoint: first, Outcome: OutcomeDone})
	r.Slot = "s1"
	assert.Equal(t, table.Reserve(testStart.Add(48*time.Hour), r)[0].Grant.Endpoint, first)
}

// BenchmarkTable measures a reservation and its release at an owner, for several numbers of
// endpoints in groups of eight.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{8, 32, 128, 512} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			table := New()
			s := TableConfig{Epoch: "e", MaxRequestDuration: time.Minute}
			for i := range n {
				name := fmt.Sprint("a", i)
				s.Endpoints = append(s.Endpoints, EndpointConfig{
					Name: name, Group: fmt.Sprint("g", i/8), Address: name, ColdSlots: 8, WarmSlots: 8, MinRampInterval: time.Second,
				})
			}
			table.Configure(testStart, s)
			for i := range (n + 7) / 8 {
				table.SetLease(testStart, fmt.Sprint("g", i), testStart.Add(time.Hour), nil)
			}
			b.ResetTimer()
			for i := range b.N {
				r := testRequest(fmt.Sprint(i), "w", 5)
				r.Group, r.PromptKey = fmt.Sprint("g", i%((n+7)/8)), fmt.Sprint("p", i%1000)
				g := table.Reserve(testStart, r)[0].Grant
				table.Release(testStart, Release{Slot: r.Slot, Endpoint: g.Endpoint, Outcome: OutcomeDone})
			}
		})
	}
}
