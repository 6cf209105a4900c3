package cfvexchange

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/core/cfvdispatch"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvlimit"
	"coltsfootvalve/core/cfvmirror"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvstate"

	"gotest.tools/v3/assert"
)

// roundTrip is an HTTP transport.
type roundTrip func(*http.Request) (*http.Response, error)

// RoundTrip calls the function.
func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against parts that are freed too early: entries that pulled from each other took a version of weights
// to be older with each pull, by 30 ms and more a second.
func TestAgesOfWeightsDoNotGrowByPulls(t *testing.T) {
	const oneWay = 20 * time.Millisecond
	start := time.Hour
	now := start
	clock := func() time.Duration { return now }
	var states []*cfvstate.State
	var exchanges []*Exchange
	for _, name := range []string{"a", "b"} {
		state := cfvstate.New(cfvstate.Config{Now: clock, Log: cfvlog.Discard(), Decode: func(cfvmirror.Record) (cfvfleet.Change, error) {
			return cfvfleet.Change{Weights: &cfvfleet.DesiredWeights{Model: "m", Version: 2}}, nil
		}})
		state.Confirm(0, now)
		state.Apply("test", []cfvmirror.Record{{Key: "weights", Revision: 1}}, 1, false)
		state.SetWeightsSince("m", 2, now)
		states = append(states, state)
		exchanges = append(exchanges, New(Config{
			Self: name, State: state, Now: clock, Log: cfvlog.Discard(), Parts: func(f func(c *cfvparts.Catalog)) { f(cfvparts.NewCatalog()) },
			Loads: func() map[string]cfvdispatch.Load { return nil }, Demands: func() map[string]cfvdispatch.Demand { return nil },
			Suspicions: func() []cfvlimit.Suspicion { return nil }, Count: func(string, int64) {},
			PartUpdate: func(string) cfvlimit.PartUpdate { return cfvlimit.PartUpdate{} }, MergeParts: func(cfvlimit.PartUpdate) {},
		}))
	}
	for i, x := range exchanges {
		_, handler := exchanges[1-i].Handler()
		x.client = &http.Client{Transport: roundTrip(func(r *http.Request) (*http.Response, error) {
			now += oneWay
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			now += oneWay
			return w.Result(), nil
		})}
	}
	for range 100 {
		for _, x := range exchanges {
			assert.NilError(t, x.pull(t.Context(), "peer"))
			now += pullInterval
		}
	}
	for _, s := range states {
		s.Read(func(v *cfvfleet.View) {
			d := v.Desired("m")
			assert.Assert(t, d.Certain)
			assert.Equal(t, d.Since, start, "off by %s", d.Since-start)
		})
	}
}
