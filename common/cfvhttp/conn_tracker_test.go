package cfvhttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stalledConn is a connection whose reader has no processor for a while after it has read a request.
type stalledConn struct {
	net.Conn
	stall time.Duration
}

func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 1 {
		time.Sleep(c.stall)
	}
	return n, err
}

// oneConnListener accepts the connections of a channel.
type oneConnListener chan net.Conn

// Accept returns the next connection.
func (l oneConnListener) Accept() (net.Conn, error) {
	c, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close does nothing, since the channel is closed by its writer.
func (l oneConnListener) Close() error { return nil }

// Addr returns a placeholder.
func (l oneConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against requests that are read and get no answer, since their connection is closed for a new one when as many are open as
// the limit allows.
func TestConnLimitAnswersRequestsThatWereRead(t *testing.T) {
	const maxStall = time.Second
	tests := map[string]struct {
		reused bool   // the connection has been used before
		sent   string // of the second request
		status int    // 0: none
	}{
		"a request on a new connection":    {sent: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status: http.StatusOK},
		"a request on a reused connection": {reused: true, sent: "GET / HTTP/1.1\r\nHost: h\r\n\r\n", status: http.StatusOK},
		"a part of a head":                 {sent: "GET / HTTP/1.1\r\nHo", status: http.StatusServiceUnavailable},
		"a part of a line":                 {sent: "GE", status: http.StatusServiceUnavailable},
		"nothing":                          {},
		"nothing on a reused connection":   {reused: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := make(oneConnListener)
				tracker := NewConnTracker(func(UnansweredRequest) {})
				limit := NewConnLimit(1, 0, func() {})
				server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: func(c net.Conn, s http.ConnState) {
					tracker.ConnState(c, s)
					limit.ConnState(c, s)
				}}
				go func() { _ = server.Serve(tracker.Listener(l)) }()
				near, far := net.Pipe()
				conn := &stalledConn{Conn: far}
				l <- conn
				r := bufio.NewReader(near)
				if tt.reused {
					_, _ = fmt.Fprint(near, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					_, err := http.ReadResponse(r, nil)
					assert.NilError(t, err)
				}
				synctest.Wait()
				conn.stall = maxStall
				if tt.sent != "" {
					go func() { _, _ = fmt.Fprint(near, tt.sent) }()
				}
				synctest.Wait()
				other, otherFar := net.Pipe()
				l <- otherFar
				began := time.Now()
				resp, err := http.ReadResponse(r, nil)
				status := 0
				if err == nil {
					status = resp.StatusCode
					_, err = io.Copy(io.Discard, r)
				}
				assert.Check(t, status == tt.status, "status %d, %v", status, err)
				assert.Check(t, time.Since(began) <= maxStall+refusalLinger, "closed after %s", time.Since(began))
				close(l)
				_, _, _ = near.Close(), other.Close(), server.Close()
			})
		})
	}
}
