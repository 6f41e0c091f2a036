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
	// Registers the SVG format.
	_ "gonum.org/v1/plot/vg/vgsvg"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/loadclient"
	"github.com/baobabhub/baobabhub/pkg/stats"
)

// latencySummary holds the quantiles of one latency over all complete answers,
// in milliseconds.
type latencySummary struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`

	samples stats.DurationHistogram
}

func (s *latencySummary) computeQuantiles() {
	s.P50, s.P95, s.P99 = s.samples.QuantileMS(0.5), s.samples.QuantileMS(0.95), s.samples.QuantileMS(0.99)
}

// loadReport is the JSON output of a load run. FirstToken and Total are
// measured from the scheduled arrival.
type loadReport struct {
	Requests int `json:"requests"`
	Complete int `json:"complete"`
	// Refused counts refusals with an error code before any answer, by code.
	Refused map[string]int `json:"refused"`
	// Incomplete counts answers that were truncated, failed or never arrived,
	// by error code, "connection" or "not_sent".
	Incomplete map[string]int `json:"incomplete"`
	// Wrong counts complete answers that differ from the fake engine's expected
	// answer.
	Wrong    int  `json:"wrong"`
	Verified bool `json:"verified"`
	// HitRate is the fraction of prompt tokens served from cache, over all
	// complete answers.
	HitRate    float64        `json:"hit_rate"`
	FirstToken latencySummary `json:"first_token"`
	TokenGap   latencySummary `json:"token_gap"`
	Total      latencySummary `json:"total"`
}

// summarizeResults builds the report of a run. Scheduled requests without a
// result count as incomplete. A non-empty weightsVersion enables the check of
// the answers' content.
func summarizeResults(results []loadclient.Result, scheduled int, weightsVersion string) loadReport {
	report := loadReport{
		Requests: scheduled, Refused: map[string]int{}, Incomplete: map[string]int{}, Verified: weightsVersion != "",
	}
	if notSent := scheduled - len(results); notSent > 0 {
		report.Incomplete["not_sent"] = notSent
	}
	promptTokens, cachedTokens := 0, 0
	for i := range results {
		result := &results[i]
		switch {
		case result.Complete:
			report.addComplete(result, weightsVersion)
			promptTokens += result.PromptTokens
			cachedTokens += result.CachedTokens
		case result.Status != http.StatusOK && result.Code != "":
			report.Refused[result.Code]++
		case result.Code != "":
			report.Incomplete[result.Code]++
		default:
			report.Incomplete["connection"]++
		}
	}
	if promptTokens > 0 {
		report.HitRate = float64(cachedTokens) / float64(promptTokens)
	}
	report.FirstToken.computeQuantiles()
	report.TokenGap.computeQuantiles()
	report.Total.computeQuantiles()
	return report
}

func (r *loadReport) addComplete(result *loadclient.Result, weightsVersion string) {
	r.Complete++
	r.FirstToken.samples.Record(result.FirstToken)
	r.Total.samples.Record(result.Total)
	for _, gap := range result.InterTokenTimes {
		r.TokenGap.samples.Record(gap)
	}
	request := result.Request
	if weightsVersion != "" && result.Text != enginefake.Answer(request.Model, weightsVersion, request.Prompt, request.MaxTokens) {
		r.Wrong++
	}
}

func (r *loadReport) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests: %d complete, refused: %s, incomplete: %s", r.Requests, r.Complete, formatCodes(r.Refused), formatCodes(r.Incomplete))
	if r.Verified {
		fmt.Fprintf(&text, ", wrong: %d", r.Wrong)
	} else {
		text.WriteString(", content not verified")
	}
	fmt.Fprintf(&text, "\nhit rate %.3f\n%-12s %10s %10s %10s\n", r.HitRate, "ms", "p50", "p95", "p99")
	for _, row := range []struct {
		name    string
		latency *latencySummary
	}{{"first token", &r.FirstToken}, {"token gap", &r.TokenGap}, {"total", &r.Total}} {
		fmt.Fprintf(&text, "%-12s %10.1f %10.1f %10.1f\n", row.name, row.latency.P50, row.latency.P95, row.latency.P99)
	}
	return text.String()
}

// formatCodes lists error codes with their counts in order of code.
func formatCodes(counts map[string]int) string {
	parts := make([]string, 0, len(counts))
	for _, code := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%d %s", counts[code], code))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}

// exitError returns an error if an answer was wrong or incomplete, or if no
// request was served.
func (r *loadReport) exitError() error {
	switch {
	case r.Wrong > 0 || len(r.Incomplete) > 0:
		return cli.Exit("answers were wrong or incomplete", ExitWrongAnswer)
	case r.Complete == 0:
		return cli.Exit("every request was refused", ExitFailure)
	default:
		return nil
	}
}

// Dimensions of the plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// writePlot plots the latencies by percentile to an SVG file.
func writePlot(path string, report *loadReport) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%d complete answers of %d requests", report.Complete, report.Requests)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms from the scheduled arrival"
	p.Y.Min = 0
	err := plotutil.AddLines(p, "first token", percentileCurve(&report.FirstToken), "total", percentileCurve(&report.Total))
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

// percentileCurve returns the latencies at percentiles 1 to 99.
func percentileCurve(latencies *latencySummary) plotter.XYs {
	const percentileScale = 100
	points := make(plotter.XYs, 0, percentileScale)
	for percentile := 1; percentile < percentileScale; percentile++ {
		points = append(points, plotter.XY{X: float64(percentile), Y: latencies.samples.QuantileMS(float64(percentile) / percentileScale)})
	}
	return points
}
