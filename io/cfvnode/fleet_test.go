package cfvnode

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"coltsfootvalve/core/cfvtree"
	"coltsfootvalve/io/cfvsettings"
	"coltsfootvalve/standins/cfvfakeengine"
	"coltsfootvalve/standins/cfvfault"

	"gotest.tools/v3/assert"
)

// replaceNode stops a node gracefully and starts a new one with the same settings.
func (c *cluster) replaceNode(i int) {
	c.t.Helper()
	assert.Equal(c.t, c.nodes[i].Stop(context.Background()).Interrupted, int64(0))
	n, err := New(c.nodes[i].cfg, c.logs)
	assert.NilError(c.t, err)
	assert.NilError(c.t, n.Start())
	c.mu.Lock()
	c.nodes[i] = n
	c.mu.Unlock()
	c.eventually("the new node is ready", func() bool {
		return c.send(i, chamberKey, http.MethodGet, "/ready", "").status == http.StatusOK
	})
}

func TestAllEntriesAreReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	runVirtual(t, clusterConfig{entries: 4, engines: 2}, func(t *testing.T, c *cluster) {
		l := c.startLoad(c.pickReady)
		c.waitServed(l, 100)
		for i := range c.nodes {
			c.replaceNode(i)
			c.waitServed(l, 30)
		}
		assert.Equal(t, l.stopAndGetFailure(), "")
	})
}

func TestSilentWatchIsReplaced(t *testing.T) {
	t.Parallel()
	longTimeout := func(cfg *Config) { cfg.KeyValueTimeout = time.Minute } // applies to calls, not to watches
	c := newCluster(t, clusterConfig{entries: 1, engines: 1, domains: []string{"rosario"}, nodeConfig: longTimeout})
	c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.Silent, Route: "/v3/watch", Count: 1})
	c.eventually("the fault has hit a watch", func() bool { return c.kv.Stats().Watches >= 2 })
	revision := c.nodes[0].settings.Revision()
	c.kv.SetFault(cfvfault.Fault{})
	other := cfvsettings.New(cfvsettings.Config{
		KeyValue: cfvsettings.KeyValue{
			Get: c.nodes[0].kvStore.Get, Swap: c.nodes[0].kvStore.Swap, Put: c.nodes[0].kvStore.Put, Delete: c.nodes[0].kvStore.Delete,
		},
		Log: c.nodes[0].log, Metrics: c.nodes[0].metrics,
	})
	_, err := other.Propose(t.Context(), cfvsettings.Proposal{Changes: []cfvtree.Change{
		{Path: "root", Name: cfvtree.QueueMillis, Value: cfvtree.IntValue(5)},
	}})
	assert.NilError(t, err)
	c.eventually("the new watch delivers the change", func() bool { return c.nodes[0].settings.Revision() > revision })
}

func TestTooLargeBodiesAreRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 1, engines: 1, services: 1, domains: []string{"rosario"}, settings: `{"root": {"maxBodyBytes": 1000}}`})
	big := strings.Repeat("x", 2000)
	resp := c.chat(0, chamberKey, big, 1, false)
	assert.Equal(t, resp.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, resp.ranState, "no")
	b := c.send(0, chamberKey, http.MethodPost, "/services/orders/book", big, "X-Request-Id", "r")
	assert.Equal(t, b.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, b.reason, "bodyTooLarge")
	assert.Equal(t, c.runCount("r"), 0)
	assert.Equal(t, c.send(0, chamberKey, http.MethodPost, "/services/nothing/x", "").reason, "unknownService")
	assert.Equal(t, c.send(0, chamberKey, http.MethodPost, "/v1/chat/completions", "{").reason, "badRequest")
}

// BenchmarkSettingsEverywhere measures the time from the acceptance of a settings change until
// all nodes have applied it, while the key-value store is up and when it goes down right
// after the acceptance.
func BenchmarkSettingsEverywhere(b *testing.B) {
	for name, outage := range map[string]bool{"service-up": false, "service-down-at-once": true} {
		for _, n := range []int{2, 4, 8, 16} {
			b.Run(fmt.Sprintf("%s/nodes=%d", name, n), func(b *testing.B) {
				c := newCluster(b, clusterConfig{entries: n, engines: 1, domains: []string{"rosario"}})
				var worst, sum time.Duration
				const changes = 10
				for range b.N {
					for i := range changes {
						c.kv.SetFault(cfvfault.Fault{})
						c.apply(fmt.Sprintf(`{"root": {"queueMillis": %d}}`, i+1))
						if outage {
							c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.Outage})
						}
						start := time.Now()
						c.waitSettings()
						elapsed := time.Since(start)
						sum += elapsed
						worst = max(worst, elapsed)
					}
				}
				b.ReportMetric(float64(sum.Milliseconds())/float64(changes*b.N), "mean-ms")
				b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
				c.kv.SetFault(cfvfault.Fault{})
				c.stopNodes()
			})
		}
	}
}

// BenchmarkColdStart restarts all engines at once under load. It compares the requests sent to
// engines with the requests that callers sent, and counts engine crashes.
func BenchmarkColdStart(b *testing.B) {
	for range b.N {
		c := newCluster(b, largeCluster())
		runLoad(c, []string{chamberKey}, 150, 6*time.Second, 1)
		before := c.totalStats()
		go func() {
			time.Sleep(time.Second)
			for _, e := range c.engines {
				e.Restart()
			}
		}()
		r := runLoad(c, []string{chamberKey}, 150, 8*time.Second, 2)
		after := c.totalStats()
		refused := 0
		for _, n := range r.Refused {
			refused += n
		}
		offered := r.Served + refused
		b.ReportMetric(float64(offered), "offered")
		b.ReportMetric(float64(r.Served), "served")
		b.ReportMetric(float64(refused), "refused")
		b.ReportMetric(float64(after.Requests-before.Requests)/float64(offered), "sent/offered")
		b.ReportMetric(float64(after.Crashes-before.Crashes), "engines-fell-over")
		b.ReportMetric(float64(after.MostCold), "most-on-a-cold-engine")
		c.stopNodes()
	}
}

func (c *cluster) totalStats() (sum cfvfakeengine.Stats) {
	for _, e := range c.engines {
		s := e.Stats()
		sum.Requests += s.Requests
		sum.Crashes += s.Crashes
		sum.MostCold = max(sum.MostCold, s.MostCold)
	}
	return sum
}
