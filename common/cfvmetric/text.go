package cfvmetric

import (
	"fmt"
	"io"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// namePrefix is the prefix of all metric names.
const namePrefix = "coltsfootvalve_"

// labelNames maps the prefix of a metric family to the name of the label that holds the rest
// of the metric's name.
var labelNames = map[string]string{
	"refused.":       "reason",
	"retried.":       "reason",
	"owner.refused.": "reason",
	"served.":        "service",
}

// ContentType is the content type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4"

// WriteText writes all metrics in the Prometheus text format.
func (r *Registry) WriteText(w io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write metrics: %w", err)
		}
	}()
	families := make(map[string]*dto.MetricFamily)
	var order []string
	for _, s := range r.Samples() {
		name, label, value := splitLabel(s.Name)
		f, ok := families[name]
		if !ok {
			f = &dto.MetricFamily{Name: &name, Type: dto.MetricType_UNTYPED.Enum()}
			families[name] = f
			order = append(order, name)
		}
		f.Metric = append(f.Metric, newMetric(label, value, float64(s.Value)))
	}
	for _, name := range order {
		if _, err = expfmt.MetricFamilyToText(w, families[name]); err != nil {
			return err
		}
	}
	return nil
}

// splitLabel returns the Prometheus name of a metric, and the name and value of its label if
// it has one.
func splitLabel(sample string) (name, label, value string) {
	base := sample
	for prefix, l := range labelNames {
		if rest, ok := strings.CutPrefix(sample, prefix); ok {
			base, label, value = strings.TrimSuffix(prefix, "."), l, rest
		}
	}
	return namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(base), label, value
}

func newMetric(label, value string, n float64) *dto.Metric {
	m := &dto.Metric{Untyped: &dto.Untyped{Value: &n}}
	if label != "" {
		m.Label = []*dto.LabelPair{{Name: &label, Value: &value}}
	}
	return m
}
