package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// hostName is the host of all routes.
const hostName = "desk.example"

// config returns a configuration with a route for bookings and one for look-ups. Each key belongs to a tenant of its own.
func config(version int, keys ...string) map[string]any {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": hostName, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 2000, "sloMs": 200, "priority": 1, "service": "desk", "attempts": attempts,
			"public": false, "sticky": false, "resumable": false,
		}
	}
	tenants := []map[string]any{}
	for _, k := range keys {
		tenants = append(tenants, map[string]any{"name": "tenant-of-" + k, "apiKeys": []string{k}})
	}
	return map[string]any{
		"version": version, "routes": []any{route("book", "unsafe", 1), route("look", "safe", 2)},
		"services": []any{map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	}
}

// usual are the limits of a machine of a small deployment.
var usual = settingsOf{memoryMB: 284, maxFds: 4100}

// Times of the case restored-store, from the start of the traffic.
const (
	copyAt       = 6 * time.Second  // of the copy
	restoreAt    = 12 * time.Second // the store goes away
	awayFor      = 500 * time.Millisecond
	revokeAt     = 14 * time.Second
	revokeEnd    = 32 * time.Second
	revokeLimit  = 5 * time.Second // revokeMs of the settings
	sendInterval = 100 * time.Millisecond
	shownRuns    = 20 // in the record
)

// restoredStore restores the store from a copy, and takes a key away afterwards.
func restoredStore(f *fleet, trouble bool) (o outcome, err error) {
	f.store.put("op/config", config(1, "key-a", "key-b"))
	if err = f.addReplicas(replicasOf{service: "desk", count: 8, slots: 6, work: 15 * time.Millisecond}); err != nil {
		return o, err
	}
	if err = f.startEntries(3, usual); err != nil {
		return o, err
	}
	f.record.line("all entries are ready")
	t, began := newTraffic(), time.Now()
	var clients sync.WaitGroup
	for _, p := range f.entries {
		for _, key := range []string{"key-a", "key-b"} {
			clients.Go(func() {
				c := newCaller(p.front)
				for n := 0; time.Since(began) < revokeEnd; n++ {
					t.send(c, request{id: fmt.Sprintf("%s-%s-%d", key[len("key-"):], p.name, n), method: http.MethodPost, path: "/book/1", key: key, body: "one booking"})
					time.Sleep(sendInterval)
				}
			})
		}
	}
	clients.Go(func() { f.watchReady(began.Add(revokeEnd)) })
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	at(copyAt)
	c := f.store.copyNow()
	f.record.line("a copy of the store is made at revision %d", c.rev)
	at(restoreAt)
	if trouble {
		before, after := f.store.restore(c, awayFor)
		f.record.line("the store was away for %s and is back from the copy: revision %d before, %d after", awayFor, before, after)
		f.store.put("op/config", config(1, "key-a", "key-b")) // the operator writes again what it wrote
	}
	at(revokeAt)
	rev := f.store.put("op/config", config(2, "key-a"))
	acked := time.Now()
	f.record.line("the store has acknowledged configuration 2, without key-b, at revision %d", rev)
	clients.Wait()
	f.writeRequests(t)
	tooLate := func(sent time.Time) bool { return sent.Sub(acked) > revokeLimit }
	f.record.line("requests whose names begin with a have key-a, the others key-b")
	t.report(f.record, tooLate, "revokeMs after the acknowledgement")
	late := 0
	for _, r := range f.log.all() {
		sent := t.sent(r.ID)
		if r.Tenant != "tenant-of-key-b" || !tooLate(sent) {
			continue
		}
		if late++; late <= shownRuns {
			f.record.line("request %s, sent with key-b %.3f s after the acknowledgement, ran at %s for tenant %s", r.ID, sent.Sub(acked).Seconds(), r.Replica, r.Tenant)
		}
	}
	if late > 0 {
		return outcome{true, fmt.Sprintf("CONFIG broken: %d requests with a key that was taken away ran, sent later than revokeMs after the acknowledgement", late)}, nil
	}
	return outcome{false, "CONFIG held: no request with the key that was taken away ran, if sent later than revokeMs after the acknowledgement"}, nil
}
