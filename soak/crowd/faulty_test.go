package cfvcrowd

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Sizes and times of callers of faulty endpoints.
const (
	faultyEndpoints = 4
	faultyCallers   = 600
	faultyTime      = 2 * time.Second
	slowPause       = 100 * time.Millisecond
)

// fault is what a faulty endpoint sends instead of a response: a start, and a text again and again until the connection is closed.
type fault struct {
	start  string // %s is the ID of the request
	repeat string
	path   string // "": /book/1
	health bool   // health probes get it too
	unread bool   // callers read nothing
}

// Guards against an entry that ends for its memory: endpoints sent bytes that were no response without end, and it kept them all.
func TestEntryStaysWithinItsMemoryWithFaultyEndpoints(t *testing.T) {
	const (
		prefix  = "X-Coltsfootvalve-"
		signed  = prefix + "Request-Id: %s\r\n" + prefix + "Server-Stamp: stamp\r\n"
		ok      = "HTTP/1.1 200 OK\r\n" + signed
		chunked = ok + "Transfer-Encoding: chunked\r\n\r\n"
	)
	lines := strings.Repeat("A: b\r\n", 600)
	bytes := strings.Repeat("x", 4000)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(bytes), bytes)
	tests := map[string]fault{
		"line without end":    {start: "HTTP/1.1 200 OK\r\nA: ", repeat: bytes},
		"head without end":    {start: "HTTP/1.1 200 OK\r\n", repeat: lines},
		"interim responses":   {repeat: "HTTP/1.1 103 Early Hints\r\n" + lines + "\r\n"},
		"chunk extensions":    {start: chunked, repeat: "1;" + bytes[:1000] + "\r\nx\r\n"},
		"line of a chunk":     {start: chunked + "1;", repeat: bytes},
		"trailers":            {start: chunked + "0\r\n", repeat: lines},
		"body of a refusal":   {start: "HTTP/1.1 503 Full\r\n" + signed + prefix + "Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n", repeat: chunk},
		"body":                {start: chunked, repeat: chunk},
		"body without chunks": {start: ok + "\r\n", repeat: bytes},
		"body, unread":        {start: chunked, repeat: chunk, unread: true},
		"stream, no event":    {start: chunked, repeat: chunk, path: "/ask/1"},
		"stream, unread":      {start: chunked, repeat: strings.Repeat("7\r\nid: 1\n\n\r\n", 300), path: "/ask/1", unread: true},
		"health, head":        {start: "HTTP/1.1 200 OK\r\n", repeat: lines, health: true},
		"health, body":        {start: chunked, repeat: chunk, health: true},
	}
	bin := buildBinary(t)
	for name, tt := range tests {
		for _, pause := range []time.Duration{0, slowPause} {
			t.Run(fmt.Sprintf("%s, pause %s", name, pause), func(t *testing.T) {
				endpoints := make(map[string]string)
				for i := range faultyEndpoints {
					id := fmt.Sprint("desk-", i)
					endpoints[id] = startFaultyEndpoint(t, id, tt, pause)
				}
				p := startEntryWith(t, bin, usualFds, endpoints)
				before := p.residentMB()
				stop := p.watch()
				callFaulty(p, tt)
				seen := stop()
				t.Logf("resident memory: %d MB before, %d MB at the peak; %d descriptors at the peak", before, seen.residentMB, seen.fds)
				assert.Check(t, p.alive(), "the process has ended; its log ends with:\n%s", p.logTail())
				assert.Check(t, seen.residentMB < memoryMB, "%d MB of resident memory at the peak", seen.residentMB)
			})
		}
	}
}

// startFaultyEndpoint starts an endpoint and returns its address.
func startFaultyEndpoint(t *testing.T, id string, f fault, pause time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveFault(conn, id, f, pause)
		}
	}()
	return l.Addr().String()
}

// serveFault answers the requests of a connection until it is closed.
func serveFault(conn net.Conn, id string, f fault, pause time.Duration) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if req.URL.Path == "/healthz" && !f.health {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Coltsfootvalve-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if f.start != "" {
			_, _ = fmt.Fprint(conn, strings.Replace(f.start, "%s", req.Header.Get("X-Coltsfootvalve-Request-Id"), 1))
		}
		end := time.Now().Add(2 * faultyTime)
		for err = nil; err == nil && time.Now().Before(end); time.Sleep(pause) {
			_, err = io.WriteString(conn, f.repeat)
		}
		return
	}
}

// callFaulty sends requests on many connections for faultyTime.
func callFaulty(p *entryProcess, f fault) {
	end := time.Now().Add(faultyTime)
	var wg sync.WaitGroup
	for i := range faultyCallers {
		wg.Go(func() {
			for time.Now().Before(end) {
				p.callUntil(fmt.Sprint("call-", i), cmp.Or(f.path, "/book/1"), f.unread, end)
			}
		})
	}
	wg.Wait()
}

// callUntil sends a request on a connection of its own, and reads its response until the end.
func (p *entryProcess) callUntil(id, path string, unread bool, end time.Time) {
	conn, err := net.Dial("tcp", p.callerAddr)
	if err != nil {
		time.Sleep(slowPause)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	if unread {
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	}
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token key-0\r\nX-Coltsfootvalve-Request-Id: %s\r\nConnection: close\r\n\r\n", path, host, id)
	if unread {
		time.Sleep(time.Until(end))
		return
	}
	_, _ = io.Copy(io.Discard, conn)
	time.Sleep(slowPause)
}
