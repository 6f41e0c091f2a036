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
	// resumeRetryDelay is the delay before a target that rejected the continuation
	// of a stream is asked again.
	resumeRetryDelay = 100 * time.Millisecond
)

// uncountedAttempts counts a request's attempts that don't count against the
// route's attempts.
type uncountedAttempts struct {
	unsent, misdirected int
}

// allowNext counts an attempt that did not reach the chosen target, or reached it
// with other weights, and reports whether another one is allowed. tryRetry
// consumes one retry of the service's budget; an attempt that sent nothing needs
// none.
func (u *uncountedAttempts) allowNext(result outcome, tryRetry func() bool) bool {
	if result == notSent {
		u.unsent++
		return u.unsent < maxUnsentAttempts
	}
	u.misdirected++
	return u.misdirected < maxMisdirectedAttempts && tryRetry()
}

// mayResend reports whether the request may be sent to another target. It
// consumes one retry of the service's budget if so.
func (q *request) mayResend(result outcome, countedAttempts int) bool {
	if result == deadlineExceeded || countedAttempts >= q.route.MaxAttempts || q.remaining() <= 0 {
		return false
	}
	if result != notRun && !q.route.Retryable() {
		return false
	}
	return q.tryRetry()
}

// mayAskAgain reports whether the target that rejected the continuation of a
// stream may be asked again, and waits a moment if so. The caller of a stream that
// has begun can't be told to come back, and asking the same target again does not
// count as a further attempt.
func (q *request) mayAskAgain(ctx context.Context, result outcome) bool {
	if result != notRun || !q.wroteHeader || q.remaining() <= 2*resumeRetryDelay || !q.tryRetry() {
		return false
	}
	return clock.Sleep(ctx, resumeRetryDelay)
}

func (q *request) tryRetry() bool {
	return q.relay.Retries.TryRetry(q.service, q.relay.Processes())
}
