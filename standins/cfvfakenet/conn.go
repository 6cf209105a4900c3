package cfvfakenet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// maxBuffered is the number of undelivered and unread bytes at which writers wait.
const maxBuffered = 256 << 10

// conn is one end of a connection.
type conn struct {
	network       *Network
	local, remote net.Addr
	in, out       *pipe
}

// newPair returns both ends of a connection.
func newPair(n *Network, near, far net.Addr) (*conn, *conn) {
	latency := func() time.Duration { return n.latencyOf(far.String()) }
	a, b := newPipe(latency), newPipe(latency)
	return &conn{n, near, far, a, b}, &conn{n, far, near, b, a}
}

// Read reads data that has been delivered.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.in.read(p)
	return n, c.describe("read", err)
}

// Write sends data. It waits while the other end does not read.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.out.write(p)
	return n, c.describe("write", err)
}

func (c *conn) describe(op string, err error) error {
	if err == nil || err == io.EOF {
		return err
	}
	return &net.OpError{Op: op, Net: "tcp", Source: c.local, Addr: c.remote, Err: err}
}

// Close closes the connection. The other end reads what was sent before, then the end.
func (c *conn) Close() error {
	c.in.closeReader()
	c.out.closeWriter()
	c.network.remove(c)
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	c.out.setWriteDeadline(t)
	return nil
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setReadDeadline(t)
	return nil
}

// SetWriteDeadline sets the deadline of writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setWriteDeadline(t)
	return nil
}

// pipe carries the data of one direction.
type pipe struct {
	latency func() time.Duration

	mu            sync.Mutex
	changed       *sync.Cond
	sent          []segment // on their way, in order
	ready         []byte    // delivered, not read yet
	buffered      int       // bytes in sent and ready
	ended         bool      // the end was delivered
	readerClosed  bool
	writerClosed  bool
	readDeadline  deadline
	writeDeadline deadline
}

// segment is data that is delivered at a given time. A segment without data is the end.
type segment struct {
	at   time.Time
	data []byte
}

func newPipe(latency func() time.Duration) *pipe {
	p := &pipe{latency: latency}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *pipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.readerClosed:
			return 0, net.ErrClosed
		case p.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(b) == 0:
			return 0, nil
		case len(p.ready) > 0:
			n := copy(b, p.ready)
			p.ready = p.ready[n:]
			p.buffered -= n
			p.changed.Broadcast()
			return n, nil
		case p.ended:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

func (p *pipe) write(b []byte) (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.writerClosed:
			return n, net.ErrClosed
		case p.readerClosed:
			return n, syscall.EPIPE
		case p.writeDeadline.passed():
			return n, os.ErrDeadlineExceeded
		case n == len(b):
			return n, nil
		case p.buffered < maxBuffered:
			part := b[n:min(len(b), n+maxBuffered-p.buffered)]
			p.send(append([]byte(nil), part...))
			n += len(part)
			continue
		}
		p.changed.Wait()
	}
}

// send sends data, or the end if there is none. The caller holds the lock.
func (p *pipe) send(data []byte) {
	p.buffered += len(data)
	latency := p.latency()
	p.sent = append(p.sent, segment{time.Now().Add(latency), data})
	time.AfterFunc(latency, p.deliver)
}

// deliver makes the segments readable whose time has come.
func (p *pipe) deliver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for len(p.sent) > 0 && !p.sent[0].at.After(now) {
		p.ready = append(p.ready, p.sent[0].data...)
		p.ended = p.ended || len(p.sent[0].data) == 0
		p.sent = p.sent[1:]
	}
	p.changed.Broadcast()
}

func (p *pipe) closeReader() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readerClosed = true
	p.changed.Broadcast()
}

func (p *pipe) closeWriter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.writerClosed {
		p.writerClosed = true
		p.send(nil)
	}
	p.changed.Broadcast()
}

func (p *pipe) setReadDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readDeadline.set(t, p.wake)
	p.changed.Broadcast()
}

func (p *pipe) setWriteDeadline(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writeDeadline.set(t, p.wake)
	p.changed.Broadcast()
}

func (p *pipe) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changed.Broadcast()
}

// deadline is the time at which reads or writes fail; zero for none.
type deadline struct {
	at    time.Time
	timer *time.Timer
}

// set sets the deadline and calls wake when it passes.
func (d *deadline) set(at time.Time, wake func()) {
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = at
	if left := time.Until(at); !at.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, wake)
	}
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }
