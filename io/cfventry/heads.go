package cfventry

import (
	"net"
	"net/http"
	"sync"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvlimit"
)

// headMemoryFactor is the memory that the server needs for a byte of a head. 150 heads of 60 KiB with short lines took
// 60 MB, which is 6.8 for each byte.
const headMemoryFactor = 7

// headListener accepts connections whose heads are reserved in a budget.
type headListener struct {
	net.Listener
	budget *cfvlimit.ByteBudget
	onFull func() // called for each request that is refused
}

// Accept accepts a connection.
func (l headListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: c, budget: l.budget, onFull: l.onFull, reading: true}, nil
}

// headConn reserves the memory for the head of each request while it is read and until the request has ended. Without room
// it refuses the request and its reads fail, so that the server closes it.
type headConn struct {
	net.Conn
	budget *cfvlimit.ByteBudget
	onFull func()

	mu       sync.Mutex
	reading  bool // the next bytes belong to a head
	reserved int64
}

// Read reads from the connection.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.reserve(int64(n)*headMemoryFactor) {
		c.onFull()
		cfvhttp.RefuseRequest(c.Conn)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom} // the server closes the connection after this type of error
	}
	return n, err
}

// reserve reserves memory if a head is being read. It reports whether there was room.
func (c *headConn) reserve(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return true
	}
	if !c.budget.Reserve(c.reserved, n) {
		return false
	}
	c.reserved += n
	return true
}

// setState follows the server's state of the connection.
func (c *headConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateActive {
		c.reading = false
		return
	}
	c.budget.Release(c.reserved)
	c.reserved, c.reading = 0, state != http.StateClosed
}

// NetConn returns the connection below.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// CloseWrite tells the caller that nothing more follows. The server calls it before it closes a connection of which it has
// not read everything.
func (c *headConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// callerConnState returns the hook of the server for callers, which calls the given ones as well.
func callerConnState(hooks ...func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(c net.Conn, state http.ConnState) {
		if h, ok := c.(*headConn); ok {
			h.setState(state)
		}
		for _, hook := range hooks {
			hook(c, state)
		}
	}
}
