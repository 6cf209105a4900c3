package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

// clients send requests to machines, each on kept connections.
type clients struct {
	rec    *recorder
	client *http.Client
	next   atomic.Int64
	mu     sync.Mutex
	key    string
	sent   map[string]sentRequest // by id
	counts map[int]int            // answers by status; 0: none
}

// sentRequest is a request that a client sent.
type sentRequest struct {
	machine, key string
	sentAt       time.Time
	onKept       bool // on a connection that had served a request before
	answered     bool // the head of an answer arrived
}

func newClients(rec *recorder, key string) *clients {
	return &clients{
		rec: rec, key: key, sent: make(map[string]sentRequest), counts: make(map[int]int),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}},
	}
}

// send sends a request to a machine and records its answer. It returns the status; 0 if there was no answer.
func (c *clients) send(p *entryProcess, method, path string, body io.Reader, timeout time.Duration) (status int) {
	return c.sendWith(p, method, path, body, timeout, nil)
}

// sendWith is send with further headers.
func (c *clients) sendWith(p *entryProcess, method, path string, body io.Reader, timeout time.Duration, header map[string]string) (status int) {
	id := fmt.Sprintf("%016x", uint64(c.next.Add(1))*0x9e3779b97f4a7c15)
	ctx, cancel := context.WithTimeout(context.Background(), timeout+500*time.Millisecond)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.update(id, func(q *sentRequest) { q.onKept = info.Reused })
	}})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.front+path, body)
	if err != nil {
		panic(err) // the method and the path come from this program
	}
	req.Host = callerHost
	req.GetBody = nil
	c.mu.Lock()
	key := c.key
	c.sent[id] = sentRequest{machine: p.name, key: key, sentAt: time.Now()}
	c.mu.Unlock()
	req.Header.Set("Authorization", "Token "+key)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	req.Header.Set(headerPrefix+"Request-Id", id)
	req.Header.Set(headerPrefix+"Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	c.rec.add("request %s (%s %s, %s) is sent to %s", id, method, path, key, p.name)
	resp, err := c.client.Do(req)
	if err != nil {
		c.rec.add("request %s has no answer: %v", id, err)
	} else {
		c.update(id, func(q *sentRequest) { q.answered = true })
		n, err := io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
		if err != nil {
			status = 0
		}
		c.rec.add("request %s: %d, %d bytes, error %v, stamp %q", id, resp.StatusCode, n, err, resp.Header.Get(headerPrefix+"Server-Stamp"))
	}
	c.mu.Lock()
	c.counts[status]++
	c.mu.Unlock()
	return status
}

// request returns a request that was sent.
func (c *clients) request(id string) sentRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[id]
}

// update changes what is known of a request.
func (c *clients) update(id string, f func(q *sentRequest)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.sent[id]
	f(&q)
	c.sent[id] = q
}

// useKey sets the key of all further requests.
func (c *clients) useKey(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.key = key
}

// summary returns how many requests got which status.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.counts)
}

// startLoad lets clients send safe requests to all machines that are in rotation.
func (f *fleet) startLoad(callers *clients) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	inRotation := make(map[*entryProcess]bool)
	wg.Add(2)
	go func() {
		defer wg.Done()
		for {
			for _, p := range f.running() {
				ready := p.isReady()
				mu.Lock()
				inRotation[p] = ready
				mu.Unlock()
			}
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
		}
	}()
	go func() {
		defer wg.Done()
		t := time.NewTicker(tick)
		defer t.Stop()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			for _, p := range f.running() {
				mu.Lock()
				ready := inRotation[p]
				mu.Unlock()
				if !ready {
					continue
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					callers.send(p, http.MethodGet, "/look/1", nil, time.Second)
				}()
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}
