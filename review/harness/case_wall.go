package main

import (
	"fmt"
	"net/http"
	"time"
)

// The course of the case.
const (
	wallPrompts = 6               // of each tenant
	wallWait    = 6 * time.Second // after the change: three times configTime, and longer than revokeMs
	sharedPart  = "5c1e07a2"
	wallModel   = "norma-70b"
)

// wallConfig returns a configuration with two tenants.
func wallConfig(isolated bool) map[string]any {
	c := adviceConfig()
	c["routes"] = []any{map[string]any{
		"name": "r-norma", "host": callerHost, "pathPrefix": "/norma/", "kind": "streaming", "timeoutMs": 8000, "sloMs": 800, "priority": 1,
		"service": "norma", "attempts": 1, "public": false, "sticky": true, "resumable": false, "gapAimMs": 300,
	}}
	c["services"] = []any{map[string]any{
		"name": "norma", "healthPath": "/healthz", "maxConns": 180, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 24.0,
		"engine": map[string]any{
			"slots": 16, "kvCapacity": 72261, "kvTokenBytes": 163840, "linkMbps": 550000.0, "moves": true, "backups": true, "managed": true, "stride": 6,
			"maxInflight": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": wallModel}},
		},
	}}
	c["tenants"] = []any{
		map[string]any{"name": "tenant-a", "apiKeys": []string{"key-a"}, "isolated": isolated},
		map[string]any{"name": "tenant-b", "apiKeys": []string{"key-b"}, "isolated": false},
	}
	return c
}

// playWall makes a tenant isolated by a new configuration. No request of another tenant may use KV cache that its requests
// made, once the configuration holds.
func playWall(c caseConfig) (broken bool, err error) {
	f, err := newFleet(c.bin, 284, c.rec)
	if err != nil {
		return false, err
	}
	c.onStop(f.stop)
	f.putConfig(wallConfig(false))
	f.put("op/version/"+wallModel, map[string]any{"model": wallModel, "version": 1})
	var engines []*engine
	for i, zone := range []string{"rosario", "cordoba"} {
		s, e, err := startEngine(fmt.Sprint("i-norma-", i), "norma", zone, wallModel, c.rec)
		if err != nil {
			return false, err
		}
		s.setAnswer(answerStream(4, 20*time.Millisecond))
		s.register(f, "ready")
		engines = append(engines, e)
	}
	if err := f.startMachines(map[string][]string{"rosario": {"front-rosario-1"}, "cordoba": {"front-cordoba-1"}}); err != nil {
		return false, err
	}
	time.Sleep(wallWait)
	callers := newClients(c.rec, "key-a")
	ask := func(first int) {
		machines := f.running()
		for i := range wallPrompts {
			callers.sendWith(machines[i%len(machines)], http.MethodPost, "/norma/1", nil, 8*time.Second, promptHeader(wallModel, sharedPart, first+i))
			time.Sleep(200 * time.Millisecond)
		}
	}
	ask(1)
	isolatedFrom := f.putConfig(wallConfig(c.trouble))
	c.rec.say("version %d is acknowledged; tenant-a isolated: %v", f.version, c.trouble)
	time.Sleep(wallWait)
	callers.useKey("key-b")
	ask(1 + wallPrompts)
	c.rec.say("answers by status: %s", callers.summary())
	crossed := 0
	for _, e := range engines {
		for _, u := range e.allUses() {
			if after := u.at.Sub(isolatedFrom); c.trouble && after > configTime {
				crossed++
				c.rec.say("request %s of %s used part %s at replica %s, which a request of %s made; tenant-a had been isolated for %d ms",
					u.request, u.tenant, u.id, u.replica, u.maker, after.Milliseconds())
			}
		}
	}
	c.rec.say("%d uses of parts across the wall", crossed)
	return crossed > 0, nil
}
