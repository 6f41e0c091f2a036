package balance

import "time"

const (
	// delayHalfLife is the half-life of the samples of a delayModel. It follows changes of
	// the load within a few seconds.
	delayHalfLife = 3 * time.Second
	// minWeightedDelayMS bounds the weight of samples with a short expected delay.
	minWeightedDelayMS = 10.0
	// minFixedDelayMS and the factors bound what the model may conclude from few samples.
	minFixedDelayMS = 1.0
	maxFixedDelayMS = 1000.0
	minWorkFactor   = 0.5
	maxWorkFactor   = 3.0
	// initialFixedDelay is the fixed delay that is assumed before any samples.
	initialFixedDelay = baseTTFB
)

// priorWorkMS holds the work of samples with the delay that is assumed initially. They count
// like recent samples. Since the work of real samples is inexact, they would otherwise lead to
// a fixed delay that is too long and to expected times that rise too late in a burst.
var priorWorkMS = [...]float64{10, 300}

// delayModel estimates the time to the first byte as a fixed delay plus a multiple of the
// time that the queued work and the request's own take at the target's drain rate. It is
// a linear regression over recent requests, in which a sample's weight falls with the
// square of its expected delay, since long delays vary more.
type delayModel struct {
	weight, x, y, xx, xy float64
	at                   time.Duration
	// fixedMS and factor are the result of the samples, if there are any.
	fixedMS, factor float64
}

// add adds a sample: the time workMS that the work was expected to take, and the observed
// delay. expectedMS is the delay that the model expected.
func (m *delayModel) add(now time.Duration, workMS, delayMS, expectedMS float64) {
	m.addSums(now, workMS, delayMS, sampleWeightOf(expectedMS))
	m.fixedMS, m.factor = m.solve()
}

// sampleWeightOf returns the weight of a sample by its expected delay.
func sampleWeightOf(expectedMS float64) float64 {
	ratio := minWeightedDelayMS / max(minWeightedDelayMS, expectedMS)
	return ratio * ratio
}

func (m *delayModel) addSums(now time.Duration, workMS, delayMS, w float64) {
	factor := decayFactor(now-m.at, delayHalfLife)
	m.at = now
	m.weight = m.weight*factor + w
	m.x = m.x*factor + w*workMS
	m.y = m.y*factor + w*delayMS
	m.xx = m.xx*factor + w*workMS*workMS
	m.xy = m.xy*factor + w*workMS*delayMS
}

// coefficients returns the fixed delay in milliseconds and the factor of the work.
func (m *delayModel) coefficients() (fixedMS, factor float64) {
	if m.weight == 0 {
		return milliseconds(initialFixedDelay), 1
	}
	return m.fixedMS, m.factor
}

// solve computes the coefficients from the samples and the initial assumptions.
func (m *delayModel) solve() (fixedMS, factor float64) {
	fixed := milliseconds(initialFixedDelay)
	sum := *m
	for _, workMS := range priorWorkMS {
		sum.addSums(m.at, workMS, fixed+workMS, sampleWeightOf(fixed+workMS))
	}
	determinant := sum.weight*sum.xx - sum.x*sum.x
	factor = (sum.weight*sum.xy - sum.x*sum.y) / determinant
	factor = min(max(factor, minWorkFactor), maxWorkFactor)
	fixedMS = (sum.y - factor*sum.x) / sum.weight
	if fixedMS < minFixedDelayMS {
		fixedMS = minFixedDelayMS
		factor = min(max((sum.xy-fixedMS*sum.x)/sum.xx, minWorkFactor), maxWorkFactor)
	}
	return min(fixedMS, maxFixedDelayMS), factor
}
