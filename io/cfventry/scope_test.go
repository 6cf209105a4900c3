package cfventry

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/core/cfvcall"
	"coltsfootvalve/core/cfvfleet"
	"coltsfootvalve/core/cfvparts"
	"coltsfootvalve/io/cfvreserve"

	"gotest.tools/v3/assert"
)

// scopeFleet is a weightsFleet whose callers have a workspace and send long prompts.
type scopeFleet struct {
	*weightsFleet
	version int64
	sent    []cfvcall.ForwardOptions
}

func newScopeFleet(t *testing.T) *scopeFleet {
	f := &scopeFleet{weightsFleet: newWeightsFleet(t, map[string]int64{"e1": 1, "e2": 1}), version: 1}
	codec := &f.entry.cfg.Codec
	codec.ReadRequestMeta = func(h http.Header) (cfvcall.RequestMeta, error) {
		return cfvcall.RequestMeta{ID: h.Get(testRequestID), APIKey: "key", Timeout: 20 * time.Second, Prompt: cfvcall.Prompt{
			Model: "m", Parts: []cfvcall.Part{{ID: "aa", Tokens: 2000}, {ID: "bb", Tokens: 1000}}, Tokens: 3000, MaxOutput: 8,
		}}, nil
	}
	codec.RequestHeader = func(h http.Header, opts cfvcall.ForwardOptions) http.Header {
		f.sent = append(f.sent, opts)
		return h.Clone()
	}
	f.isolate(false)
	return f
}

// isolate makes the callers' workspace isolated, or not.
func (f *scopeFleet) isolate(isolated bool) {
	f.version++
	f.apply(cfvfleet.Change{Config: &cfvfleet.Config{
		Version: f.version, Services: []cfvfleet.Service{{Name: "s"}}, Workspaces: []cfvfleet.Workspace{{Name: "w", Keys: []string{"key"}, Isolated: isolated}},
		Routes: []cfvfleet.Route{{Name: "ask", Host: "h", PathPrefix: "/ask/", Kind: cfvfleet.Streaming, Service: "s", MaxAttempts: 2}},
	}})
}

// Failure: a request that was admitted or planned under one configuration was sent with the cache salt that it gave,
// although the workspace had become isolated before it was sent.
func TestRequestIsSentWithTheCacheScopeInForce(t *testing.T) {
	shared := cfvcall.Salt{Model: "m", Version: 1, Scope: "all"}.String()
	isolated := cfvcall.Salt{Model: "m", Version: 1, Scope: "only.w"}.String()
	tests := map[string]struct {
		before bool // whether the workspace is isolated at admission
		holds  int  // how often the request is held, and then the configuration changes
		salt   string
		want   string
		fetch  string
	}{
		"no change":                            {salt: shared, want: shared, fetch: "store:1"},
		"isolated while it is held":            {holds: 1, salt: shared, want: isolated},
		"no longer isolated while it is held":  {before: true, holds: 1, salt: isolated, want: shared},
		"the placer knows another version":     {salt: isolated, want: shared},
		"the placer does not isolate it":       {before: true, salt: shared, want: isolated},
		"the placer knows the same version":    {before: true, salt: isolated, want: isolated, fetch: "store:1"},
		"isolated and shared again while held": {holds: 2, salt: shared, want: shared},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newScopeFleet(t)
				now := tt.before
				f.isolate(now)
				time.Sleep(cfvparts.ScopeSettleTime)
				holds := tt.holds
				f.entry.cfg.Reserve = func(_ context.Context, req cfvreserve.Request) (cfvreserve.Grant, bool) {
					assert.Equal(t, req.Isolated != "", now)
					if holds--; holds >= 0 {
						now = !now
						f.isolate(now)
						return cfvreserve.Grant{Placement: cfvreserve.Placement{Hold: 50 * time.Millisecond}}, true
					}
					return cfvreserve.Grant{Placement: cfvreserve.Placement{Endpoint: "e1", Salt: tt.salt, Transfers: cfvparts.Transfers{Fetch: []string{"store:1"}, Save: []string{""}}}}, true
				}
				f.entry.cfg.Settle = func(cfvreserve.Grant, string, bool) {}
				got := ask(f.entry, "/ask/1", "r")
				f.close()
				assert.Equal(t, got.Code, http.StatusOK)
				assert.Equal(t, len(f.sent), 1)
				assert.Equal(t, f.sent[0].Salt, tt.want)
				fetch := ""
				if len(f.sent[0].FetchFrom) > 0 {
					fetch = f.sent[0].FetchFrom[0]
				}
				assert.Equal(t, fetch, tt.fetch)
			})
		})
	}
}

// Failure: an entry fetched parts of a cache scope that had returned, while a leader that did not know this yet freed them.
func TestNothingIsFetchedUnderAScopeThatReturnedJustNow(t *testing.T) {
	x := func(changes ...bool) (index *cfvfleet.Index) {
		v := cfvfleet.NewView()
		for i, isolated := range changes {
			v.Apply(time.Duration(i+1)*time.Hour, cfvfleet.Change{Config: &cfvfleet.Config{Version: int64(i + 1), Workspaces: []cfvfleet.Workspace{{Name: "w", Isolated: isolated}}}})
		}
		return v.Index()
	}
	tests := map[string]struct {
		index *cfvfleet.Index
		scope string
		now   time.Duration
		want  bool
	}{
		"from the start":           {x(true), "only.w", time.Hour, false},
		"returned just now":        {x(true, false, true), "only.w", 3 * time.Hour, true},
		"returned a while ago":     {x(true, false, true), "only.w", 3*time.Hour + cfvparts.ScopeSettleTime, false},
		"not used":                 {x(true, false), "only.w", 9 * time.Hour, true},
		"of a removed workspace":   {x(true), "only.gone", 9 * time.Hour, true},
		"shared, unchanged before": {x(false, false, false), "all", 3 * time.Hour, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, newCacheScope(tt.now, tt.index, tt.scope).settling, tt.want)
		})
	}
}
