package relay

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// overloadMeters counts the requests of a service that overload control decides on.
type overloadMeters struct {
	scope  tally.Scope
	waited tally.Histogram

	mu       sync.Mutex
	counters map[overloadCounter]tally.Counter
	gauges   map[int]tally.Gauge
}

// overloadCounter identifies a counter. Priorities are 0 to 9 and the reasons few, so that there
// are few counters.
type overloadCounter struct {
	priority     int
	name, reason string
}

func newOverloadMeters(scope tally.Scope, service string) *overloadMeters {
	scope = scope.Tagged(map[string]string{"service": service}).SubScope("overload")
	buckets := tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 18)
	return &overloadMeters{scope: scope, waited: scope.Histogram("wait_seconds", buckets), counters: map[overloadCounter]tally.Counter{}, gauges: map[int]tally.Gauge{}}
}

// count counts a request of a class that asked for capacity, was sent, or whose caller left.
func (m *overloadMeters) count(priority int, name string) {
	m.counter(overloadCounter{priority: priority, name: name}).Inc(1)
}

func (m *overloadMeters) countRefusal(priority int, reason string) {
	m.counter(overloadCounter{priority: priority, name: "refused", reason: reason}).Inc(1)
}

func (m *overloadMeters) counter(key overloadCounter) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	counter, ok := m.counters[key]
	if !ok {
		tags := map[string]string{"class": strconv.Itoa(key.priority)}
		if key.reason != "" {
			tags["reason"] = key.reason
		}
		counter = m.scope.Tagged(tags).Counter(key.name)
		m.counters[key] = counter
	}
	return counter
}

func (m *overloadMeters) setWaiting(priority, waiting int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	gauge, ok := m.gauges[priority]
	if !ok {
		gauge = m.scope.Tagged(map[string]string{"class": strconv.Itoa(priority)}).Gauge("waiting")
		m.gauges[priority] = gauge
	}
	gauge.Update(float64(waiting))
}
