// Package cfvmetric holds the metrics of a node, using rcrowley/go-metrics.
package cfvmetric

import (
	"sort"
	"time"

	"coltsfootvalve/common/cfverror"

	metrics "github.com/rcrowley/go-metrics"
)

// Registry holds the counters, gauges and histograms of one node.
type Registry struct {
	inner metrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{inner: metrics.NewRegistry()}
}

// CountRefusal counts a refusal by its reason.
func (r *Registry) CountRefusal(reason cfverror.Reason) {
	r.Count("refused."+string(reason), 1)
}

// CountRetry counts a retry by its reason.
func (r *Registry) CountRetry(reason cfverror.Reason) {
	r.Count("retried."+string(reason), 1)
}

// Count adds n to the named counter.
func (r *Registry) Count(name string, n int64) {
	metrics.GetOrRegisterCounter(name, r.inner).Inc(n)
}

// Gauge sets the named gauge.
func (r *Registry) Gauge(name string, n int64) {
	metrics.GetOrRegisterGauge(name, r.inner).Update(n)
}

// Parameters of the exponentially decaying samples of histograms, as recommended by the
// library. Recent values have more weight.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Observe adds a duration to the named histogram.
func (r *Registry) Observe(name string, d time.Duration) {
	h := r.inner.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

// Sample is the value of a metric.
type Sample struct {
	Name  string
	Value int64
}

// Samples returns the values of all metrics, sorted by name. A histogram has several values.
func (r *Registry) Samples() []Sample {
	var out []Sample
	r.inner.Each(func(name string, m any) {
		switch v := m.(type) {
		case metrics.Counter:
			out = append(out, Sample{name, v.Count()})
		case metrics.Gauge:
			out = append(out, Sample{name, v.Value()})
		case metrics.Histogram:
			out = append(out, histogramSamples(name, v.Snapshot())...)
		}
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// histogramSamples returns the count of a histogram, its quantiles and its maximum, in
// microseconds.
func histogramSamples(name string, h metrics.Histogram) []Sample {
	out := []Sample{{name + ".count", h.Count()}}
	for _, q := range []struct {
		name     string
		quantile float64
	}{{"p50Micros", 0.5}, {"p95Micros", 0.95}, {"p99Micros", 0.99}} {
		out = append(out, Sample{name + "." + q.name, int64(h.Percentile(q.quantile))})
	}
	return append(out, Sample{name + ".maxMicros", h.Max()})
}
