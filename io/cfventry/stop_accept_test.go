package cfventry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are read and get no answer, since their connection was being accepted when a stopping entry ended
// its connections.
func TestRequestOnAConnectionAcceptedDuringAStopIsAnswered(t *testing.T) {
	for name, stall := range map[string]time.Duration{"at once": 0, "after 100 ms": 100 * time.Millisecond, "after a second": time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(w io.Writer, id string, _ int) { _, _ = fmt.Fprintf(w, wholeAnswer, id) }}
				defer endpoint.close()
				ctx, cancel := context.WithCancel(t.Context())
				e, callers := startStopTest(ctx, t, endpoint)
				first := callers.dial()
				assert.Equal(t, keptCall(first).status, http.StatusOK) // the entry refuses requests of unknown duration late in a stop
				_ = first.Close()
				stop := time.Now().Add(10 * time.Second)
				answered := make(chan callAnswer, 1)
				var conn *stalledConn
				go func() {
					time.Sleep(time.Until(stop.Add(drainDelay - 10*time.Millisecond)))
					near, far := net.Pipe()
					conn = &stalledConn{Conn: far}
					callers.stall = stall
					callers.conns <- conn
					answered <- keptCall(near)
				}()
				time.Sleep(time.Until(stop))
				assert.Check(t, e.Stop(ctx))
				took := time.Since(stop)
				got := <-answered
				cancel()
				e.connPools.retain(nil)
				time.Sleep(time.Minute) // lets the endpoint end
				assert.Equal(t, conn.requests(), 1, "the entry reads the request")
				assert.Check(t, got.status == http.StatusOK && got.complete, "a request that was read has no answer")
				assert.Check(t, took < drainDelay+stall+time.Second, "stopped after %s", took)
			})
		})
	}
}

// Guards against connections that are ended with the next request on its way: callers were not told that they close.
func TestResponsesDuringAStopAnnounceTheClose(t *testing.T) {
	tests := map[string]struct {
		path   string
		sendAt time.Duration // the entry stops after 50 ms
		status string
	}{
		"a response to an earlier request": {path: "/look/", status: "HTTP/1.1 200"},
		"a stream of an earlier request":   {path: "/ask/", status: "HTTP/1.1 200"},
		"a refusal":                        {path: "/unknown/", sendAt: 100 * time.Millisecond, status: "HTTP/1.1 404"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(w io.Writer, id string, _ int) {
					time.Sleep(time.Second)
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 9\r\n\r\ndata: x\n\n", id)
				}}
				defer endpoint.close()
				ctx, cancel := context.WithCancel(t.Context())
				e, callers := startStopTest(ctx, t, endpoint)
				conn := callers.dial()
				received := make(chan string, 1)
				go func() {
					time.Sleep(tt.sendAt)
					_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r\r\nContent-Length: 1\r\n\r\n", tt.path)
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(conn, "b")
				}()
				go func() {
					all, _ := io.ReadAll(conn)
					received <- string(all)
				}()
				time.Sleep(50 * time.Millisecond)
				assert.Check(t, e.Stop(ctx))
				got := <-received
				cancel()
				e.connPools.retain(nil)
				time.Sleep(time.Minute) // lets the endpoint end
				assert.Check(t, strings.HasPrefix(got, tt.status) && strings.Contains(got, "\r\nConnection: close\r\n"), got)
			})
		})
	}
}
