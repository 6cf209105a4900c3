package commands

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests that the peers' listener changes, redirects or takes for its own, and against a workspace or an endpoint that the
// sender claims.
func TestHostedRequestsThatAreHandedOver(t *testing.T) {
	t.Parallel()
	f := newPlainFleet(t, 2)
	peers := f.entries[1].settings.PeerAddr
	send := func(path, key string) (id string, resp *http.Response) {
		id = t.Name() + path
		req, err := http.NewRequest(http.MethodPost, "http://"+peers+path, strings.NewReader("three blocks"))
		assert.NilError(t, err)
		req.Host = fleetHost
		for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "20000", "Handover": "0", "Tenant": "forged"} {
			req.Header.Set("X-Coltsfootvalve-"+name, value)
		}
		req.Header.Set("Authorization", "Token "+key)
		resp, err = http.DefaultTransport.RoundTrip(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		return id, resp
	}
	for _, path := range []string{"/book/17?x=1", "/book/a%2Fb"} {
		id, resp := send(path, shopKey)
		assert.Equal(t, resp.StatusCode, http.StatusOK, path)
		assert.Equal(t, resp.Header.Get("X-Coltsfootvalve-Handover"), "taken")
		runs := f.runs(id)
		assert.Equal(t, len(runs), 1, path)
		assert.Equal(t, runs[0].Workspace, "of-"+shopKey)
		assert.Equal(t, runs[0].Body, "three blocks")
	}
	for _, path := range []string{"/metrics", "/nowhere//x", "/nowhere/../metrics"} { // no route
		_, resp := send(path, shopKey)
		assert.Equal(t, resp.StatusCode, http.StatusNotFound, path)
		assert.Equal(t, resp.Header.Get("X-Coltsfootvalve-Handover"), "taken", path)
	}
	id, resp := send("/book/", "guess")
	assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, len(f.runs(id)), 0)
}
