package cfvforward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfverror"
	"coltsfootvalve/core/cfvstream"
	"coltsfootvalve/io/cfvopenai"

	"gotest.tools/v3/assert"
)

const (
	testRequestID      = "r1"
	testIdleTimeout    = 2 * time.Second
	testRequestTimeout = time.Minute
	dribbleInterval    = 100 * time.Millisecond
)

// rawEndpoint answers requests with bytes of its own choice, on connections in memory.
type rawEndpoint struct {
	answer func(w io.Writer)
	mu     sync.Mutex
	conns  []net.Conn
	seen   int // requests received
}

func (e *rawEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	e.mu.Lock()
	e.conns = append(e.conns, near, far)
	e.mu.Unlock()
	go e.serve(far)
	return near, nil
}

func (e *rawEndpoint) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		e.mu.Lock()
		e.seen++
		e.mu.Unlock()
		e.answer(c)
	}
}

// close closes all connections and waits until both ends have noticed.
func (e *rawEndpoint) close() {
	e.mu.Lock()
	for _, c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	time.Sleep(testRequestTimeout)
}

// dribble writes text again and again until the connection is closed.
func dribble(w io.Writer, text string) {
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		time.Sleep(dribbleInterval)
	}
}

func testCall() Call {
	return Call{RequestID: testRequestID, Address: "e:1", Method: http.MethodPost, Path: "/x", Body: []byte("b"), IdleTimeout: testIdleTimeout}
}

// requireRefusal checks the reason of a failed call and how long the call took.
func requireRefusal(t *testing.T, begin time.Time, err error, reason cfverror.Reason, within time.Duration) {
	t.Helper()
	took := time.Since(begin)
	refusal := cfverror.From(err)
	assert.Assert(t, refusal != nil, "the call succeeded")
	assert.Equal(t, refusal.Reason, reason, "%v", err)
	assert.Equal(t, refusal.Ran, cfverror.RanUnknown)
	assert.Assert(t, took <= within, "took %s", took)
}

// Failure: an endpoint sends a head that never ends, or interim responses without end, and the request waits
// until its own time limit.
func TestHeadThatNeverEndsEndsTheCall(t *testing.T) {
	tests := map[string]struct {
		answer func(w io.Writer)
		reason cfverror.Reason
		within time.Duration
	}{
		"a head that comes slowly": {reason: cfverror.ReasonEndpointSilent, within: 2 * time.Second, answer: func(w io.Writer) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nX: ")
			dribble(w, "x")
		}},
		"header lines without end": {reason: cfverror.ReasonEndpointSilent, within: 2 * time.Second, answer: func(w io.Writer) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\n")
			dribble(w, "X: x\r\n")
		}},
		"interim responses without end": {reason: cfverror.ReasonEndpointFailed, within: 2 * time.Second, answer: func(w io.Writer) {
			dribble(w, "HTTP/1.1 102 Processing\r\n\r\n")
		}},
		"an interim response and nothing after it": {reason: cfverror.ReasonEndpointSilent, within: 6 * time.Second, answer: func(w io.Writer) {
			_, _ = io.WriteString(w, "HTTP/1.1 102 Processing\r\n\r\n")
		}},
	}
	for name, tt := range tests {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/stream %v", name, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					endpoint := &rawEndpoint{answer: tt.answer}
					defer endpoint.close()
					ctx, cancel := context.WithTimeout(t.Context(), testRequestTimeout)
					defer cancel()
					c := New(Config{Dial: endpoint.dial})
					begin := time.Now()
					var err error
					if stream {
						_, err = c.Stream(ctx, testCall(), testRequestTimeout, cfvstream.New(testRequestID), func(cfvopenai.Response) error { return nil })
					} else {
						_, err = c.Do(ctx, testCall(), testRequestTimeout)
					}
					requireRefusal(t, begin, err, tt.reason, tt.within)
					assert.Equal(t, endpoint.seen, 1, "the request was sent again")
				})
			})
		}
	}
}

// Guards against a limit on heads that ends sound responses which begin late.
func TestHeadThatBeginsLateIsAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := &rawEndpoint{answer: func(w io.Writer) {
			time.Sleep(testRequestTimeout / 2)
			_, _ = io.WriteString(w, "HTTP/1.1 102 Processing\r\n\r\n")
			time.Sleep(4 * time.Second)
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}}
		defer endpoint.close()
		resp, err := New(Config{Dial: endpoint.dial}).Do(t.Context(), testCall(), testRequestTimeout)
		assert.NilError(t, err)
		assert.Equal(t, string(resp.Body), "ok")
	})
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// writeChunk writes text as one chunk of a body.
func writeChunk(w io.Writer, text string) {
	_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(text), text)
}

// writeToken writes the event of one token.
func writeToken(w io.Writer, offset int) {
	writeChunk(w, fmt.Sprintf("data: {\"id\":%q,\"offset\":%d}\n\n", testRequestID, offset))
}

// Failure: a stalled stream that sends a byte now and then never ends, because each byte restarts the idle
// timeout.
func TestBytesThatAreNoEventEndTheStream(t *testing.T) {
	tests := map[string]struct {
		text   string // sent again and again
		tokens int    // sent before
	}{
		"before the first event":    {"x", 0},
		"after an event":            {"x", 3},
		"line breaks":               {"\n", 3},
		"an event that never ends":  {"data: x\n", 3},
		"a comment that never ends": {":\n", 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(w io.Writer) {
					_, _ = io.WriteString(w, streamHead)
					for i := range tt.tokens {
						writeToken(w, i)
					}
					dribble(w, fmt.Sprintf("%x\r\n%s\r\n", len(tt.text), tt.text))
				}}
				defer endpoint.close()
				ctx, cancel := context.WithTimeout(t.Context(), testRequestTimeout)
				defer cancel()
				checker := cfvstream.New(testRequestID)
				begin := time.Now()
				_, err := New(Config{Dial: endpoint.dial}).Stream(ctx, testCall(), testRequestTimeout, checker, func(cfvopenai.Response) error { return nil })
				requireRefusal(t, begin, err, cfverror.ReasonEndpointSilent, testIdleTimeout+time.Second)
				assert.Equal(t, checker.NextOffset(), tt.tokens)
			})
		})
	}
}

// Guards against an idle timeout that cuts slow but sound streams.
func TestSlowStreamIsComplete(t *testing.T) {
	const pause = testIdleTimeout - 50*time.Millisecond
	tests := map[string]func(w io.Writer){
		"events": func(io.Writer) {},
		"comments between events": func(w io.Writer) {
			writeChunk(w, ": wait\n\n")
			time.Sleep(pause)
		},
	}
	for name, between := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(w io.Writer) {
					_, _ = io.WriteString(w, streamHead)
					for i := range 4 {
						time.Sleep(pause)
						between(w)
						writeToken(w, i)
					}
					time.Sleep(pause)
					writeChunk(w, "data: "+cfvopenai.StreamEnd+"\n\n")
				}}
				defer endpoint.close()
				checker := cfvstream.New(testRequestID)
				tokens := 0
				slowCaller := func(cfvopenai.Response) error {
					tokens++
					time.Sleep(2 * testIdleTimeout)
					return nil
				}
				_, err := New(Config{Dial: endpoint.dial}).Stream(t.Context(), testCall(), testRequestTimeout, checker, slowCaller)
				assert.NilError(t, err)
				assert.Equal(t, tokens, 4)
				assert.Assert(t, checker.Ended())
			})
		})
	}
}

// Failure: the body of an error response that comes a byte at a time holds the request until its time limit.
func TestErrorBodyThatNeverEndsEndsTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := &rawEndpoint{answer: func(w io.Writer) {
			_, _ = io.WriteString(w, strings.Replace(streamHead, "200 OK", "503 Full", 1))
			dribble(w, "1\r\nx\r\n")
		}}
		defer endpoint.close()
		ctx, cancel := context.WithTimeout(t.Context(), testRequestTimeout)
		defer cancel()
		begin := time.Now()
		resp, err := New(Config{Dial: endpoint.dial}).Stream(ctx, testCall(), testRequestTimeout, cfvstream.New(testRequestID), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(begin) <= testIdleTimeout, "took %s", time.Since(begin))
	})
}
