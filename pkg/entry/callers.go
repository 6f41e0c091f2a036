package entry

import (
	"net/http"
	"time"

	"github.com/baobabhub/baobabhub/pkg/callerserver"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/relay"
)

const (
	// callerDescriptorFraction is the fraction of the descriptors that the connections of
	// callers may use. The rest is for connections to targets, peers and the store.
	callerDescriptorFraction = 0.45
	// callerConnMemoryFraction is the fraction of the memory limit that the connections of
	// callers may use while they have no request.
	callerConnMemoryFraction = 0.12
	// smallServerDescriptorFraction is the fraction of the descriptors that the connections
	// of readiness checks may use, and those of requests for metrics; smallServerConns is
	// their largest number, far above that of a few load balancers.
	smallServerDescriptorFraction = 1.0 / 16
	smallServerConns              = 64
)

// smallServerLimits are the limits of readiness checks and of requests for metrics.
var smallServerLimits = fleet.ClientLimits{HeaderBytes: 8 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}

// smallBodyTimeout is the longest time for which the body of a readiness check, or of a
// request for metrics, is read.
const smallBodyTimeout = time.Second

// newCallerServer returns the server of callers.
func (e *Entry) newCallerServer() *callerserver.Server {
	return callerserver.New(callerserver.Config{
		Name: "callers", Handler: e.relay, ConnContext: relay.ConnContext, Limits: e.callerLimits,
		MaxConns: callerConns(&e.settings), Memory: e.memory.intake, WriteTimeout: e.settings.CallerWriteTimeout,
		Log: e.log, Metrics: e.metrics.Scope,
		RequestID:    func(header http.Header) string { return e.platform.Codec.DecodeRequest(header).ID },
		SetRequestID: func(header http.Header, id string) { e.platform.Codec.SetRequestID(header, id) },
	})
}

// newSmallServer returns a server of readiness checks or of metrics. It has a budget of
// its own, so that callers who use up the memory don't make the process appear not ready.
func (e *Entry) newSmallServer(name string, handler http.Handler) *callerserver.Server {
	return callerserver.New(callerserver.Config{
		Name: name, Limits: func() fleet.ClientLimits { return smallServerLimits },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// Setting the deadline fails only on a closed connection, where reads fail too.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(smallBodyTimeout))
			handler.ServeHTTP(w, r)
		}),
		MaxConns: smallConns(e.settings.MaxDescriptors), Memory: newSmallServerBudget(&e.settings),
		Log: e.log, Metrics: e.metrics.Scope,
		RequestID:    func(http.Header) string { return "" },
		SetRequestID: func(http.Header, string) {},
	})
}

// callerConns returns the largest number of connections of callers; 0 if there is no limit.
func callerConns(settings *Settings) int {
	if settings.MaxCallerConns > 0 {
		return settings.MaxCallerConns
	}
	limit := int(callerDescriptorFraction * float64(settings.MaxDescriptors))
	byMemory := int(callerConnMemoryFraction * float64(settings.MemoryBytes) / callerserver.ConnMemory)
	switch {
	case limit == 0:
		return byMemory
	case byMemory == 0:
		return limit
	default:
		return min(limit, byMemory)
	}
}

// smallConns returns the largest number of connections of a small server.
func smallConns(maxDescriptors int) int {
	if maxDescriptors == 0 {
		return smallServerConns
	}
	return max(1, min(smallServerConns, int(smallServerDescriptorFraction*float64(maxDescriptors))))
}

// callerLimits returns the limits of callers that the configuration in force sets.
func (e *Entry) callerLimits() fleet.ClientLimits {
	config := e.config.Load()
	if config == nil {
		return fleet.ClientLimits{}
	}
	return config.Limits
}
