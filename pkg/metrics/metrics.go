// Package metrics collects a process's metrics in a tally scope and exports them in
// the Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the interval at which the scope reports to its reporter.
const reportPeriod = time.Second

// Metrics holds the root scope of a process and the handler that exports it.
type Metrics struct {
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
}

// New returns the Metrics of a process. The process name is "router" or "agent"; all
// metric names begin with "baobab_router_" or "baobab_agent_" accordingly.
func New(process string) *Metrics {
	registry := prom.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "baobab_" + process,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportPeriod)
	return &Metrics{Scope: scope, handler: reporter.HTTPHandler(), closer: closer}
}

// Handler returns the handler that serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return m.handler
}

// Close reports the final values and stops reporting.
func (m *Metrics) Close() error {
	return errors.Trace(m.closer.Close())
}
