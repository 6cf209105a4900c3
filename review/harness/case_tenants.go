package main

import (
	"net/http"
	"strings"
	"time"
)

// The course of the case.
const (
	revokeTime   = 5 * time.Second // bound on the time for which a key that was taken away is still served
	tenantCalls  = 20              // with each key
	callInterval = 100 * time.Millisecond
)

// playTenants takes the last key away, by a configuration without the last tenant. No request with that key may run that was
// sent later than revokeTime after the acknowledgement. Without the disruption, the tenant gets another key instead.
func playTenants(c caseConfig) (broken bool, err error) {
	f, err := newFleet(c.bin, 284, c.rec)
	if err != nil {
		return false, err
	}
	c.onStop(f.stop)
	f.putConfig(deskConfig("key-0"))
	replicas, err := f.startReplicas("desk", 2, 5*time.Millisecond)
	if err != nil {
		return false, err
	}
	if err := f.startMachines(map[string][]string{"rosario": {"front-rosario-1"}, "cordoba": {"front-cordoba-1"}}); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	callers := newClients(c.rec, "key-0")
	call := func() {
		machines := f.running()
		for i := range tenantCalls {
			callers.send(machines[i%len(machines)], http.MethodPost, "/book/1", strings.NewReader("{}"), time.Second)
			time.Sleep(callInterval)
		}
	}
	call()
	config := deskConfig("key-1")
	if c.trouble {
		config["tenants"] = []any{}
	}
	takenAt := f.putConfig(config)
	c.rec.say("version %d takes key-0 away: acknowledged by the store", f.version)
	time.Sleep(revokeTime + time.Second)
	call()
	callers.useKey("key-that-was-never-configured")
	call()
	c.rec.say("answers by status: %s", callers.summary())
	late, unknown := 0, 0
	for _, s := range replicas {
		for _, r := range s.allRuns() {
			q := callers.request(r.id)
			d := q.sentAt.Sub(takenAt)
			switch {
			case q.key != "key-0":
				unknown++
			case d > revokeTime:
				late++
			default:
				continue
			}
			c.rec.add("request %s with %s was sent to %s %d ms after key-0 was taken away, and ran at %s for tenant %q", r.id, q.key, q.machine, d.Milliseconds(), r.replica, r.tenant)
		}
	}
	c.rec.say("%d requests with the key ran later than %d ms after it was taken away, and %d with a key that no configuration ever held", late, revokeTime.Milliseconds(), unknown)
	return late > 0, nil
}
