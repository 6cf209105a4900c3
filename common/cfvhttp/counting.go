package cfvhttp

import (
	"context"
	"net"
	"sync/atomic"
)

// Traffic counts the bytes that are read and written on a set of connections.
type Traffic struct {
	read, written atomic.Int64
}

// BytesRead returns the number of bytes read so far.
func (t *Traffic) BytesRead() int64 { return t.read.Load() }

// BytesWritten returns the number of bytes written so far.
func (t *Traffic) BytesWritten() int64 { return t.written.Load() }

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.written.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.traffic}, nil
}

// Listener returns a listener that counts the bytes of its connections.
func (t *Traffic) Listener(l net.Listener) net.Listener {
	return countingListener{l, t}
}

// Dial returns a dial function that counts the bytes of its connections.
func (t *Traffic) Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, t}, nil
	}
}
