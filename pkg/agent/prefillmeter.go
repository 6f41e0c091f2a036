package agent

import "time"

// tokensPerKtoken is the number of tokens to which reported prefill times refer.
const tokensPerKtoken = 1000

const (
	// initialTokensPerSecond is the estimate until the engine reports its speed or
	// a prefill is observed.
	initialTokensPerSecond = 10_000
	// prefillSmoothing is the weight of one observation in the moving average.
	prefillSmoothing = 0.05
	// minObservedTokens is the smallest prefill that is used as an observation. The
	// time of a smaller one depends more on the engine's step length than on its
	// prefill speed.
	minObservedTokens = 500
	// maxPrefillChange is the largest factor between an observation and the
	// estimate. Observations outside it are clamped.
	maxPrefillChange = 4
)

// prefillMeter estimates the engine's prefill speed from the engine's report
// and from observed times to first token. The mutex of promptQueue guards it.
type prefillMeter struct {
	tokensPerSecond float64
	reported        bool
}

func newPrefillMeter() *prefillMeter {
	return &prefillMeter{tokensPerSecond: initialTokensPerSecond}
}

// initFromReport sets the estimate to the first speed that the engine reports. It
// returns whether it changed the estimate.
func (m *prefillMeter) initFromReport(tokensPerSecond float64) bool {
	if m.reported || tokensPerSecond <= 0 {
		return false
	}
	m.reported = true
	m.tokensPerSecond = tokensPerSecond
	return true
}

// observe updates the estimate with the duration of a prefill.
func (m *prefillMeter) observe(tokens int64, took time.Duration) {
	if tokens < minObservedTokens || took <= 0 {
		return
	}
	sample := float64(tokens) / took.Seconds()
	sample = min(max(sample, m.tokensPerSecond/maxPrefillChange), m.tokensPerSecond*maxPrefillChange)
	m.tokensPerSecond += prefillSmoothing * (sample - m.tokensPerSecond)
}

// duration returns the estimated time to prefill tokens.
func (m *prefillMeter) duration(tokens int64) time.Duration {
	return time.Duration(float64(max(0, tokens)) / m.tokensPerSecond * float64(time.Second))
}

// tokensIn returns the estimated number of tokens prefilled in d.
func (m *prefillMeter) tokensIn(d time.Duration) int64 {
	return int64(d.Seconds() * m.tokensPerSecond)
}
