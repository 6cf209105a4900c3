package cfvnode

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"coltsfootvalve/standins/cfvfakeengine"
	"coltsfootvalve/standins/cfvfakeplain"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

// longPrompt spans several cache blocks.
var longPrompt = strings.Repeat("density and flammability norm, sheet 17; ", 1200)

func TestReturningPromptIsCachedThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	runVirtual(t, clusterConfig{entries: 3, engines: 2}, func(t *testing.T, c *cluster) {
		first := c.chat(0, chamberKey, longPrompt, 8, true)
		assert.Assert(t, first.complete)
		assert.Equal(t, first.cachedTokens, 0)
		for entry := range c.nodes {
			again := c.chat(entry, chamberKey, longPrompt, 8, true)
			assert.Equal(t, again.text, expectedText(longPrompt, 8))
			assert.Assert(t, again.cachedTokens >= 12_000, "entry %d: %d tokens cached", entry, again.cachedTokens)
		}
	})
}

func TestWorkspacesShareNoCache(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, domains: []string{"rosario"}})
	c.chat(0, chamberKey, longPrompt, 1, false)
	assert.Equal(t, c.chat(1, gnomesKey, longPrompt, 1, false).cachedTokens, 0)
	assert.Assert(t, c.chat(1, chamberKey, longPrompt, 1, false).cachedTokens > 0)
}

func TestWrongKeyReachesNoEndpoint(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, engines: 1, services: 1, domains: []string{"rosario"}})
	for _, key := range []string{"", "nobody", "chamber"} {
		resp := c.chat(0, key, "hello", 1, false)
		assert.Equal(t, resp.status, http.StatusUnauthorized)
		assert.Equal(t, resp.ranState, "no")
		assert.Equal(t, c.book(0, key, "k").status, http.StatusUnauthorized)
	}
	assert.Equal(t, c.engines["regions/pampeana/rosario/a0"].Stats().Requests, 0)
	assert.Equal(t, c.runCount("k"), 0)
}

func TestCallersGetOnlyWholeResponses(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		fault  cfvfault.Fault
		stream bool
	}{
		"truncated stream is resumed":            {cfvfault.Fault{Mode: cfvfault.Truncate, Count: 1}, true},
		"silent stream is resumed":               {cfvfault.Fault{Mode: cfvfault.Silent, Count: 1}, true},
		"stream of another request is retried":   {cfvfault.Fault{Mode: cfvfault.WrongRequestID, Count: 1}, true},
		"truncated response is retried":          {cfvfault.Fault{Mode: cfvfault.Truncate, Count: 1}, false},
		"response to another request is retried": {cfvfault.Fault{Mode: cfvfault.WrongRequestID, Count: 1}, false},
		"engine error is retried":                {cfvfault.Fault{Mode: cfvfault.Fail, Count: 1}, false},
		"connection lost before the response":    {cfvfault.Fault{Mode: cfvfault.Outage, Count: 1, Route: "/v1/chat/completions"}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterConfig{entries: 2, engines: 1})
			for _, e := range c.engines {
				f := tt.fault
				f.Route = "/v1/chat/completions"
				e.SetFault(f)
			}
			resp := c.chat(0, chamberKey, "which grade", 12, tt.stream)
			assert.Assert(t, resp.complete, "status %d reason %s", resp.status, resp.reason)
			assert.Equal(t, resp.text, expectedText("which grade", 12))
		})
	}
}

// Failure: a stream that stalls, but sends a byte now and then, is not resumed and fails at the request's time
// limit.
func TestStreamThatDribblesIsResumed(t *testing.T) {
	t.Parallel()
	runVirtual(t, clusterConfig{entries: 2, engines: 1}, func(t *testing.T, c *cluster) {
		for _, e := range c.engines {
			e.SetFault(cfvfault.Fault{Mode: cfvfault.Dribble, Count: 1, Route: "/v1/chat/completions"})
		}
		resp := c.chat(0, chamberKey, "which grade", 12, true)
		assert.Assert(t, resp.complete, "status %d reason %s", resp.status, resp.reason)
		assert.Equal(t, resp.text, expectedText("which grade", 12))
	})
}

func TestStreamThatNeverEndsHasNoDoneEvent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, engines: 1, domains: []string{"rosario"}})
	for _, e := range c.engines {
		e.SetFault(cfvfault.Fault{Mode: cfvfault.Truncate})
	}
	resp := c.chat(0, chamberKey, "which grade", 400, true)
	assert.Assert(t, !resp.complete)
	assert.Assert(t, resp.reason != "")
	assert.Assert(t, strings.HasPrefix(expectedText("which grade", 400), resp.text), "tokens were lost or duplicated")
}

func TestColdEngineStaysWithinItsLimit(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, engines: 2, engine: func(cfg *cfvfakeengine.Config) {
		cfg.ColdFor = time.Hour
	}, settings: `{"root": {"warmSlots": 2}}`})
	var wg sync.WaitGroup
	for i := range 90 {
		wg.Go(func() { c.chat(i%3, chamberKey, fmt.Sprint("lookup ", i), 4, false) })
	}
	time.Sleep(20 * time.Millisecond)
	c.kill(2)
	for path := range c.engines {
		c.engines[path].Restart()
		break
	}
	wg.Wait()
	for path, e := range c.engines {
		s := e.Stats()
		assert.Equal(t, s.Crashes, 0, "%s crashed: %+v", path, s)
	}
}

// withLongReserveTimeout is for tests of endpoint responses, which must not fail because an
// owner is slow on the test host.
func withLongReserveTimeout(cfg *Config) { cfg.ReserveTimeout = time.Minute }

func TestPlainCalls(t *testing.T) {
	t.Parallel()
	lost := cfvfault.Fault{Mode: cfvfault.LoseResponses, Route: "/book"}
	tests := map[string]struct {
		fault   cfvfault.Fault
		method  string
		path    string
		key     string
		status  int
		ran     string
		runs    int
		request string
	}{
		"method, path and status are passed on":           {cfvfault.Fault{}, "PUT", "/book", "", 200, "", 1, "r"},
		"booking is created":                              {cfvfault.Fault{}, "POST", "/book", "k", 201, "", 1, "k"},
		"lost response without a key is unknown":          {lost, "POST", "/book", "", 502, "unknown", 1, "r"},
		"lost response with a key is unknown":             {lost, "POST", "/book", "k", 502, "unknown", 1, "k"},
		"missing response is unknown":                     {cfvfault.Fault{Mode: cfvfault.Silent, Route: "/book"}, "POST", "/book", "k", 504, "unknown", 1, "k"},
		"truncated response is unknown":                   {cfvfault.Fault{Mode: cfvfault.Truncate, Route: "/book"}, "POST", "/book", "k", 502, "unknown", 1, "k"},
		"response to another request is unknown":          {cfvfault.Fault{Mode: cfvfault.WrongRequestID, Route: "/book"}, "POST", "/book", "k", 502, "unknown", 1, "k"},
		"error response of the service is passed on":      {cfvfault.Fault{Mode: cfvfault.Fail, Route: "/book"}, "POST", "/book", "k", 500, "", 1, "k"},
		"idempotent call with a lost response is retried": {cfvfault.Fault{Mode: cfvfault.LoseResponses, Route: "/stock", Count: 1}, "GET", "/stock", "", 200, "", 2, "r"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runVirtual(t, clusterConfig{entries: 2, services: 1, domains: []string{"rosario"}, settings: `{"services/orders": {"silenceMillis": 400, "requestMillis": 800}}`, nodeConfig: withLongReserveTimeout}, func(t *testing.T, c *cluster) {
				for _, d := range c.services {
					d.SetFault(tt.fault)
				}
				header := []string{"X-Request-Id", "r"}
				if tt.key != "" {
					header = append(header, "Idempotency-Key", tt.key)
				}
				resp := c.send(0, chamberKey, tt.method, "/services/orders"+tt.path, "{}", header...)
				assert.Equal(t, resp.status, tt.status, resp.body)
				assert.Equal(t, resp.ranState, tt.ran)
				assert.Equal(t, c.runCount(tt.request), tt.runs)
			})
		})
	}
}

func TestConcurrentBookingsWithOneKeyRunOnce(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 3, services: 2, service: cfvfakeplain.Config{CallTime: 50 * time.Millisecond}})
	var wg sync.WaitGroup
	responses := make([]response, 9)
	for i := range responses {
		wg.Go(func() { responses[i] = c.book(i%3, chamberKey, "order-1") })
	}
	wg.Wait()
	for _, resp := range responses {
		assert.Equal(t, resp.status, http.StatusCreated, resp.body)
	}
	assert.Equal(t, c.runCount("order-1"), 1)
	other := c.send(1, chamberKey, http.MethodPost, "/services/orders/book", `{"blocks":99}`, "Idempotency-Key", "order-1")
	assert.Equal(t, other.reason, "keyReused")
	assert.Equal(t, c.book(1, gnomesKey, "order-1").status, http.StatusCreated)
	assert.Equal(t, c.runCount("order-1"), 2, "two workspaces may use the same key")
}

func TestBookingIsNotRunWhileKeyValueStoreIsDown(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, services: 1})
	c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.Outage})
	resp := c.book(0, chamberKey, "order-1")
	assert.Equal(t, resp.reason, "claimUnavailable")
	assert.Equal(t, resp.ranState, "no")
	assert.Equal(t, c.runCount("order-1"), 0)
	keyless := c.send(1, chamberKey, http.MethodPost, "/services/orders/book", "{}", "X-Request-Id", "r")
	assert.Equal(t, keyless.status, http.StatusCreated)
	c.kv.SetFault(cfvfault.Fault{})
	c.eventually("the booking is accepted after the outage", func() bool {
		return c.book(1, chamberKey, "order-1").status == http.StatusCreated
	})
	assert.Equal(t, c.runCount("order-1"), 1)
}

func TestLostKeyValueResponsesRunNoBookingTwice(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, services: 1})
	c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.LoseResponses, Route: "/v3/kv/txn", Count: 3})
	for i := range 6 {
		c.book(i%2, chamberKey, "order-1")
	}
	assert.Equal(t, c.runCount("order-1"), 1)
}

func TestNothingSecretIsLogged(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, services: 1})
	resp := c.chat(0, chamberKey, "the secret sheet", 8, true)
	assert.Assert(t, resp.complete)
	c.book(0, chamberKey, "order-1")
	for _, e := range c.engines {
		e.SetFault(cfvfault.Fault{Mode: cfvfault.Fail})
	}
	c.chat(1, chamberKey, "the secret sheet", 8, true)
	logs := c.logs.String()
	assert.Assert(t, strings.Contains(logs, "is refused"))
	for _, secret := range []string{chamberKey, "the secret sheet", strings.TrimSpace(resp.text)} {
		assert.Assert(t, !strings.Contains(logs, secret), "logs contain %q", secret)
	}
}
