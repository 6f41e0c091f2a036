package store

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/juju/errors"
)

// waitForAttempt waits for another caller's attempt with the same key and
// returns its reply. If tooManyWaiters is set, it returns a refusal immediately.
func waitForAttempt(ctx context.Context, current *activeAttempt, tooManyWaiters bool) Reply {
	if !tooManyWaiters {
		select {
		case <-current.done:
			reply := current.reply
			reply.Replayed = reply.Refusal == nil
			if reply.Refusal != nil && reply.Refusal.Code == outcome.CodeCancelled {
				return refusedReply(outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, recordRetryAfter,
					"The attempt that this call waited for was given up before it was sent."))
			}
			return reply
		case <-ctx.Done():
		}
	}
	return refusedReply(&outcome.Refusal{
		Code:    outcome.CodeStillRunning,
		Ran:     outcome.RanUnknown,
		Message: "An earlier attempt with this idempotency key still runs.",
	})
}

// refusalFromSendError returns the refusal for an error returned by Send.
func refusalFromSendError(err error, ran outcome.Ran) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		adjusted := *refusal
		adjusted.Ran = ran
		return &adjusted
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

// notOwnerRefusal returns the refusal for a call to a slot that this process
// does not own.
func notOwnerRefusal() *outcome.Refusal {
	return outcome.NotRun(outcome.CodeNotOwner, "Another agent owns the call's slot.")
}

// refusedReply returns a reply with a refusal.
func refusedReply(refusal *outcome.Refusal) Reply {
	return Reply{Refusal: refusal}
}

// newAttemptID returns a random attempt identifier.
func newAttemptID() uint64 {
	var id [8]byte
	_, _ = rand.Read(id[:])
	return binary.BigEndian.Uint64(id[:])
}
