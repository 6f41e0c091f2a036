// Package admission reserves tokens of a client account's bucket before a
// request runs. The bucket is divided into parts, each of which is owned by an
// agent.
package admission

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Request is a request to reserve tokens of a client account.
type Request struct {
	RequestID string
	// Account is empty for open routes, which have no rate limit.
	Account string
	// Tokens is the maximum number of tokens that the request may use.
	Tokens int
	// ReservationTimeout is the time after which the reservation expires unless it is
	// settled. It must be at least the request's timeout.
	ReservationTimeout time.Duration
}

// Admitter reserves tokens for a request before it runs.
type Admitter interface {
	// Reserve returns a reservation, or a refusal if the request must not run.
	Reserve(ctx context.Context, request Request) (Reservation, *outcome.Refusal)
}

// Reservation is the reservation of an admitted request's tokens.
type Reservation interface {
	// Settle reports the number of used tokens and releases the rest. It must
	// be called exactly once. It does not block.
	Settle(usedTokens int)
}
