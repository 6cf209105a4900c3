package cfventry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a failure reported by operators of similar systems: an endpoint stopped in the middle of the head of its
// response and closed the connection, and the caller got a 200 with an empty or short body that looked complete.
func TestResponseThatIsCutNeverLooksComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r\r\nStamp: s\r\n"
	const plainBody, streamBody = "the whole body", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	tests := map[string]struct {
		path, response, body string
		openEnd              int // length from which a cut is the end of the response; 0: it is never
	}{
		"length":              {path: "/book/", response: head + "Content-Length: 14\r\n\r\n" + plainBody, body: plainBody},
		"length, safe":        {path: "/look/", response: head + "Content-Length: 14\r\n\r\n" + plainBody, body: plainBody},
		"chunks":              {path: "/book/", response: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nthe w\r\n9\r\nhole body\r\n0\r\n\r\n", body: plainBody},
		"interim response":    {path: "/book/", response: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + "Content-Length: 14\r\n\r\n" + plainBody, body: plainBody},
		"bare line feeds":     {path: "/book/", response: "HTTP/1.1 200 OK\nId: r\nStamp: s\nContent-Length: 14\n\n" + plainBody, body: plainBody},
		"until the close":     {path: "/book/", response: head + "\r\n" + plainBody, body: plainBody, openEnd: len(head) + 2},
		"stream, length":      {path: "/ask/", response: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(streamBody)) + streamBody, body: streamBody},
		"stream, chunks":      {path: "/ask/", response: head + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", body: streamBody},
		"stream, until close": {path: "/ask/", response: head + "\r\n" + streamBody, body: streamBody, openEnd: len(head) + 2},
	}
	for name, tt := range tests {
		for _, reused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reused connection %v", name, reused), func(t *testing.T) {
				for length := range len(tt.response) + 1 {
					synctest.Test(t, func(t *testing.T) {
						endpoint := &rawEndpoint{answer: func(w io.Writer, id string, _ int) {
							if id != "r" {
								_, _ = fmt.Fprintf(w, wholeAnswer, id)
								return
							}
							_, _ = io.WriteString(w, tt.response[:length])
							_ = w.(net.Conn).Close()
						}}
						defer endpoint.close()
						e := newRawEntry(endpoint)
						defer e.connPools.retain(nil)
						if reused {
							assert.Equal(t, ask(e, "/book/", "first").Code, http.StatusOK)
						}
						got := ask(e, tt.path, "r")
						whole := got.Code == http.StatusOK
						complete := got.Body.String() == tt.body
						ended := tt.openEnd > 0 && length >= tt.openEnd // the caller can't tell, nor can the entry
						assert.Assert(t, !whole || complete || ended, "cut after %d of %d bytes: %d %q", length, len(tt.response), got.Code, got.Body)
						assert.Assert(t, length < len(tt.response) || whole && complete, "the whole response: %d %q", got.Code, got.Body)
						assert.Assert(t, got.Code == 0 || whole || got.Code == http.StatusBadGateway, "cut after %d bytes: %d", length, got.Code)
					})
				}
			})
		}
	}
}

// Guards against a success that no endpoint sent: a caller that closed its sending side while its request ran got an empty 200.
func TestCallerThatHalfClosesGetsNoSuccess(t *testing.T) {
	const latency = 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		endpoint := &rawEndpoint{answer: func(w io.Writer, id string, _ int) {
			time.Sleep(time.Second)
			_, _ = fmt.Fprintf(w, wholeAnswer, id)
		}}
		defer endpoint.close()
		ctx, cancel := context.WithCancel(t.Context())
		e, callers := startStopTest(ctx, t, endpoint)
		near, far := net.Pipe()
		callers.conns <- &halfClosedConn{Conn: far, at: time.Now().Add(latency)}
		_, err := io.WriteString(near, "GET /book/1 HTTP/1.1\r\nHost: h\r\nId: r\r\n\r\n")
		assert.NilError(t, err)
		got, _ := io.ReadAll(near)
		assert.Equal(t, string(got), "")
		_ = near.Close()
		assert.Check(t, e.Stop(ctx))
		cancel()
		e.connPools.retain(nil)
		time.Sleep(time.Minute) // lets the endpoint end
	})
}

// halfClosedConn is a connection whose caller closes its sending side at a time.
type halfClosedConn struct {
	net.Conn
	at time.Time
}

func (c *halfClosedConn) Read(p []byte) (int, error) {
	if len(p) > 1 {
		return c.Conn.Read(p)
	}
	time.Sleep(time.Until(c.at))
	return 0, io.EOF
}
