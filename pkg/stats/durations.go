// Package stats aggregates measured durations.
package stats

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// minDuration and maxDuration are the bounds of recorded durations.
	minDuration = time.Microsecond
	maxDuration = 10 * time.Minute
	// significantDigits is the precision of recorded durations in decimal digits.
	significantDigits = 3
)

// DurationHistogram is a histogram of durations. The zero value is an empty histogram. It
// is not safe for concurrent use.
type DurationHistogram struct {
	histogram *hdrhistogram.Histogram
}

// Record adds a duration to the histogram. A duration out of bounds is recorded as
// the nearest bound.
func (d *DurationHistogram) Record(value time.Duration) {
	if d.histogram == nil {
		d.histogram = hdrhistogram.New(minDuration.Microseconds(), maxDuration.Microseconds(), significantDigits)
	}
	bounded := min(max(value, minDuration), maxDuration)
	// RecordValue returns an error only for values out of bounds.
	_ = d.histogram.RecordValue(bounded.Microseconds())
}

// Count returns the number of recorded durations.
func (d *DurationHistogram) Count() int {
	if d.histogram == nil {
		return 0
	}
	return int(d.histogram.TotalCount())
}

// Quantile returns the q-quantile of the recorded durations, for q from 0 to 1. It
// returns 0 for an empty histogram.
func (d *DurationHistogram) Quantile(q float64) time.Duration {
	if d.histogram == nil {
		return 0
	}
	const percent = 100
	return time.Duration(d.histogram.ValueAtQuantile(q*percent)) * time.Microsecond
}

// QuantileMS returns the q-quantile in milliseconds.
func (d *DurationHistogram) QuantileMS(q float64) float64 {
	return float64(d.Quantile(q).Microseconds()) / 1000
}
