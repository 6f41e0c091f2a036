package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventbus"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/metrics"
	"github.com/baobabhub/baobabhub/pkg/router"
)

// Topics of the event bus.
const (
	topicDecisions        = "decisions"
	topicFinishedRequests = "finished_requests"
	topicBundleChanges    = "bundle_changes"
)

// Capacities of the topics' queues, in messages.
const (
	decisionTopicCapacity = 4096
	finishedTopicCapacity = 4096
	bundleTopicCapacity   = 16
)

// bundleChange is published when a bundle takes effect in this process.
type bundleChange struct {
	Version  uint64 `json:"version"`
	Accounts int    `json:"accounts"`
	Routes   int    `json:"routes"`
}

// newBus returns the event bus of a process. When a queue is full, events
// for logs and metrics are dropped and counted so that they do not block requests.
// Bundle changes are never dropped: their publisher waits for space.
func newBus() (*eventbus.Bus, error) {
	return eventbus.New(
		eventbus.Topic{Name: topicDecisions, Capacity: decisionTopicCapacity, Overflow: eventbus.Drop},
		eventbus.Topic{Name: topicFinishedRequests, Capacity: finishedTopicCapacity, Overflow: eventbus.Drop},
		eventbus.Topic{Name: topicBundleChanges, Capacity: bundleTopicCapacity, Overflow: eventbus.Block},
	)
}

// routerEvents publishes a router's decisions and finished requests on the event
// bus. It implements router.Observer.
type routerEvents struct {
	bus *eventbus.Bus
}

// ObserveDecision implements router.Observer.
func (e routerEvents) ObserveDecision(observation router.DecisionObservation) {
	mustPublish(e.bus, topicDecisions, observation)
}

// ObserveRequest implements router.Observer.
func (e routerEvents) ObserveRequest(observation router.RequestObservation) {
	mustPublish(e.bus, topicFinishedRequests, observation)
}

// mustPublish publishes an event on one of this package's topics. It ignores a
// closed bus, which is expected while the process stops, and panics on any other
// error.
func mustPublish[T any](bus *eventbus.Bus, topic string, event T) {
	if err := eventbus.Publish(bus, topic, event); err != nil && !errors.Is(err, eventbus.ErrClosed) {
		panic(err)
	}
}

// registerRouterEventHandlers registers the handlers that log events and update
// the request metrics.
func registerRouterEventHandlers(bus *eventbus.Bus, log *eventlog.Logger, requests *metrics.RequestMetrics) {
	eventbus.Handle(bus, topicDecisions, func(observation router.DecisionObservation) {
		fields := append(observation.Decision.LogFields(0), "took_us", observation.Took.Microseconds())
		log.Log(eventlog.RoutingDecided, fields...)
	})
	eventbus.Handle(bus, topicFinishedRequests, func(o router.RequestObservation) {
		requests.RecordRequest(o)
		if o.Refusal == nil {
			logServedRequest(log, o)
		} else {
			logRefusedRequest(log, o)
		}
	})
}

func logServedRequest(log *eventlog.Logger, o router.RequestObservation) {
	log.Log(eventlog.RequestServed, "request_id", o.RequestID,
		"account", o.Account, "route", o.Route, "target", o.TargetVM,
		"first_token_ms", o.FirstToken.Milliseconds(), "total_ms", o.Total.Milliseconds(),
		"prompt_tokens", o.Usage.PromptTokens, "cached_tokens", o.Usage.CachedTokens,
		"completion_tokens", o.Usage.CompletionTokens, "dispatches", o.Dispatches)
}

func logRefusedRequest(log *eventlog.Logger, o router.RequestObservation) {
	log.Log(eventlog.RequestRefused, "request_id", o.RequestID, "account", o.Account,
		"route", o.Route, "code", o.Refusal.Code, "ran", o.Refusal.Ran.String(),
		"retry_after_ms", o.Refusal.RetryAfter.Milliseconds(), "message", o.Refusal.Message)
}

// registerBundleGauges registers the handler that updates the gauges of the
// bundle in effect.
func registerBundleGauges(bus *eventbus.Bus, m *metrics.Metrics) {
	eventbus.Handle(bus, topicBundleChanges, func(change bundleChange) {
		m.Scope.Gauge("bundle_version").Update(float64(change.Version))
		m.Scope.Gauge("bundle_accounts").Update(float64(change.Accounts))
		m.Scope.Gauge("bundle_routes").Update(float64(change.Routes))
	})
}

// publishBundleChanges publishes an event for each bundle that takes effect until
// ctx is done.
func publishBundleChanges(ctx context.Context, bus *eventbus.Bus, bundles *bundle.Store) {
	changes, cancel := bundles.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-changes:
			mustPublish(bus, topicBundleChanges, bundleChange{
				Version:  snapshot.Bundle.Version,
				Accounts: len(snapshot.Bundle.Accounts),
				Routes:   len(snapshot.Bundle.Routes),
			})
		}
	}
}

// droppedEventsGaugePeriod is the interval between updates of the gauges of dropped events.
const droppedEventsGaugePeriod = 5 * time.Second

// updateDroppedEventsGauges updates the gauges of dropped events until ctx is done.
func updateDroppedEventsGauges(ctx context.Context, bus *eventbus.Bus, m *metrics.Metrics) {
	for clock.Sleep(ctx, droppedEventsGaugePeriod) {
		for _, topic := range []string{topicDecisions, topicFinishedRequests} {
			scope := m.Scope.Tagged(map[string]string{"topic": topic})
			scope.Gauge("events_dropped").Update(float64(bus.Dropped(topic)))
		}
	}
}
