package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Figures of the case with a crowd, from the start of the crowd.
const (
	crowdSize      = 1700 // connections
	crowdLength    = 40 * time.Second
	crowdChunks    = 10 // of four bytes; the body does not end
	ordinaryFrom   = 3 * time.Second
	ordinaryCount  = 10 // clients
	ordinaryPause  = 250 * time.Millisecond
	probesInterval = 500 * time.Millisecond
)

// crowded sends a crowd of small chunked bodies that stop short to an entry, once, beside ordinary bookings on new connections.
func crowded(f *fleet, trouble bool) (o outcome, err error) {
	f.store.put("op/config", config(1, "key-a", "key-b"))
	if err = f.addReplicas(replicasOf{service: "desk", count: 4, slots: 6, work: 15 * time.Millisecond}); err != nil {
		return o, err
	}
	if err = f.startEntries(1, usual); err != nil {
		return o, err
	}
	f.record.line("the entry is ready")
	p, end := f.entries[0], time.Now().Add(crowdLength)
	var wg sync.WaitGroup
	var mu sync.Mutex
	connected, closed, answers := 0, 0, 0
	if trouble {
		for range crowdSize {
			wg.Go(func() {
				ok, ended, got := p.stopShort(end)
				mu.Lock()
				defer mu.Unlock()
				connected += count(ok)
				closed += count(ended)
				answers += count(got)
			})
		}
	}
	time.Sleep(ordinaryFrom)
	t := newTraffic()
	began := time.Now()
	answered := []time.Time{began}
	for i := range ordinaryCount {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				id := fmt.Sprintf("ordinary-%d-%d", i, n)
				c := newCaller(p.front)
				t.send(c, request{id: id, method: http.MethodPost, path: "/book/2", key: "key-b", body: "one booking"})
				c.client.CloseIdleConnections()
				if t.status(id) != 0 {
					mu.Lock()
					answered = append(answered, time.Now())
					mu.Unlock()
				}
				time.Sleep(ordinaryPause)
			}
		})
	}
	wg.Go(func() { f.watchReady(end) })
	wg.Wait()
	if trouble && connected < crowdSize*9/10 {
		return o, fmt.Errorf("only %d of the crowd's %d connections were made", connected, crowdSize)
	}
	answered = append(answered, end)
	longest, from := time.Duration(0), began
	for i := 1; i < len(answered); i++ {
		if d := answered[i].Sub(answered[i-1]); d > longest {
			longest, from = d, answered[i-1]
		}
	}
	f.writeRequests(t)
	t.report(f.record, func(time.Time) bool { return false }, "")
	f.record.line("connections of the crowd: %d, of which the entry closed %d and answered %d; its process is alive: %t", connected, closed, answers, p.alive())
	f.record.line("the longest time without an answer on a new connection begins at %.3f s", from.Sub(f.record.began).Seconds())
	text := fmt.Sprintf("no new connection of %d clients that try got an answer for %.1f s; %d of their requests in all were answered", ordinaryCount, longest.Seconds(), len(answered)-2)
	if longest > contactTime {
		return outcome{true, "RECOVER broken: " + text}, nil
	}
	return outcome{false, "RECOVER held: " + text}, nil
}

// count returns 1 if ok.
func count(ok bool) int {
	if ok {
		return 1
	}
	return 0
}

// stopShort sends a chunked body without its end, with a key that no configuration holds, and keeps the connection until the end or
// until the entry closes it. It reports whether there was a connection, whether the entry closed it, and whether it answered before.
func (p *entryProcess) stopShort(end time.Time) (connected, closed, answered bool) {
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		return false, false, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(end) // fails only if the connection is closed
	_, err = fmt.Fprintf(conn, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token none\r\n%sRequest-Id: crowd-%s\r\nTransfer-Encoding: chunked\r\n\r\n", hostName, headerPrefix, conn.LocalAddr())
	for i := 0; i < crowdChunks && err == nil; i++ {
		_, err = io.WriteString(conn, "4\r\nabcd\r\n")
	}
	n, err := io.Copy(io.Discard, conn)
	return true, !errors.Is(err, os.ErrDeadlineExceeded), n > 0
}
