package relay

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// instruments holds the relay's counters and histograms.
type instruments struct {
	scope        tally.Scope
	delivered    tally.Counter
	aborted      tally.Counter
	disconnected tally.Counter
	attempts     tally.Counter
	firstByte    tally.Histogram
	total        tally.Histogram

	mu       *sync.Mutex
	refusals map[string]tally.Counter
}

func newInstruments(scope tally.Scope) instruments {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)
	return instruments{
		scope:        scope,
		delivered:    scope.Counter("answers_delivered"),
		aborted:      scope.Counter("answers_broken"),
		disconnected: scope.Counter("callers_left"),
		attempts:     scope.Counter("attempts"),
		firstByte:    scope.Histogram("first_byte_seconds", buckets),
		total:        scope.Histogram("answer_seconds", buckets),
		mu:           &sync.Mutex{},
		refusals:     map[string]tally.Counter{},
	}
}

// countRefusal increments the refusal counter of a reason. The set of reasons is
// small, so the metric's cardinality stays low.
func (m *instruments) countRefusal(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter, ok := m.refusals[reason]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"reason": reason}).Counter("refused")
		m.refusals[reason] = counter
	}
	counter.Inc(1)
}
