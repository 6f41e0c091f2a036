package bench

import (
	"slices"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotFirstTokens plots each policy's cumulative distribution of the time to
// first token. The file extension selects the format, svg or png.
func plotFirstTokens(file string, policies map[string]*PolicyResult) error {
	p := plot.New()
	p.Title.Text = "Time to first token"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of requests"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Min, p.Y.Max = 0, 1
	var lines []any
	for _, name := range policyNames {
		if result := policies[name]; result != nil && len(result.firstTokenTimes) > 0 {
			lines = append(lines, name, cumulativeDistribution(result.firstTokenTimes))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Trace(err)
	}
	const width, height = 18 * vg.Centimeter, 12 * vg.Centimeter
	return errors.Trace(p.Save(width, height, file))
}

// cumulativeDistribution returns the share of times up to each time, in
// milliseconds.
func cumulativeDistribution(times []time.Duration) plotter.XYs {
	sorted := slices.Sorted(slices.Values(times))
	points := make(plotter.XYs, len(sorted))
	for i, t := range sorted {
		points[i].X = max(float64(t.Microseconds())/1000, 0.1)
		points[i].Y = float64(i+1) / float64(len(sorted))
	}
	return points
}
