package cfvreserve

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvfleet"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
)

func entriesOf(n int) func() []cfvfleet.Entry {
	return func() (out []cfvfleet.Entry) {
		for i := range n {
			out = append(out, cfvfleet.Entry{Name: fmt.Sprint("entry-", i), Addr: fmt.Sprint("addr-", i), Domain: fmt.Sprint("domain-", i%3)})
		}
		return out
	}
}

func newReserver(now *time.Duration, entries func() []cfvfleet.Entry) *Reserver {
	return New(Config{
		Self: "other", Relays: func() []cfvfleet.Entry { return cfvfleet.NewRoster(entries()).Relays() }, Now: func() time.Duration { return *now }, Log: cfvlog.Discard(), Count: func(string, int64) {},
	})
}

// Failure: one relay placed the prompts of two groups, and its VM was too small for both.
func TestGroupsHaveDifferentPlacers(t *testing.T) {
	now := time.Duration(0)
	for _, service := range []string{"a", "b", "c"} {
		r := newReserver(&now, entriesOf(87))
		seen := make(map[string]bool)
		for group := range 5 {
			placer, ok := r.placer(Request{Service: service, Group: group, GroupCount: 5})
			assert.Assert(t, ok && !seen[placer.Name], "group %d of %s: %s", group, service, placer.Name)
			seen[placer.Name] = true
		}
	}
}

// Failure: after one call that took over 60 ms, an entry asked another placer for a second, which knew
// nothing of the prompts that the first one had placed, and sent prompts to engines without memory.
func TestPlacerIsChangedOnlyOnceItIsGone(t *testing.T) {
	slow := connect.NewError(connect.CodeDeadlineExceeded, context.DeadlineExceeded)
	refused := connect.NewError(connect.CodeUnavailable, errors.New("connection refused"))
	success := error(nil)
	tests := map[string]struct {
		results []error
		after   time.Duration
		changed bool
	}{
		"it responds":                      {results: []error{success}},
		"it is slow once":                  {results: []error{slow}},
		"it is slow now and then":          {results: []error{slow, slow, success, slow, slow}},
		"it does not respond":              {results: []error{slow, slow, slow}, changed: true},
		"it refuses connections":           {results: []error{refused}, changed: true},
		"it stays away":                    {results: []error{slow, slow, slow, slow}, after: minPlacerBackoff, changed: true},
		"it stays away, some time ago":     {results: []error{slow, slow, slow, slow}, after: 2 * minPlacerBackoff},
		"it returned":                      {results: []error{slow, slow, slow, success, slow, slow}},
		"it refused connections long ago":  {results: []error{refused}, after: minPlacerBackoff},
		"it did not respond some time ago": {results: []error{slow, slow, slow}, after: minPlacerBackoff},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Duration(0)
			r := newReserver(&now, entriesOf(9))
			req := Request{Service: "s"}
			first, _ := r.placer(req)
			for _, err := range tt.results {
				if err == nil {
					r.recordSuccess(first)
					continue
				}
				r.recordFailure(first, err)
			}
			now += tt.after
			then, ok := r.placer(req)
			assert.Assert(t, ok)
			assert.Equal(t, then != first, tt.changed)
		})
	}
}

// Guards against an entry that ends for its memory: a placer's response without end was kept until the call's time was over.
func TestResponseWithoutEndIsBounded(t *testing.T) {
	const most = 32 << 20 // the smallest limits.memoryMb
	placer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		data := make([]byte, 64<<10)
		for err := error(nil); err == nil; {
			_, err = w.Write(data)
		}
	}))
	defer placer.Close()
	r := New(Config{Self: "other", Now: func() time.Duration { return time.Hour }, Log: cfvlog.Discard(), Count: func(string, int64) {}})
	ctx, cancel := context.WithTimeout(t.Context(), reserveTimeout)
	defer cancel()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := r.clientFor(strings.TrimPrefix(placer.URL, "http://")).Reserve(ctx, connect.NewRequest(requestToWire(Request{})))
	runtime.ReadMemStats(&after)
	assert.Assert(t, err != nil)
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated <= most, "%d bytes were allocated", allocated)
}
