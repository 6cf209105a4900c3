package cfventry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"coltsfootvalve/common/cfvhttp"
	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"

	"golang.org/x/sys/unix"
)

// Timeouts and limits of connections to endpoints.
const (
	dialTimeout = 400 * time.Millisecond
	// A connection fails if sent bytes stay unacknowledged for longer. It also ends at the first keep-alive probe that is due so long
	// after the last packet, whatever the count, if the one before was lost: an endpoint may be silent for two seconds.
	ackTimeout             = 3500 * time.Millisecond
	keepAliveIdle          = time.Second // probes show that an endpoint vanished while a response is awaited
	keepAliveInterval      = time.Second // the kernel counts it in seconds
	keepAliveCount         = 2
	defaultIdleTimeout     = 4 * time.Second        // used until an endpoint announces how long it keeps idle connections
	idleMargin             = 500 * time.Millisecond // the entry closes an idle connection this much earlier than the endpoint
	maxResponseHeaderBytes = 64 << 10
	connShare              = 0.8 // share of the connections that an endpoint accepts which all entries together use
	minConns               = 4
	readBufferSize         = 4 << 10 // a usual head of a response fits, and is not reserved
	writeBufferSize        = 8 << 10
)

// connPools holds a connection pool for each incarnation of an endpoint.
type connPools struct {
	mu     sync.Mutex
	byID   map[string]*connPool
	onDial func() // counts new connections
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	now    func() time.Duration
	budget *cfvlimit.ByteBudget // for heads of responses
	// onIdleEnd is called when an endpoint closes a connection that is not in use sooner than it keeps idle ones. It must not block.
	onIdleEnd func(cfvfleet.Incarnation)
	onDialEnd func(id string, err error) // called with the result of each dial to an endpoint; nil: not called
}

// connPool is the connection pool of one endpoint.
type connPool struct {
	incarnation cfvfleet.Incarnation
	addr        string
	transport   *http.Transport
	keepAlive   time.Duration
	single      func() *http.Transport // makes the transport of unshared once
	inUse       chan struct{}          // holds an item for each attempt that uses a connection
}

// acquire waits until fewer attempts than the endpoint's connections use one, and reports whether it had to wait. Attempts don't
// wait in the transport: it would send them as soon as the connections before them break, whatever was learned of the endpoint
// meanwhile.
func (p *connPool) acquire(ctx context.Context) (waited bool, err error) {
	select {
	case p.inUse <- struct{}{}:
		return false, nil
	default:
	}
	select {
	case p.inUse <- struct{}{}:
		return true, nil
	case <-ctx.Done():
		return true, ctx.Err()
	}
}

// release ends the use of a connection.
func (p *connPool) release() { <-p.inUse }

// releasingBody is the body of a response that ends the use of its connection at its end. Its caller may take longer to get it.
type releasingBody struct {
	io.ReadCloser
	release func()
}

// Read reads from the body.
func (b *releasingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release()
	}
	return n, err
}

// Close closes the body.
func (b *releasingBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}

// errBecameCold is the error of an attempt that was not sent because its endpoint became cold while it waited.
var errBecameCold = errors.New("the endpoint became cold")

// sendInTurn sends the request once a connection to its endpoint is free, unless the endpoint has become cold by then.
func (q *request) sendInTurn(ctx context.Context, pool *connPool, choice cfvdispatch.Choice, opts cfvcall.ForwardOptions) (*http.Response, error) {
	waited, err := pool.acquire(ctx)
	if err != nil {
		return nil, err
	}
	release := sync.OnceFunc(pool.release)
	if waited && q.becameCold(choice) {
		release()
		return nil, errBecameCold
	}
	resp, err := q.send(ctx, pool, opts)
	if err != nil {
		release()
		return nil, err
	}
	resp.Body = &releasingBody{ReadCloser: resp.Body, release: release}
	return resp, nil
}

// unshared returns a transport that makes a connection for each request. A repeated response on a kept connection has
// the id of the request before, and can't be told from the response to the same request.
func (p *connPool) unshared() *http.Transport { return p.single() }

// newConnPools returns empty pools. If dial is nil, connections are made over TCP.
func newConnPools(now func() time.Duration, onDial func(), onIdleEnd func(cfvfleet.Incarnation), dial func(ctx context.Context, network, addr string) (net.Conn, error), budget *cfvlimit.ByteBudget) *connPools {
	if dial == nil {
		dialer := &net.Dialer{
			Timeout: dialTimeout, Control: setUserTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		}
		dial = dialer.DialContext
	}
	return &connPools{byID: make(map[string]*connPool), now: now, onDial: onDial, onIdleEnd: onIdleEnd, dial: dial, budget: budget}
}

// get returns the connection pool of an endpoint. It replaces a pool that was made for another
// incarnation, address or keepAlive, which is how long the endpoint keeps idle connections; 0
// means not reported.
func (p *connPools) get(e *cfvfleet.Endpoint, conns int, keepAlive time.Duration) *connPool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.byID[e.ID]
	if current != nil && current.incarnation == e.Incarnation() && current.addr == e.Addr && current.keepAlive == keepAlive {
		return current
	}
	if current != nil {
		current.transport.CloseIdleConnections()
	}
	pool := &connPool{incarnation: e.Incarnation(), addr: e.Addr, keepAlive: keepAlive, transport: p.newTransport(e.Incarnation(), conns, keepAlive), inUse: make(chan struct{}, conns)}
	pool.single = sync.OnceValue(func() *http.Transport {
		t := p.newTransport(e.Incarnation(), conns, keepAlive)
		t.DisableKeepAlives = true
		return t
	})
	p.byID[e.ID] = pool
	return pool
}

// newTransport returns an HTTP transport that keeps up to conns connections to one endpoint.
func (p *connPools) newTransport(id cfvfleet.Incarnation, conns int, keepAlive time.Duration) *http.Transport {
	idle := defaultIdleTimeout
	if keepAlive > 0 {
		idle = max(keepAlive-idleMargin, keepAlive/2)
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			p.onDial()
			conn, err := p.dial(ctx, network, addr)
			if p.onDialEnd != nil {
				p.onDialEnd(id.ID, err)
			}
			if err != nil {
				return nil, err
			}
			return &endpointConn{Conn: cfvhttp.ReportResets(conn), head: responseHead{budget: p.budget}, now: p.now, openedAt: p.now(), onIdleEnd: func(idleFor time.Duration) {
				if idleFor < idle {
					p.onIdleEnd(id)
				}
			}}, nil
		},
		MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns, IdleConnTimeout: idle, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes, ReadBufferSize: readBufferSize, WriteBufferSize: writeBufferSize,
	}
}

// connPool returns the connections to an endpoint.
func (q *request) connPool(ep *cfvfleet.Endpoint) *connPool {
	conns := q.maxConns()
	q.entry.mu.Lock()
	keepAlive := q.entry.keepAlives[q.service.Name]
	q.entry.mu.Unlock()
	return q.entry.connPools.get(ep, conns, keepAlive)
}

// maxConns returns this entry's share of the connections that an endpoint accepts.
func (q *request) maxConns() int {
	if q.service.MaxConns <= 0 {
		return 64
	}
	q.entry.mu.Lock()
	defer q.entry.mu.Unlock()
	return max(int(connShare*float64(q.service.MaxConns))/q.entry.entryCount, minConns)
}

// setUserTimeout makes a connection fail if sent bytes stay unacknowledged for ackTimeout, so that
// an endpoint that vanished is noticed.
func setUserTimeout(_, _ string, c syscall.RawConn) (err error) {
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// closeIdle closes the idle connections to an endpoint that may have become unreachable.
func (p *connPools) closeIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pool := p.byID[id]; pool != nil {
		pool.transport.CloseIdleConnections()
	}
}

// closeAllIdle closes the idle connections to all endpoints.
func (p *connPools) closeAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byID {
		pool.transport.CloseIdleConnections()
	}
}

// retain closes the idle connections to all endpoints but the given ones and forgets their pools.
func (p *connPools) retain(endpoints []*cfvfleet.Endpoint) {
	retained := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		retained[e.ID] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, pool := range p.byID {
		if !retained[id] {
			pool.transport.CloseIdleConnections()
			delete(p.byID, id)
		}
	}
}

// endpointConn is a connection to an endpoint. It counts writes, which distinguishes a request that was not sent at all from
// one that the endpoint may have run, and notices when the endpoint closes it while it is not in use.
type endpointConn struct {
	net.Conn
	now       func() time.Duration
	openedAt  time.Duration
	onIdleEnd func(idleFor time.Duration)
	writes    atomic.Int64
	head      responseHead

	mu        sync.Mutex
	uses      int           // by requests so far
	idleSince time.Duration // 0: it is in use, or was closed by this entry
}

// use records that a request uses the connection, and returns the number of this use.
func (c *endpointConn) use() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses, c.idleSince = c.uses+1, 0
	return c.uses
}

// isUse reports whether a use is the latest one.
func (c *endpointConn) isUse(use int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return use == c.uses
}

// endUse records the end of a use, unless the next one has begun.
func (c *endpointConn) endUse(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if use == c.uses {
		c.idleSince = c.now()
	}
}

// Read reads from the connection. A connection that is not in use is read all the time, so that its end is noticed.
func (c *endpointConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.head.add(n) {
		return 0, fmt.Errorf("read the head of a response: %w", errNoRoom)
	}
	if err == nil {
		return n, nil
	}
	c.mu.Lock()
	since := c.idleSince
	c.mu.Unlock()
	if since > 0 {
		c.onIdleEnd(c.now() - since)
	}
	return n, err
}

// Write writes to the connection. A write is counted before it starts, since a request can be
// cancelled during it, and is not counted if it fails before the first byte.
func (c *endpointConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.writes.Add(-1)
	}
	return n, err
}

// Close closes the connection.
func (c *endpointConn) Close() error {
	c.use()
	c.head.release()
	return c.Conn.Close()
}
