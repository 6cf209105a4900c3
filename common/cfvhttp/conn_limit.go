package cfvhttp

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnLimit bounds the number of connections of an HTTP server. At the limit a new connection replaces the one that has
// waited longest for a complete request head; if all have running requests, the new one is closed. Connections that are being
// ended count until they are closed. One part in endingPart of the limit is kept for them.
type ConnLimit struct {
	limit       int // 0: none
	bufferBytes int
	onClose     func()

	mu      sync.Mutex
	waiting map[net.Conn]time.Time // since when; zero while a request runs, or is being ended
	ended   map[net.Conn]struct{}
}

const endingPart = 8

// NewConnLimit returns a limit. It sets the size of the kernel's buffers of each connection, and calls onClose for each
// connection that it closes.
func NewConnLimit(limit, bufferBytes int, onClose func()) *ConnLimit {
	return &ConnLimit{limit: limit, bufferBytes: bufferBytes, onClose: onClose, waiting: make(map[net.Conn]time.Time), ended: make(map[net.Conn]struct{})}
}

// ConnState is the server's hook.
func (l *ConnLimit) ConnState(c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		l.setBuffers(c)
	}
	if l.limit <= 0 {
		return
	}
	if excess := l.update(c, state); excess != nil {
		l.onClose()
		if excess == c {
			_ = c.Close() // nothing was read from it
			return
		}
		endWait(excess)
	}
}

// endWait closes a connection, unless the whole head of a request was read from it, which the server answers before.
func endWait(c net.Conn) {
	if tracked := trackedBelow(c); tracked != nil {
		tracked.endHead()
		return
	}
	_ = c.Close() // the server notices it at its next read
}

// update records the state of a connection, and returns a connection to close, if any.
func (l *ConnLimit) update(c net.Conn, state http.ConnState) (excess net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(l.waiting) > l.limit {
			return c
		}
		if len(l.waiting) >= l.limit-l.limit/endingPart {
			excess = l.longestWaiting()
			if excess == nil {
				return c
			}
			l.waiting[excess], l.ended[excess] = time.Time{}, struct{}{}
		}
		l.waiting[c] = time.Now()
	case http.StateIdle, http.StateActive:
		_, open := l.waiting[c]
		if _, ended := l.ended[c]; !open || ended {
			return nil
		}
		l.waiting[c] = time.Time{}
		if state == http.StateIdle {
			l.waiting[c] = time.Now()
		}
	case http.StateClosed, http.StateHijacked:
		delete(l.waiting, c)
		delete(l.ended, c)
	}
	return excess
}

// longestWaiting returns the connection that has waited longest; nil if none waits. The caller must hold l.mu.
func (l *ConnLimit) longestWaiting() (found net.Conn) {
	for c, since := range l.waiting {
		if !since.IsZero() && (found == nil || since.Before(l.waiting[found])) {
			found = c
		}
	}
	return found
}

// setBuffers sets the sizes of the kernel's buffers. Without it the kernel enlarges them to several MB each.
func (l *ConnLimit) setBuffers(c net.Conn) {
	if tcp, ok := InnermostConn(c).(*net.TCPConn); ok && l.bufferBytes > 0 {
		_ = tcp.SetReadBuffer(l.bufferBytes) // fails only if the connection is closed
		_ = tcp.SetWriteBuffer(l.bufferBytes)
	}
}

// InnermostConn returns the connection that c wraps, over any number of wrappers that have NetConn.
func InnermostConn(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}
