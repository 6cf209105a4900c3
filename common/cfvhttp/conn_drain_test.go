package cfvhttp

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that get no answer, since their connection is ended while they arrive in parts or wait behind another one.
func TestDrainAnswersRequestsThatArriveInParts(t *testing.T) {
	const get, post = "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	const drainAt = 100 * time.Millisecond
	type part struct {
		at   time.Duration // since the connection was opened
		sent string
	}
	tests := map[string]struct {
		parts   []part
		stall   time.Duration // of the server after each read of more than a byte
		answers int
		within  time.Duration // after drainAt
	}{
		"a head in two parts":                     {parts: []part{{0, get[:9]}, {time.Second, get[9:]}}, answers: 1, within: 2 * time.Second},
		"one byte before":                         {parts: []part{{0, get[:1]}, {time.Second, get[1:]}}, answers: 1, within: 2 * time.Second},
		"a part of a head that is read meanwhile": {parts: []part{{0, get[:9]}, {time.Second, get[9:]}}, stall: 300 * time.Millisecond, answers: 1, within: 2 * time.Second},
		"a body that arrives late":                {parts: []part{{0, post + "bo"}, {3 * time.Second, "dy"}}, answers: 1, within: 4 * time.Second},
		"a late request with a later body":        {parts: []part{{drainAt + 50*time.Millisecond, post + "bo"}, {4 * time.Second, "dy"}}, answers: 1, within: 5 * time.Second},
		"a late request":                          {parts: []part{{drainAt + 50*time.Millisecond, get}}, answers: 1, within: time.Second},
		"the next head while a request runs":      {parts: []part{{0, get}, {drainAt + 50*time.Millisecond, get}}, answers: 2, within: time.Second},
		"the next head while one runs, in parts":  {parts: []part{{0, get}, {drainAt + 50*time.Millisecond, get[:1]}, {time.Second, get[1:]}}, answers: 2, within: 2 * time.Second},
		"the next head with the one before":       {parts: []part{{0, get + get}}, answers: 2, within: time.Second},
		"a head that stops short":                 {parts: []part{{0, "GET / HTTP/1.1\r\n"}}, within: lastHeadWait + refusalLinger},
		"nothing":                                 {within: lastNewWait},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := make(oneConnListener)
				tracker := NewConnTracker(func(UnansweredRequest) {})
				server := &http.Server{ReadHeaderTimeout: time.Minute, ConnState: tracker.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, err := io.Copy(io.Discard, r.Body)
					assert.Check(t, err)
					time.Sleep(200 * time.Millisecond)
					assert.Check(t, r.Context().Err())
				})}
				go func() { _ = server.Serve(tracker.Listener(l)) }()
				near, far := net.Pipe()
				opened := time.Now()
				l <- &stalledConn{Conn: far, stall: tt.stall}
				go func() {
					for _, p := range tt.parts {
						time.Sleep(time.Until(opened.Add(p.at)))
						_, _ = io.WriteString(near, p.sent)
					}
				}()
				time.Sleep(drainAt)
				answers := make(chan int, 1)
				go func() {
					r, n := bufio.NewReader(near), 0
					for {
						resp, err := http.ReadResponse(r, nil)
						if err != nil {
							break
						}
						if resp.StatusCode == http.StatusOK {
							n++
						}
						_, _ = io.Copy(io.Discard, resp.Body)
					}
					answers <- n
				}()
				close(l)
				began := time.Now()
				assert.Check(t, tracker.Drain(context.Background()))
				took := time.Since(began)
				assert.Check(t, took <= tt.within, "took %s", took)
				assert.Equal(t, <-answers, tt.answers)
				_, _ = near.Close(), server.Close()
				time.Sleep(time.Minute) // lets the caller end
			})
		})
	}
}

// Guards against processes without descriptors: connections whose requests were read and not parsed yet don't count, however many are
// open.
func TestConnLimitHoldsWhileRequestsThatWereReadAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, callers = 8, 100
		l := make(oneConnListener)
		tracker, connLimit := NewConnTracker(func(UnansweredRequest) {}), NewConnLimit(limit, 0, func() {})
		server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: func(c net.Conn, s http.ConnState) {
			tracker.ConnState(c, s)
			connLimit.ConnState(c, s)
		}}
		go func() { _ = server.Serve(tracker.Listener(l)) }()
		var near []net.Conn
		for range callers {
			n, far := net.Pipe()
			l <- &stalledConn{Conn: far, stall: time.Minute}
			near = append(near, n)
			go func() { _, _ = io.WriteString(n, "GET / HTTP/1.1\r\nHost: h\r\n\r\n") }()
			synctest.Wait()
		}
		tracker.mu.Lock()
		open := len(tracker.conns)
		tracker.mu.Unlock()
		assert.Check(t, open <= 2*limit, "%d connections are open, the limit is %d", open, limit)
		close(l)
		for _, n := range near {
			_ = n.Close()
		}
		_ = server.Close()
		time.Sleep(2 * time.Minute) // lets the connections end
	})
}

// Guards against stops that report an error: the server closed the listener for a second time.
func TestListenerIsClosedOnce(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tracked := NewConnTracker(func(UnansweredRequest) {}).Listener(l)
	assert.NilError(t, tracked.Close())
	assert.NilError(t, tracked.Close())
}
