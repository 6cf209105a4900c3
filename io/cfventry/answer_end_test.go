package cfventry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Framings of an answer: the head, and a piece of the body.
const (
	lengthHead   = streamHead + "Content-Length: 2000000\r\n\r\n"
	chunkedHead  = streamHead + "Transfer-Encoding: chunked\r\n\r\n"
	unframedHead = streamHead + "Connection: close\r\n\r\n"
	oneEvent     = "id:1\n\n"
	twoEvents    = oneEvent + "id:2\n\n"
)

// chunk returns a chunk of a body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// longBody is longer than a response that is kept until it is complete.
var longBody = strings.Repeat("x", maxBufferedResponse+10)

// brokenOff are the bytes that an endpoint has sent when it goes down, by the kind of route. An endpoint closes its connections then.
var brokenOff = map[string]map[string]string{
	"/book/": {
		"nothing": "", "a part of the head": "HTTP/1.1 200 OK\r\nId: %s\r\nSta", "the head with a length": lengthHead, "a part of a length": lengthHead + "xx",
		"the head with chunks": chunkedHead, "a chunk": chunkedHead + chunk("xx"), "a part of a chunk": chunkedHead + "5\r\nxx", "chunks without the last": chunkedHead + chunk("xx") + chunk("yy"),
		"a long part of a length": lengthHead + longBody, "a long chunk": chunkedHead + chunk(longBody), "a server error with a length": strings.Replace(lengthHead, "200 OK", "500 Error", 1) + "xx",
	},
	"/ask/": {
		"nothing": "", "the head with chunks": chunkedHead, "an event": chunkedHead + chunk(oneEvent), "two events": chunkedHead + chunk(oneEvent) + chunk("id:2\n\n"),
		"a part of an event": chunkedHead + chunk(oneEvent) + chunk("id:"), "the head with a length": lengthHead, "an event, with a length": lengthHead + oneEvent,
		"the head alone": unframedHead, "a part of an event alone": unframedHead + "id:",
	},
}

// Guards against requests that take one endpoint down after the other: an answer that broke off after its head was not counted against
// the request unless it was a stream (BUDGET). Sound requests beside them are served.
func TestRequestThatBreaksAnswersOffIsRefused(t *testing.T) {
	const allowed = quarantineCrashes + 3 // the operators allow three retries later than the time in which entries tell each other
	for kind, forms := range brokenOff {
		paths := []string{kind}
		if kind == "/book/" {
			paths = append(paths, "/look/")
		}
		for _, path := range paths {
			for name, sent := range forms {
				t.Run(path+name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkRefused(t, path, sent, allowed) })
				})
			}
		}
	}
}

// checkRefused sends a request that takes endpoints down again and again, beside sound ones, and checks that few of them reach endpoints.
func checkRefused(t *testing.T, path, sent string, allowed int) {
	fleet := newPartFleet(sent)
	e := newPartEntry(fleet)
	e.cfg.Limits = Limits{RetryRatio: 1, RetrySlack: 100, RetryWindow: 10 * time.Second}
	for i := range 30 {
		r := send(e, path, fmt.Sprint("d", i), "the same body", deadlyPart)
		assert.Check(t, r.Code != http.StatusServiceUnavailable || r.Header().Get("Retry-After") != "")
		for j := range 10 {
			r = send(e, path, fmt.Sprintf("s%d.%d", i, j), fmt.Sprintf("body %d.%d", i, j), "own")
			assert.Check(t, r.Code == http.StatusOK, "a sound request: %d", r.Code)
			time.Sleep(100 * time.Millisecond)
		}
	}
	seen := fleet.deadly
	fleet.close()
	e.connPools.retain(nil)
	time.Sleep(time.Minute) // lets the endpoints end
	assert.Assert(t, seen <= allowed, "%d requests reached endpoints", seen)
	assert.Assert(t, seen >= quarantineCrashes, "only %d requests reached endpoints", seen)
}
