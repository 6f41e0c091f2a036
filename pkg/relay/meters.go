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
	// broken counts the attempts whose response was broken.
	broken    tally.Counter
	firstByte tally.Histogram
	total     tally.Histogram

	// hedges counts the hedges by what came of them, and hedgeSaved holds the estimated times that
	// those saved that won.
	hedgesSent tally.Counter
	hedges     map[hedgeOutcome]tally.Counter
	hedgeSaved tally.Histogram

	mu       *sync.Mutex
	refusals map[string]tally.Counter
	// hedgeRefusals counts the hedges that were not sent, by reason.
	hedgeRefusals map[string]tally.Counter
}

func newInstruments(scope tally.Scope) instruments {
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)
	hedges := map[hedgeOutcome]tally.Counter{}
	for _, outcome := range []hedgeOutcome{hedgeWon, hedgeLost, hedgeFailed, hedgeTookOver, hedgeEnded} {
		hedges[outcome] = scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter("hedges_ended")
	}
	return instruments{
		scope:        scope,
		delivered:    scope.Counter("answers_delivered"),
		aborted:      scope.Counter("answers_broken"),
		disconnected: scope.Counter("callers_left"),
		attempts:     scope.Counter("attempts"),
		broken:       scope.Counter("broken_responses"),
		firstByte:    scope.Histogram("first_byte_seconds", buckets),
		total:        scope.Histogram("answer_seconds", buckets),
		hedgesSent:   scope.Counter("hedges_sent"),
		hedges:       hedges,
		hedgeSaved:   scope.Histogram("hedge_saved_seconds", buckets),
		mu:           &sync.Mutex{},
		refusals:     map[string]tally.Counter{},

		hedgeRefusals: map[string]tally.Counter{},
	}
}

// countRefusal increments the refusal counter of a reason. The set of reasons is
// small, so the metric's cardinality stays low.
func (m *instruments) countRefusal(reason string) {
	m.countReason(m.refusals, "refused", reason)
}

// countHedgeRefusal increments the counter of hedges that were not sent for a reason.
func (m *instruments) countHedgeRefusal(reason string) {
	m.countReason(m.hedgeRefusals, "hedges_refused", reason)
}

func (m *instruments) countReason(counters map[string]tally.Counter, name, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter, ok := counters[reason]
	if !ok {
		counter = m.scope.Tagged(map[string]string{"reason": reason}).Counter(name)
		counters[reason] = counter
	}
	counter.Inc(1)
}
