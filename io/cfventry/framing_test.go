package cfventry

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// resettableConn is a connection that the other end may reset.
type resettableConn struct {
	net.Conn
	reset *atomic.Bool
}

// Read reads from the connection. It fails after a reset, instead of ending in good order.
func (c *resettableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.reset.Load() {
		err = syscall.ECONNRESET
	}
	return n, err
}

// Guards against responses that are cut off and look complete: a stream that ended inside an event was ended
// in good order if the request is not retryable.
func TestCutResponsesDoNotLookComplete(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\n\r\n"
		chunked  = "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
		one, two = "id:1\ndata:a\n\n", "id:2\ndata:b\n\n"
		cutTwo   = "id:2\nda"
	)
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	long := strings.Repeat("x", maxBufferedResponse+10)
	tests := map[string]struct {
		path   string
		answer string // of the first endpoint; %s is the ID of the request
		reset  bool   // the connection is reset after it; otherwise it is closed
		status int    // 0: the response is aborted
		body   string
	}{
		"response without a length":                    {path: "/book/", answer: unframed + "body", status: http.StatusOK, body: "body"},
		"response without a length, reset":             {path: "/book/", answer: unframed + "body", reset: true, status: http.StatusBadGateway},
		"long response without a length":               {path: "/book/", answer: unframed + long, status: http.StatusOK, body: long},
		"long response without a length, reset":        {path: "/book/", answer: unframed + long, reset: true, body: long},
		"stream without chunks":                        {path: "/ask/", answer: unframed + one + two, status: http.StatusOK, body: one + two},
		"stream without chunks, reset":                 {path: "/ask/", answer: unframed + one + two, reset: true, body: one + two},
		"stream without chunks, inside an event":       {path: "/ask/", answer: unframed + one + cutTwo, body: one},
		"stream without chunks, inside the first":      {path: "/ask/", answer: unframed + cutTwo, status: http.StatusBadGateway},
		"stream in chunks":                             {path: "/ask/", answer: chunked + chunk(one) + chunk(two) + "0\r\n\r\n", status: http.StatusOK, body: one + two},
		"stream in chunks, without the last":           {path: "/ask/", answer: chunked + chunk(one) + chunk(two), body: one + two},
		"stream in chunks, inside an event":            {path: "/ask/", answer: chunked + chunk(one) + chunk(cutTwo) + "0\r\n\r\n", body: one},
		"resumable stream without chunks":              {path: "/look/", answer: unframed + one + two, status: http.StatusOK, body: one + two},
		"resumable stream without chunks, reset":       {path: "/look/", answer: unframed + one, reset: true, status: http.StatusOK, body: one + two},
		"resumable stream, inside an event":            {path: "/look/", answer: unframed + one + cutTwo, status: http.StatusOK, body: one + two},
		"resumable stream in chunks, inside the first": {path: "/look/", answer: chunked + chunk(cutTwo) + "0\r\n\r\n", status: http.StatusOK, body: one + two},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWeightsFleet(t, map[string]int64{"a": 1, "b": 1})
				defer f.close()
				var answered, reset atomic.Bool
				f.wrap = func(c net.Conn) net.Conn { return &resettableConn{Conn: c, reset: &reset} }
				f.answer = func(w io.Writer, r *http.Request, _ string) {
					id := r.Header.Get(testRequestID)
					switch {
					case !answered.Swap(true):
						_, _ = fmt.Fprintf(w, tt.answer, id)
						reset.Store(tt.reset)
						_ = w.(io.Closer).Close()
					case r.Header.Get(testResumeAfter) == "1":
						_, _ = fmt.Fprintf(w, chunked+chunk(two)+"0\r\n\r\n", id)
					default:
						_, _ = fmt.Fprintf(w, chunked+chunk(one+two)+"0\r\n\r\n", id)
					}
				}
				r := ask(f.entry, tt.path, "r")
				time.Sleep(time.Second)
				assert.Equal(t, r.Code, tt.status)
				assert.Assert(t, r.Body.String() == tt.body, "%d bytes", r.Body.Len())
			})
		})
	}
}
