package cfvhttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// ConnTracker knows how far the requests on the connections of an HTTP server are, and ends the connections without losing a
// request that has been read. http.Server.Shutdown loses some: it closes connections whose head was read and not parsed yet, and
// drops what it reads from then on. ConnTracker is safe for concurrent use.
type ConnTracker struct {
	onUnanswered func(UnansweredRequest)

	mu        sync.Mutex
	conns     map[*trackedConn]struct{}
	accepting int // listeners that are not closed
	ending    bool
	none      chan struct{} // closed when there are no connections while ending, and there can't be further ones
}

// UnansweredRequest describes a request of which bytes were read, and whose connection the server closed without any response.
type UnansweredRequest struct {
	Caller string         // address
	Bytes  int            // that were read, of the head and the body
	State  http.ConnState // new or idle: the server had not parsed the head
}

// Times for which a connection that is being ended may still receive a request.
const (
	lastIdleWait = 50 * time.Millisecond
	lastNewWait  = 500 * time.Millisecond // of a connection without a request so far; callers open connections to send one
	lastHeadWait = 2 * time.Second        // once a part of the head has arrived
)

// NewConnTracker returns a tracker. It calls onUnanswered for each request that gets no response.
func NewConnTracker(onUnanswered func(UnansweredRequest)) *ConnTracker {
	return &ConnTracker{onUnanswered: onUnanswered, conns: make(map[*trackedConn]struct{}), none: make(chan struct{})}
}

// Listener returns a listener whose connections are tracked.
func (t *ConnTracker) Listener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepting++
	return &trackedListener{Listener: l, tracker: t}
}

// ConnState follows the server's state of a connection.
func (t *ConnTracker) ConnState(c net.Conn, state http.ConnState) {
	if tracked := trackedBelow(c); tracked != nil {
		tracked.setState(state)
	}
}

// trackedBelow returns the tracked connection that c wraps; nil if there is none.
func trackedBelow(c net.Conn) *trackedConn {
	for {
		if tracked, ok := c.(*trackedConn); ok {
			return tracked
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapped.NetConn()
	}
}

// Drain ends each connection as soon as no request is on it, and waits until none is left or ctx ends. The listeners must be
// closed before; it also waits for connections that they are accepting. Responses should tell callers that the connection closes.
func (t *ConnTracker) Drain(ctx context.Context) error {
	t.mu.Lock()
	if !t.ending {
		t.ending = true
		t.checkNone()
	}
	for c := range t.conns {
		c.end()
	}
	t.mu.Unlock()
	select {
	case <-t.none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// add adds a connection.
func (t *ConnTracker) add(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	if t.ending {
		c.end()
	}
}

// remove removes a connection that was closed.
func (t *ConnTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.conns[c]; ok {
		delete(t.conns, c)
		t.checkNone()
	}
}

// stopAccepting records that a listener is closed and accepts nothing more.
func (t *ConnTracker) stopAccepting() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.accepting--
	t.checkNone()
}

// checkNone wakes Drain if no connection is left. The caller must hold t.mu.
func (t *ConnTracker) checkNone() {
	if t.ending && t.accepting == 0 && len(t.conns) == 0 {
		select {
		case <-t.none:
		default:
			close(t.none)
		}
	}
}

// trackedListener accepts tracked connections.
type trackedListener struct {
	net.Listener
	tracker *ConnTracker
	ended   sync.Once // when it accepts nothing more
	closed  sync.Once
	err     error // of the first Close
}

// Accept accepts a connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.ended.Do(l.tracker.stopAccepting)
	}
	if err != nil {
		return nil, err
	}
	tracked := &trackedConn{Conn: c, tracker: l.tracker}
	l.tracker.add(tracked)
	return tracked, nil
}

// Close closes the listener. The server closes it as well, after Drain.
func (l *trackedListener) Close() error {
	l.closed.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// trackedConn is a connection of a caller. It is ended by a deadline for its next read and closed by the goroutine that reads it,
// so that no request is lost between its read and the close.
type trackedConn struct {
	net.Conn
	tracker *ConnTracker

	mu       sync.Mutex
	state    http.ConnState
	received int       // bytes of the present request
	ahead    int       // bytes of the next request
	answered bool      // bytes of the response were written
	ending   bool      // the connection ends while no request is on it
	lastWait bool      // the last wait for a request has begun
	endsHead bool      // no further byte of a head is read
	refused  bool      // the present request was refused, and nothing more is written
	deadline time.Time // of reads, as the server wants it
	closed   bool
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// Read reads from the connection. It refuses a request of which only a part has arrived when the connection must end.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.beginLastWait() {
		n, err = c.Conn.Read(p) // a request may have arrived that was not read yet
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.endsInHead() {
		c.refuse()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err} // the server closes the connection after this type of error
	}
	c.recordRead(n, len(p))
	return n, err
}

// endsInHead reports whether the connection is being ended while a part of a head was read.
func (c *trackedConn) endsInHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending && c.state != http.StateActive && c.received > 0
}

// refusal is the response to a request that was not read as a whole, or for whose head there is no memory. It has not run.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// Limits on the rest of a request that was refused.
const (
	refusalLinger    = 500 * time.Millisecond
	maxRefusedToRead = 64 << 10 // bytes
)

// RefuseRequest refuses the request that is being read from a connection of a server as not run. The server must then get an error
// from its read. The rest of the request is read for a while, since the caller might not get the refusal otherwise.
func RefuseRequest(c net.Conn) {
	if tracked := trackedBelow(c); tracked != nil {
		tracked.refuse()
	}
}

// refuse refuses the request that is being read. Nothing that the server writes follows.
func (c *trackedConn) refuse() {
	c.mu.Lock()
	again := c.refused
	c.refused, c.answered = true, true
	c.mu.Unlock()
	if again {
		return
	}
	deadline := time.Now().Add(refusalLinger)
	_ = c.Conn.SetWriteDeadline(deadline)
	if _, err := io.WriteString(c.Conn, refusal); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(deadline)
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, maxRefusedToRead))
}

// beginLastWait reports whether the connection is being ended and has not waited for a last request yet. It sets the deadline of
// that wait.
func (c *trackedConn) beginLastWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending || c.endsHead || c.lastWait || c.state == http.StateActive || c.received > 0 {
		return false
	}
	c.lastWait = true
	wait := lastIdleWait
	if c.state == http.StateNew {
		wait = lastNewWait
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(wait))
	return true
}

// recordRead records that n bytes were read into a buffer of the given size.
func (c *trackedConn) recordRead(n, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateActive && size == 1 {
		c.ahead += n // while a request runs, the server reads single bytes to notice that the caller leaves
		return
	}
	begins := c.ending && c.received == 0 && n > 0
	c.received += n
	if begins {
		_ = c.limitReads()
	}
}

// SetReadDeadline sets the deadline of reads, which is earlier while the connection is being ended.
func (c *trackedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.limitReads()
}

// limitReads sets the deadline of reads. The caller must hold c.mu.
func (c *trackedConn) limitReads() error {
	at := c.deadline
	switch {
	case !c.ending || c.state == http.StateActive:
	case c.endsHead:
		at = pastDeadline
	case c.received > 0:
		if latest := time.Now().Add(lastHeadWait); at.IsZero() || latest.Before(at) {
			at = latest
		}
	case c.lastWait:
		return nil
	default:
		at = pastDeadline
	}
	return c.Conn.SetReadDeadline(at)
}

// end ends the connection as soon as no request is on it.
func (c *trackedConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ending {
		c.ending = true
		_ = c.limitReads()
	}
}

// endHead ends the connection even if a part of a head was read. A request whose head is complete is answered.
func (c *trackedConn) endHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending, c.endsHead = true, true
	_ = c.limitReads()
}

// Write writes to the connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	refused := c.refused
	c.answered = true
	c.mu.Unlock()
	if refused {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	unanswered := !c.closed && c.received > 0 && !c.answered
	request := UnansweredRequest{Caller: c.RemoteAddr().String(), Bytes: c.received, State: c.state}
	c.closed = true
	c.mu.Unlock()
	if unanswered {
		c.tracker.onUnanswered(request)
	}
	c.tracker.remove(c)
	return err
}

// setState follows the server's state of the connection.
func (c *trackedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	switch state {
	case http.StateActive:
		if c.ending {
			_ = c.limitReads() // the body has other deadlines than the head
		}
	case http.StateIdle:
		c.received, c.ahead, c.answered, c.lastWait = c.ahead, 0, false, false
	}
}

// NetConn returns the connection below.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// CloseWrite tells the caller that nothing more follows. The server calls it before it closes a connection of which it has
// not read everything.
func (c *trackedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}
