package admission

import (
	"context"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Open is an Admitter that admits every request. It is used in deployments
// without rate limits and in tests.
type Open struct{}

var _ Admitter = Open{}

// Reserve implements Admitter.
func (Open) Reserve(context.Context, Request) (Reservation, *outcome.Refusal) {
	return noopReservation{}, nil
}

type noopReservation struct{}

// Settle implements Reservation.
func (noopReservation) Settle(int) {}
