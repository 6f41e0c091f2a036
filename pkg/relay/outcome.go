package relay

import (
	"context"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/balance"
)

// outcome is the result of one attempt.
type outcome int

const (
	// completed: the target's response is complete.
	completed outcome = iota
	// notSent: no connection was established or nothing was sent on it.
	notSent
	// addressReused: another target now uses the address and rejected the
	// request; the chosen target didn't receive it.
	addressReused
	// notRun: the target guaranteed that the request did not run.
	notRun
	// staleWeights: the target rejected the request without running it, since
	// its weights version differs from the expected one.
	staleWeights
	// failed: the request may have run, and there is no usable response.
	failed
	// targetError: the target returned an error response.
	targetError
	// callerDisconnected: the caller closed its connection.
	callerDisconnected
	// deadlineExceeded: the request's deadline passed, or a planned stop ended it.
	deadlineExceeded
	// superseded: the response of another attempt came first.
	superseded
)

// outcomeNames holds the names in the log.
var outcomeNames = [...]string{
	completed: "completed", notSent: "unreached", addressReused: "elsewhere", notRun: "not_run", staleWeights: "stale_weights",
	failed: "failed", targetError: "answered_error", callerDisconnected: "caller_left", deadlineExceeded: "out_of_time", superseded: "superseded",
}

func (o outcome) String() string { return outcomeNames[o] }

// mayHaveRun reports whether the target may have run the request of an attempt
// with this outcome.
func (o outcome) mayHaveRun(a *attempt) bool {
	switch o {
	case notSent, addressReused, notRun, staleWeights:
		return false
	default:
		return a.sent
	}
}

// Reasons for which this process ends an attempt.
const (
	errTargetSilent     = errors.ConstError("target_silent")
	errSuperseded       = errors.ConstError("superseded")
	errCallerLeft       = errors.ConstError("caller_left")
	errDeadlineExceeded = errors.ConstError("deadline")
	errStopping         = errors.ConstError("stopping")
)

// endReason returns why this process ended an attempt with the given context, or
// nil if it did not.
func (q *request) endReason(attemptCtx context.Context) error {
	cause := context.Cause(attemptCtx)
	switch {
	case cause == nil, errors.Is(cause, errTargetSilent), errors.Is(cause, errSuperseded):
		return cause
	case q.r.Context().Err() != nil:
		return errCallerLeft
	case q.relay.DrainExpired.Err() != nil:
		return errStopping
	default:
		return errDeadlineExceeded
	}
}

// classifyOutcome replaces the outcome of an attempt that ended because the
// caller disconnected or the request ran out of time.
func (q *request) classifyOutcome(ctx context.Context, a *attempt, result outcome) outcome {
	if q.r.Context().Err() != nil {
		// A response that guarantees that the request did not run stays valid.
		a.sent = result.mayHaveRun(a)
		return callerDisconnected
	}
	if result == failed && (ctx.Err() != nil || errors.Is(a.endedBy, errDeadlineExceeded)) {
		return deadlineExceeded
	}
	if (result == failed || result == notSent) && errors.Is(a.endedBy, errSuperseded) {
		return superseded
	}
	if result == notSent && (q.remaining() <= 0 || errors.Is(a.endedBy, errDeadlineExceeded)) {
		a.sent = false
		return deadlineExceeded
	}
	return result
}

func balanceResult(result outcome) balance.Result {
	switch result {
	case completed:
		return balance.Succeeded
	case notSent:
		return balance.Unreachable
	case addressReused:
		return balance.Replaced
	case notRun:
		return balance.Refused
	case staleWeights:
		return balance.Cancelled
	case callerDisconnected, deadlineExceeded, superseded:
		return balance.Cancelled
	default:
		return balance.Failed
	}
}
