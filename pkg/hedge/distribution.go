package hedge

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave sets the precision of a distribution: a bucket's bounds differ by 9%.
	bucketsPerOctave = 8
	// octavesBelowOne and octavesAboveOne bound the recorded values at 2^-10 and 2^14. Times are
	// recorded in milliseconds, so that they range from 1 µs to 16 s.
	octavesBelowOne = 10
	octavesAboveOne = 14
	buckets         = bucketsPerOctave * (octavesBelowOne + octavesAboveOne)
	// distributionHalfLife is the half-life of a sample's weight. A route with one request a
	// second has a weight of 43 samples, and a change of its times counts within half a minute.
	distributionHalfLife = 30 * time.Second
	// decayInterval bounds how often the buckets are scaled.
	decayInterval = time.Second
)

// distribution is a histogram with logarithmic buckets, in which the weight of samples decays.
type distribution struct {
	weights   [buckets]float64
	total     float64
	decayedAt time.Duration
}

// add adds a sample. A value out of range counts in the nearest bucket.
func (d *distribution) add(now time.Duration, value float64) {
	d.decay(now)
	d.weights[bucketOf(value)]++
	d.total++
}

// decay lowers the weights of the samples for the time since the latest call.
func (d *distribution) decay(now time.Duration) {
	elapsed := now - d.decayedAt
	if elapsed < decayInterval {
		return
	}
	d.decayedAt = now
	factor := math.Exp2(-float64(elapsed) / float64(distributionHalfLife))
	d.total = 0
	for i := range d.weights {
		d.weights[i] *= factor
		d.total += d.weights[i]
	}
}

// quantile returns an upper bound of the q-quantile, at most 9% above it; 0 without samples.
func (d *distribution) quantile(q float64) float64 {
	if d.total <= 0 {
		return 0
	}
	below, highest := 0.0, 0
	for i, weight := range d.weights {
		if weight > 0 {
			highest = i
		}
		below += weight
		if below > 0 && below >= q*d.total {
			break
		}
	}
	return upperBound(highest)
}

// spread returns the ratio of the 90th to the 10th percentile.
func (d *distribution) spread() float64 {
	const low, high = 0.1, 0.9
	return d.quantile(high) / d.quantile(low)
}

func bucketOf(value float64) int {
	if !(value > 0) {
		return 0
	}
	index := math.Floor(math.Log2(value)*bucketsPerOctave) + octavesBelowOne*bucketsPerOctave
	return int(min(buckets-1, max(0, index)))
}

func upperBound(bucket int) float64 {
	return math.Exp2(float64(bucket+1)/bucketsPerOctave - octavesBelowOne)
}
