package commands

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/standins/cfvfakereplica"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

// rolloutState returns the state of a service's roll-out that operators read; empty if there is none.
func (f *fleet) rolloutState(service string) string {
	record, ok := f.entries[0].state.Record("status/rollout/" + service)
	if !ok {
		return ""
	}
	var w struct{ State, Target string }
	assert.NilError(f.t, json.Unmarshal(record.Value, &w))
	assert.Equal(f.t, w.Target, "v2")
	return w.State
}

// rolloutOver reports whether each entry knows that the roll-out of a service has ended, and sent no request to the
// given endpoints that still runs, unless they serve from then on.
func (f *fleet) rolloutOver(service string, ids []string) bool {
	for _, e := range f.entries {
		var r *cfvfleet.Rollout
		e.state.Read(func(v *cfvfleet.View) { r = v.Rollout(service) })
		if r == nil || r.Progress.Phase == cfvfleet.RolloutRunning {
			return false
		}
		for _, id := range ids {
			if r.Progress.Phase == cfvfleet.RolloutRolledBack && e.entry.Loads()[id].Running > 0 {
				return false
			}
		}
	}
	return true
}

// startVersion starts two endpoints of another software version.
func (f *fleet) startVersion(service, version string, faults cfvfault.Fault) (ids []string) {
	for i := range 2 {
		id := fmt.Sprintf("%s-%s-%d", service, version, i)
		r := cfvfakereplica.New(cfvfakereplica.Config{ID: id})
		r.SetFault(faults)
		f.endpoints[id], f.addrs[id] = r, f.serve(r.Handler())
		f.put("servers/"+id, map[string]any{"service": service, "addr": f.addrs[id], "zone": "north", "version": version, "slots": 8, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": 1})
		ids = append(ids, id)
	}
	return ids
}

// callDesk sends requests to all entries until stop is closed, and counts them.
func (f *fleet) callDesk(stop <-chan struct{}, count *atomic.Int64) (wait func()) {
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				f.send(i%len(f.entries), http.MethodGet, "/look/up", shopKey, "")
				count.Add(1)
			}
		})
	}
	return wg.Wait
}

// learnTime is how late an entry may learn of an order; it counts the order's time from then on.
const learnTime = time.Second

// Guards against orders of the operators that nobody carries out, and against callers who get a bad version's
// responses.
func TestRolloutsAreCarriedOut(t *testing.T) {
	tests := map[string]struct {
		faults cfvfault.Fault
		want   string
	}{
		"good":  {cfvfault.Fault{}, "completed"},
		"fails": {cfvfault.Fault{Mode: cfvfault.Fail}, "rolled_back"},
		"slow":  {cfvfault.Fault{Mode: cfvfault.Slow, Millis: 300}, "rolled_back"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, cfvfakereplica.Config{RequestTime: 5 * time.Millisecond}, cfvfakereplica.Config{StreamEvents: 1, Model: "m"})
			stop, requests := make(chan struct{}), &atomic.Int64{}
			wait := f.callDesk(stop, requests)
			f.eventually("requests are sent", func() bool { return requests.Load() > 200 })
			before := requests.Load()
			f.put("op/rollout/desk", map[string]any{"service": "desk", "target": "v2", "durationS": 8})
			deadline := time.Now().Add(8 * time.Second)
			f.eventually("the roll-out runs", func() bool { return f.rolloutState("desk") == "running" })
			ids := f.startVersion("desk", "v2", tt.faults)
			f.eventually("the roll-out has ended", func() bool { return f.rolloutState("desk") != "running" })
			assert.Equal(t, f.rolloutState("desk"), tt.want, f.logs.String())
			f.eventually("all entries know of the end, and no request runs at the version", func() bool { return f.rolloutOver("desk", ids) })
			if tt.want == "completed" {
				early := len(f.endpoints[ids[0]].Runs()) + len(f.endpoints[ids[1]].Runs())
				assert.Assert(t, float64(early) <= 0.1*float64(requests.Load()-before)+50, "%d requests reached the version before its deadline", early)
				time.Sleep(time.Until(deadline.Add(learnTime))) // until then the exposure is bounded
			}
			seen, after := len(f.endpoints[ids[0]].Runs())+len(f.endpoints[ids[1]].Runs()), requests.Load()
			f.eventually("more requests are sent", func() bool { return requests.Load() > after+100 })
			close(stop)
			wait()
			now := len(f.endpoints[ids[0]].Runs()) + len(f.endpoints[ids[1]].Runs())
			if tt.want == "completed" {
				assert.Assert(t, now-seen >= 100, "%d requests reached the version after the end", now-seen)
				return
			}
			assert.Equal(t, now, seen, "requests after the rollback")
			assert.Assert(t, float64(seen) <= 0.1*float64(requests.Load()-before)+50, "%d requests reached the bad version", seen)
		})
	}
}
