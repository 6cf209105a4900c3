package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// caller sends requests to the front address of an entry over kept connections.
type caller struct {
	client *http.Client
	addr   string
}

func newCaller(addr string) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{addr: addr, client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 4, DisableCompression: true}}}
}

// request is one attempt of a client.
type request struct {
	id, method, path, key, body string
	tokens, prompt              string // of the prompt; empty: it has none
}

// send sends a request and returns the status of its answer; 0 if there was none.
func (c *caller) send(ctx context.Context, r request) int {
	req, err := http.NewRequestWithContext(ctx, r.method, "http://"+c.addr+r.path, strings.NewReader(r.body))
	if err != nil {
		return 0
	}
	req.Host = hostName
	req.Header.Set(headerPrefix+"Request-Id", r.id)
	req.Header.Set(headerPrefix+"Deadline-Ms", "2000")
	req.Header.Set("Authorization", "Token "+r.key)
	if r.prompt != "" {
		req.Header.Set(headerPrefix+"Model", modelName)
		req.Header.Set(headerPrefix+"Token-Count", r.tokens)
		req.Header.Set(headerPrefix+"Prompt-Prefix", r.prompt)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// traffic holds what clients sent and which answers they got.
type traffic struct {
	mu       sync.Mutex
	sentAt   map[string]time.Time
	statuses map[string]int
}

func newTraffic() *traffic {
	return &traffic{sentAt: make(map[string]time.Time), statuses: make(map[string]int)}
}

// send sends a request and keeps the status of its answer.
func (t *traffic) send(c *caller, r request) {
	t.mu.Lock()
	t.sentAt[r.id] = time.Now()
	t.mu.Unlock()
	status := c.send(context.Background(), r)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[r.id] = status
}

// sent returns when a request was sent.
func (t *traffic) sent(id string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sentAt[id]
}

// status returns the status of the answer to a request; 0: none, or an incomplete one.
func (t *traffic) status(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statuses[id]
}

// report writes how many requests of each kind got which answer. The kind of a request is the start of its ID.
func (t *traffic) report(rec *record, late func(sent time.Time) bool, after string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int)
	for id, status := range t.statuses {
		kind, _, _ := strings.Cut(id, "-")
		if late(t.sentAt[id]) {
			kind += ", sent later than " + after
		}
		counts[fmt.Sprintf("%s: status %d", kind, status)]++
	}
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		rec.line("%d requests, %s", counts[text], text)
	}
}

// writeRequests writes each request, its answer and where it ran, in the order in which they were sent.
func (f *fleet) writeRequests(t *traffic) {
	ran := make(map[string][]string)
	for _, r := range f.log.all() {
		ran[r.ID] = append(ran[r.ID], fmt.Sprintf("%s at %.3f s", r.Replica, r.At.Sub(f.record.began).Seconds()))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := slices.SortedFunc(maps.Keys(t.sentAt), func(a, b string) int { return t.sentAt[a].Compare(t.sentAt[b]) })
	for _, id := range ids {
		where := "did not run"
		if len(ran[id]) > 0 {
			where = "ran at " + strings.Join(ran[id], ", ")
		}
		f.record.line("request %s, sent at %.3f s, status %d, %s", id, t.sentAt[id].Sub(f.record.began).Seconds(), t.statuses[id], where)
	}
}

// record is the record of a case.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, began: time.Now()}, err
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // a lost line shows in the record itself
}
