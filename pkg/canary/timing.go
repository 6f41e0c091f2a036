package canary

import "math"

const (
	// slowQuantile is the quantile of the old version's times above which a run is slow.
	slowQuantile = 0.8
	// minTimings is the number of the old version's times without which no run is compared.
	minTimings = 5
	// maxTimings is the number of times at which all counts are halved, so that the quantile
	// follows the load.
	maxTimings = 100
	// bucketsPerDoubling is the resolution of the times: 9%.
	bucketsPerDoubling = 8
	// minExponent is the binary logarithm of the smallest time or ratio that is told apart.
	minExponent = -14
	numBuckets  = 32 * bucketsPerDoubling
)

// Timing holds the distribution of the old version's times on a route, as one process observes
// it. The zero value is empty.
type Timing struct {
	counts [numBuckets]float64
	total  float64
}

// bucketOf returns the bucket of a time.
func bucketOf(value float64) int {
	if !(value > 0) {
		return 0
	}
	return int(min(numBuckets-1, max(0, (math.Log2(value)-minExponent)*bucketsPerDoubling)))
}

// Record adds a time of the old version, or its ratio to the expected time.
func (t *Timing) Record(value float64) {
	if t.total >= maxTimings {
		for i := range t.counts {
			t.counts[i] /= 2
		}
		t.total /= 2
	}
	t.counts[bucketOf(value)]++
	t.total++
}

// IsSlow reports whether a time is above the quantile. Nothing is known before enough times have
// been recorded. Times in the quantile's own bucket are slow with the probability that makes
// the share of slow ones right; draw is drawn evenly from 0 to 1.
func (t *Timing) IsSlow(value, draw float64) (slow, known bool) {
	if t.total < minTimings {
		return false, false
	}
	bucket := bucketOf(value)
	above := 0.0
	for i := bucket + 1; i < numBuckets; i++ {
		above += t.counts[i]
	}
	limit := (1 - slowQuantile) * t.total
	switch {
	case above >= limit:
		return false, true
	case above+t.counts[bucket] <= limit:
		return true, true
	default:
		return draw < (limit-above)/t.counts[bucket], true
	}
}
