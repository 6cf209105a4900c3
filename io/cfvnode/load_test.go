package cfvnode

import (
	"fmt"
	"testing"
	"time"

	"coltsfootvalve/io/cfvload"
	"coltsfootvalve/standins/cfvfakeengine"

	"gotest.tools/v3/assert"
)

// largeCluster has the size of a second deployment: four domains, twelve endpoints of the
// assistant service and eight entries.
func largeCluster() clusterConfig {
	return clusterConfig{
		entries: 8, engines: 3, domains: []string{"cork-a", "cork-b", "kerry-a", "waterford-a"},
		settings: `{"root": {"coldSlots": 2, "warmSlots": 6, "rampStepMillis": 1200}}`,
		engine: func(cfg *cfvfakeengine.Config) {
			cfg.PrefillPerToken, cfg.DecodePerToken = 20*time.Microsecond, 4*time.Millisecond
			cfg.MaxColdRequests, cfg.ColdFor, cfg.MaxBatch = 2, time.Second, 6
		},
	}
}

func (c *cluster) entryAddresses() []string {
	var out []string
	for _, n := range c.nodes {
		out = append(out, n.Address())
	}
	return out
}

func runLoad(c *cluster, keys []string, rate float64, length time.Duration, seed uint64) cfvload.Result {
	return cfvload.Run(c.t.Context(), cfvload.Config{
		Entries: c.entryAddresses(), Keys: keys, Model: "assistant", Rate: rate, Duration: length,
		LongShare: 0.4, ReturningShare: 0.7, PromptBytes: 32_000, MaxTokens: 20, Seed: seed,
	})
}

// BenchmarkDomainLeavesAndReturns drains one of four domains under a load that the other three
// can serve, and returns it to service. It reports goodput, refusals and the p95 time to first
// token before, during and after.
func BenchmarkDomainLeavesAndReturns(b *testing.B) {
	for _, rate := range []float64{150, 300} {
		b.Run(fmt.Sprintf("rate=%v", rate), func(b *testing.B) {
			for range b.N {
				c := newCluster(b, largeCluster())
				runLoad(c, []string{chamberKey}, rate, 6*time.Second, 1) // warms up the engines
				for _, phase := range []struct{ name, drained string }{{"before", ""}, {"during", "true"}, {"after", "false"}} {
					if phase.drained != "" {
						c.apply(fmt.Sprintf(`{"regions/pampeana/kerry-a": {"drained": %s}}`, phase.drained))
					}
					r := runLoad(c, []string{chamberKey}, rate, 6*time.Second, 2)
					refused := 0
					for _, n := range r.Refused {
						refused += n
					}
					b.ReportMetric(float64(r.Served)/6, phase.name+"-served/s")
					b.ReportMetric(float64(refused), phase.name+"-refused")
					b.ReportMetric(float64(r.FirstToken.ValueAtQuantile(95))/1000, phase.name+"-p95-ms")
				}
				c.stopNodes()
			}
		})
	}
}

// BenchmarkFlood measures the p95 time to first token of a workspace with little traffic,
// alone and while another workspace sends more than the cluster can serve.
func BenchmarkFlood(b *testing.B) {
	for range b.N {
		c := newCluster(b, largeCluster())
		runLoad(c, []string{chamberKey}, 150, 6*time.Second, 1)
		alone := runLoad(c, []string{gnomesKey}, 20, 6*time.Second, 2)
		flood := make(chan cfvload.Result)
		go func() { flood <- runLoad(c, []string{chamberKey}, 900, 6*time.Second, 3) }()
		duringFlood := runLoad(c, []string{gnomesKey}, 20, 6*time.Second, 2)
		f := <-flood
		refused := 0
		for _, n := range f.Refused {
			refused += n
		}
		b.ReportMetric(float64(alone.FirstToken.ValueAtQuantile(95))/1000, "alone-p95-ms")
		b.ReportMetric(float64(duringFlood.FirstToken.ValueAtQuantile(95))/1000, "beside-p95-ms")
		b.ReportMetric(float64(duringFlood.Served), "beside-served")
		b.ReportMetric(float64(alone.Served), "alone-served")
		b.ReportMetric(float64(f.Served)/6, "flood-served/s")
		b.ReportMetric(float64(refused)/6, "flood-refused/s")
		c.stopNodes()
	}
}

func TestLoadMeasuresAndPlots(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, engines: 2})
	r := cfvload.Run(t.Context(), cfvload.Config{
		Entries: c.entryAddresses(), Keys: []string{chamberKey}, Model: "assistant", Rate: 50, Duration: 1500 * time.Millisecond,
		LongShare: 0.5, ReturningShare: 0.7, PromptBytes: 32_000, MaxTokens: 4, Seed: 1,
	})
	assert.Assert(t, r.Served > 0)
	assert.Equal(t, int(r.FirstToken.TotalCount()), r.Served)
	assert.Assert(t, r.RecomputedShare() < 1)
	assert.NilError(t, r.Plot(t.TempDir()+"/load.png"))
}
