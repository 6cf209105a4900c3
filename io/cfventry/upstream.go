package cfventry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootvalve/core/cfvfleet"

	"golang.org/x/sys/unix"
)

// Figures of connections to endpoints.
const (
	dialTimeout    = 400 * time.Millisecond
	ackTimeout     = 2 * time.Second        // unacknowledged bytes break a connection, so that a silent one is noticed
	idleTimeout    = 4 * time.Second        // until an endpoint has said how long it keeps idle connections
	idleMargin     = 500 * time.Millisecond // a connection is closed this long before the endpoint would
	headerLimit    = 64 << 10
	connShare      = 0.8 // of what an endpoint accepts from all entries
	leastConns     = 4
	bufferedReader = 8 << 10
)

// upstreams keeps one set of connections for each start of an endpoint.
type upstreams struct {
	mu    sync.Mutex
	byID  map[string]*upstream
	dials func() // counts new connections
}

// upstream is the connections to one endpoint.
type upstream struct {
	inc       cfvfleet.Incarnation
	addr      string
	transport *http.Transport
	keep      time.Duration
}

func newUpstreams(dials func()) *upstreams {
	return &upstreams{byID: make(map[string]*upstream), dials: dials}
}

// to returns the connections to an endpoint. Keep is how long endpoints of its service
// keep idle connections; 0: they have not said.
func (u *upstreams) to(e *cfvfleet.Endpoint, conns int, keep time.Duration) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	have := u.byID[e.ID]
	if have != nil && have.inc == e.Incarnation() && have.addr == e.Addr && have.keep == keep {
		return have
	}
	if have != nil {
		have.transport.CloseIdleConnections()
	}
	up := &upstream{inc: e.Incarnation(), addr: e.Addr, keep: keep, transport: u.transport(conns, keep)}
	u.byID[e.ID] = up
	return up
}

func (u *upstreams) transport(conns int, keep time.Duration) *http.Transport {
	idle := idleTimeout
	if keep > 0 {
		idle = max(keep-idleMargin, keep/2)
	}
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: breakWhenUnacknowledged}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			u.dials()
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns, IdleConnTimeout: idle, DisableCompression: true,
		MaxResponseHeaderBytes: headerLimit, ReadBufferSize: bufferedReader, WriteBufferSize: bufferedReader,
	}
}

// breakWhenUnacknowledged makes a connection fail whose bytes nobody acknowledges.
func breakWhenUnacknowledged(_, _ string, c syscall.RawConn) (err error) {
	ctrl := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if ctrl != nil {
		return ctrl
	}
	return err
}

// drop closes the idle connections to an endpoint, which may have gone silent.
func (u *upstreams) drop(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if up := u.byID[id]; up != nil {
		up.transport.CloseIdleConnections()
	}
}

// keepOnly closes the connections to all endpoints but the given ones.
func (u *upstreams) keepOnly(endpoints []*cfvfleet.Endpoint) {
	keep := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		keep[e.ID] = true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, up := range u.byID {
		if !keep[id] {
			up.transport.CloseIdleConnections()
			delete(u.byID, id)
		}
	}
}

// countedConn counts writes, so that a request of which no byte left can be told from one
// that may have run.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write writes to the connection. A write counts from its begin, since a cancelled request
// may still be in it, and no longer if it failed before its first byte.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// sending watches whether a request's bytes have left.
type sending struct {
	mu     sync.Mutex
	conn   *countedConn
	before int64
	reused bool
}

// trace returns a context that follows the request.
func (s *sending) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*countedConn)
		if !ok {
			return
		}
		s.mu.Lock()
		s.conn, s.before, s.reused = c, c.writes.Load(), info.Reused
		s.mu.Unlock()
	}})
}

// left reports whether any byte of the request may have left.
func (s *sending) left() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.conn.writes.Load() > s.before
}
