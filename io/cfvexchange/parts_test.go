package cfvexchange

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvnotice"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvstate"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
)

func TestPartsKeepTheirEvidenceOnTheWire(t *testing.T) {
	key := cfvlimit.PartKey{Service: "s", Part: "p"}
	tests := map[string][]cfvlimit.PartSuspicion{
		"uncleared":       {{PartKey: key, Crashes: []cfvlimit.PartCrash{{Endpoint: "a", Age: time.Second}, {Endpoint: "b", Answering: true}}}},
		"answered before": {{PartKey: key, Answered: true, Crashes: []cfvlimit.PartCrash{{Endpoint: "a", Age: time.Second}, {Endpoint: "b", Age: 2 * time.Second}}}},
		"cleared": {{PartKey: key, Answered: true, Crashes: []cfvlimit.PartCrash{
			{Endpoint: "a", Age: time.Millisecond, Cleared: true}, {Endpoint: "b", Age: 3 * time.Second, Cleared: true, Answering: true},
		}}},
		"some cleared, though they are newer": {
			{PartKey: key, Answered: true, Crashes: []cfvlimit.PartCrash{{Endpoint: "a", Age: 5 * time.Second}}},
			{PartKey: key, Answered: true, Crashes: []cfvlimit.PartCrash{{Endpoint: "b", Age: time.Second, Cleared: true}}},
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, partsFromWire(partsToWire(want)), want)
		})
	}
	served := servedFromWire(servedToWire(map[string]time.Duration{"s": time.Second}))
	assert.Equal(t, served["s"], time.Second+time.Millisecond) // rounded up
}

// newSuspectingExchange returns an exchange whose entry suspects some requests, and the suspicions that it receives.
func newSuspectingExchange(name string, suspected ...cfvlimit.Suspicion) (*Exchange, *[]cfvlimit.Suspicion) {
	now := func() time.Duration { return time.Hour }
	received := new([]cfvlimit.Suspicion)
	return New(Config{
		Self: name, Now: now, Log: cfvlog.Discard(),
		State: cfvstate.New(cfvstate.Config{Now: now, Log: cfvlog.Discard(), Decode: func(cfvmirror.Record) (c cfvfleet.Change, err error) { return c, nil }}),
		Loads: func() map[string]cfvdispatch.Load { return nil }, Demands: func() map[string]cfvdispatch.Demand { return nil },
		Parts:      func(f func(*cfvparts.Catalog)) { f(cfvparts.NewCatalog()) },
		PartUpdate: func(string) (u cfvlimit.PartUpdate) { return u }, MergeParts: func(cfvlimit.PartUpdate) {}, Notices: func() []cfvnotice.Update { return nil }, MergeNotice: func(time.Duration, cfvnotice.Update) {},
		Suspicions:   func() []cfvlimit.Suspicion { return suspected },
		AddSuspicion: func(s cfvlimit.Suspicion) { *received = append(*received, s) },
	}), received
}

// Failure: a request that crashed an endpoint at an entry that is no relay was unknown to all others until a
// relay happened to pull from that entry, at most once in sixteen pulls and from any of the fleet.
func TestEntryTellsOfSuspectRequestsWhenItPulls(t *testing.T) {
	until := time.Now().Add(40 * time.Second)
	entry, _ := newSuspectingExchange("entry", cfvlimit.Suspicion{Fingerprint: "f", Endpoints: []string{"a/1", "b/2"}, Until: until})
	relay, received := newSuspectingExchange("relay")
	_, err := relay.Pull(context.Background(), connect.NewRequest(entry.pullRequest("relay:1")))
	assert.NilError(t, err)
	assert.Equal(t, len(*received), 1)
	got := (*received)[0]
	assert.Equal(t, got.Fingerprint, "f")
	assert.DeepEqual(t, got.Endpoints, []string{"a/1", "b/2"})
	assert.Assert(t, got.Until.Sub(until).Abs() < 10*time.Second, "until %s", got.Until.Sub(until))
}

// Failure: a relay that was started again at its address counted as told of all that the one before had been told.
func TestRestartedRelayIsToldAgain(t *testing.T) {
	var told []string
	entry, _ := newSuspectingExchange("entry")
	entry.cfg.PartUpdate = func(peer string) (u cfvlimit.PartUpdate) {
		told = append(told, peer)
		return u
	}
	entry.cfg.Parts = func(f func(*cfvparts.Catalog)) { f(cfvparts.NewCatalog()) }
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	defer server.Close()
	relay, _ := newSuspectingExchange("relay")
	mux.Handle(relay.Handler())
	addr := strings.TrimPrefix(server.URL, "http://")
	pull := func(startMillis int64) string {
		relay.cfg.StartMillis = startMillis
		_, err := entry.pull(context.Background(), addr)
		assert.NilError(t, err)
		return told[len(told)-1]
	}
	pull(1)
	first := pull(1)
	assert.Equal(t, pull(1), first)
	pull(2)
	assert.Assert(t, pull(2) != first)
}
