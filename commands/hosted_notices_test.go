package commands

import (
	"maps"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"coltsfootvalve/standins/cfvfakereplica"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

const headerLimit = "Server-Limit"

// sendFor sends requests to all entries in turn, with a pause between two, and counts their statuses.
func (f *fleet) sendFor(d, pause time.Duration) map[int]int {
	statuses := make(map[int]int)
	for i, start := 0, time.Now(); time.Since(start) < d; i++ {
		statuses[f.send(i%len(f.entries), http.MethodPost, "/book/", shopKey, "").status]++
		time.Sleep(pause)
	}
	return statuses
}

// arrivalsSince counts the requests that an endpoint got since a time.
func arrivalsSince(r *cfvfakereplica.Replica, t time.Time) (n int) {
	for _, at := range r.Arrivals() {
		if at.After(t) {
			n++
		}
	}
	return n
}

// Failure: an endpoint that named a limit got as many requests as before from all entries.
func TestHostedEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	t.Parallel()
	const perSecond, seconds = 2, 4
	f := newPlainFleet(t, 3)
	f.endpoints["desk-0"].SetHeader(headerLimit, "2.0")
	f.sendFor(time.Second, 10*time.Millisecond) // all entries have passed on a response that names it
	start := time.Now()
	statuses := f.sendFor(seconds*time.Second, 10*time.Millisecond)
	got := arrivalsSince(f.endpoints["desk-0"], start)
	assert.Assert(t, float64(got) <= 1.5*perSecond*seconds+5, "%d requests in %d s", got, seconds)
	assert.Assert(t, got >= 1, "it is never asked whether the limit holds")
	assert.DeepEqual(t, slices.Collect(maps.Keys(statuses)), []int{http.StatusOK}) // the other endpoint has no limit

	f.endpoints["desk-0"].SetHeader(headerLimit, "")
	const tries = 20
	for n := 0; ; n++ {
		start := time.Now()
		f.sendFor(500*time.Millisecond, 10*time.Millisecond)
		if arrivalsSince(f.endpoints["desk-0"], start) > 5 {
			break
		}
		assert.Assert(t, n < tries, "the limit has not ended")
	}
}

// Failure: requests waited, or were sent all the same, while all endpoints had named limits that others used up.
func TestHostedRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 2)
	for _, id := range []string{"desk-0", "desk-1"} {
		f.endpoints[id].SetHeader(headerLimit, "1")
	}
	f.sendFor(time.Second, 10*time.Millisecond)
	start := time.Now()
	statuses := f.sendFor(2*time.Second, 20*time.Millisecond)
	assert.Assert(t, statuses[http.StatusServiceUnavailable] > 10, "%v", statuses)
	for _, id := range []string{"desk-0", "desk-1"} {
		assert.Assert(t, arrivalsSince(f.endpoints[id], start) <= 8, id)
	}
	sent := time.Now()
	resp := f.send(0, http.MethodPost, "/book/", shopKey, "")
	assert.Assert(t, time.Since(sent) < 300*time.Millisecond)
	if resp.status == http.StatusServiceUnavailable {
		assert.Assert(t, resp.header.Get("Retry-After") != "")
	}
}

// Failure: an endpoint that said in its responses that it is leaving got requests until its item in the key-value store
// changed, and from entries out of touch with the store for longer.
func TestHostedEndpointThatSaysItIsLeavingGetsNothing(t *testing.T) {
	t.Parallel()
	const drainTime = 2 * time.Second
	f := newPlainFleet(t, 3)
	f.endpoints["desk-0"].SetHeader("Server-Leaving", "1")
	f.sendFor(500*time.Millisecond, 10*time.Millisecond)
	f.keyValueStore.SetFault(cfvfault.Fault{Mode: cfvfault.Outage, Count: 100})
	f.sendFor(drainTime, 50*time.Millisecond)
	start := time.Now()
	statuses := f.sendFor(time.Second, 10*time.Millisecond)
	assert.Equal(t, arrivalsSince(f.endpoints["desk-0"], start), 0)
	assert.DeepEqual(t, slices.Collect(maps.Keys(statuses)), []int{http.StatusOK})

	f.endpoints["desk-1"].SetHeader("Server-Leaving", "1")
	f.sendFor(500*time.Millisecond, 10*time.Millisecond)
	sent := time.Now()
	assert.Equal(t, f.send(0, http.MethodPost, "/book/", shopKey, "").status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(sent) < 300*time.Millisecond, "it is refused at once")
}

// Failure: an endpoint that had rejected a request and named a time to wait got other requests from the same entry meanwhile.
func TestHostedEndpointGetsNothingBeforeItsRetryAfter(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	f.endpoints["desk-0"].SetHeader("Retry-After", "2.5")
	f.endpoints["desk-0"].SetFault(cfvfault.Fault{Mode: cfvfault.Refuse, Count: 1000})
	f.eventually("it has rejected a request", func() bool {
		f.send(0, http.MethodPost, "/book/", shopKey, "")
		return len(f.endpoints["desk-0"].Arrivals()) > 0
	})
	start := time.Now()
	statuses := f.sendFor(2*time.Second, 10*time.Millisecond)
	assert.Equal(t, arrivalsSince(f.endpoints["desk-0"], start), 0)
	assert.DeepEqual(t, slices.Collect(maps.Keys(statuses)), []int{http.StatusOK})

	f.endpoints["desk-1"].SetHeader("Retry-After", "1.5")
	f.endpoints["desk-1"].SetFault(cfvfault.Fault{Mode: cfvfault.Refuse, Count: 1000})
	f.eventually("both have rejected requests", func() bool { return f.send(0, http.MethodPost, "/book/", shopKey, "").refused })
	resp := f.send(0, http.MethodPost, "/book/", shopKey, "")
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	wait, err := strconv.ParseFloat(resp.header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 0 && wait <= 1.5, "Retry-After %v", wait)

	for _, id := range []string{"desk-0", "desk-1"} {
		f.endpoints[id].SetHeader("Retry-After", "")
		f.endpoints[id].SetFault(cfvfault.Fault{})
	}
	f.eventually("it is over", func() bool { return f.send(0, http.MethodPost, "/book/", shopKey, "").status == http.StatusOK })
}
