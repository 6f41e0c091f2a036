package schedule

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// BreakerSettings configures the circuit breakers, one per target.
type BreakerSettings struct {
	// FailureThreshold is the number of consecutive failures that opens a breaker.
	FailureThreshold int
	// OpenDuration is the initial time for which a breaker stays open. It doubles
	// with each failed trial request, up to MaxOpenDuration.
	OpenDuration    time.Duration
	MaxOpenDuration time.Duration
	// TrialTimeout is the time after which a trial request without a result no
	// longer blocks another trial.
	TrialTimeout time.Duration
	// MaxTargets bounds the number of targets with breaker state.
	MaxTargets int
}

// breakers holds a circuit breaker for each target with recent failures. When
// its open time has elapsed, a breaker is half-open and allows one trial
// request at a time. It is not safe for concurrent use.
type breakers struct {
	settings BreakerSettings
	byVM     *lru.Cache[string, breaker]
}

// breaker is the circuit breaker state of one target. It is closed while
// openDuration is zero.
type breaker struct {
	failures     int
	openDuration time.Duration
	openUntil    time.Time
	trialUntil   time.Time
}

func newBreakers(settings BreakerSettings) *breakers {
	byVM, err := lru.New[string, breaker](max(1, settings.MaxTargets))
	if err != nil {
		panic(err)
	}
	return &breakers{settings: settings, byVM: byVM}
}

// allow reports whether a request may be sent to the target now.
func (b *breakers) allow(vmID string, now time.Time) bool {
	state, ok := b.byVM.Peek(vmID)
	if !ok || state.openDuration == 0 {
		return true
	}
	return !now.Before(state.openUntil) && !now.Before(state.trialUntil)
}

// onDispatch records a dispatch. On a half-open breaker, the dispatched request
// becomes the trial.
func (b *breakers) onDispatch(vmID string, now time.Time) {
	state, ok := b.byVM.Get(vmID)
	if !ok || state.openDuration == 0 {
		return
	}
	state.trialUntil = now.Add(b.settings.TrialTimeout)
	b.byVM.Add(vmID, state)
}

// onSuccess closes the target's breaker.
func (b *breakers) onSuccess(vmID string) {
	b.byVM.Remove(vmID)
}

// onFailure counts a failure and opens the breaker at the failure threshold. A
// failure reported while the breaker is open belongs to an earlier dispatch and
// does not extend the open time.
func (b *breakers) onFailure(vmID string, now time.Time) {
	state, _ := b.byVM.Get(vmID)
	state.failures++
	halfOpen := state.openDuration > 0 && !now.Before(state.openUntil)
	switch {
	case halfOpen:
		state.openDuration = min(2*state.openDuration, b.settings.MaxOpenDuration)
	case state.openDuration == 0 && state.failures >= b.settings.FailureThreshold:
		state.openDuration = b.settings.OpenDuration
	default:
		b.byVM.Add(vmID, state)
		return
	}
	state.openUntil = now.Add(state.openDuration)
	state.trialUntil = time.Time{}
	b.byVM.Add(vmID, state)
}
