package relay

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
)

const (
	// maxUnsentAttempts and maxMisdirectedAttempts bound the attempts per request
	// that don't count against the route's attempts: those that sent nothing, which
	// fail quickly while many targets are down, and those that reached another
	// target or other weights.
	maxUnsentAttempts      = 12
	maxMisdirectedAttempts = 4
	// resumeRetryDelay is the delay before a begun stream is continued at a target that
	// rejected it, or before a target for it is chosen again.
	resumeRetryDelay = 100 * time.Millisecond
)

// uncountedAttempts counts a request's attempts that don't count against the
// route's attempts.
type uncountedAttempts struct {
	unsent, misdirected int
}

// record counts an attempt that did not reach the chosen target, or reached it with
// other weights.
func (u *uncountedAttempts) record(result outcome) {
	if result == notSent {
		u.unsent++
		return
	}
	u.misdirected++
}

// allowNext reports whether another attempt is allowed after one with the given
// outcome. tryRetry consumes one retry of the service's budget; an attempt that sent
// nothing needs none.
func (u *uncountedAttempts) allowNext(result outcome, tryRetry func() bool) bool {
	if result == notSent {
		return u.unsent < maxUnsentAttempts
	}
	return u.misdirected < maxMisdirectedAttempts && tryRetry()
}

// takeResend reports whether the request may be sent to another target. It
// consumes one retry of the service's budget if so.
func (q *request) takeResend(ctx context.Context, result outcome, countedAttempts int) bool {
	if result == deadlineExceeded || countedAttempts >= q.route.MaxAttempts || q.remaining() <= 0 {
		return false
	}
	if result != notRun && (!q.route.Retryable() || q.isSuspected()) {
		return false
	}
	return q.takeRetry(ctx)
}

// waitToAskAgain reports whether the target that rejected the continuation of a
// stream may receive the request again, and waits a moment if so. This is not limited
// by the route's attempts. It consumes one retry of the service's budget.
func (q *request) waitToAskAgain(ctx context.Context, result outcome) bool {
	return result == notRun && q.wroteHeader && q.hasTimeToWait() && q.takeRetry(ctx) && clock.Sleep(ctx, resumeRetryDelay)
}

// waitForTarget reports whether a target for the rest of a stream may be chosen
// again, and waits a moment if so. The caller of a stream that has begun can't be
// told to come back.
func (q *request) waitForTarget(ctx context.Context) bool {
	return q.wroteHeader && q.hasTimeToWait() && clock.Sleep(ctx, resumeRetryDelay)
}

// hasTimeToWait reports whether a continuation could begin in time after a wait.
func (q *request) hasTimeToWait() bool {
	return q.remaining() > 2*resumeRetryDelay
}

// takeRetry consumes one retry of the service's budget and reports whether there was
// one. A begun stream waits for one while time is left.
func (q *request) takeRetry(ctx context.Context) bool {
	for !q.tryRetry() {
		if !q.waitForTarget(ctx) {
			return false
		}
	}
	return true
}

func (q *request) tryRetry() bool {
	return q.relay.Retries.TryRetry(q.service, q.relay.Processes())
}
