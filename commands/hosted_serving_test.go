package commands

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/standins/cfvfakereplica"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

// newPlainFleet starts a fleet whose endpoints respond at once.
func newPlainFleet(t *testing.T, entries int) *fleet {
	return newFleet(t, entries, cfvfakereplica.Config{}, cfvfakereplica.Config{StreamEvents: 4, Model: "m"})
}

func (f *fleet) setFaults(service string, fault cfvfault.Fault) {
	for id, r := range f.endpoints {
		if strings.HasPrefix(id, service) {
			r.SetFault(fault)
		}
	}
}

func TestHostedRequestReachesAnEndpointAsTheCallerSentIt(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	g := f.send(0, http.MethodPost, "/book/17?x=1", shopKey, "three blocks", "X-Coltsfootvalve-Tenant", "forged", "X-Coltsfootvalve-Hold", "h")
	assert.Equal(t, g.status, http.StatusOK)
	assert.Equal(t, g.body, "the whole answer")
	assert.Assert(t, strings.HasPrefix(g.header.Get("X-Coltsfootvalve-Server-Stamp"), "stamp."))
	runs := f.runs(g.id)
	assert.Equal(t, len(runs), 1)
	assert.Equal(t, runs[0].Workspace, "of-"+shopKey)
	assert.Equal(t, runs[0].Body, "three blocks")
}

func TestHostedRefusals(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	tests := map[string]struct {
		path, key, body string
		headers         []string
		status          int
	}{
		"no route":              {path: "/nowhere/", key: shopKey, status: http.StatusNotFound},
		"a prefix of a route":   {path: "/boo", key: shopKey, status: http.StatusNotFound},
		"no key":                {path: "/book/", status: http.StatusUnauthorized},
		"an unknown key":        {path: "/book/", key: "guess", status: http.StatusUnauthorized},
		"a public route":        {path: "/open/", status: http.StatusOK},
		"a body over the limit": {path: "/book/", key: shopKey, body: strings.Repeat("x", 1<<20+1), status: http.StatusRequestEntityTooLarge},
		"an invalid deadline":   {path: "/book/", key: shopKey, headers: []string{"X-Coltsfootvalve-Deadline-Ms", "soon"}, status: http.StatusBadRequest},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := f.send(0, http.MethodPost, tt.path, tt.key, tt.body, tt.headers...)
			assert.Equal(t, g.status, tt.status)
			if tt.status != http.StatusOK {
				assert.Equal(t, len(f.runs(g.id)), 0)
			}
		})
	}
}

func TestHostedFaultsOfEndpoints(t *testing.T) {
	t.Parallel()
	const all = 1 << 20
	tests := map[string]struct {
		fault  cfvfault.Fault
		path   string
		runs   int // at all endpoints; -1: any number
		status int
	}{
		"an unsafe request that all reject has not run":            {cfvfault.Fault{Mode: cfvfault.Refuse}, "/book/", 0, http.StatusServiceUnavailable},
		"an unsafe request that one rejects runs once":             {cfvfault.Fault{Mode: cfvfault.Refuse, Count: 1}, "/book/", 1, http.StatusOK},
		"an unsafe request whose response is lost":                 {cfvfault.Fault{Mode: cfvfault.LoseResponses}, "/book/", 1, http.StatusBadGateway},
		"an unsafe request on a connection that breaks":            {cfvfault.Fault{Mode: cfvfault.Outage}, "/book/", 0, http.StatusBadGateway},
		"an unsafe request whose response is truncated":            {cfvfault.Fault{Mode: cfvfault.Truncate}, "/book/", 1, http.StatusBadGateway},
		"an unsafe request with the response to another request":   {cfvfault.Fault{Mode: cfvfault.WrongRequestID}, "/book/", 1, http.StatusBadGateway},
		"an unsafe request that fails":                             {cfvfault.Fault{Mode: cfvfault.Fail}, "/book/", 1, http.StatusInternalServerError},
		"a safe request whose response is lost once":               {cfvfault.Fault{Mode: cfvfault.LoseResponses, Count: 1}, "/look/", 2, http.StatusOK},
		"a safe request whose response is truncated once":          {cfvfault.Fault{Mode: cfvfault.Truncate, Count: 1}, "/look/", 2, http.StatusOK},
		"a safe request with the response to another request once": {cfvfault.Fault{Mode: cfvfault.WrongRequestID, Count: 1}, "/look/", 2, http.StatusOK},
		"a safe request uses only its attempts":                    {cfvfault.Fault{Mode: cfvfault.LoseResponses, Count: all}, "/look/", 2, http.StatusBadGateway},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPlainFleet(t, 1)
			if tt.fault.Count == 1 {
				// The first endpoint fails, whichever one it is.
				for _, r := range f.endpoints {
					r.SetFault(tt.fault)
				}
				g := f.send(0, http.MethodPost, tt.path, shopKey, "b")
				n := len(f.runs(g.id))
				// Each endpoint fails once, so the request may fail twice.
				assert.Assert(t, n <= 2, "%d runs", n)
				if tt.path == "/book/" {
					assert.Assert(t, n <= 1, "%d runs", n)
				}
				return
			}
			f.setFaults("desk", tt.fault)
			g := f.send(0, http.MethodPost, tt.path, shopKey, "b")
			assert.Equal(t, g.status, tt.status)
			assert.Equal(t, len(f.runs(g.id)), tt.runs)
			if g.refused {
				assert.Assert(t, g.header.Get("Retry-After") != "")
			}
		})
	}
}

func TestHostedRequestGoesToTheOtherEndpoint(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		mode cfvfault.Mode
		path string
	}{
		"after a rejection":                   {cfvfault.Refuse, "/book/"},
		"after a lost response, if safe":      {cfvfault.LoseResponses, "/look/"},
		"after a truncated response, if safe": {cfvfault.Truncate, "/look/"},
		"after a failure, if safe":            {cfvfault.Fail, "/look/"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPlainFleet(t, 1)
			f.endpoints["desk-0"].SetFault(cfvfault.Fault{Mode: tt.mode})
			for range 6 {
				g := f.send(0, http.MethodPost, tt.path, shopKey, "b")
				assert.Equal(t, g.status, http.StatusOK)
				assert.Assert(t, len(f.runs(g.id)) <= 2)
			}
		})
	}
}

// A request that was refused after failed attempts must not count as running.
func TestHostedAbandonedRequestsLeaveNoLoad(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	f.retrySlack = 0
	f.startEntry(1, f.keyValueStoreAddr)
	f.eventually("the entry is ready", func() bool { return f.ready(1) })
	f.setFaults("", cfvfault.Fault{Mode: cfvfault.Refuse})
	for range 5 {
		assert.Assert(t, f.send(1, http.MethodPost, "/look/", shopKey, "b").refused)
		assert.Assert(t, f.sendPrompt(1, "/ask/again/1", shopKey).refused)
	}
	f.eventually("nothing runs", func() bool { return len(f.entries[1].entry.Loads()) == 0 })
}

func TestHostedPublicRouteIsServedWithAnOldConfiguration(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	f.keyValueStore.SetFault(cfvfault.Fault{Mode: cfvfault.Outage})
	f.eventually("keys are refused", func() bool { return f.send(0, http.MethodPost, "/book/", shopKey, "").refused })
	assert.Equal(t, f.send(0, http.MethodPost, "/open/", "", "").status, http.StatusOK)
}

func TestHostedStream(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	g := f.sendPrompt(0, "/ask/1", shopKey)
	assert.Assert(t, g.complete)
	assert.DeepEqual(t, events(g.body), []string{"0", "1", "2", "3"})
}

func TestHostedTruncatedStreamIsIncomplete(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	f.setFaults("assistant", cfvfault.Fault{Mode: cfvfault.Truncate})
	g := f.sendPrompt(0, "/ask/1", shopKey)
	assert.Assert(t, !g.complete)
	assert.Equal(t, len(f.runs(g.id)), 1)
}

func TestHostedStreamResumesAtAnotherEndpoint(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	f.endpoints["assistant-0"].SetFault(cfvfault.Fault{Mode: cfvfault.Truncate})
	for range 4 {
		g := f.sendPrompt(0, "/ask/again/1", shopKey)
		assert.Assert(t, g.complete)
		assert.DeepEqual(t, events(g.body), []string{"0", "1", "2", "3"})
	}
}

func TestHostedWorkspacesShareCacheOnlyIfTheyMay(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	shared, isolated := f.runs(f.sendPrompt(0, "/ask/1", shopKey).id), f.runs(f.sendPrompt(0, "/ask/1", otherKey).id)
	assert.Assert(t, shared[0].Salt != "" && isolated[0].Salt != "" && shared[0].Salt != isolated[0].Salt)
	assert.Equal(t, shared[0].Weights, "1")
}

// Failure: after a workspace had become isolated, requests of the others used the cached parts that its requests had made.
func TestHostedWorkspaceThatBecomesIsolatedSharesNothingItMade(t *testing.T) {
	t.Parallel()
	const thirdKey = "third-key"
	keys := []string{shopKey, otherKey, thirdKey}
	tests := map[string][][]string{ // isolated in one configuration after the other
		"one becomes isolated":            {{}, {shopKey}},
		"one more becomes isolated":       {{otherKey}, {otherKey, shopKey}},
		"another one in its place":        {{otherKey}, {shopKey}},
		"isolated between two changes":    {{shopKey}, {}, {shopKey, otherKey}},
		"shared, and then isolated again": {{shopKey}, {}, {shopKey}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newPlainFleet(t, 1)
			makers := make(map[string][]string) // keys by salt of the parts
			for _, isolated := range steps {
				f.configureIsolated(isolated, keys...)
				f.eventually("the configuration is applied", func() bool { return f.entries[0].state.AsOf().Number() >= f.keyValueStore.Revision() })
				for _, key := range keys {
					runs := f.runs(f.sendPrompt(0, "/ask/1", key).id)
					assert.Equal(t, len(runs), 1)
					for _, maker := range makers[runs[0].Salt] {
						assert.Assert(t, maker == key || !slices.Contains(isolated, maker) && !slices.Contains(isolated, key),
							"a request of %s uses parts that one of %s made, while %v are isolated", key, maker, isolated)
					}
					makers[runs[0].Salt] = append(makers[runs[0].Salt], key)
				}
			}
		})
	}
}

func TestHostedCallerThatLeavesCancelsItsRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, cfvfakereplica.Config{}, cfvfakereplica.Config{StreamEvents: 100000, EventInterval: time.Millisecond, Model: "m"})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.entries[0].settings.CallerAddr+"/ask/1", strings.NewReader("p"))
	assert.NilError(t, err)
	req.Host = fleetHost
	req.Header.Set("X-Coltsfootvalve-Request-Id", "leaves")
	req.Header.Set("Authorization", "Token "+shopKey)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	_, err = resp.Body.Read(make([]byte, 8))
	assert.NilError(t, err)
	cancel()
	f.eventually("the endpoint is told to cancel", func() bool {
		return f.endpoints["assistant-0"].Cancelled("leaves") || f.endpoints["assistant-1"].Cancelled("leaves")
	})
	_ = resp.Body.Close()
}

// A request with both a Content-Length and chunked encoding can smuggle a second request:
// parsers that use the length take the second request as part of the body.
func TestHostedSmuggledRequestIsNotRun(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 1)
	c, err := net.Dial("tcp", f.entries[0].settings.CallerAddr)
	assert.NilError(t, err)
	defer c.Close()
	head := func(id string) string {
		return "Host: " + fleetHost + "\r\nAuthorization: Token " + shopKey + "\r\nX-Coltsfootvalve-Request-Id: " + id + "\r\n"
	}
	inner := "POST /book/2 HTTP/1.1\r\n" + head("inner") + "Content-Length: 0\r\n\r\n"
	_, err = fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\n%sContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", head("outer"), 5+len(inner), inner)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Assert(t, resp.Close, "the connection stays open after a request with two lengths")
	_ = resp.Body.Close()
	assert.Equal(t, len(f.runs("inner")), 0)
}

func TestHostedCrashingRequestIsQuarantined(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 2)
	for i := 2; i < 4; i++ {
		f.addEndpoint("desk", cfvfakereplica.Config{ID: fmt.Sprint("desk-", i)})
	}
	f.setFaults("desk", cfvfault.Fault{Mode: cfvfault.LoseResponses, Route: "/look/poison"})
	f.send(0, http.MethodPost, "/look/poison", shopKey, "poison")
	f.eventually("the other entry receives the suspicion", func() bool {
		g := f.send(1, http.MethodPost, "/look/poison", shopKey, "poison")
		return g.refused && len(f.runs(g.id)) == 0
	})
	g := f.send(1, http.MethodPost, "/look/good", shopKey, "good")
	assert.Equal(t, g.status, http.StatusOK)
}
