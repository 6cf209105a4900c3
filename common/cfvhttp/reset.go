package cfvhttp

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// resetWait is how long a write may still take after the other end has closed the connection.
const resetWait = 100 * time.Millisecond

// resetConn is a client's connection whose reads fail if writes do. Linux reports a reset once: if a write in progress gets the
// error, reads return io.EOF, and a response that lasts until the connection is closed would look complete.
type resetConn struct {
	net.Conn
	writing chan struct{} // holds an item during a write
	failed  bool          // a write failed; guarded by writing
}

// ReportResets returns a connection on which a response that ends with a reset is not taken for a complete one.
func ReportResets(c net.Conn) net.Conn {
	return &resetConn{Conn: c, writing: make(chan struct{}, 1)}
}

// Read reads from the connection.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.writeFailed() {
		err = &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// writeFailed reports whether a write failed. It waits for a write in progress, which fails if the other end doesn't read it.
func (c *resetConn) writeFailed() bool {
	_ = c.SetWriteDeadline(time.Now().Add(resetWait)) // fails only if the connection is closed
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	return c.failed
}

// Write writes to the connection.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
}
