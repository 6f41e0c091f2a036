package schedule

import (
	"sync"
	"time"
)

// RetryBudgetSettings bounds a router's retries.
type RetryBudgetSettings struct {
	// Ratio is the number of retries credited per request, such as 0.1 for 10%.
	Ratio float64
	// MinPerSecond is the number of retries credited per second, independent of
	// requests.
	MinPerSecond float64
	// Burst is the capacity of the budget.
	Burst float64
}

// DefaultRetryBudgetSettings allows retries for 10% of the requests plus one
// retry per second.
func DefaultRetryBudgetSettings() RetryBudgetSettings {
	return RetryBudgetSettings{Ratio: 0.1, MinPerSecond: 1, Burst: 20}
}

// RetryBudget is a token bucket that limits a router's retries, so that failing
// targets do not cause a retry storm. It is safe for concurrent use.
type RetryBudget struct {
	mu         sync.Mutex
	settings   RetryBudgetSettings
	level      float64
	refilledAt time.Time
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(settings RetryBudgetSettings, now time.Time) *RetryBudget {
	return &RetryBudget{settings: settings, level: settings.Burst, refilledAt: now}
}

// SetBurst sets the capacity of the budget. Retries above a lower capacity are
// forfeited; a higher one fills up with further requests.
func (b *RetryBudget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settings.Burst = burst
	b.level = min(b.level, burst)
}

// OnRequest credits the budget for the first attempt of a request.
func (b *RetryBudget) OnRequest(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.level = min(b.settings.Burst, b.level+b.settings.Ratio)
}

// TryRetry consumes one retry and reports whether the budget allows it.
func (b *RetryBudget) TryRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// Level returns the number of retries available.
func (b *RetryBudget) Level(now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	return b.level
}

func (b *RetryBudget) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.level = min(b.settings.Burst, b.level+elapsed.Seconds()*b.settings.MinPerSecond)
}
