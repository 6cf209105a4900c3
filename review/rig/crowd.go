package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Figures of the case with a crowd, from the start of the crowd.
const (
	crowdSize      = 1700 // connections
	crowdLength    = 40 * time.Second
	crowdReturn    = time.Second // until a client whose connection was closed comes again
	crowdChunks    = 10          // of four bytes; the body does not end
	ordinaryFrom   = 3 * time.Second
	ordinaryCount  = 10 // clients
	ordinaryPause  = 250 * time.Millisecond
	probesInterval = 500 * time.Millisecond
)

// crowded sends a crowd of small chunked bodies that stop short to an entry, beside ordinary bookings on new connections.
func crowded(f *fleet, trouble bool) (o outcome, err error) {
	c := config(1, "key-a", "key-b")
	slow := map[string]any{
		"name": "review", "host": hostName, "pathPrefix": "/review/", "kind": "unsafe", "timeoutMs": 8000, "sloMs": 800, "priority": 1, "service": "desk", "attempts": 1,
		"public": false, "sticky": false, "resumable": false,
	}
	c["routes"] = append(c["routes"].([]any), slow)
	f.store.put("op/config", c)
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
	opened := 0
	if trouble {
		for range crowdSize {
			wg.Go(func() {
				for time.Now().Before(end) {
					if p.stopShort(end) {
						mu.Lock()
						opened++
						mu.Unlock()
					}
					time.Sleep(crowdReturn)
				}
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
	answered = append(answered, end)
	longest, from := time.Duration(0), began
	for i := 1; i < len(answered); i++ {
		if d := answered[i].Sub(answered[i-1]); d > longest {
			longest, from = d, answered[i-1]
		}
	}
	t.report(f.record, func(time.Time) bool { return false }, "")
	f.record.line("connections of the crowd: %d at a time, %d in all; the entry's process is alive: %t", crowdSize, opened, p.alive())
	f.record.line("the longest time without an answer on a new connection begins at %.3f s", from.Sub(f.record.began).Seconds())
	text := fmt.Sprintf("no new connection of %d clients that try got an answer for %.1f s; %d of their requests in all were answered", ordinaryCount, longest.Seconds(), len(answered)-2)
	if longest > contactTime {
		return outcome{true, "RECOVER broken: " + text}, nil
	}
	return outcome{false, "RECOVER held: " + text}, nil
}

// stopShort sends a chunked body without its end, and keeps the connection until the entry closes it. It returns false if there
// was no connection.
func (p *entryProcess) stopShort(end time.Time) bool {
	conn, err := net.DialTimeout("tcp", p.front, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(end) // fails only if the connection is closed
	_, err = fmt.Fprintf(conn, "POST /review/1 HTTP/1.1\r\nHost: %s\r\nAuthorization: Token key-a\r\n%sRequest-Id: crowd-%s\r\nTransfer-Encoding: chunked\r\n\r\n", hostName, headerPrefix, conn.LocalAddr())
	for i := 0; i < crowdChunks && err == nil; i++ {
		_, err = io.WriteString(conn, "4\r\nabcd\r\n")
	}
	_, _ = io.Copy(io.Discard, conn) // until the entry closes the connection
	return true
}
