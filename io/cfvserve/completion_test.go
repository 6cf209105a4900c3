package cfvserve

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"coltsfootvalve/common/cfverror"
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

// Addresses of the endpoints. The second one is used if the first one has failed.
const (
	testAddress  = "127.0.0.1:1"
	spareAddress = "127.0.0.1:2"
)

// testCatalog returns the catalog of a model service that moves from v1 to v2, and of a plain
// service, with two endpoints each.
func testCatalog(t *testing.T) *cfvcatalog.Catalog {
	t.Helper()
	changes, err := cfvtree.DecodeChanges([]byte(`{
		"services/assistant": {"activeVersion": "v1", "moveTo": "v2", "moveStart": 1, "moveDeadline": 2},
		"services/orders": {"kind": "plain"},
		"regions/pampeana/rosario/a0": {"service": "assistant", "address": "` + testAddress + `"},
		"regions/pampeana/rosario/a1": {"service": "assistant", "address": "` + spareAddress + `"},
		"regions/pampeana/rosario/o0": {"service": "orders", "address": "` + testAddress + `"},
		"regions/pampeana/rosario/o1": {"service": "orders", "address": "` + spareAddress + `"}
	}`))
	assert.NilError(t, err)
	tree, err := cfvtree.Tree{}.Apply(changes)
	assert.NilError(t, err)
	return cfvcatalog.New(1, tree)
}

// testPlacement returns an entry whose owner grants the first endpoint that is not excluded, for
// every version.
func testPlacement(c *cfvcatalog.Catalog, self cfvmember.Member) *cfvplace.Entry {
	return cfvplace.NewEntry(cfvplace.EntryConfig{
		Self: self, Catalog: func() *cfvcatalog.Catalog { return c }, Lease: time.Second, ReserveTimeout: time.Second,
		View: func() cfvmembership.View {
			return cfvmembership.View{Serving: map[string][]string{self.Region: {self.Name}}}
		},
		Reserve: func(_ context.Context, _ string, r cfvslot.Request) (cfvslot.Decision, error) {
			g, _ := c.Group(r.Group)
			for _, endpoint := range g.Endpoints {
				if !slices.Contains(r.Exclude, endpoint.Name) {
					return cfvslot.Decision{Slot: r.Slot, Grant: &cfvslot.Grant{
						Slot: r.Slot, Endpoint: endpoint.Name, Address: endpoint.Address, Version: r.Version, Epoch: "entry-0/1",
					}}, nil
				}
			}
			return cfvslot.Decision{Slot: r.Slot, Reason: cfverror.ReasonNoEndpoint}, nil
		},
		Log: cfvlog.New(io.Discard, self.Name), Metrics: cfvmetric.New(),
	})
}

// testNetwork returns a network that is closed at the end of the test.
func testNetwork(t *testing.T) *cfvfakenet.Network {
	network := cfvfakenet.New(time.Millisecond)
	t.Cleanup(func() {
		network.Close()
		time.Sleep(2 * time.Minute) // longer than every timeout, so that all goroutines end
	})
	return network
}

// serveEngine serves an engine that runs v2 at an address.
func serveEngine(t *testing.T, network *cfvfakenet.Network, address string) *cfvfakeengine.Engine {
	t.Helper()
	l, err := network.Listen("tcp", address)
	assert.NilError(t, err)
	engine := cfvfakeengine.New(cfvfakeengine.Config{Name: address, Version: "v2", MaxBatch: 4, CacheBlocks: 4})
	s := &http.Server{Handler: engine.Handler()}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return engine
}

// serveEndlessHeads reads one request from each connection to an address and sends a head that never
// ends.
func serveEndlessHeads(t *testing.T, network *cfvfakenet.Network, address string) {
	t.Helper()
	l, err := network.Listen("tcp", address)
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go sendEndlessHead(c)
		}
	}()
}

func sendEndlessHead(c net.Conn) {
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
	for err == nil {
		time.Sleep(100 * time.Millisecond)
		_, err = io.WriteString(c, "X: x\r\n")
	}
}

// testServer returns a server that sends requests to the endpoints on a network.
func testServer(network *cfvfakenet.Network, c *cfvcatalog.Catalog, versionFor func() string) *Server {
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

// testCompletion returns a completion request.
func testCompletion(t *testing.T, c *cfvcatalog.Catalog, stream bool) Completion {
	t.Helper()
	service, ok := c.Service("assistant")
	assert.Assert(t, ok)
	body, err := json.Marshal(cfvopenai.Request{Model: "assistant", Prompt: "which grade", MaxTokens: 2, Stream: stream})
	assert.NilError(t, err)
	req, err := cfvopenai.DecodeRequest(body)
	assert.NilError(t, err)
	return Completion{RequestID: "r1", Service: service, Path: "/v1/completions", Request: req}
}

// Failure: the last endpoints have left the old version, their owner doesn't know yet, and a request that was given the
// old version before all traffic moved is refused with versionNotLoaded.
func TestRequestFollowsTheMoveIfItsVersionIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCatalog(t)
		version := "v1"
		network := testNetwork(t)
		serveEngine(t, network, testAddress)
		serveEngine(t, network, spareAddress)
		s := testServer(network, c, func() string {
			defer func() { version = "v2" }()
			return version
		})
		resp, err := s.Complete(t.Context(), testCompletion(t, c, false), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusOK)
		assert.Equal(t, resp.Version, "v2")
	})
}

// Failure: a completion waits for a head that never ends until its time limit, and no other endpoint is asked.
func TestCompletionIsRetriedAfterAHeadThatNeverEnds(t *testing.T) {
	for _, stream := range []bool{false, true} {
		t.Run(fmt.Sprintf("stream %v", stream), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := testCatalog(t)
				network := testNetwork(t)
				serveEndlessHeads(t, network, testAddress)
				engine := serveEngine(t, network, spareAddress)
				begin := time.Now()
				resp, err := testServer(network, c, func() string { return "v2" }).Complete(t.Context(), testCompletion(t, c, stream), func(cfvopenai.Response) error { return nil })
				assert.NilError(t, err)
				assert.Equal(t, resp.Status, http.StatusOK)
				assert.Equal(t, engine.Stats().Requests, 1)
				assert.Assert(t, time.Since(begin) <= 2*time.Second, "took %s", time.Since(begin))
			})
		})
	}
}

// Failure: a call that must not run twice waits for a head that never ends until its time limit.
func TestCallWithAHeadThatNeverEndsIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testCatalog(t)
		network := testNetwork(t)
		serveEndlessHeads(t, network, testAddress)
		spare := serveEngine(t, network, spareAddress)
		service, ok := c.Service("orders")
		assert.Assert(t, ok)
		begin := time.Now()
		_, err := testServer(network, c, nil).Call(t.Context(), Call{RequestID: "r1", Service: service, Method: http.MethodPost, Path: "/book"})
		refusal := cfverror.From(err)
		assert.Equal(t, refusal.Reason, cfverror.ReasonEndpointSilent)
		assert.Equal(t, refusal.Ran, cfverror.RanUnknown)
		assert.Equal(t, spare.Stats().Requests, 0, "the call was sent again")
		assert.Assert(t, time.Since(begin) <= 2*time.Second, "took %s", time.Since(begin))
	})
}

// Failure: a request whose response was lost is refused at its second attempt, and the caller hears that it did not
// run.
func TestRefusalAfterALostResponseIsNotCalledNotRun(t *testing.T) {
	tests := map[string]func(t *testing.T, s *Server, c *cfvcatalog.Catalog) error{
		"idempotent call": func(t *testing.T, s *Server, c *cfvcatalog.Catalog) error {
			service, ok := c.Service("orders")
			assert.Assert(t, ok)
			_, err := s.Call(t.Context(), Call{RequestID: "r1", Service: service, Method: http.MethodGet, Path: "/stock"})
			return err
		},
		"completion": func(t *testing.T, s *Server, c *cfvcatalog.Catalog) error {
			_, err := s.Complete(t.Context(), testCompletion(t, c, false), nil)
			return err
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := testCatalog(t)
				network := testNetwork(t)
				serveEndlessHeads(t, network, testAddress)
				s := testServer(network, c, func() string { return "v2" })
				acquire, attempts := s.cfg.Acquire, 0
				s.cfg.Acquire = func(ctx context.Context, r cfvplace.Request) (*cfvplace.Slot, *cfverror.Refusal) {
					if attempts++; attempts > 1 {
						return nil, cfverror.NotRun(cfverror.ReasonDrained, "no slot")
					}
					return acquire(ctx, r)
				}
				refusal := cfverror.From(send(t, s, c))
				assert.Equal(t, attempts, 2)
				assert.Equal(t, refusal.Reason, cfverror.ReasonDrained)
				assert.Equal(t, refusal.Ran, cfverror.RanUnknown)
			})
		})
	}
}
