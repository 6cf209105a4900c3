package cfventry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// stalledConn is a connection whose reader has no processor for a while after it has read a request.
type stalledConn struct {
	net.Conn
	stall time.Duration

	mu       sync.Mutex
	received bytes.Buffer
}

func (c *stalledConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	_, _ = c.received.Write(p[:n])
	c.mu.Unlock()
	if n > 1 {
		time.Sleep(c.stall)
	}
	return n, err
}

// requests returns how many complete requests were read.
func (c *stalledConn) requests() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Count(c.received.Bytes(), []byte("1234567890"))
}

// startStopTest starts an entry whose endpoint answers after the given time, and returns the listener for its callers.
func startStopTest(ctx context.Context, t *testing.T, endpoint *rawEndpoint) (*Entry, *pipeListener) {
	e := newRawEntry(endpoint)
	e.cfg.Limits.ShutdownTimeout = 8 * time.Second
	return e, listenInMemory(ctx, t, e)
}

// Guards against requests that are read and get no answer, since their connection is closed around the end of the drain delay of a
// planned stop.
func TestRequestThatWasReadDuringAStopIsAnswered(t *testing.T) {
	const ended = drainDelay // when the entry ends the connections without a request
	tests := map[string]struct {
		reused bool          // the connection has been used before the stop
		openAt time.Duration // of a connection that is new, since the stop
		sendAt time.Duration // since the stop
		stall  time.Duration // of the entry after it has read the request
		work   time.Duration // of the endpoint
	}{
		"new, sent at the end":                     {openAt: ended - 10*time.Millisecond, sendAt: ended},
		"new, sent just after":                     {openAt: ended - 10*time.Millisecond, sendAt: ended + time.Millisecond},
		"new, sent later":                          {openAt: ended - 10*time.Millisecond, sendAt: ended + 300*time.Millisecond},
		"new, read before and parsed after":        {openAt: ended - 20*time.Millisecond, sendAt: ended - 10*time.Millisecond, stall: 700 * time.Millisecond},
		"new, read before and parsed long after":   {openAt: ended - 20*time.Millisecond, sendAt: ended - 10*time.Millisecond, stall: 3 * time.Second},
		"reused, sent just before":                 {reused: true, sendAt: ended - time.Millisecond},
		"reused, read before and parsed after":     {reused: true, sendAt: ended - 10*time.Millisecond, stall: 700 * time.Millisecond},
		"reused, read before, parsed long after":   {reused: true, sendAt: ended - 10*time.Millisecond, stall: 3 * time.Second},
		"reused, with a slow endpoint":             {reused: true, sendAt: ended - 10*time.Millisecond, stall: 700 * time.Millisecond, work: time.Second},
		"new, with a slow endpoint, sent at 100ms": {openAt: ended - 10*time.Millisecond, sendAt: ended + 100*time.Millisecond, work: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(w io.Writer, id string, _ int) {
					time.Sleep(tt.work)
					_, _ = fmt.Fprintf(w, wholeAnswer, id)
				}}
				defer endpoint.close()
				ctx, cancel := context.WithCancel(t.Context())
				e, callers := startStopTest(ctx, t, endpoint)
				stop := time.Now().Add(10 * time.Second)
				var conn net.Conn
				var entryConn *stalledConn
				open := func() {
					near, far := net.Pipe()
					conn, entryConn = near, &stalledConn{Conn: far}
					callers.conns <- entryConn
				}
				open() // the entry refuses requests of unknown duration late in a stop
				assert.Equal(t, keptCall(conn).status, http.StatusOK)
				answered := make(chan callAnswer, 1)
				go func() {
					if !tt.reused {
						_ = conn.Close()
						time.Sleep(time.Until(stop.Add(tt.openAt)))
						open()
					}
					time.Sleep(time.Until(stop.Add(tt.sendAt)))
					entryConn.stall = tt.stall
					answered <- keptCall(conn)
				}()
				time.Sleep(time.Until(stop))
				assert.Check(t, e.Stop(ctx))
				took := time.Since(stop)
				got := <-answered
				_ = conn.Close()
				cancel()
				e.connPools.retain(nil)
				time.Sleep(time.Minute) // lets the endpoint end
				read := entryConn.requests()
				if tt.reused {
					read--
				}
				assert.Equal(t, read, 1, "the entry reads the request")
				assert.Equal(t, got.status, http.StatusOK, "a request that was read has no answer")
				assert.Check(t, got.complete)
				assert.Check(t, took < 8*time.Second, "stopped after %s", took)
			})
		})
	}
}

// keptCall sends a request over a connection and keeps it open.
func keptCall(conn net.Conn) callAnswer {
	return slowCall{path: "/look/", bodyAt: never}.exchange(conn, "1234567890", time.Now())
}
