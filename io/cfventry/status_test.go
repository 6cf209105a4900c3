package cfventry

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

// Guards against responses with an invalid status that reach the caller, or that close its connection without a response: an
// endpoint in trouble answered with the status 000, and the server's check of the status panicked.
func TestInvalidStatusIsAFailedAttempt(t *testing.T) {
	heads := map[string]string{
		"id and stamp": "Id: %s\r\nStamp: s\r\n", "id": "Id: %s\r\n", "stamp": "Stamp: s\r\nX: %s\r\n", "neither": "X: %s\r\n",
		"not run": "Id: %s\r\nStamp: s\r\nNotrun: 1\r\n",
	}
	tests := map[string]struct {
		path   string
		status int
	}{
		"safe":             {path: "/read/", status: http.StatusOK},
		"unsafe":           {path: "/book/", status: http.StatusBadGateway},
		"stream":           {path: "/ask/", status: http.StatusBadGateway},
		"resumable stream": {path: "/look/", status: http.StatusOK},
	}
	for name, tt := range tests {
		for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
			for headName, head := range heads {
				t.Run(fmt.Sprintf("%s/%s/%s", name, status, headName), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newWeightsFleet(t, map[string]int64{"a": 1, "b": 1})
						defer f.close()
						f.apply(cfvfleet.Change{Config: &cfvfleet.Config{Version: 2, Services: []cfvfleet.Service{{Name: "s"}}, Routes: []cfvfleet.Route{
							{Name: "read", Host: "h", PathPrefix: "/read/", Kind: cfvfleet.Safe, Service: "s", MaxAttempts: 2},
							{Name: "book", Host: "h", PathPrefix: "/book/", Kind: cfvfleet.Unsafe, Service: "s", MaxAttempts: 2},
							{Name: "ask", Host: "h", PathPrefix: "/ask/", Kind: cfvfleet.Streaming, Service: "s", MaxAttempts: 2},
							{Name: "look", Host: "h", PathPrefix: "/look/", Kind: cfvfleet.Streaming, Resumable: true, Service: "s", MaxAttempts: 2},
						}}})
						var answered atomic.Bool
						f.answer = func(w io.Writer, r *http.Request, _ string) {
							id := r.Header.Get(testRequestID)
							if answered.Swap(true) {
								writeStream(w, r)
								return
							}
							_, _ = fmt.Fprintf(w, "HTTP/1.1 "+status+" Odd\r\n"+head+"Content-Length: 2\r\n\r\nok", id)
						}
						r := ask(f.entry, tt.path, "r")
						time.Sleep(time.Second)
						assert.Equal(t, r.Code, tt.status, "%q", r.Body)
						assert.Equal(t, r.Header().Get("Retry-After"), "", "the request may have run")
						assert.Equal(t, len(f.received("a:1"))+len(f.received("b:1")), map[int]int{http.StatusOK: 2, http.StatusBadGateway: 1}[tt.status])
					})
				})
			}
		}
	}
}
