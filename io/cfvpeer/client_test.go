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

// middle forwards connections and can lose track of those that are open, while new ones
// work.
type middle struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is one forwarded connection.
type link struct {
	mu   sync.Mutex
	lost bool
}

func (l *link) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func newMiddle(t *testing.T, target string) *middle {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := &middle{listener: listener, target: target}
	t.Cleanup(func() { listener.Close() })
	go m.accept()
	return m
}

func (m *middle) accept() {
	for {
		in, err := m.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", m.target)
		if err != nil {
			in.Close()
			continue
		}
		l := &link{}
		m.mu.Lock()
		m.links = append(m.links, l)
		m.mu.Unlock()
		go l.pump(in, out)
		go l.pump(out, in)
	}
}

// pump forwards one way; once the link is lost, what comes is dropped in silence.
func (l *link) pump(to io.Writer, from io.Reader) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if l.isLost() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// lose makes every open connection silent for good.
func (m *middle) lose() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.mu.Lock()
		l.lost = true
		l.mu.Unlock()
	}
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Protocols: new(http.Protocols), Handler: NewHandler(Handlers{
		Probe: func(Probe) ProbeReply { return ProbeReply{Name: "n", Answered: true} },
	})}
	server.Protocols.SetUnencryptedHTTP2(true)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	m := newMiddle(t, listener.Addr().String())
	client := NewClient(ClientConfig{})
	probe := func(within time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		_, err := client.Probe(ctx, m.listener.Addr().String(), Probe{From: cfvmember.Member{Name: "x"}})
		return err
	}
	assert.NilError(t, probe(10*time.Second))
	m.lose()
	for range maxTimeouts {
		assert.Assert(t, probe(50*time.Millisecond) != nil)
	}
	assert.NilError(t, probe(10*time.Second))
}
