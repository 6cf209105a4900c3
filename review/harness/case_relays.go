package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The course of the case.
const (
	configTime      = 2 * time.Second         // bound on the time until a configuration holds
	replaceInterval = 5 * time.Second         // between two machines that are removed
	newMachineDelay = 2 * time.Second         // until the machine comes that replaces a removed one
	calmTime        = 4 * time.Second         // longer than contactTime, before the first key is taken away
	releaseInterval = time.Second             // between two replicas of the other service that are replaced
	revokeRounds    = 25                      // keys that are taken away
	minInterval     = 2500 * time.Millisecond // between two of them
	maxInterval     = 3500 * time.Millisecond
	oldKeyTime      = 2400 * time.Millisecond // for which clients go on with a key that was taken away
	scheduleSeed    = 7
	tick            = 25 * time.Millisecond // between two requests of a machine's clients
)

// removedMachines are removed for good one after the other, and replaced by the named ones.
var removedMachines = []struct{ name, zone, replacement string }{
	{"front-rosario-1", "rosario", "front-rosario-4"},
	{"front-cordoba-2", "cordoba", "front-cordoba-4"},
	{"front-baires-1", "baires", "front-baires-3"},
	{"front-rosario-4", "rosario", "front-rosario-5"},
}

// deskConfig returns a configuration in which a tenant holds the given key.
func deskConfig(key string) map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": callerHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 1000, "sloMs": 100, "priority": 2, "service": "desk",
			"attempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"routes": []any{route("r-look", "/look/", "safe", 2), route("r-book", "/book/", "unsafe", 1)},
		"services": []any{
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
			map[string]any{"name": "stock", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 24.0},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "apiKeys": []string{key}}},
	}
}

// playRelays removes machines for good while others replace them. Later, keys are taken away one after the other, and no
// request with such a key may run that was sent later than configTime after the store's acknowledgement.
func playRelays(c caseConfig) (broken bool, err error) {
	f, err := newFleet(c.bin, 284, c.rec)
	if err != nil {
		return false, err
	}
	c.onStop(f.stop)
	f.putConfig(deskConfig("key-0"))
	replicas, err := f.startReplicas("desk", 4, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	stock, err := f.startReplicas("stock", 12, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := f.startMachines(map[string][]string{
		"rosario": {"front-rosario-1", "front-rosario-2", "front-rosario-3"}, "cordoba": {"front-cordoba-1", "front-cordoba-2", "front-cordoba-3"},
		"baires": {"front-baires-1", "front-baires-2"},
	}); err != nil {
		return false, err
	}
	callers := newClients(c.rec, "key-0")
	stopLoad := f.startLoad(callers)
	defer stopLoad()
	time.Sleep(calmTime)
	if c.trouble {
		for _, m := range removedMachines {
			if err := f.replace(m.name, m.zone, m.replacement); err != nil {
				return false, err
			}
			time.Sleep(replaceInterval - newMachineDelay)
		}
	}
	time.Sleep(calmTime)
	stopRelease := f.startRelease("stock", stock)
	defer stopRelease()
	c.rec.say("from now on keys are taken away; all machines have run undisturbed for longer than contactMs")
	takenAt := make(map[string]time.Time)
	random := rand.New(rand.NewPCG(scheduleSeed, 0))
	for i := range revokeRounds {
		old, next := fmt.Sprint("key-", i), fmt.Sprint("key-", i+1)
		takenAt[old] = f.putConfig(deskConfig(next))
		c.rec.add("version %d takes %s away: acknowledged by the store", f.version, old)
		time.Sleep(oldKeyTime)
		callers.useKey(next)
		time.Sleep(minInterval - oldKeyTime + time.Duration(random.Int64N(int64(maxInterval-minInterval))))
	}
	stopLoad()
	c.rec.say("answers by status: %s", callers.summary())
	late := 0
	for _, s := range replicas {
		for _, r := range s.allRuns() {
			q := callers.request(r.id)
			acked, taken := takenAt[q.key]
			if d := q.sentAt.Sub(acked); taken && d > configTime {
				late++
				c.rec.say("request %s with %s was sent to %s %d ms after the key was taken away, and ran at %s (bound %d ms)",
					r.id, q.key, q.machine, d.Milliseconds(), r.replica, configTime.Milliseconds())
			}
		}
	}
	c.rec.say("%d keys were taken away, %d requests with them ran too late", len(takenAt), late)
	return late > 0, nil
}
