// Package stats sums up measured times.
package stats

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// lowest and highest are the bounds of recorded times.
	lowest  = time.Microsecond
	highest = 10 * time.Minute
	// significantDigits is the precision of recorded times.
	significantDigits = 3
)

// DurationHistogram is a histogram of times. The zero value is ready for use; it is
// not safe for concurrent use.
type DurationHistogram struct {
	histogram *hdrhistogram.Histogram
}

// Record records one time; times out of bounds count as the bound.
func (d *DurationHistogram) Record(value time.Duration) {
	if d.histogram == nil {
		d.histogram = hdrhistogram.New(lowest.Microseconds(), highest.Microseconds(), significantDigits)
	}
	bounded := min(max(value, lowest), highest)
	// RecordValue fails only out of bounds.
	_ = d.histogram.RecordValue(bounded.Microseconds())
}

// Count returns the number of recorded times.
func (d *DurationHistogram) Count() int {
	if d.histogram == nil {
		return 0
	}
	return int(d.histogram.TotalCount())
}

// Quantile returns the time below which the share q of all times lies.
func (d *DurationHistogram) Quantile(q float64) time.Duration {
	if d.histogram == nil {
		return 0
	}
	const percent = 100
	return time.Duration(d.histogram.ValueAtQuantile(q*percent)) * time.Microsecond
}

// QuantileMS returns Quantile in milliseconds.
func (d *DurationHistogram) QuantileMS(q float64) float64 {
	return float64(d.Quantile(q).Microseconds()) / 1000
}
