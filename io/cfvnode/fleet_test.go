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

// replace stops a node as planned and starts a new process in its place.
func (c *cluster) replace(i int) {
	c.t.Helper()
	assert.Equal(c.t, c.nodes[i].Stop(context.Background()).Interrupted, int64(0))
	n, err := New(c.nodes[i].cfg, c.logs)
	assert.NilError(c.t, err)
	assert.NilError(c.t, n.Start())
	c.mu.Lock()
	c.nodes[i] = n
	c.mu.Unlock()
	c.eventually("the new process is ready", func() bool {
		return c.send(i, chamberKey, http.MethodGet, "/ready", "").status == http.StatusOK
	})
}

func TestAllEntriesAreReplacedUnderLoad(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{entries: 4, engines: 2})
	l := c.startLoad(c.ready)
	c.waitServed(l, 100)
	for i := range c.nodes {
		c.replace(i)
		c.waitServed(l, 30)
	}
	assert.Equal(t, l.end(), "")
}

func TestSilentWatchIsReplaced(t *testing.T) {
	t.Parallel()
	patient := func(cfg *Config) { cfg.KeyValueTimeout = time.Minute } // calls, not watches
	c := newCluster(t, shape{entries: 1, engines: 1, domains: []string{"rosario"}, config: patient})
	c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.Silent, Route: "/v3/watch", Count: 1})
	c.eventually("the fault is taken", func() bool { return c.kv.Stats().Watches >= 2 })
	revision := c.nodes[0].settings.Revision()
	c.kv.SetFault(cfvfault.Fault{})
	other := cfvsettings.New(cfvsettings.Config{
		KeyValue: cfvsettings.KeyValue{
			Get: c.nodes[0].keyValue.Get, Swap: c.nodes[0].keyValue.Swap, Put: c.nodes[0].keyValue.Put, Delete: c.nodes[0].keyValue.Delete,
		},
		Log: c.nodes[0].log, Metrics: c.nodes[0].metrics,
	})
	_, err := other.Propose(t.Context(), cfvsettings.Proposal{Changes: []cfvtree.Change{
		{Path: "root", Name: cfvtree.QueueMillis, Value: cfvtree.IntValue(5)},
	}})
	assert.NilError(t, err)
	c.eventually("the change is learnt by the new watch", func() bool { return c.nodes[0].settings.Revision() > revision })
}

func TestBodiesAreBounded(t *testing.T) {
	t.Parallel()
	c := newCluster(t, shape{entries: 1, engines: 1, desks: 1, domains: []string{"rosario"}, settings: `{"root": {"maxBodyBytes": 1000}}`})
	big := strings.Repeat("x", 2000)
	a := c.chat(0, chamberKey, big, 1, false)
	assert.Equal(t, a.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, a.ran, "no")
	b := c.send(0, chamberKey, http.MethodPost, "/services/orders/book", big, "X-Request-Id", "r")
	assert.Equal(t, b.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, b.reason, "bodyTooLarge")
	assert.Equal(t, c.runs("r"), 0)
	assert.Equal(t, c.send(0, chamberKey, http.MethodPost, "/services/nothing/x", "").reason, "unknownService")
	assert.Equal(t, c.send(0, chamberKey, http.MethodPost, "/v1/chat/completions", "{").reason, "badRequest")
}

// BenchmarkSettingsEverywhere measures the time from a change's acceptance until all
// nodes have it in force, with the key-value service up and down right after.
func BenchmarkSettingsEverywhere(b *testing.B) {
	for name, outage := range map[string]bool{"service-up": false, "service-down-at-once": true} {
		for _, n := range []int{2, 4, 8, 16} {
			b.Run(fmt.Sprintf("%s/nodes=%d", name, n), func(b *testing.B) {
				c := newCluster(b, shape{entries: n, engines: 1, domains: []string{"rosario"}})
				var worst, sum time.Duration
				const changes = 10
				for range b.N {
					for i := range changes {
						c.kv.SetFault(cfvfault.Fault{})
						c.apply(fmt.Sprintf(`{"root": {"queueMillis": %d}}`, i+1))
						if outage {
							c.kv.SetFault(cfvfault.Fault{Mode: cfvfault.Outage})
						}
						began := time.Now()
						c.inForceEverywhere()
						took := time.Since(began)
						sum += took
						worst = max(worst, took)
					}
				}
				b.ReportMetric(float64(sum.Milliseconds())/float64(changes*b.N), "mean-ms")
				b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
				c.kv.SetFault(cfvfault.Fault{})
				c.stop()
			})
		}
	}
}

// BenchmarkColdStart restarts every engine at once under load and measures what engines
// were sent against what was served, and how often one fell over.
func BenchmarkColdStart(b *testing.B) {
	for range b.N {
		c := newCluster(b, gnomeShape())
		gnomeLoad(c, []string{chamberKey}, 150, 6*time.Second, 1)
		before := c.sums()
		go func() {
			time.Sleep(time.Second)
			for _, e := range c.engines {
				e.Restart()
			}
		}()
		r := gnomeLoad(c, []string{chamberKey}, 150, 8*time.Second, 2)
		after := c.sums()
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
		c.stop()
	}
}

func (c *cluster) sums() (sum cfvfakeengine.Stats) {
	for _, e := range c.engines {
		s := e.Stats()
		sum.Requests += s.Requests
		sum.Crashes += s.Crashes
		sum.MostCold = max(sum.MostCold, s.MostCold)
	}
	return sum
}
