package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case with a part that crashes replicas.
const (
	deadlyPartID  = "dead0001"
	partInterval  = 400 * time.Millisecond // between two requests with the part
	partLength    = 30 * time.Second
	eventInterval = 30 * time.Millisecond
	eventCount    = 8
	eventsBefore  = 2 // events that a replica writes before the part crashes it
	crashesBefore = 5 // the rule counts from the fifth crash on
)

// modelConfig returns a configuration with a route to replicas that answer with streams.
func modelConfig() map[string]any {
	c := config(1, "key-a", "key-b")
	c["routes"] = []any{map[string]any{
		"name": "ask", "host": hostName, "pathPrefix": "/ask/", "kind": "streaming", "timeoutMs": 4000, "sloMs": 400, "priority": 0, "service": "model", "attempts": 1,
		"public": false, "sticky": true, "resumable": false, "gapAimMs": 300,
	}}
	c["services"] = []any{map[string]any{
		"name": "model", "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
		"engine": map[string]any{"slots": 16, "kvCapacity": 72261, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": false, "backups": false, "managed": false, "models": []any{map[string]any{"name": modelName}}},
	}}
	return c
}

// unframed sends a stream without a length or chunks, which ends with its connection.
func unframed(p *replica, w http.ResponseWriter, r *http.Request, deadly bool) (crashed bool) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	id := r.Header.Get(headerPrefix + "Request-Id")
	_, _ = fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%sRequest-Id: %s\r\n%sServer-Stamp: %s.%s\r\n%sWeight-Versions: 1\r\nConnection: close\r\n\r\n",
		headerPrefix, id, headerPrefix, p.id, id, headerPrefix)
	for i := range eventCount {
		if deadly && i == eventsBefore {
			return true
		}
		if _, err := fmt.Fprintf(buf, "id: %d\ndata: token\n\n", i+1); err != nil {
			return false
		}
		if buf.Flush() != nil {
			return false
		}
		time.Sleep(eventInterval)
	}
	return false
}

// deadlyPart sends prompts with a part that crashes each replica that begins to write an answer on it, beside sound prompts. The
// answers are streams that end with their connections.
func deadlyPart(f *fleet, trouble bool) (o outcome, err error) {
	f.store.put("op/config", modelConfig())
	f.store.put("op/version/"+modelName, map[string]any{"model": modelName, "version": 1})
	replicas := replicasOf{service: "model", count: 8, slots: 16, downTime: poisonDown, stream: func(p *replica, w http.ResponseWriter, r *http.Request) {
		deadly := trouble && strings.Contains(r.Header.Get(headerPrefix+"Prompt-Prefix"), deadlyPartID)
		if unframed(p, w, r, deadly) {
			p.crash()
		}
	}}
	if err = f.addReplicas(replicas); err != nil {
		return o, err
	}
	if err = f.startEntries(3, usual); err != nil {
		return o, err
	}
	f.record.line("all entries are ready")
	t, began := newTraffic(), time.Now()
	var wg sync.WaitGroup
	var callers []*caller
	for _, p := range f.entries {
		c := newCaller(p.front)
		callers = append(callers, c)
		wg.Go(func() {
			for i := 0; time.Since(began) < partLength; i++ {
				t.send(c, request{id: fmt.Sprintf("sound-%s-%d", p.name, i), method: http.MethodPost, path: "/ask/1", key: "key-a", body: fmt.Sprint("question ", i),
					tokens: "300,8", prompt: fmt.Sprintf("5c1e07a2:200,%08x:100", 0x10000000+i)})
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	for i := 0; time.Since(began) < partLength; i++ {
		c := callers[i%len(callers)]
		wg.Go(func() {
			t.send(c, request{id: fmt.Sprint("deadly-", i), method: http.MethodPost, path: fmt.Sprint("/ask/", i), key: "key-a", body: fmt.Sprint("deadly question ", i),
				tokens: "350,8", prompt: fmt.Sprintf("5c1e07a2:200,%s:50,%08x:100", deadlyPartID, 0x20000000+i)})
		})
		time.Sleep(partInterval)
	}
	wg.Wait()
	return f.judgeCrashes(t, crashesBefore, func(r run) bool { return trouble && strings.Contains(r.Prompt, deadlyPartID) }), nil
}
