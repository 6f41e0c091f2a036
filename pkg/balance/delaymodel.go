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
	// priorWeight is the weight of a sample with that delay and without work.
	priorWeight = 0.01
	// workNoiseMS is the typical error of a sample's work. It keeps the factor of the work
	// near 1 unless the samples' work differs by more than that. Otherwise the fixed delay
	// would be too long, and expected times would rise too late in a burst.
	workNoiseMS = 30.0
)

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
	ratio := minWeightedDelayMS / max(minWeightedDelayMS, expectedMS)
	decay, w := decayFactor(now-m.at, delayHalfLife), ratio*ratio
	m.at = now
	m.weight = m.weight*decay + w
	m.x = m.x*decay + w*workMS
	m.y = m.y*decay + w*delayMS
	m.xx = m.xx*decay + w*workMS*workMS
	m.xy = m.xy*decay + w*workMS*delayMS
	m.solve()
}

// coefficients returns the fixed delay in milliseconds and the factor of the work.
func (m *delayModel) coefficients() (fixedMS, factor float64) {
	if m.weight == 0 {
		return milliseconds(initialFixedDelay), 1
	}
	return m.fixedMS, m.factor
}

// solve computes the coefficients from the samples and the initial assumptions.
func (m *delayModel) solve() {
	weight := m.weight + priorWeight
	meanX, meanY := m.x/weight, (m.y+priorWeight*milliseconds(initialFixedDelay))/weight
	noise := workNoiseMS * workNoiseMS
	factor := (m.xy/weight - meanX*meanY + noise) / (m.xx/weight - meanX*meanX + noise)
	factor = min(max(factor, minWorkFactor), maxWorkFactor)
	m.fixedMS = min(max(meanY-factor*meanX, minFixedDelayMS), maxFixedDelayMS)
	if meanX > 0 {
		// The estimate is right on average also where the fixed delay is at a bound.
		factor = (meanY - m.fixedMS) / meanX
	}
	m.factor = min(max(factor, minWorkFactor), maxWorkFactor)
}
