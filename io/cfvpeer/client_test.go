package cfvpeer

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"coltsfootvalve/core/cfvmember"

	"gotest.tools/v3/assert"
)

// proxy forwards TCP connections. It can drop all data on the open connections, like a
// NAT device that has lost its connection table, while new connections work.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections []*connection
}

// connection is one forwarded connection.
type connection struct {
	mu   sync.Mutex
	lost bool
}

func (c *connection) isLost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}

func newProxy(t *testing.T, target string) *proxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: listener, target: target}
	t.Cleanup(func() { listener.Close() })
	go p.accept()
	return p
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.target)
		if err != nil {
			in.Close()
			continue
		}
		c := &connection{}
		p.mu.Lock()
		p.connections = append(p.connections, c)
		p.mu.Unlock()
		go c.forward(in, out)
		go c.forward(out, in)
	}
}

// forward copies data in one direction. Once the connection is lost, the data is dropped and the
// connection stays open.
func (c *connection) forward(to io.Writer, from io.Reader) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if c.isLost() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// loseConnections makes every open connection drop all data from now on.
func (p *proxy) loseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.connections {
		c.mu.Lock()
		c.lost = true
		c.mu.Unlock()
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Protocols: new(http.Protocols), Handler: NewHandler(Handlers{
		Probe: func(Probe) ProbeReply { return ProbeReply{Name: "n", Responded: true} },
	})}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	p := newProxy(t, listener.Addr().String())
	client := NewClient(ClientConfig{})
	probe := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		_, err := client.Probe(ctx, p.listener.Addr().String(), Probe{From: cfvmember.Member{Name: "x"}})
		return err
	}
	assert.NilError(t, probe(10*time.Second))
	p.loseConnections()
	for range maxConsecutiveTimeouts {
		assert.Assert(t, probe(50*time.Millisecond) != nil)
	}
	assert.NilError(t, probe(10*time.Second))
}
