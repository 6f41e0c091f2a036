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

// Topics of a process's event bus.
const (
	topicDecisions = "decisions"
	topicFinished  = "finished_requests"
	topicBundles   = "bundle_changes"
)

// Capacities of the topics' rings, in messages.
const (
	decisionRing = 4096
	finishedRing = 4096
	bundleRing   = 16
)

// bundleChange tells that a bundle has come into force in this process.
type bundleChange struct {
	Version  uint64 `json:"version"`
	Accounts int    `json:"accounts"`
	Routes   int    `json:"routes"`
}

// newBus returns a process's event bus. Records for log and metrics are
// dropped, and counted, rather than hold up requests; bundle changes are not.
func newBus() (*eventbus.Bus, error) {
	return eventbus.New(
		eventbus.Topic{Name: topicDecisions, Capacity: decisionRing, Policy: eventbus.Drop},
		eventbus.Topic{Name: topicFinished, Capacity: finishedRing, Policy: eventbus.Drop},
		eventbus.Topic{Name: topicBundles, Capacity: bundleRing, Policy: eventbus.Block},
	)
}

// routerEvents publishes what a router observes. It implements router.Observer.
type routerEvents struct {
	bus *eventbus.Bus
}

// ObserveDecision implements router.Observer.
func (e routerEvents) ObserveDecision(decided router.DecisionObservation) {
	mustPublish(e.bus, topicDecisions, decided)
}

// ObserveRequest implements router.Observer.
func (e routerEvents) ObserveRequest(observation router.RequestObservation) {
	mustPublish(e.bus, topicFinished, observation)
}

// mustPublish publishes an event of this package's own; only a bus that is
// closed already refuses it, at the process's end.
func mustPublish[T any](bus *eventbus.Bus, topic string, event T) {
	if err := eventbus.Publish(bus, topic, event); err != nil && !errors.Is(err, eventbus.ErrClosed) {
		panic(err)
	}
}

// handleRouterEvents adds the handlers for log lines and request metrics.
func handleRouterEvents(bus *eventbus.Bus, log *eventlog.Logger, requests *metrics.Requests) {
	eventbus.Handle(bus, topicDecisions, func(decided router.DecisionObservation) {
		fields := append(decided.Decision.LogFields(0), "took_us", decided.Took.Microseconds())
		log.Log(eventlog.RoutingDecided, fields...)
	})
	eventbus.Handle(bus, topicFinished, func(o router.RequestObservation) {
		requests.Finished(o)
		if o.Refusal == nil {
			logServed(log, o)
		} else {
			logRefused(log, o)
		}
	})
}

func logServed(log *eventlog.Logger, o router.RequestObservation) {
	log.Log(eventlog.RequestServed, "request_id", o.RequestID,
		"account", o.Account, "route", o.Route, "target", o.TargetVM,
		"first_token_ms", o.FirstToken.Milliseconds(), "total_ms", o.Total.Milliseconds(),
		"prompt_tokens", o.Usage.PromptTokens, "cached_tokens", o.Usage.CachedTokens,
		"completion_tokens", o.Usage.CompletionTokens, "dispatches", o.Dispatches)
}

func logRefused(log *eventlog.Logger, o router.RequestObservation) {
	log.Log(eventlog.RequestRefused, "request_id", o.RequestID, "account", o.Account,
		"route", o.Route, "code", o.Refusal.Code, "ran", o.Refusal.Ran.String(),
		"retry_after_ms", o.Refusal.RetryAfter.Milliseconds(), "message", o.Refusal.Message)
}

// handleBundleChanges keeps the gauges of the bundle in force.
func handleBundleChanges(bus *eventbus.Bus, m *metrics.Metrics) {
	eventbus.Handle(bus, topicBundles, func(change bundleChange) {
		m.Scope.Gauge("bundle_version").Update(float64(change.Version))
		m.Scope.Gauge("bundle_accounts").Update(float64(change.Accounts))
		m.Scope.Gauge("bundle_routes").Update(float64(change.Routes))
	})
}

// publishBundleChanges publishes each bundle that comes into force, until ctx
// ends.
func publishBundleChanges(ctx context.Context, bus *eventbus.Bus, bundles *bundle.Store) {
	changes, cancel := bundles.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-changes:
			mustPublish(bus, topicBundles, bundleChange{
				Version:  snapshot.Bundle.Version,
				Accounts: len(snapshot.Bundle.Accounts),
				Routes:   len(snapshot.Bundle.Routes),
			})
		}
	}
}

// dropReportPeriod is the time between updates of the drop gauges.
const dropReportPeriod = 5 * time.Second

// reportDrops keeps the gauges of dropped events until ctx ends.
func reportDrops(ctx context.Context, bus *eventbus.Bus, m *metrics.Metrics) {
	for clock.Sleep(ctx, dropReportPeriod) {
		for _, topic := range []string{topicDecisions, topicFinished} {
			scope := m.Scope.Tagged(map[string]string{"topic": topic})
			scope.Gauge("events_dropped").Update(float64(bus.Dropped(topic)))
		}
	}
}
