package relay

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// meters are the relay's counters and histograms.
type meters struct {
	scope     tally.Scope
	delivered tally.Counter
	broken    tally.Counter
	left      tally.Counter
	attempts  tally.Counter
	firstByte tally.Histogram
	total     tally.Histogram

	mu      *sync.Mutex
	reasons map[string]tally.Counter
}

func newMeters(scope tally.Scope) meters {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)
	return meters{
		scope:     scope,
		delivered: scope.Counter("answers_delivered"),
		broken:    scope.Counter("answers_broken"),
		left:      scope.Counter("callers_left"),
		attempts:  scope.Counter("attempts"),
		firstByte: scope.Histogram("first_byte_seconds", buckets),
		total:     scope.Histogram("answer_seconds", buckets),
		mu:        &sync.Mutex{},
		reasons:   map[string]tally.Counter{},
	}
}

// refused counts a refusal by its reason, of which there are few.
func (m *meters) refused(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter, ok := m.reasons[reason]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"reason": reason}).Counter("refused")
		m.reasons[reason] = counter
	}
	counter.Inc(1)
}
