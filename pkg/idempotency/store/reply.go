package store

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/juju/errors"
)

// join waits for an attempt of another caller with the same key.
func join(ctx context.Context, current *running, excess bool) Reply {
	if !excess {
		select {
		case <-current.ended:
			reply := current.reply
			reply.Replayed = reply.Refusal == nil
			if reply.Refusal != nil && reply.Refusal.Code == outcome.CodeCancelled {
				return refused(outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, retryAfterRecord,
					"The attempt that this call waited for was given up before it was sent."))
			}
			return reply
		case <-ctx.Done():
		}
	}
	return refused(&outcome.Refusal{
		Code:    outcome.CodeStillRunning,
		Ran:     outcome.RanUnknown,
		Message: "An earlier attempt with this idempotency key still runs.",
	})
}

// sendRefusal returns the refusal for a failed send.
func sendRefusal(err error, ran outcome.Ran) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		given := *refusal
		given.Ran = ran
		return &given
	}
	if ran == outcome.RanNo {
		return outcome.NotRun(outcome.CodeNoTarget, "No target took the call.")
	}
	return &outcome.Refusal{
		Code:    outcome.CodeOutcomeUnknown,
		Ran:     ran,
		Message: "The call was sent and its answer was lost.",
	}
}

// notOwner returns the refusal of a process that does not hold the slot.
func notOwner() *outcome.Refusal {
	return outcome.NotRun(outcome.CodeNotOwner, "Another agent owns the call's slot.")
}

// refused returns a reply that holds a refusal.
func refused(refusal *outcome.Refusal) Reply {
	return Reply{Refusal: refusal}
}

// newAttempt returns a random number that names an attempt.
func newAttempt() uint64 {
	var number [8]byte
	_, _ = rand.Read(number[:])
	return binary.BigEndian.Uint64(number[:])
}
