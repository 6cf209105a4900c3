package cfventry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvdispatch"

	"gotest.tools/v3/assert"
)

// listenInMemory starts the servers of an entry, and returns the listener for callers.
func listenInMemory(ctx context.Context, t *testing.T, e *Entry) *pipeListener {
	callers := newPipeListener()
	e.cfg.PeerLoads = func() (map[string]cfvdispatch.Load, map[string]cfvdispatch.Demand) { return nil, nil }
	e.cfg.CallerAddr, e.cfg.ReadyAddr = "callers", "ready"
	e.cfg.Listen = func(_, addr string) (net.Listener, error) {
		if addr == "callers" {
			return callers, nil
		}
		return newPipeListener(), nil
	}
	assert.NilError(t, e.Start(ctx))
	return callers
}

// panickingWriter panics at each line that contains the text.
type panickingWriter string

func (w panickingWriter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(w)) {
		panic("a fault")
	}
	return len(line), nil
}

// Guards against callers without an answer: a panic in a handler closed the connection, and neither a log line nor a metric told of it.
func TestCallerIsAnsweredAfterAPanic(t *testing.T) {
	tests := map[string]struct {
		panicsAt string // the line of the log at which the handler panics
		abort    bool   // it panics with http.ErrAbortHandler
		sent     bool   // a part of the response has been sent by then
		panics   int
	}{
		"before the response": {panicsAt: "does not come from the endpoint", panics: 1},
		"after its start":     {panicsAt: "a request was answered", sent: true, panics: 1},
		"an aborted stream":   {abort: true, sent: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &rawEndpoint{answer: func(w io.Writer, id string, _ int) {
					switch {
					case !tt.sent:
						_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 2\r\n\r\nok") // without stamp
					case tt.abort:
						_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nContent-Length: 90\r\n\r\nid: 1\n\n", id)
						_ = w.(io.Closer).Close()
					default:
						_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n", id)
					}
				}}
				e := newRawEntry(endpoint)
				e.cfg.Log, e.cfg.LogSuccessEvery = cfvlog.New(panickingWriter(tt.panicsAt), "entry"), 1
				if tt.abort {
					e.cfg.Log = cfvlog.Discard()
				}
				ctx, cancel := context.WithCancel(t.Context())
				callers := listenInMemory(ctx, t, e)
				conn := callers.dial()
				go func() { _, _ = io.WriteString(conn, "GET /ask/ HTTP/1.1\r\nHost: h\r\nId: r\r\n\r\n") }()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err, "the connection was closed without an answer")
				body, bodyErr := io.ReadAll(resp.Body)
				_ = conn.Close()
				endpoint.close()
				cancel()
				_ = e.callerServer.Close()
				_ = e.readyServer.Close()
				e.connPools.retain(nil)
				time.Sleep(time.Minute) // lets the endpoint end
				if tt.sent {
					assert.Equal(t, resp.StatusCode, http.StatusOK)
					assert.ErrorIs(t, bodyErr, io.ErrUnexpectedEOF, "%q looks complete", body)
				} else {
					assert.NilError(t, bodyErr)
					assert.Equal(t, resp.StatusCode, http.StatusInternalServerError)
					assert.Equal(t, resp.Header.Get(testRequestID), "")
				}
				assert.Equal(t, e.running.Load(), int64(0))
				found := slices.ContainsFunc(e.cfg.Metrics.Samples(), func(s cfvmetric.Sample) bool { return s.Name == "callers.panics" && s.Value == 1 })
				assert.Equal(t, found, tt.panics == 1)
			})
		})
	}
}
