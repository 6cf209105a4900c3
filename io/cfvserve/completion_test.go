package cfvserve

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfvlog"
	"coltsfootvalve/common/cfvmetric"
	"coltsfootvalve/core/cfvcatalog"
	"coltsfootvalve/core/cfvmember"
	"coltsfootvalve/core/cfvslot"
	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvforward"
	"coltsfootvalve/io/cfvmembership"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvplace"
	"coltsfootvalve/io/cfvtier"
	"coltsfootvalve/standins/cfvfakeengine"
	"coltsfootvalve/standins/cfvfakenet"

	"gotest.tools/v3/assert"
)

const testAddress = "127.0.0.1:1"

// testCatalog returns the catalog of a service that moves from v1 to v2 and has one endpoint.
func testCatalog(t *testing.T) *cfvcatalog.Catalog {
	t.Helper()
	changes, err := cfvtree.DecodeChanges([]byte(`{
		"services/assistant": {"activeVersion": "v1", "moveTo": "v2", "moveStart": 1, "moveDeadline": 2},
		"regions/pampeana/rosario/a0": {"service": "assistant", "address": "` + testAddress + `"}
	}`))
	assert.NilError(t, err)
	tree, err := cfvtree.Tree{}.Apply(changes)
	assert.NilError(t, err)
	return cfvcatalog.New(1, tree)
}

// testPlacement returns an entry whose owner grants the endpoint for every version.
func testPlacement(c *cfvcatalog.Catalog, self cfvmember.Member) *cfvplace.Entry {
	return cfvplace.NewEntry(cfvplace.EntryConfig{
		Self: self, Catalog: func() *cfvcatalog.Catalog { return c }, Lease: time.Second, ReserveTimeout: time.Second,
		View: func() cfvmembership.View {
			return cfvmembership.View{Serving: map[string][]string{self.Region: {self.Name}}}
		},
		Reserve: func(_ context.Context, _ string, r cfvslot.Request) (cfvslot.Decision, error) {
			g, _ := c.Group(r.Group)
			return cfvslot.Decision{Slot: r.Slot, Grant: &cfvslot.Grant{
				Slot: r.Slot, Endpoint: g.Endpoints[0].Name, Address: testAddress, Version: r.Version, Epoch: "entry-0/1",
			}}, nil
		},
		Log: cfvlog.New(io.Discard, self.Name), Metrics: cfvmetric.New(),
	})
}

// testServer returns a server that sends requests to one engine, which runs v2.
func testServer(t *testing.T, c *cfvcatalog.Catalog, versionFor func() string) *Server {
	t.Helper()
	network := cfvfakenet.New(time.Millisecond)
	t.Cleanup(func() {
		network.Close()
		time.Sleep(time.Minute) // lets all goroutines end
	})
	l, err := network.Listen("tcp", testAddress)
	assert.NilError(t, err)
	engine := cfvfakeengine.New(cfvfakeengine.Config{Name: "a0", Version: "v2", MaxBatch: 4, CacheBlocks: 4})
	engines := &http.Server{Handler: engine.Handler()}
	go func() { _ = engines.Serve(l) }()
	t.Cleanup(func() { _ = engines.Close() })
	self := cfvmember.Member{Name: "entry-0", Region: "pampeana"}
	catalog := func() *cfvcatalog.Catalog { return c }
	metrics := cfvmetric.New()
	return New(Config{
		Self: self, Catalog: catalog, Acquire: testPlacement(c, self).Acquire,
		Forward:    cfvforward.New(cfvforward.Config{Dial: network.DialContext}),
		Tier:       cfvtier.New(cfvtier.Config{Catalog: catalog, Metrics: metrics, Dial: network.DialContext}),
		VersionFor: func(cfvcatalog.Service, string) string { return versionFor() }, RecordResult: func(RequestResult) {},
		Log: cfvlog.New(io.Discard, self.Name), Metrics: metrics, Traces: NewTraces(), Quarantine: NewQuarantine(),
	})
}

// Failure: the last endpoint has left the old version, its owner doesn't know yet, and a request that was given the
// old version before all traffic moved is refused with versionNotLoaded.
func TestRequestFollowsTheMoveIfItsVersionIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCatalog(t)
		version := "v1"
		s := testServer(t, c, func() string {
			defer func() { version = "v2" }()
			return version
		})
		service, ok := c.Service("assistant")
		assert.Assert(t, ok)
		body, err := json.Marshal(cfvopenai.Request{Model: "assistant", Prompt: "which grade", MaxTokens: 2})
		assert.NilError(t, err)
		req, err := cfvopenai.DecodeRequest(body)
		assert.NilError(t, err)
		resp, err := s.Complete(t.Context(), Completion{RequestID: "r1", Service: service, Path: "/v1/completions", Request: req}, nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusOK)
		assert.Equal(t, resp.Version, "v2")
	})
}
