package cfvfakenet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const testLatency = 2 * time.Millisecond

// connect returns both ends of a connection.
func connect(t *testing.T, n *Network) (client, server net.Conn) {
	t.Helper()
	l, err := n.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	client, err = n.DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	return client, server
}

func TestDataArrivesInOrderAfterTheLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, New(testLatency))
		begin := time.Now()
		for _, text := range []string{"one ", "two ", "three"} {
			_, err := io.WriteString(client, text)
			assert.NilError(t, err)
		}
		assert.NilError(t, client.Close())
		data, err := io.ReadAll(server)
		assert.NilError(t, err)
		assert.Equal(t, string(data), "one two three")
		assert.Equal(t, time.Since(begin), testLatency)
		_, err = server.Write([]byte("x"))
		assert.ErrorIs(t, err, syscall.EPIPE)
	})
}

func TestWriterWaitsForReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, New(testLatency))
		assert.NilError(t, client.SetWriteDeadline(time.Now().Add(time.Second)))
		n, err := client.Write(make([]byte, 2*maxBuffered))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, n, maxBuffered)
		got, err := io.ReadFull(server, make([]byte, maxBuffered))
		assert.NilError(t, err)
		assert.Equal(t, got, maxBuffered)
		assert.NilError(t, client.SetWriteDeadline(time.Time{}))
		_, err = client.Write([]byte("x"))
		assert.NilError(t, err)
	})
}

func TestReadDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connect(t, New(testLatency))
		begin := time.Now()
		assert.NilError(t, server.SetReadDeadline(begin.Add(time.Second)))
		_, err := server.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(begin), time.Second)
		assert.NilError(t, server.SetReadDeadline(time.Time{}))
		go func() { _ = client.Close() }()
		_, err = server.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	})
}

func TestClosedListenerRefusesConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(testLatency)
		l, err := n.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		_, err = n.Listen("tcp", l.Addr().String())
		assert.ErrorIs(t, err, syscall.EADDRINUSE)
		n.Close()
		_, err = l.Accept()
		assert.ErrorIs(t, err, net.ErrClosed)
		_, err = n.DialContext(t.Context(), "tcp", l.Addr().String())
		var op *net.OpError
		assert.Assert(t, errors.As(err, &op) && op.Op == "dial", "%v", err)
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = n.DialContext(ctx, "tcp", l.Addr().String())
		assert.ErrorIs(t, err, context.Canceled)
	})
}

func TestLatencyOfOneAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(testLatency)
		client, server := connect(t, n)
		n.SetLatency(server.LocalAddr().String(), time.Second)
		begin := time.Now()
		_, err := server.Write([]byte("x"))
		assert.NilError(t, err)
		_, err = client.Read(make([]byte, 1))
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begin), time.Second)
	})
}
