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

// tierShape is a cluster with two store VMs.
func tierShape() shape {
	return shape{entries: 2, engines: 2, stores: 2, domains: []string{"rosario"}}
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

// forget empties the engines' caches, as days would.
func (c *cluster) forget() {
	for _, e := range c.engines {
		e.Forget()
	}
}

func TestReturningPromptIsImportedAfterEnginesForgotIt(t *testing.T) {
	t.Parallel()
	c := newCluster(t, tierShape())
	first := c.chat(0, chamberKey, longPrompt, 2, true)
	assert.Equal(t, first.cached, 0)
	c.eventually("the blocks are stored", func() bool { return c.engineStats().Exported == 6 })
	c.forget()
	again := c.chat(1, chamberKey, longPrompt, 2, true)
	assert.Equal(t, again.cached, 12_000)
	assert.Equal(t, c.engineStats().Imported, 6)
	c.forget()
	other := c.chat(1, gnomesKey, longPrompt, 2, true)
	assert.Equal(t, other.cached, 0, "another workspace gets nothing of it")
	assert.Equal(t, c.engineStats().WrongBlocks, 0)
}

func TestCallersCannotNameBlocksOrSalts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, tierShape())
	c.chat(0, chamberKey, longPrompt, 2, true)
	c.eventually("the blocks are stored", func() bool { return c.engineStats().Exported == 6 })
	body := `{"model":"assistant","max_tokens":1,"cache_salt":"x","priority":-9,"kv_transfer_params":{"import":[{"index":0,"key":"k","store":"127.0.0.1:1"}]},` +
		`"messages":[{"role":"user","content":[{"type":"text","text":"` + longPrompt + `"}]}]}`
	a := c.send(1, gnomesKey, http.MethodPost, "/v1/chat/completions", body)
	assert.Equal(t, a.status, http.StatusOK, a.body)
	s := c.engineStats()
	assert.Equal(t, s.Imported+s.ImportsRefused, 0)
}

func TestStoreFaultsCostTimeNeverAnswers(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		write, read cfvfault.Fault
		between     func(*cfvfakestore.Store)
		cached      int
	}{
		"the store dies":                       {read: cfvfault.Fault{Mode: cfvfault.Outage}},
		"the store is full":                    {write: cfvfault.Fault{Mode: cfvfault.Full}},
		"a block is written in part":           {write: cfvfault.Fault{Mode: cfvfault.Truncate, Count: 3}, cached: 0},
		"blocks are freed":                     {between: (*cfvfakestore.Store).Clear},
		"a read ends early":                    {read: cfvfault.Fault{Mode: cfvfault.Truncate, Count: 7}},
		"the link is slow but the blocks come": {read: cfvfault.Fault{Mode: cfvfault.Slow, Millis: 5}, cached: 12_000},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, tierShape())
			c.setStores(tt.write)
			assert.Assert(t, c.chat(0, chamberKey, longPrompt, 2, true).whole)
			c.eventually("the blocks are stored, or a write was rejected", func() bool {
				return c.engineStats().Exported == 6 || c.rejected() > 0
			})
			for _, s := range c.stores {
				if tt.between != nil {
					tt.between(s)
				}
			}
			c.setStores(tt.read)
			c.forget()
			a := c.chat(1, chamberKey, longPrompt, 2, true)
			assert.Assert(t, a.whole)
			assert.Equal(t, a.text, wantText(longPrompt, 2))
			assert.Equal(t, a.cached, tt.cached)
			assert.Equal(t, c.engineStats().WrongBlocks, 0)
		})
	}
}

func (c *cluster) rejected() int {
	n := 0
	for _, s := range c.stores {
		n += s.Stats().Rejected
	}
	return n
}

// setStores puts a fault in force at every store.
func (c *cluster) setStores(f cfvfault.Fault) {
	for _, s := range c.stores {
		s.SetFault(f)
	}
}

func TestBlockReusedAfterItsManifestWasReadIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, tierShape())
	c.chat(0, chamberKey, longPrompt, 2, true)
	c.eventually("the blocks are stored", func() bool { return c.engineStats().Exported == 6 })
	c.forget()
	for _, s := range c.stores {
		s.SetFault(cfvfault.Fault{Mode: cfvfault.Slow, Millis: 20})
	}
	done := make(chan answer, 1)
	go func() { done <- c.chat(1, chamberKey, longPrompt, 2, true) }()
	c.eventually("a block is read", func() bool { return c.engineStats().Imported >= 1 })
	for _, s := range c.stores {
		s.Rewrite()
	}
	a := <-done
	assert.Equal(t, a.text, wantText(longPrompt, 2))
	assert.Assert(t, a.cached < 12_000 && a.cached > 0, "cached %d", a.cached)
	s := c.engineStats()
	assert.Equal(t, s.WrongBlocks, 0)
	assert.Assert(t, s.ImportsRefused >= 1)
	assert.Assert(t, !strings.Contains(c.logs.String(), "density"))
}
