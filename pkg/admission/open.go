package admission

import (
	"context"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// AdmitAll admits every request. It serves deployments without rates, and tests.
type AdmitAll struct{}

var _ Admitter = AdmitAll{}

// Reserve implements Admitter.
func (AdmitAll) Reserve(context.Context, Request) (Reservation, *outcome.Refusal) {
	return openReservation{}, nil
}

type openReservation struct{}

// Settle implements Reservation.
func (openReservation) Settle(int) {}
