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

const (
	// stepInterval is the time after which the load that other processes have sent is
	// known here, the gossip interval.
	stepInterval = 100 * time.Millisecond
	// stepGrowth is the factor by which a process may send faster from its queue than it has
	// lately sent. All processes see the same room at the same time; the factor bounds the
	// work that they send together before they learn of each other's.
	stepGrowth = 1.5
)

// stepLimit bounds how many waiting requests a process sends within a gossip interval.
type stepLimit struct {
	budget    float64
	updatedAt time.Duration
}

// allow reports whether one more request may be sent, given the rate at which the process
// has lately sent requests.
func (s *stepLimit) allow(now time.Duration, rate float64) bool {
	perSecond := stepGrowth * rate
	limit := max(1, perSecond*stepInterval.Seconds())
	s.budget = min(limit, s.budget+perSecond*(now-s.updatedAt).Seconds())
	s.updatedAt = now
	return s.budget >= 1
}

func (s *stepLimit) take() { s.budget-- }

const (
	// maxPromptTime is the time in which an engine processes a prompt token until it has been
	// observed: a slow engine processes 20 tokens a millisecond.
	maxPromptTime = 50 * time.Microsecond
	// promptTimeRecovery is the time in which the observed minimum doubles, so that it
	// follows engines that become slower.
	promptTimeRecovery = time.Minute
	// minPromptSample is the smallest prompt whose time is used: in shorter ones, the fixed
	// part of the time to the first byte prevails.
	minPromptSample = 1000
)

// PromptTime estimates the time that an unloaded engine takes for a prompt, from the smallest
// expected time of each token in choices of targets.
type PromptTime struct {
	perToken  time.Duration
	updatedAt time.Duration
}

// Observe records the expected time to the first byte of a request with a prompt of the given
// number of tokens to process.
func (p *PromptTime) Observe(now time.Duration, tokens float64, expected time.Duration) {
	if tokens >= minPromptSample {
		p.perToken, p.updatedAt = min(p.current(now), time.Duration(float64(expected)/tokens)), now
	}
}

// Of returns the time that a prompt takes.
func (p *PromptTime) Of(now time.Duration, tokens float64) time.Duration {
	return time.Duration(tokens * float64(p.current(now)))
}

func (p *PromptTime) current(now time.Duration) time.Duration {
	if p.perToken == 0 {
		return maxPromptTime
	}
	growth := math.Exp2(float64(now-p.updatedAt) / float64(promptTimeRecovery))
	return time.Duration(min(float64(maxPromptTime), growth*float64(p.perToken)))
}
