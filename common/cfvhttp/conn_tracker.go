package cfvhttp

import (
	"net"
	"net/http"
	"sync"
)

// ConnTracker knows how far the requests on the connections of an HTTP server are. It is safe for concurrent use.
type ConnTracker struct {
	onUnanswered func(UnansweredRequest)
}

// UnansweredRequest describes a request of which bytes were read, and whose connection the server closed without any response.
type UnansweredRequest struct {
	Caller string         // address
	Bytes  int            // that were read, of the head and the body
	State  http.ConnState // active: the head was complete
}

// NewConnTracker returns a tracker. It calls onUnanswered for each request that gets no response.
func NewConnTracker(onUnanswered func(UnansweredRequest)) *ConnTracker {
	return &ConnTracker{onUnanswered: onUnanswered}
}

// Listener returns a listener whose connections are tracked.
func (t *ConnTracker) Listener(l net.Listener) net.Listener { return trackedListener{l, t} }

// ConnState follows the server's state of a connection.
func (t *ConnTracker) ConnState(c net.Conn, state http.ConnState) {
	for {
		if tracked, ok := c.(*trackedConn); ok {
			tracked.setState(state)
			return
		}
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		c = wrapped.NetConn()
	}
}

// trackedListener accepts tracked connections.
type trackedListener struct {
	net.Listener
	tracker *ConnTracker
}

// Accept accepts a connection.
func (l trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: c, tracker: l.tracker}, nil
}

// trackedConn is a connection of a caller.
type trackedConn struct {
	net.Conn
	tracker *ConnTracker

	mu       sync.Mutex
	state    http.ConnState
	received int  // bytes of the present request
	ahead    int  // bytes of the next request
	answered bool // bytes of the response were written
	closed   bool
}

// Read reads from the connection.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateActive && len(p) == 1 {
		c.ahead += n // while a request runs, the server reads single bytes to notice that the caller leaves
	} else {
		c.received += n
	}
	return n, err
}

// Write writes to the connection.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
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
	return err
}

// setState follows the server's state of the connection.
func (c *trackedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if state == http.StateIdle {
		c.received, c.ahead, c.answered = c.ahead, 0, false
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
