package cfventry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

// Guards against requests that reach an endpoint which may not be used any more: whether it leaves, is gone or
// drained was checked when it was chosen, and the request then waited for a connection.
func TestRequestsThatWaitForAConnectionLeaveAnEndpoint(t *testing.T) {
	const conns = 64 // the most that an entry uses
	leaving := &cfvfleet.Endpoint{ID: "a", Service: "s", Addr: "a:1", Slots: 4, Leaving: true, Weights: map[string]int64{"m": 1}}
	tests := map[string]struct {
		change cfvfleet.Change
		kept   bool // the waiting requests are sent to the endpoint
	}{
		"no change":             {change: cfvfleet.Change{Domain: &cfvfleet.DomainChange{Domain: "other", Drained: true}}, kept: true},
		"the endpoint leaves":   {change: cfvfleet.Change{Endpoint: &cfvfleet.EndpointChange{ID: "a", Endpoint: leaving}}},
		"the endpoint is gone":  {change: cfvfleet.Change{Endpoint: &cfvfleet.EndpointChange{ID: "a"}}},
		"its domain is drained": {change: cfvfleet.Change{Domain: &cfvfleet.DomainChange{Domain: "", Drained: true}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWeightsFleet(t, map[string]int64{"a": 1})
				defer f.close()
				f.answer = func(w io.Writer, r *http.Request, _ string) {
					time.Sleep(3 * time.Second)
					_, _ = fmt.Fprintf(w, wholeAnswer, r.Header.Get(testRequestID))
				}
				var wg sync.WaitGroup
				status := make([]int, conns+6)
				for i := range status {
					wg.Go(func() { status[i] = ask(f.entry, "/book/", strconv.Itoa(i)).Code })
				}
				time.Sleep(time.Second)
				f.apply(tt.change)
				wg.Wait()
				received, ok := f.received("a:1"), 0
				for i, s := range status {
					if s == http.StatusOK {
						ok++
						continue
					}
					assert.Equal(t, s, http.StatusServiceUnavailable)
					assert.Assert(t, !slices.Contains(received, strconv.Itoa(i)), "request %d was sent", i)
				}
				want := conns
				if tt.kept {
					want = len(status)
				}
				assert.Equal(t, ok, want)
				assert.Equal(t, len(received), want)
			})
		})
	}
}

// Guards against answers on outdated weights and against lost requests: an attempt may be cancelled in the instant in
// which its answer arrives. Its answer is not forwarded, and counts as not run only if it says so.
func TestAnswerInTheInstantOfTheCancellation(t *testing.T) {
	tests := map[string]struct {
		answer string
		status int
	}{
		"begun":                                 {answer: "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", status: http.StatusBadGateway},
		"not run":                               {answer: "HTTP/1.1 503 Busy\r\nId: r\r\nStamp: s\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n", status: http.StatusServiceUnavailable},
		"misdirected":                           {answer: "HTTP/1.1 421 Other\r\nId: r\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", status: http.StatusServiceUnavailable},
		"not run, an answer to another request": {answer: "HTTP/1.1 503 Busy\r\nId: x\r\nStamp: s\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n", status: http.StatusBadGateway},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newWeightsFleet(t, map[string]int64{"a": 1})
			defer func() {
				f.cancel()
				f.entry.connPools.retain(nil)
			}()
			sent, locked := make(chan struct{}), make(chan struct{})
			f.answer = func(w io.Writer, _ *http.Request, _ string) {
				close(sent)
				<-locked
				_, _ = io.WriteString(w, tt.answer)
			}
			status := make(chan int)
			go func() { status <- ask(f.entry, "/book/", "r").Code }()
			<-sent
			p := f.entry.pending
			p.mu.Lock()
			close(locked)
			for stack := make([]byte, 1<<20); !bytes.Contains(stack[:runtime.Stack(stack, true)], []byte("(*pendingAttempts).remove(")); {
				time.Sleep(time.Millisecond)
			}
			for a := range p.set { // as cancel does
				a.reason.Store("the weights are outdated")
				a.cancel()
			}
			p.mu.Unlock()
			assert.Equal(t, <-status, tt.status)
		})
	}
}
