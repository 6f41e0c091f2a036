// Package fairqueue implements the request queue of one target. It uses
// start-time fair queueing to share the target's prefill and decode work,
// measured in tokens, among the client accounts in proportion to their weights.
// The package also adapts the number of requests that the target runs
// concurrently, so that requests wait in the queue and not inside the engine.
// All types are pure state machines: they read no clock and are not safe for
// concurrent use.
package fairqueue

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Request is a request to be queued for a target.
type Request struct {
	// ID is unique among the queued and running requests.
	ID string
	// Account identifies the client account, whose requests form one flow.
	Account string
	// Weight is the account's relative share; 0 or less means 1.
	Weight float64
	// Priority orders requests within their account, highest first. The caller
	// also passes it to the engine.
	Priority int
	// Cost is the expected cost in tokens: uncached prompt plus expected output.
	Cost int64
	// Deadline is the latest useful start time; zero means none.
	Deadline time.Time
}

// RefusedRequest is a queued request that was removed without being popped, with
// its refusal.
type RefusedRequest struct {
	ID      string
	Refusal *outcome.Refusal
}

// Settings configures a Queue.
type Settings struct {
	// MaxQueued bounds the number of queued requests.
	MaxQueued int
	// InitialTokensPerSecond is the service rate assumed before the first
	// measurement.
	InitialTokensPerSecond float64
	// RateWindow is the minimum busy time covered by a sample of the service rate.
	RateWindow time.Duration
	// RateSmoothing is the weight of a new sample, from 0 to 1.
	RateSmoothing float64
	// MinRetryAfter is the minimum retry delay in a refusal.
	MinRetryAfter time.Duration
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		MaxQueued:              512,
		InitialTokensPerSecond: 10_000,
		RateWindow:             time.Second,
		RateSmoothing:          0.3,
		MinRetryAfter:          50 * time.Millisecond,
	}
}

// queuedRequest is a queued request with its arrival sequence number.
type queuedRequest struct {
	Request
	seq uint64
}

// before reports whether r is served before another request of the same account.
func (r *queuedRequest) before(other *queuedRequest) bool {
	if r.Priority != other.Priority {
		return r.Priority > other.Priority
	}
	return r.seq < other.seq
}

// runningRequest is a popped request that has not finished.
type runningRequest struct {
	account string
	cost    int64
}
