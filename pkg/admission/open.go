package admission

import (
	"context"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// AdmitAll is an Admitter that admits every request. It is used in deployments
// without rate limits and in tests.
type AdmitAll struct{}

var _ Admitter = AdmitAll{}

// Reserve implements Admitter.
func (AdmitAll) Reserve(context.Context, Request) (Reservation, *outcome.Refusal) {
	return noopReservation{}, nil
}

type noopReservation struct{}

// Settle implements Reservation.
func (noopReservation) Settle(int) {}
