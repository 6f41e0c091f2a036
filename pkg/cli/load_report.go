package cli

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/urfave/cli/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	// The SVG format registers itself.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/stats"
)

// times sums up one kind of time over all complete answers, in milliseconds.
type times struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`

	all stats.DurationHistogram
}

func (t *times) close() {
	t.P50, t.P95, t.P99 = t.all.QuantileMS(0.5), t.all.QuantileMS(0.95), t.all.QuantileMS(0.99)
}

// loadReport is the JSON form of a load run. FirstToken and Total count from
// the scheduled arrival.
type loadReport struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	// Refused counts typed refusals before an answer, by code.
	Refused map[string]int `json:"refused"`
	// Incomplete counts answers that were cut off, failed or didn't come, by
	// code or kind.
	Incomplete map[string]int `json:"incomplete"`
	// Wrong counts complete answers that differ from the stand-in engine's.
	Wrong    int  `json:"wrong"`
	Verified bool `json:"verified"`
	// HitRate is the cached share of all prompt tokens.
	HitRate    float64 `json:"hit_rate"`
	FirstToken times   `json:"first_token"`
	TokenGap   times   `json:"token_gap"`
	Total      times   `json:"total"`
}

// sumUp sorts the results; scheduled requests without a result are incomplete.
func sumUp(results []loadclient.Result, scheduled int, weights string) loadReport {
	report := loadReport{
		Requests: scheduled, Refused: map[string]int{}, Incomplete: map[string]int{}, Verified: weights != "",
	}
	if missing := scheduled - len(results); missing > 0 {
		report.Incomplete["not_sent"] = missing
	}
	prompt, cached := 0, 0
	for i := range results {
		result := &results[i]
		switch {
		case result.Complete:
			report.take(result, weights)
			prompt += result.PromptTokens
			cached += result.CachedTokens
		case result.Status != http.StatusOK && result.Code != "":
			report.Refused[result.Code]++
		case result.Code != "":
			report.Incomplete[result.Code]++
		default:
			report.Incomplete["connection"]++
		}
	}
	if prompt > 0 {
		report.HitRate = float64(cached) / float64(prompt)
	}
	report.FirstToken.close()
	report.TokenGap.close()
	report.Total.close()
	return report
}

func (r *loadReport) take(result *loadclient.Result, weights string) {
	r.Complete++
	r.FirstToken.all.Record(result.FirstToken)
	r.Total.all.Record(result.Total)
	for _, gap := range result.InterTokenTimes {
		r.TokenGap.all.Record(gap)
	}
	request := result.Request
	if weights != "" && result.Text != enginefake.Answer(request.Model, weights, request.Prompt, request.MaxTokens) {
		r.Wrong++
	}
}

func (r *loadReport) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests: %d complete, refused: %s, incomplete: %s", r.Requests, r.Complete, codes(r.Refused), codes(r.Incomplete))
	if r.Verified {
		fmt.Fprintf(&text, ", wrong: %d", r.Wrong)
	} else {
		text.WriteString(", content not verified")
	}
	fmt.Fprintf(&text, "\nhit rate %.3f\n%-12s %10s %10s %10s\n", r.HitRate, "ms", "p50", "p95", "p99")
	for _, row := range []struct {
		name string
		of   *times
	}{{"first token", &r.FirstToken}, {"token gap", &r.TokenGap}, {"total", &r.Total}} {
		fmt.Fprintf(&text, "%-12s %10.1f %10.1f %10.1f\n", row.name, row.of.P50, row.of.P95, row.of.P99)
	}
	return text.String()
}

func codes(by map[string]int) string {
	listed := make([]string, 0, len(by))
	for _, code := range slices.Sorted(maps.Keys(by)) {
		listed = append(listed, fmt.Sprintf("%d %s", by[code], code))
	}
	if len(listed) == 0 {
		return "0"
	}
	return strings.Join(listed, ", ")
}

// verdict fails for wrong and incomplete answers, and when no request was served.
func (r *loadReport) verdict() error {
	switch {
	case r.Wrong > 0 || len(r.Incomplete) > 0:
		return cli.Exit("answers were wrong or incomplete", ExitWrongAnswer)
	case r.Complete == 0:
		return cli.Exit("every request was refused", ExitFailure)
	default:
		return nil
	}
}

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotTo writes the times by percentile as an SVG file.
func plotTo(path string, report *loadReport) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d complete answers of %d requests", report.Complete, report.Requests)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms from the scheduled arrival"
	p.Y.Min = 0
	err := plotutil.AddLines(p, "first token", percentiles(&report.FirstToken), "total", percentiles(&report.Total))
	if err != nil {
		return errors.Annotate(err, "plot")
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return errors.Annotate(err, "plot")
	}
	var svg bytes.Buffer
	if _, err := writer.WriteTo(&svg); err != nil {
		return errors.Annotate(err, "plot")
	}
	return writeFile(path, svg.Bytes(), true)
}

func percentiles(of *times) plotter.XYs {
	const last = 100
	points := make(plotter.XYs, 0, last)
	for percentile := 1; percentile < last; percentile++ {
		points = append(points, plotter.XY{X: float64(percentile), Y: of.all.QuantileMS(float64(percentile) / last)})
	}
	return points
}
