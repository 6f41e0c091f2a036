// Package fairqueue holds the queue in front of one target. Client accounts
// share the target's prefill and decode work by weight, counted in tokens, with
// start-time fair queueing. The package also adapts how many requests the
// target runs at once, so that requests wait here and not inside the engine.
// All types are pure state machines for one owner: they read no clock and are
// not safe for concurrent use.
package fairqueue

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Request is one request that waits for its target.
type Request struct {
	// ID is unique among the queued and running requests.
	ID      string
	Account string
	// Weight is the account's share, relative to others; 0 or less means 1.
	Weight float64
	// Priority orders requests within their account, greater first. The caller
	// passes it on to the engine too.
	Priority int
	// Cost is the expected work in tokens: uncached prompt plus expected output.
	Cost int64
	// Deadline is the latest useful start; zero for none.
	Deadline time.Time
}

// RefusedRequest is a queued request that will not be popped, with its final answer.
type RefusedRequest struct {
	ID      string
	Refusal *outcome.Refusal
}

// Settings of a Queue.
type Settings struct {
	// MaxQueued bounds the waiting requests.
	MaxQueued int
	// InitialTokensPerSecond is the service rate until one is measured.
	InitialTokensPerSecond float64
	// RateWindow is the time over which a sample of the service rate is taken.
	RateWindow time.Duration
	// RateSmoothing is the weight of a new sample, 0 to 1.
	RateSmoothing float64
	// MinRetryAfter is the least time to come back that a refusal names.
	MinRetryAfter time.Duration
}

// DefaultSettings returns the settings used when the operator gives none.
func DefaultSettings() Settings {
	return Settings{
		MaxQueued:              512,
		InitialTokensPerSecond: 10_000,
		RateWindow:             time.Second,
		RateSmoothing:          0.3,
		MinRetryAfter:          50 * time.Millisecond,
	}
}

// waiting is a queued request.
type waiting struct {
	Request
	seq uint64
}

// before says whether w is served before other of the same account.
func (w *waiting) before(other *waiting) bool {
	if w.Priority != other.Priority {
		return w.Priority > other.Priority
	}
	return w.seq < other.seq
}

// running is a popped request that has not finished.
type running struct {
	account string
	cost    int64
}
