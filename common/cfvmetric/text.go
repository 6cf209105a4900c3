package cfvmetric

import (
	"fmt"
	"io"
	"strings"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
)

// namePrefix stands before the name of every metric.
const namePrefix = "coltsfootvalve_"

// Names of the families whose last part is a label.
var labelled = map[string]string{
	"refused.":       "reason",
	"retried.":       "reason",
	"owner.refused.": "reason",
	"served.":        "service",
}

// ContentType is the type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4"

// WriteText writes every counter and gauge in the Prometheus text format.
func (r *Registry) WriteText(w io.Writer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("write metrics: %w", err)
		}
	}()
	families := make(map[string]*dto.MetricFamily)
	var order []string
	for _, s := range r.Samples() {
		name, label, value := split(s.Name)
		f, ok := families[name]
		if !ok {
			f = &dto.MetricFamily{Name: &name, Type: dto.MetricType_UNTYPED.Enum()}
			families[name] = f
			order = append(order, name)
		}
		f.Metric = append(f.Metric, metricOf(label, value, float64(s.Value)))
	}
	for _, name := range order {
		if _, err = expfmt.MetricFamilyToText(w, families[name]); err != nil {
			return err
		}
	}
	return nil
}

// split returns a metric's name, and its label if its last part is one.
func split(sample string) (name, label, value string) {
	base := sample
	for prefix, l := range labelled {
		if rest, ok := strings.CutPrefix(sample, prefix); ok {
			base, label, value = strings.TrimSuffix(prefix, "."), l, rest
		}
	}
	return namePrefix + strings.NewReplacer(".", "_", "-", "_").Replace(base), label, value
}

func metricOf(label, value string, n float64) *dto.Metric {
	m := &dto.Metric{Untyped: &dto.Untyped{Value: &n}}
	if label != "" {
		m.Label = []*dto.LabelPair{{Name: &label, Value: &value}}
	}
	return m
}
