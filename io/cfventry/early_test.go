package cfventry

import (
	"bufio"
	"context"
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

// writerNoticesConn is a connection whose reset is reported to its writer. Reads return io.EOF then, as on Linux, and are scheduled first.
type writerNoticesConn struct{ net.Conn }

// Write writes to the connection.
func (c writerNoticesConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if errors.Is(err, io.ErrClosedPipe) {
		time.Sleep(time.Millisecond)
		err = syscall.ECONNRESET
	}
	return n, err
}

// Guards against a part of a response that looks complete: an endpoint answered a long upload at once with a 200 without a length, sent a
// part of its body, and reset the connection while the upload was still being written.
func TestResponseDuringAnUploadIsResetAndDoesNotLookComplete(t *testing.T) {
	const upload = 1 << 20
	const event = "id: 1\ndata: a\n\n"
	tests := map[string]struct {
		path, part string
		sent       bool // a part of the response reaches the caller
	}{
		"safe":                    {path: "/look/", part: "part"},
		"unsafe":                  {path: "/book/", part: "part"},
		"stream":                  {path: "/ask/", part: event, sent: true},
		"stream, inside an event": {path: "/ask/", part: event + "id: 2", sent: true},
		"stream, no event":        {path: "/ask/", part: "id: 1"},
		"safe, long":              {path: "/look/", part: strings.Repeat("x", 2*maxBufferedResponse), sent: true},
		"unsafe, long":            {path: "/book/", part: strings.Repeat("x", 2*maxBufferedResponse), sent: true},
	}
	for name, tt := range tests {
		for _, writerNotices := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/the writer notices %v, reused %v", name, writerNotices, reused), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var reset atomic.Bool
						endpoint := &rawEndpoint{early: func(id string) bool { return id == "r" }}
						endpoint.answer = func(w io.Writer, id string, _ int) {
							if id != "r" {
								_, _ = fmt.Fprintf(w, wholeAnswer, id)
								return
							}
							_, _ = io.WriteString(w, "HTTP/1.0 200 OK\r\nId: r\r\nStamp: s\r\n\r\n"+tt.part)
							time.Sleep(100 * time.Millisecond)
							reset.Store(true)
							_ = w.(net.Conn).Close()
						}
						endpoint.wrap = func(c net.Conn) net.Conn {
							if writerNotices {
								return writerNoticesConn{c}
							}
							return &resettableConn{Conn: c, reset: &reset}
						}
						e := newRawEntry(endpoint)
						ctx, cancel := context.WithCancel(t.Context())
						callers := listenInMemory(ctx, t, e)
						conn := callers.dial()
						defer func() {
							_ = conn.Close()
							endpoint.close()
							cancel()
							_ = e.callerServer.Close()
							_ = e.readyServer.Close()
							e.connPools.retain(nil)
							time.Sleep(time.Minute) // lets the endpoint end
						}()
						r := bufio.NewReader(conn)
						if reused {
							go func() { _, _ = io.WriteString(conn, "GET /book/ HTTP/1.1\r\nHost: h\r\nId: first\r\n\r\n") }()
							first, err := http.ReadResponse(r, nil)
							assert.NilError(t, err)
							_, err = io.Copy(io.Discard, first.Body)
							assert.NilError(t, err)
						}
						go func() {
							_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: %d\r\n\r\n%s", tt.path, upload, strings.Repeat("u", upload))
						}()
						resp, err := http.ReadResponse(r, nil)
						assert.NilError(t, err)
						body, err := io.ReadAll(resp.Body)
						if !tt.sent {
							assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%q", body)
							assert.NilError(t, err)
							return
						}
						assert.Equal(t, resp.StatusCode, http.StatusOK)
						assert.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d bytes look complete", len(body))
					})
				})
			}
		}
	}
}
