package fairqueue

import (
	"math"
	"time"
)

// rateMeter measures the target's service rate in tokens per second, excluding
// time without a running request. Two kinds of samples may only raise the rate.
// If the queue was empty when some request finished, the target could have done
// more work. If the sample began with an idle target, it misses the work in
// progress at its end.
type rateMeter struct {
	window    time.Duration
	smoothing float64
	rate      float64

	busySince     time.Time
	busy          time.Duration
	completedCost int64
	saturated     bool
	idle          bool
}

func newRateMeter(settings Settings) rateMeter {
	return rateMeter{
		window:    settings.RateWindow,
		smoothing: settings.RateSmoothing,
		rate:      max(1, settings.InitialTokensPerSecond),
		idle:      true,
	}
}

// onStart records the start of a request. The argument running is the number of
// requests that already run.
func (m *rateMeter) onStart(running int, now time.Time) {
	if m.idle {
		m.busy, m.completedCost, m.saturated, m.idle = 0, 0, false, false
	}
	if running == 0 {
		m.busySince = now
	}
}

// onFinish records the end of a request. The argument stillRunning is the number
// of requests that still run, and hasQueued is true if requests are queued.
func (m *rateMeter) onFinish(cost int64, stillRunning int, hasQueued bool, now time.Time) {
	m.busy += max(0, now.Sub(m.busySince))
	m.busySince = now
	m.completedCost += cost
	m.saturated = m.saturated && hasQueued
	m.idle = stillRunning == 0 && !hasQueued
	if m.busy < m.window {
		return
	}
	sample := float64(m.completedCost) / m.busy.Seconds()
	if m.saturated || sample > m.rate {
		m.rate = max(1, m.rate+m.smoothing*(sample-m.rate))
	}
	m.busy, m.completedCost, m.saturated = 0, 0, true
}

// uncountedBusyTime returns the time since the last request finished or, if
// later, since the target became busy.
func (m *rateMeter) uncountedBusyTime(now time.Time) time.Duration {
	return max(0, now.Sub(m.busySince))
}

// serviceTime returns the time to serve a cost in tokens at the measured rate.
func (m *rateMeter) serviceTime(cost int64) time.Duration {
	seconds := float64(max(0, cost)) / m.rate
	return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2))
}
