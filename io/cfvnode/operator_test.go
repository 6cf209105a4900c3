package cfvnode

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"

	"coltsfootvalve/io/cfvforward"
	"coltsfootvalve/io/cfvopenai"
	"coltsfootvalve/io/cfvoperator"
	"coltsfootvalve/standins/cfvfakeengine"

	"gotest.tools/v3/assert"
)

// operator returns a client for the operator API of a node.
func (c *cluster) operator(i int, token string) *cfvoperator.Client {
	return cfvoperator.NewClient("http://"+c.nodes[i].cfg.OperatorAddress, token)
}

func TestOfTwoConcurrentChangesOneGetsAConflict(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 1, domains: []string{"rosario"}, settings: `{"services/assistant": {"activeVersion": "v1"}}`})
	seen := c.nodes[0].settings.Revision()
	errs := make([]error, 2)
	var wg sync.WaitGroup
	for i, version := range []string{"v2", "v3"} {
		wg.Go(func() {
			_, errs[i] = c.operator(i, "").Change(t.Context(), cfvoperator.ChangesJSON{Author: version, Expected: seen, Changes: []cfvoperator.ChangeJSON{
				{Path: "services/assistant", Name: "moveTo", Value: version},
				{Path: "services/assistant", Name: "moveStart", Value: "1"},
				{Path: "services/assistant", Name: "moveDeadline", Value: "2"},
			}})
		})
	}
	wg.Wait()
	conflicts := 0
	for _, err := range errs {
		var r *cfvoperator.APIError
		if errors.As(err, &r) && r.Reason == "conflict" {
			conflicts++
		}
	}
	assert.Equal(t, conflicts, 1, "%v", errs)
}

func TestOperatorAPIRequiresToken(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, engines: 1, domains: []string{"rosario"}, nodeConfig: func(cfg *Config) { cfg.OperatorToken = "secret" }})
	_, err := c.operator(0, "wrong").Status(t.Context())
	assert.ErrorContains(t, err, "unauthorized")
	s, err := c.operator(0, "secret").Status(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, s.Node, "entry-0")
	var tree map[string]any
	assert.NilError(t, c.operator(0, "secret").Do(t.Context(), http.MethodGet, "/settings", nil, &tree))
	assert.Assert(t, tree["workspaces/chamber"] != nil)
}

func TestRequestIsExplained(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, engines: 1, domains: []string{"rosario"}})
	body := `{"model":"assistant","max_tokens":1,"prompt":"the secret sheet"}`
	c.send(0, chamberKey, http.MethodPost, "/v1/completions", body, "X-Request-Id", "r-1")
	var e cfvoperator.ExplanationJSON
	assert.NilError(t, c.operator(0, "").Do(t.Context(), http.MethodGet, "/requests/r-1", nil, &e))
	assert.Equal(t, e.Workspace, "chamber")
	assert.Assert(t, len(e.Notes) > 0 && strings.HasPrefix(e.Notes[0].Text, "slot on pampeana/rosario/a0"))
	err := c.operator(0, "").Do(t.Context(), http.MethodGet, "/requests/other", nil, &e)
	assert.ErrorContains(t, err, "404")
}

// TestVersionSwappedWithoutItsOwner makes an engine load another version without its owner's
// knowledge. Requests for the active version must be served by other engines, and none by the
// wrong version.
func TestVersionSwappedWithoutItsOwner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{
		entries: 2, engines: 2, domains: []string{"rosario"}, settings: `{"services/assistant": {"activeVersion": "v1", "retryPercent": 100}}`,
		engine: func(cfg *cfvfakeengine.Config) { cfg.EnforceFencing = true },
	})
	order := cfvopenai.VersionOrder{Version: "v2", FencingToken: 7}
	assert.NilError(t, cfvforward.New(cfvforward.Config{}).OrderVersion(t.Context(), c.addresses["regions/pampeana/rosario/a0"], order))
	order = cfvopenai.VersionOrder{Version: "v3", FencingToken: 6}
	assert.ErrorContains(t, cfvforward.New(cfvforward.Config{}).OrderVersion(t.Context(), c.addresses["regions/pampeana/rosario/a0"], order), "old fencing number")
	for i := range 40 {
		resp := c.chat(i%2, chamberKey, "which grade", 4, i%3 == 0)
		assert.Equal(t, resp.status, http.StatusOK, resp.body)
		assert.Equal(t, resp.text, expectedText("which grade", 4))
	}
}
