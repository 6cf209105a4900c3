package cfventry

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// sendTracker tracks whether any byte of a request was sent.
type sendTracker struct {
	onConn       func(openedAt time.Duration) // called when the request has got a connection
	mu           sync.Mutex
	conn         *endpointConn
	use          int // number of the connection's use
	writesBefore int64
	reused       bool
}

// trace returns a context that records which connection the request uses.
func (s *sendTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*endpointConn)
			if !ok {
				return
			}
			use := c.use()
			c.head.begin()
			s.onConn(c.openedAt)
			s.mu.Lock()
			s.conn, s.use, s.writesBefore, s.reused = c, use, c.writes.Load(), info.Reused
			s.mu.Unlock()
		},
		PutIdleConn: func(err error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			if err == nil && s.conn != nil {
				s.conn.endUse(s.use)
			}
		},
	})
}

// endHead tells that the head of the response is complete.
func (s *sendTracker) endHead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.head.end()
	}
}

// releaseHead returns the memory for the head of the response, unless another request uses the connection already.
func (s *sendTracker) releaseHead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil && s.conn.isUse(s.use) {
		s.conn.head.release()
	}
}

// hasConn reports whether the request has a connection.
func (s *sendTracker) hasConn() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil
}

// mayHaveSent reports whether any byte of the request may have been sent.
func (s *sendTracker) mayHaveSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.conn.writes.Load() > s.writesBefore
}
