package cfvplace

import (
	"context"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/common/cfvseed"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvmembership"
	"coltsfootvalve/io/cfvpeer"

	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) {
	cfvseed.SetRapidFlags()
	os.Exit(m.Run())
}

const (
	testLease = 1200 * time.Millisecond
	// leaveDelay is a realistic time for SWIM probes to inform all entries that a member left.
	leaveDelay = 300 * time.Millisecond
)

func testCatalog(t *testing.T) *cfvcatalog.Catalog {
	changes, err := cfvtree.DecodeChanges([]byte(`{
		"services/assistant": {},
		"regions/pampeana/rosario/a0": {"service": "assistant", "address": "127.0.0.1:1"},
		"regions/pampeana/cordoba/a1": {"service": "assistant", "address": "127.0.0.1:2"}
	}`))
	assert.NilError(t, err)
	tree, err := cfvtree.Tree{}.Apply(changes)
	assert.NilError(t, err)
	return cfvcatalog.New(1, tree)
}

func testEntry(t *testing.T, reserve func(r cfvslot.Request) cfvslot.Decision) (*Entry, Request) {
	c := testCatalog(t)
	serving := map[string][]string{"pampeana": {"entry-0", "entry-1"}}
	e := NewEntry(EntryConfig{
		Self: cfvmember.Member{Name: "entry-0", Region: "pampeana"},
		Reserve: func(_ context.Context, _ string, r cfvslot.Request) (cfvslot.Decision, error) {
			return reserve(r), nil
		},
		View:    func() cfvmembership.View { return cfvmembership.View{Serving: serving} },
		Catalog: func() *cfvcatalog.Catalog { return c },
		Lease:   testLease,

		ReserveTimeout: 300 * time.Millisecond,

		Log:     cfvlog.New(io.Discard, "entry-0"),
		Metrics: cfvmetric.New(),
	})
	service, ok := c.Service("assistant")
	assert.Assert(t, ok)
	return e, Request{Service: service, AffinityKey: "prompt"}
}

func grant(c *cfvcatalog.Catalog, r cfvslot.Request, epoch string) cfvslot.Decision {
	g, _ := c.Group(r.Group)
	return cfvslot.Decision{Slot: r.Slot, Grant: &cfvslot.Grant{Slot: r.Slot, Endpoint: g.Endpoints[0].Name, Epoch: epoch}}
}

// Requests to a group whose owner left must not be refused: they wait until the next owner has
// taken over and the entry's promise to the previous owner has expired.
func TestRequestsWaitForTheNextOwner(t *testing.T) {
	tests := map[string]struct {
		takesOver time.Duration // until the owner that the entry calls takes over the group
		expires   time.Duration // until the promise to the previous owner expires; 0 for none
	}{
		"the entry asks the owner that left":     {takesOver: leaveDelay},
		"the entry still recognises another one": {expires: testLease / 2},
		"both":                                   {takesOver: leaveDelay, expires: testLease / 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := testCatalog(t)
				start := time.Now()
				e, req := testEntry(t, func(r cfvslot.Request) cfvslot.Decision {
					if time.Since(start) < tt.takesOver {
						return cfvslot.Decision{Slot: r.Slot, Reason: cfverror.ReasonNotOwner}
					}
					return grant(c, r, "entry-1/1")
				})
				if tt.expires > 0 {
					time.Sleep(testLease) // an entry makes no promises earlier
					start = time.Now()
					for _, g := range c.Groups("assistant") {
						inv := e.Recognise(cfvpeer.Recognise{Group: g.Key, Owner: "entry-2/1", Lease: tt.expires})
						assert.Assert(t, inv.Promised)
					}
				}
				slot, refusal := e.Acquire(t.Context(), req)
				assert.Assert(t, refusal == nil, "refused: %v", refusal)
				assert.Equal(t, slot.Grant.Epoch, "entry-1/1")
				assert.Assert(t, time.Since(start) <= max(tt.takesOver, tt.expires)+ownerRetryDelay)
			})
		})
	}
}

// A request must not wait for a group without an owner longer than one lease, which is how
// long an entry may recognise an owner.
func TestGroupWithoutOwnerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, req := testEntry(t, func(r cfvslot.Request) cfvslot.Decision {
			return cfvslot.Decision{Slot: r.Slot, Reason: cfverror.ReasonNotOwner}
		})
		start := time.Now()
		_, refusal := e.Acquire(t.Context(), req)
		assert.Equal(t, refusal.Reason, cfverror.ReasonNotOwner)
		assert.Equal(t, refusal.Ran, cfverror.RanNo)
		assert.Assert(t, time.Since(start) <= testLease+ownerRetryDelay)
	})
}

// Failure: while the owner of a group can't be reached, an entry uses an endpoint without a grant although it was told
// that the endpoint is leaving.
func TestFallbackUsesNoLeavingEndpoint(t *testing.T) {
	address := map[string]string{"pampeana/rosario/a0": "127.0.0.1:1", "pampeana/cordoba/a1": "127.0.0.1:2"}
	tests := map[string]struct {
		tell func(e *Entry, s *Slot)
		used bool
	}{
		"not leaving":             {func(_ *Entry, s *Slot) { s.Release(Result{Outcome: cfvslot.OutcomeDone}) }, true},
		"announced by a response": {func(_ *Entry, s *Slot) { s.Release(Result{Outcome: cfvslot.OutcomeDone, Leaving: true}) }, false},
		"reported by the VM list": {func(e *Entry, s *Slot) {
			s.Release(Result{Outcome: cfvslot.OutcomeDone})
			e.SetLeaving(map[string]bool{address[s.Grant.Endpoint]: true})
		}, false},
		"another one is reported": {func(e *Entry, s *Slot) {
			s.Release(Result{Outcome: cfvslot.OutcomeDone})
			e.SetLeaving(map[string]bool{"127.0.0.1:3": true})
		}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := testCatalog(t)
				e, req := testEntry(t, func(r cfvslot.Request) cfvslot.Decision {
					d := grant(c, r, "entry-1/1")
					d.Grant.Level = cfvslot.RampLevel{Endpoint: d.Grant.Endpoint, BootID: "boot", Slots: 1000}
					return d
				})
				slot, refusal := e.Acquire(t.Context(), req)
				assert.Assert(t, refusal == nil, "refused: %v", refusal)
				tt.tell(e, slot)
				e.cfg.Reserve = func(context.Context, string, cfvslot.Request) (cfvslot.Decision, error) {
					return cfvslot.Decision{}, context.DeadlineExceeded
				}
				again, refusal := e.Acquire(t.Context(), req)
				assert.Equal(t, again != nil, tt.used)
				if !tt.used {
					assert.Equal(t, refusal.Reason, cfverror.ReasonOwnerUnreachable)
				}
			})
		})
	}
}

// Failure: the group that a request prefers was just drained, the other one is full for a moment, and the request is
// refused with drained instead of waiting in the queue of the other group.
func TestRequestWaitsInAGroupThatCanServeIt(t *testing.T) {
	tests := map[string]struct {
		reason  cfverror.Reason // of the preferred group
		full    cfverror.Reason // of the other group, to requests that don't wait
		granted bool
	}{
		"drained":                {cfverror.ReasonDrained, cfverror.ReasonEndpointsFull, true},
		"no endpoint":            {cfverror.ReasonNoEndpoint, cfverror.ReasonEndpointsFull, true},
		"the other one is cold":  {cfverror.ReasonDrained, cfverror.ReasonEndpointsCold, true},
		"both are drained":       {cfverror.ReasonDrained, cfverror.ReasonDrained, false},
		"the preferred one full": {cfverror.ReasonEndpointsFull, cfverror.ReasonDrained, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := testCatalog(t)
				preferred := ""
				var e *Entry
				var req Request
				e, req = testEntry(t, func(r cfvslot.Request) cfvslot.Decision {
					if preferred == "" {
						preferred = r.Group
					}
					switch {
					case r.Group == preferred:
						return cfvslot.Decision{Slot: r.Slot, Reason: tt.reason}
					case r.MaxQueueTime == 0 || tt.full == cfverror.ReasonDrained:
						return cfvslot.Decision{Slot: r.Slot, Reason: tt.full}
					}
					time.Sleep(r.MaxQueueTime / 2)
					d := grant(c, r, "entry-1/1")
					d.Grant.QueueTime = r.MaxQueueTime / 2
					return d
				})
				for range 2 { // the second request doesn't ask full groups first
					slot, refusal := e.Acquire(t.Context(), req)
					assert.Equal(t, slot != nil, tt.granted, "%v", refusal)
					if !tt.granted {
						assert.Equal(t, refusal.Reason, tt.reason)
					}
				}
			})
		})
	}
}
