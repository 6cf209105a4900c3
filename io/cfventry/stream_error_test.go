package cfventry

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"gotest.tools/v3/assert"
)

// Failure, reported by operators of similar systems: after a stream had begun and broken off, the next endpoint's error was
// written into the middle of the stream, which then ended as if it were complete.
func TestErrorAfterAStreamHasBegunBreaksItOff(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid:1\n\n\r\nX"
	tests := map[string]string{
		"server error":        failedAnswer,
		"client error":        "HTTP/1.1 400 Bad\r\nId: %s\r\nStamp: s\r\nContent-Length: 5\r\n\r\nwrong",
		"gone":                "HTTP/1.1 410 Gone\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngone\r\n0\r\n\r\n",
		"rejection":           rejectedAnswer,
		"answer of a proxy":   "HTTP/1.1 502 Bad\r\nId: %s\r\nContent-Length: 3\r\n\r\nbad",
		"answer to another":   "HTTP/1.1 500 Failed\r\nId: not-%s\r\nStamp: s\r\nContent-Length: 2\r\n\r\nno",
		"redirection":         "HTTP/1.1 302 Found\r\nId: %s\r\nStamp: s\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n",
		"rejection with time": "HTTP/1.1 503 Full\r\nId: %s\r\nNotrun: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, second := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tv := newTwoVersions(t, 2, 0)
				tv.apply("config", cfvfleet.Change{Config: &cfvfleet.Config{Version: 2, Services: []cfvfleet.Service{{Name: "s"}}, Routes: []cfvfleet.Route{
					{Name: "ask", Host: "h", PathPrefix: "/ask/", Kind: cfvfleet.Streaming, Resumable: true, Service: "s", MaxAttempts: 2, LatencyObjective: time.Second},
				}}})
				sent := 0
				for _, endpoint := range tv.endpoints {
					endpoint.answer = func(w io.Writer, id string, _ int) {
						if sent++; sent == 1 {
							_, _ = fmt.Fprintf(w, begun, id)
							return
						}
						_, _ = fmt.Fprintf(w, second, id)
					}
				}
				got := ask(tv.Entry, "/ask/", "r1")
				assert.Assert(t, sent >= 2, "it goes on at the other endpoint")
				assert.Equal(t, got.Body.String(), "id:1\n\n")
				assert.Equal(t, got.Code, 0, "the connection is broken off")
				for _, endpoint := range tv.endpoints {
					endpoint.close()
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
