package loadshed

import (
	"math"
	"time"
)

// meterWindow is the time constant of the measured rates. It is long enough for several
// requests of a process that sends a few a second, and short enough to follow a burst.
const meterWindow = 2 * time.Second

// meter measures a rate as an exponentially decayed sum.
type meter struct {
	sum       float64
	updatedAt time.Duration
}

func (m *meter) add(now time.Duration, amount float64) {
	m.decay(now)
	m.sum += amount
}

// rate returns the amount per second.
func (m *meter) rate(now time.Duration) float64 {
	m.decay(now)
	return m.sum / meterWindow.Seconds()
}

func (m *meter) decay(now time.Duration) {
	if now > m.updatedAt {
		m.sum *= math.Exp(-float64(now-m.updatedAt) / float64(meterWindow))
		m.updatedAt = now
	}
}

// floorRecovery is the time in which an observed minimum doubles, so that it follows engines that
// become slower. It is long compared with an overload.
const floorRecovery = time.Minute

// floor is the smallest of some observed values, which rises again slowly.
type floor struct {
	value     float64
	updatedAt time.Duration
}

func (f *floor) observe(now time.Duration, value float64) {
	if value = max(1, value); f.value == 0 || value < f.at(now) {
		f.value, f.updatedAt = value, now
	}
}

// at returns the minimum; 0 if nothing has been observed.
func (f *floor) at(now time.Duration) float64 {
	if f.value == 0 {
		// After a long time the factor is infinite, and its product with 0 no number.
		return 0
	}
	return f.value * math.Exp2(float64(now-f.updatedAt)/float64(floorRecovery))
}

const (
	// maxPromptTime is the time in which an engine processes a prompt token until it has been
	// observed: a slow engine processes 20 tokens a millisecond.
	maxPromptTime = 50 * time.Microsecond
	// minPromptSample is the smallest prompt whose time is used: in shorter ones, the fixed
	// part of the time to the first byte prevails.
	minPromptSample = 1000
)

// PromptTime estimates the time that an unloaded engine takes for a prompt, from the smallest
// expected time of each token in choices of targets.
type PromptTime struct{ perToken floor }

// Observe records the expected time to the first byte of a request with a prompt of the given
// number of tokens to process.
func (p *PromptTime) Observe(now time.Duration, tokens float64, expected time.Duration) {
	if tokens >= minPromptSample {
		p.perToken.observe(now, float64(expected)/tokens)
	}
}

// Of returns the time that a prompt takes.
func (p *PromptTime) Of(now time.Duration, tokens float64) time.Duration {
	perToken := p.perToken.at(now)
	if perToken == 0 || perToken > float64(maxPromptTime) {
		perToken = float64(maxPromptTime)
	}
	return time.Duration(tokens * perToken)
}
