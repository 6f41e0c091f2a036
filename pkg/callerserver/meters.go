package callerserver

import "github.com/uber-go/tally/v4"

// meters holds the metrics of a server.
type meters struct {
	scope tally.Scope
	// conns is the number of open connections.
	conns tally.Gauge
	// refused and evicted count connections that the limit has closed.
	refused, evicted tally.Counter
	// stopped counts bodies that were given up.
	stopped tally.Counter
}

func newMeters(scope tally.Scope, server string) meters {
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.Tagged(map[string]string{"server": server})
	return meters{scope: scope, conns: scope.Gauge("caller_conns"),
		refused: scope.Counter("caller_conns_refused"), evicted: scope.Counter("caller_conns_evicted"),
		stopped: scope.Counter("caller_bodies_stopped")}
}

// countRefusal counts a request that was refused because of its header. There are few
// reasons.
func (m *meters) countRefusal(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("caller_heads_refused").Inc(1)
}
