package fairqueue

import "time"

// LimiterSettings configures the adaptive concurrency limit of one target.
type LimiterSettings struct {
	// Min, Max and Initial are the bounds and the initial value of the limit.
	Min     int
	Max     int
	Initial int
	// MaxEngineWaiting is the largest number of requests waiting inside the engine
	// that does not count as congestion.
	MaxEngineWaiting int
	// MaxFirstTokenRatio bounds the ratio of the mean time to first token, less
	// FirstTokenSlack, to the mean expected prefill time.
	MaxFirstTokenRatio float64
	FirstTokenSlack    time.Duration
	// MaxTokenGap bounds the mean time between tokens.
	MaxTokenGap time.Duration
	// Decrease is the factor applied to the limit on congestion. Increase is the
	// amount by which the limit grows without congestion.
	Decrease float64
	Increase float64
	// SlowStartFactor is the growth factor of the limit before the first
	// congestion.
	SlowStartFactor float64
	// Interval is the minimum time between two changes of the limit.
	Interval time.Duration
}

// DefaultLimiterSettings returns the default settings.
func DefaultLimiterSettings() LimiterSettings {
	return LimiterSettings{
		Min:                1,
		Max:                256,
		Initial:            8,
		MaxEngineWaiting:   1,
		MaxFirstTokenRatio: 2,
		FirstTokenSlack:    100 * time.Millisecond,
		MaxTokenGap:        43 * time.Millisecond,
		Decrease:           0.85,
		Increase:           1,
		SlowStartFactor:    1.5,
		Interval:           250 * time.Millisecond,
	}
}

// Limiter adapts the number of requests that a target runs concurrently, by
// additive increase and multiplicative decrease. The limit grows while requests
// are queued in the agent and the engine keeps up, and decreases when the engine
// queues or slows down. Because load reports lag, the limit grows only once a
// signal newer than its last change has arrived, and load reports and first
// tokens from before its last decrease are ignored.
type Limiter struct {
	settings    LimiterSettings
	limit       float64
	changedAt   time.Time
	decreasedAt time.Time
	// slowStartEnded is set by the first congestion and ends the growth by
	// SlowStartFactor.
	slowStartEnded bool

	// hasSignal is set by a signal from the engine after the last change of limit.
	hasSignal    bool
	engineQueued bool
	firstToken   timeRatio
	tokenGap     timeRatio
}

// timeRatio holds the sums of observed and expected times.
type timeRatio struct {
	observed time.Duration
	expected time.Duration
}

// NewLimiter returns a Limiter with the initial limit.
func NewLimiter(settings LimiterSettings, now time.Time) *Limiter {
	return &Limiter{settings: settings, limit: float64(settings.Initial), changedAt: now, decreasedAt: now}
}

// Limit returns the maximum number of concurrently running requests.
func (l *Limiter) Limit() int {
	return min(max(int(l.limit), l.settings.Min, 1), max(l.settings.Max, 1))
}

// OnReport applies a load report with the number of requests waiting inside the
// engine at takenAt.
func (l *Limiter) OnReport(waiting int, takenAt time.Time) {
	if !takenAt.After(l.decreasedAt) {
		return
	}
	l.engineQueued = l.engineQueued || waiting > l.settings.MaxEngineWaiting
	l.hasSignal = l.hasSignal || takenAt.After(l.changedAt)
}

// OnFirstToken applies a request's time to first token, measured from dispatch to
// the engine, and the prefill time expected for its uncached tokens alone.
func (l *Limiter) OnFirstToken(dispatchedAt time.Time, observed, expected time.Duration) {
	if dispatchedAt.Before(l.decreasedAt) {
		return
	}
	l.hasSignal = l.hasSignal || !dispatchedAt.Before(l.changedAt)
	l.firstToken.observed += max(0, observed-l.settings.FirstTokenSlack)
	l.firstToken.expected += expected
}

// OnTokens records that the engine took the elapsed time to generate a number of
// tokens of an answer, not counting the answer's first token.
func (l *Limiter) OnTokens(tokens int, elapsed time.Duration) {
	l.tokenGap.observed += elapsed
	l.tokenGap.expected += time.Duration(tokens) * l.settings.MaxTokenGap
}

// Update adjusts the limit if Interval has passed since its last change, and
// returns it.
func (l *Limiter) Update(running, queued int, now time.Time) int {
	if now.Sub(l.changedAt) < l.settings.Interval {
		return l.Limit()
	}
	switch {
	case l.isCongested():
		l.slowStartEnded = true
		l.decreasedAt = now
		l.setLimit(min(l.limit, float64(max(running, 1)))*l.settings.Decrease, now)
	case l.hasSignal && queued > 0 && running >= l.Limit():
		l.setLimit(l.increasedLimit(), now)
	}
	return l.Limit()
}

// increasedLimit returns the limit after one increase.
func (l *Limiter) increasedLimit() float64 {
	if l.slowStartEnded {
		return l.limit + l.settings.Increase
	}
	return max(l.limit+l.settings.Increase, l.limit*l.settings.SlowStartFactor)
}

func (l *Limiter) isCongested() bool {
	slowFirstToken := float64(l.firstToken.observed) > l.settings.MaxFirstTokenRatio*float64(l.firstToken.expected)
	return l.engineQueued || slowFirstToken || l.tokenGap.observed > l.tokenGap.expected
}

// setLimit sets the limit within its bounds and discards all observations.
func (l *Limiter) setLimit(limit float64, now time.Time) {
	l.limit = min(max(limit, float64(l.settings.Min)), float64(l.settings.Max))
	l.changedAt = now
	l.hasSignal = false
	l.engineQueued = false
	l.firstToken = timeRatio{}
	l.tokenGap = timeRatio{}
}
