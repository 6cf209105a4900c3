package cfvsoak

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mode is what a proxy does to its connections.
type mode int

const (
	pass    mode = iota
	delayed      // each piece comes late
	silent       // nothing passes either way, and nothing ends
	oneWay       // answers do not come back
	reset        // connections are reset
)

func (m mode) String() string {
	return [...]string{"pass", "delayed", "silent", "oneWay", "reset"}[m]
}

// proxy is a loopback proxy that harms what passes through it.
type proxy struct {
	listener net.Listener
	to       string
	mu       sync.Mutex
	mode     mode
	conns    map[*net.TCPConn]bool
}

func newProxy(t *testing.T, to string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &proxy{listener: l, to: to, conns: make(map[*net.TCPConn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.resetAll()
	})
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes the mode. A change to reset also ends all open connections; connections that
// were silent stay so, as behind a table that has lost track of them.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == reset {
		p.resetAll()
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0) // the close resets
		_ = c.Close()
	}
	p.conns = make(map[*net.TCPConn]bool)
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c.(*net.TCPConn)] = true
}

func (p *proxy) drop(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c.(*net.TCPConn))
	p.mu.Unlock()
	_ = c.Close()
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(in)
	}
}

func (p *proxy) serve(in net.Conn) {
	p.keep(in)
	defer p.drop(in)
	if p.now() == reset {
		_ = in.(*net.TCPConn).SetLinger(0)
		return
	}
	out, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		return
	}
	p.keep(out)
	defer p.drop(out)
	done := make(chan struct{}, 2)
	go func() { p.copy(out, in, false); done <- struct{}{} }()
	go func() { p.copy(in, out, true); done <- struct{}{} }()
	<-done
}

// copy passes bytes on until either end closes. A connection that met silence stays silent.
func (p *proxy) copy(to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	stuck := false
	for {
		n, err := from.Read(buf)
		if n > 0 {
			switch m := p.now(); {
			case m == silent || m == oneWay && back:
				stuck = true
			case m == delayed:
				time.Sleep(40 * time.Millisecond)
			}
			if !stuck {
				if _, err := to.Write(buf[:n]); err != nil {
					return
				}
			}
		}
		if err != nil {
			if stuck && err == io.EOF {
				time.Sleep(2 * time.Second) // the end is lost as well, for a while
			}
			return
		}
	}
}
