package cfvnode

import (
	"net/http"
	"strings"
	"testing"

	"coltsfootvalve/standins/cfvfakeengine"
	"coltsfootvalve/standins/cfvfakestore"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

// storeCluster describes a cluster with two store VMs.
func storeCluster() clusterConfig {
	return clusterConfig{entries: 2, engines: 2, stores: 2, domains: []string{"rosario"}}
}

func (c *cluster) engineStats() (sum cfvfakeengine.Stats) {
	for _, e := range c.engines {
		s := e.Stats()
		sum.Imported += s.Imported
		sum.ImportsRefused += s.ImportsRefused
		sum.Exported += s.Exported
		sum.WrongBlocks += s.WrongBlocks
	}
	return sum
}

// clearEngineCaches empties the engines' caches, as if all blocks had been evicted over time.
func (c *cluster) clearEngineCaches() {
	for _, e := range c.engines {
		e.ClearCache()
	}
}

func TestReturningPromptIsImportedAfterEviction(t *testing.T) {
	t.Parallel()
	c := newCluster(t, storeCluster())
	first := c.chat(0, chamberKey, longPrompt, 2, true)
	assert.Equal(t, first.cachedTokens, 0)
	c.eventually("the blocks are stored", func() bool { return c.engineStats().Exported == 6 })
	c.clearEngineCaches()
	again := c.chat(1, chamberKey, longPrompt, 2, true)
	assert.Equal(t, again.cachedTokens, 12_000)
	assert.Equal(t, c.engineStats().Imported, 6)
	c.clearEngineCaches()
	other := c.chat(1, gnomesKey, longPrompt, 2, true)
	assert.Equal(t, other.cachedTokens, 0, "another workspace must not use the stored blocks")
	assert.Equal(t, c.engineStats().WrongBlocks, 0)
}

func TestCallersCannotSetBlocksOrSalts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, storeCluster())
	c.chat(0, chamberKey, longPrompt, 2, true)
	c.eventually("the blocks are stored", func() bool { return c.engineStats().Exported == 6 })
	body := `{"model":"assistant","max_tokens":1,"cache_salt":"x","priority":-9,"kv_transfer_params":{"import":[{"index":0,"key":"k","store":"127.0.0.1:1"}]},` +
		`"messages":[{"role":"user","content":[{"type":"text","text":"` + longPrompt + `"}]}]}`
	resp := c.send(1, gnomesKey, http.MethodPost, "/v1/chat/completions", body)
	assert.Equal(t, resp.status, http.StatusOK, resp.body)
	s := c.engineStats()
	assert.Equal(t, s.Imported+s.ImportsRefused, 0)
}

func TestStoreFaultsFailNoRequest(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		write, read cfvfault.Fault
		between     func(*cfvfakestore.Store)
		cached      int
	}{
		"store outage":    {read: cfvfault.Fault{Mode: cfvfault.Outage}},
		"full store":      {write: cfvfault.Fault{Mode: cfvfault.Full}},
		"truncated write": {write: cfvfault.Fault{Mode: cfvfault.Truncate, Count: 3}, cached: 0},
		"freed blocks":    {between: (*cfvfakestore.Store).Clear},
		"truncated read":  {read: cfvfault.Fault{Mode: cfvfault.Truncate, Count: 7}},
		"slow read":       {read: cfvfault.Fault{Mode: cfvfault.Slow, Millis: 5}, cached: 12_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, storeCluster())
			c.setStoreFault(tt.write)
			assert.Assert(t, c.chat(0, chamberKey, longPrompt, 2, true).complete)
			c.eventually("the blocks are stored, or a write was rejected", func() bool {
				return c.engineStats().Exported == 6 || c.rejectedWrites() > 0
			})
			for _, s := range c.stores {
				if tt.between != nil {
					tt.between(s)
				}
			}
			c.setStoreFault(tt.read)
			c.clearEngineCaches()
			resp := c.chat(1, chamberKey, longPrompt, 2, true)
			assert.Assert(t, resp.complete)
			assert.Equal(t, resp.text, expectedText(longPrompt, 2))
			assert.Equal(t, resp.cachedTokens, tt.cached)
			assert.Equal(t, c.engineStats().WrongBlocks, 0)
		})
	}
}

func (c *cluster) rejectedWrites() int {
	n := 0
	for _, s := range c.stores {
		n += s.Stats().Rejected
	}
	return n
}

// setStoreFault sets a fault at every store.
func (c *cluster) setStoreFault(f cfvfault.Fault) {
	for _, s := range c.stores {
		s.SetFault(f)
	}
}

func TestBlockOverwrittenAfterLookupIsNotImported(t *testing.T) {
	t.Parallel()
	c := newCluster(t, storeCluster())
	c.chat(0, chamberKey, longPrompt, 2, true)
	c.eventually("the blocks are stored", func() bool { return c.engineStats().Exported == 6 })
	c.clearEngineCaches()
	for _, s := range c.stores {
		s.SetFault(cfvfault.Fault{Mode: cfvfault.Slow, Millis: 20})
	}
	done := make(chan response, 1)
	go func() { done <- c.chat(1, chamberKey, longPrompt, 2, true) }()
	c.eventually("a block is imported", func() bool { return c.engineStats().Imported >= 1 })
	for _, s := range c.stores {
		s.OverwriteBlocks()
	}
	resp := <-done
	assert.Equal(t, resp.text, expectedText(longPrompt, 2))
	assert.Assert(t, resp.cachedTokens < 12_000 && resp.cachedTokens > 0, "cached %d", resp.cachedTokens)
	s := c.engineStats()
	assert.Equal(t, s.WrongBlocks, 0)
	assert.Assert(t, s.ImportsRefused >= 1)
	assert.Assert(t, !strings.Contains(c.logs.String(), "density"))
}
