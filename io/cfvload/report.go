package cfvload

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

type quantilesJSON struct {
	Count   int64   `json:"count"`
	P50Ms   float64 `json:"p50Ms"`
	P95Ms   float64 `json:"p95Ms"`
	P99Ms   float64 `json:"p99Ms"`
	WorstMs float64 `json:"worstMs"`
}

type resultJSON struct {
	Served           int            `json:"served"`
	Refused          map[string]int `json:"refused"`
	FirstToken       quantilesJSON  `json:"firstToken"`
	ReturningFirst   quantilesJSON  `json:"returningFirstToken"`
	BetweenTokens    quantilesJSON  `json:"betweenTokens"`
	RecomputedShare  float64        `json:"recomputedShare"`
	ServedEachSecond []int          `json:"servedEachSecond"`
}

func quantiles(h *hdrhistogram.Histogram) quantilesJSON {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return quantilesJSON{h.TotalCount(), ms(50), ms(95), ms(99), float64(h.Max()) / 1000}
}

// RecomputedShare returns the share of the tokens of returning prompts that were prefilled
// again instead of read from a cache.
func (r Result) RecomputedShare() float64 {
	if r.PromptTokens == 0 {
		return 0
	}
	return 1 - float64(r.CachedTokens)/float64(r.PromptTokens)
}

// WriteJSON writes the result as JSON.
func (r Result) WriteJSON(w io.Writer) error {
	j := resultJSON{
		Served: r.Served, Refused: r.Refused, RecomputedShare: r.RecomputedShare(),
		FirstToken: quantiles(r.FirstToken), ReturningFirst: quantiles(r.ReturningFirstToken), BetweenTokens: quantiles(r.BetweenTokens),
	}
	for _, s := range r.Samples {
		j.ServedEachSecond = append(j.ServedEachSecond, s.Served)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(j)
}

// Rows returns the result as a table. The first row is the header.
func (r Result) Rows() [][]string {
	rows := [][]string{{"measure", "count", "p50", "p95", "p99", "worst"}}
	for _, m := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first token", r.FirstToken}, {"first token, returning", r.ReturningFirstToken}, {"between tokens", r.BetweenTokens}} {
		q := quantiles(m.h)
		rows = append(rows, []string{m.name, fmt.Sprint(q.Count), formatMillis(q.P50Ms), formatMillis(q.P95Ms), formatMillis(q.P99Ms), formatMillis(q.WorstMs)})
	}
	rows = append(rows, []string{}, []string{"served", fmt.Sprint(r.Served)},
		[]string{"recomputed", fmt.Sprintf("%.1f%%", 100*r.RecomputedShare())})
	for _, reason := range sortedReasons(r.Refused) {
		rows = append(rows, []string{"refused: " + reason, fmt.Sprint(r.Refused[reason])})
	}
	return rows
}

func formatMillis(ms float64) string { return fmt.Sprintf("%.1f ms", ms) }

func sortedReasons(m map[string]int) []string {
	out := make([]string, 0, len(m))
	for reason := range m {
		out = append(out, reason)
	}
	sort.Strings(out)
	return out
}

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a chart of the requests served and refused and the p95 time to first token of
// each second to a file. The file name extension selects PNG or SVG.
func (r Result) Plot(file string) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("plot %s: %w", file, err)
		}
	}()
	p := plot.New()
	p.Title.Text = "Load"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "requests per second, p95 time to first token in units of 10 ms"
	served, refused, p95 := make(plotter.XYs, 0), make(plotter.XYs, 0), make(plotter.XYs, 0)
	for _, s := range r.Samples {
		x := float64(s.Second)
		served = append(served, plotter.XY{X: x, Y: float64(s.Served)})
		refused = append(refused, plotter.XY{X: x, Y: float64(s.Refused)})
		p95 = append(p95, plotter.XY{X: x, Y: float64(s.P95) / float64(10*time.Millisecond)})
	}
	if err = plotutil.AddLinePoints(p, "served", served, "refused", refused, "p95", p95); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, file)
}
