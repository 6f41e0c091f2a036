package hedge

import "time"

const (
	// minSamples is the weight of samples of a route below which its distribution says nothing
	// of its slowest requests.
	minSamples = 30
	// minQuantile and maxQuantile bound the quantile after which a request counts as slow.
	// Above the 99th percentile, minSamples to a few hundred samples don't show where it is.
	minQuantile = 0.8
	maxQuantile = 0.99
	// copyQuantile is the quantile of the time that a copy is allowed for when it is to end
	// within the route's objective.
	copyQuantile = 0.75
	// minDelay is the shortest delay. A process with a tenth of a core may itself be held up for
	// that long.
	minDelay = 20 * time.Millisecond
)

// Timing is what is known of a request's time at its beginning.
type Timing struct {
	// Delay is the time without a response after which a copy of the request may begin, if copies
	// of the route's requests usually win and the budget has more than its reserve.
	Delay time.Duration
	// LastDelay is the time without a response after which a copy may begin regardless of how
	// often copies win, and may use the budget's reserve.
	LastDelay time.Duration
	// Quantile is the quantile of the route's distribution at Delay.
	Quantile float64
	// ByExpectation is set if the distribution is that of the ratios of observed to expected
	// times, and not that of the times.
	ByExpectation bool
	// typicalRatio and typicalTime are the medians of the ratios and of the times.
	typicalRatio float64
	typicalTime  time.Duration
}

// Typical returns the median time of a copy with the given expected time.
func (t *Timing) Typical(expected time.Duration) time.Duration {
	if t.ByExpectation {
		return scaled(expected, t.typicalRatio)
	}
	return t.typicalTime
}

// routeTimes holds the distributions of a route's times and of their ratios to the expected times.
type routeTimes struct {
	times  distribution
	ratios distribution
	wins   winRate
	usedAt time.Duration
}

func (r *routeTimes) add(now, took, expected time.Duration) {
	r.usedAt = now
	r.times.add(now, milliseconds(took))
	r.ratios.add(now, ratio(took, expected))
}

// timing returns the timing of a request with the given expected time, and whether the route has
// enough samples. The distribution with the smaller spread is used: where the speed of the target
// and the size of the prompt explain the wait, the ratios spread less than the times.
func (r *routeTimes) timing(now time.Duration, quantile float64, objective, expected time.Duration) (Timing, bool) {
	r.usedAt = now
	r.times.decay(now)
	r.ratios.decay(now)
	if r.times.total < minSamples {
		return Timing{}, false
	}
	const median = 0.5
	timing := Timing{Quantile: quantile, ByExpectation: expected > 0 && r.ratios.spread() < r.times.spread()}
	timing.typicalRatio, timing.typicalTime = r.ratios.quantile(median), fromMilliseconds(r.times.quantile(median))
	late, useful := fromMilliseconds(r.times.quantile(quantile)), fromMilliseconds(r.times.quantile(copyQuantile))
	if timing.ByExpectation {
		late, useful = scaled(expected, r.ratios.quantile(quantile)), scaled(expected, r.ratios.quantile(copyQuantile))
	}
	timing.Delay = max(minDelay, late)
	// A copy that begins later than objective-useful usually misses the objective. If that is
	// before Delay, the last hedge is for requests that are still late when a copy sent after Delay
	// would usually have ended.
	timing.LastDelay = objective - useful
	if timing.LastDelay < timing.Delay {
		timing.LastDelay = timing.Delay + timing.Typical(expected)
	}
	return timing, true
}

// isSlow reports whether a time is above the quantile of the route's distribution.
func (r *routeTimes) isSlow(took, expected time.Duration, quantile float64) bool {
	return milliseconds(took) >= r.times.quantile(quantile) || ratio(took, expected) >= r.ratios.quantile(quantile)
}

func ratio(took, expected time.Duration) float64 {
	return float64(took) / float64(max(expected, time.Millisecond))
}

func scaled(expected time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(expected) * ratio)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
