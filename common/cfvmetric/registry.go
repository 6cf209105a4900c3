// Package cfvmetric counts refusals, retries and work with rcrowley/go-metrics.
package cfvmetric

import (
	"sort"

	"coltsfootvalve/common/cfverror"

	metrics "github.com/rcrowley/go-metrics"
)

// Registry holds the counters and timers of one node.
type Registry struct {
	inner metrics.Registry
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{inner: metrics.NewRegistry()}
}

// Refused counts one refusal by its reason.
func (r *Registry) Refused(reason cfverror.Reason) {
	r.Count("refused."+string(reason), 1)
}

// Retried counts one retry by its reason.
func (r *Registry) Retried(reason cfverror.Reason) {
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

// Sample is one counter or gauge reading.
type Sample struct {
	Name  string
	Value int64
}

// Samples returns every counter and gauge, sorted by name.
func (r *Registry) Samples() []Sample {
	var out []Sample
	r.inner.Each(func(name string, m any) {
		switch v := m.(type) {
		case metrics.Counter:
			out = append(out, Sample{name, v.Count()})
		case metrics.Gauge:
			out = append(out, Sample{name, v.Value()})
		}
	})
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
