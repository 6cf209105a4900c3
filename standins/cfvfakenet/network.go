// Package cfvfakenet is a stand-in for a network. Its connections are in memory and take a
// fixed time to deliver data, so that whole fleets can run on virtual time.
package cfvfakenet

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	firstPort     = 20_000
	acceptBacklog = 1024
)

// Network connects listeners and dialers in memory. It is safe for concurrent use.
type Network struct {
	latency time.Duration

	mu        sync.Mutex
	nextPort  int
	slow      map[string]time.Duration // latencies of single addresses
	listeners map[string]*listener
	conns     map[*conn]bool
}

// New returns a network that delivers data after the given time.
func New(latency time.Duration) *Network {
	return &Network{latency: latency, nextPort: firstPort, slow: make(map[string]time.Duration), listeners: make(map[string]*listener), conns: make(map[*conn]bool)}
}

// SetLatency sets the latency of all connections to an address, in both directions.
func (n *Network) SetLatency(address string, latency time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[address] = latency
}

// latencyOf returns the latency of the connections to an address.
func (n *Network) latencyOf(address string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if d, ok := n.slow[address]; ok {
		return d
	}
	return n.latency
}

// Listen listens on an address. Port 0 selects a free port.
func (n *Network) Listen(network, address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Err: err}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		n.nextPort++
		port = strconv.Itoa(n.nextPort)
	}
	address = net.JoinHostPort(host, port)
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Err: syscall.EADDRINUSE}
	}
	addr, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, &net.OpError{Op: "listen", Net: network, Err: err}
	}
	l := &listener{network: n, addr: addr, accepted: make(chan net.Conn, acceptBacklog), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// DialContext connects to an address. Connections to an address without a listener are refused.
func (n *Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	select {
	case <-time.After(n.latencyOf(address)):
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
	}
	n.nextPort++
	near, far := newPair(n, &net.TCPAddr{IP: l.addr.IP, Port: n.nextPort}, l.addr)
	select {
	case l.accepted <- far:
	default:
		return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("%s: %w", address, syscall.ECONNREFUSED)}
	}
	n.conns[near], n.conns[far] = true, true
	return near, nil
}

// Close closes all listeners and connections.
func (n *Network) Close() {
	n.mu.Lock()
	var all []interface{ Close() error }
	for _, l := range n.listeners {
		all = append(all, l)
	}
	for c := range n.conns {
		all = append(all, c)
	}
	n.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// remove forgets a closed connection.
func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// listener accepts the connections to one address.
type listener struct {
	network  *Network
	addr     *net.TCPAddr
	accepted chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	default:
	}
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.addr, Err: net.ErrClosed}
	}
}

// Close closes the listener and the connections that it has not accepted.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr.String())
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.accepted:
				_ = c.Close()
			default:
				return
			}
		}
	})
	return nil
}

// Addr returns the address of the listener.
func (l *listener) Addr() net.Addr { return l.addr }
