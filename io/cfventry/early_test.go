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

	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvlimit"

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

// Guards against responses that are cut off and look complete to callers of HTTP/1.0, whose responses may end with the connection.
func TestCallersWithoutChunksNoticeACut(t *testing.T) {
	const head, event = "HTTP/1.0 200 OK\r\nId: r\r\nStamp: s\r\n\r\n", "id: 1\ndata: a\n\n"
	long := strings.Repeat("x", 2*maxBufferedResponse)
	tests := map[string]struct {
		path, part string
		reset      bool // by the endpoint
		status     int  // 0: the connection is reset
	}{
		"short":         {path: "/book/", part: "whole", status: http.StatusOK},
		"short, cut":    {path: "/book/", part: "part", reset: true, status: http.StatusBadGateway},
		"long":          {path: "/book/", part: long, status: http.StatusOK},
		"long, cut":     {path: "/book/", part: long, reset: true},
		"safe, cut":     {path: "/look/", part: long, reset: true},
		"stream":        {path: "/ask/", part: event, status: http.StatusOK},
		"stream, cut":   {path: "/ask/", part: event, reset: true},
		"inside events": {path: "/ask/", part: event + "id: 2"},
	}
	for name, tt := range tests {
		for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(name+", "+proto, func(t *testing.T) {
				var reset atomic.Bool
				endpoint := &rawEndpoint{wrap: func(c net.Conn) net.Conn { return &resettableConn{Conn: c, reset: &reset} }}
				endpoint.answer = func(w io.Writer, _ string, _ int) {
					_, _ = io.WriteString(w, head+tt.part)
					reset.Store(tt.reset)
					_ = w.(net.Conn).Close()
				}
				defer endpoint.close()
				e := newRawEntry(endpoint)
				e.cfg.PeerLoads = func() (map[string]cfvdispatch.Load, map[string]cfvdispatch.Demand) { return nil, nil }
				e.cfg.CallerAddr, e.cfg.ReadyAddr, e.cfg.BodyBudget = "127.0.0.1:0", "127.0.0.1:0", cfvlimit.NewByteBudget(8<<20)
				var callers net.Listener
				e.cfg.Listen = func(network, addr string) (net.Listener, error) {
					l, err := net.Listen(network, addr)
					if callers == nil {
						callers = l
					}
					return l, err
				}
				assert.NilError(t, e.Start(t.Context()))
				defer e.callerServer.Close()
				defer e.readyServer.Close()
				conn, err := net.Dial("tcp", callers.Addr().String())
				assert.NilError(t, err)
				defer conn.Close()
				_, err = fmt.Fprintf(conn, "GET %s %s\r\nHost: h\r\nId: r\r\nConnection: close\r\n\r\n", tt.path, proto)
				assert.NilError(t, err)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				var body []byte
				if err == nil {
					body, err = io.ReadAll(resp.Body)
				}
				if tt.status == 0 {
					assert.Assert(t, err != nil, "%d bytes look complete", len(body))
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, tt.status)
				if tt.status == http.StatusOK {
					assert.Assert(t, string(body) == tt.part, "%d bytes", len(body))
				}
			})
		}
	}
}
