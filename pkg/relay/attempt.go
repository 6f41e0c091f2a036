package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/sockstate"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
)

const (
	// maxUnsentAttempts and maxMisdirectedAttempts bound the attempts per request
	// that don't count against the route's attempts: those that sent nothing, which
	// fail quickly while many targets are down, and those that reached another
	// target or other weights.
	maxUnsentAttempts      = 12
	maxMisdirectedAttempts = 4
	// notRunRetryAfter is the Retry-After value of a refused request that no target
	// ran, for example because a target was full.
	notRunRetryAfter = 100 * time.Millisecond
	// resumeRetryDelay is the delay before a target that rejected the continuation
	// of a stream is asked again.
	resumeRetryDelay = 100 * time.Millisecond
	// stallTimeoutFactor is the first-byte timeout of a retryable request, as a
	// multiple of the route's objective. After it, the request is sent to another
	// target.
	stallTimeoutFactor = 3
	// minStallTimeout is the lower bound of that timeout.
	minStallTimeout = 500 * time.Millisecond
)

// outcome is the result of one attempt.
type outcome int

const (
	// delivered: the complete response was written to the caller.
	delivered outcome = iota
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
)

var outcomeNames = [...]string{"delivered", "unreached", "elsewhere", "not_run", "stale_weights", "failed", "answered_error", "caller_left", "out_of_time"}

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

// notRunReasons holds the refusal reasons of requests that no target ran.
var notRunReasons = map[outcome]string{
	notSent: "targets_unreachable", addressReused: "targets_unreachable", staleWeights: "weights_changed",
}

// attempt is one transmission of a request to a target.
type attempt struct {
	choice       balance.Choice
	tracked      *balance.TrackedRequest
	exchange     *targetconn.Exchange
	responseMeta call.ResponseMetadata
	startedAt    time.Duration
	// body is the complete body of the target's error response.
	body []byte
	sent bool
	err  error
	// endedBy is why this process ended the attempt; nil if the target ended it.
	endedBy error
}

// Reasons for which this process ends an attempt.
const (
	errTargetSilent     = errors.ConstError("target_silent")
	errCallerLeft       = errors.ConstError("caller_left")
	errDeadlineExceeded = errors.ConstError("deadline")
	errStopping         = errors.ConstError("stopping")
)

// sendWithRetries sends the request until an attempt yields the final response
// or no further attempt is allowed.
func (q *request) sendWithRetries(ctx context.Context) {
	q.relay.Retries.RecordRequest(q.service, q.relay.Processes())
	excluded := map[string]bool{}
	countedAttempts := 0
	var uncounted uncountedAttempts
	for {
		if q.callerConnClosed() {
			q.handleDisconnect(&attempt{})
		}
		choice, refusal := q.chooseTarget(excluded)
		if refusal != nil {
			q.refuse(*refusal)
			return
		}
		a := &attempt{choice: choice, startedAt: q.relay.Now()}
		q.attempts++
		result := q.runAttempt(ctx, a)
		q.lastTarget = choice.Target.ID
		q.mayHaveRun = q.mayHaveRun || result.mayHaveRun(a)
		if result != delivered {
			q.logFailure(a, result)
		}
		switch result {
		case delivered:
			return
		case callerDisconnected:
			q.handleDisconnect(a)
			return
		case notSent, addressReused, staleWeights:
			// A target with another weights version stays a candidate, since the
			// next attempt can expect the version that it has.
			excluded[choice.Target.ID] = result != staleWeights
			if uncounted.allowNext(result, q.tryRetry) {
				continue
			}
			q.refuse(q.notRunRefusal(notRunReasons[result]))
			return
		}
		countedAttempts++
		excluded[choice.Target.ID] = true
		if q.mayResend(result, countedAttempts) {
			continue
		}
		if q.mayAskAgain(ctx, result) {
			q.onlyTarget = choice.Target.ID
			continue
		}
		q.finish(a, result)
		return
	}
}

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

// callerConnClosed reports whether the caller closed its connection before the
// request was forwarded. http.Server detects a close only while a handler runs,
// so it may not have detected the close for a request that was queued unread.
func (q *request) callerConnClosed() bool {
	conn, ok := q.r.Context().Value(callerConnKey{}).(net.Conn)
	return ok && sockstate.Of(conn) == sockstate.Closed
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

// finish writes the final response after the last attempt.
func (q *request) finish(a *attempt, result outcome) {
	switch result {
	case notRun:
		q.refuse(q.notRunRefusal("target_full"))
	case targetError:
		q.writeErrorResponse(a)
	case deadlineExceeded:
		q.refuse(refusal{status: http.StatusGatewayTimeout, reason: q.timeoutReason(), mayHaveRun: a.sent})
	default:
		q.refuse(refusal{status: http.StatusBadGateway, reason: "target_failed", mayHaveRun: true})
	}
}

// timeoutReason returns the refusal reason for a request that ran out of time.
func (q *request) timeoutReason() string {
	if q.relay.DrainExpired.Err() != nil {
		return "stopping"
	}
	return "deadline"
}

func (q *request) notRunRefusal(reason string) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: notRunRetryAfter}
}

// chooseTarget selects the next target, or returns a refusal if there is none.
func (q *request) chooseTarget(excluded map[string]bool) (balance.Choice, *refusal) {
	relay := q.relay
	req := q.balanceRequest(excluded)
	choice, rejection := relay.Balancer.Pick(relay.Now(), req, relay.Targets())
	if rejection == nil {
		return choice, nil
	}
	if q.wroteHeader {
		return choice, &refusal{status: http.StatusBadGateway, reason: rejection.Reason, mayHaveRun: true}
	}
	return choice, &refusal{status: http.StatusServiceUnavailable, reason: rejection.Reason, retryAfter: rejection.RetryAfter}
}

func (q *request) balanceRequest(excluded map[string]bool) *balance.Request {
	req := &balance.Request{Service: q.service, Excluded: excluded, Only: q.onlyTarget, MaxExpectedTTFB: q.maxFirstByteWait()}
	service, ok := q.config.Services[q.service]
	if !ok || !service.HasEngines || q.meta.Model == "" {
		return req
	}
	req.Model = q.meta.Model
	req.PromptTokens = q.meta.PromptTokens
	req.CacheSalt = q.salt
	req.SharedParts = q.meta.SharedParts()
	req.Stores = q.config.CacheStores()
	return req
}

// maxFirstByteWait returns the longest time to the first byte that is still
// useful to the caller.
func (q *request) maxFirstByteWait() time.Duration {
	const minStreamWait = 2 * time.Second
	if q.route.Kind == fleet.Stream {
		return min(q.remaining(), max(minStreamWait, 4*q.route.FirstByteObjective))
	}
	return q.remaining()
}

// salt returns the cache salt, which separates the cache entries of weights
// versions and of isolated accounts.
func (q *request) salt(version int64) string {
	salt := q.meta.Model + "/" + strconv.FormatInt(version, 10)
	if q.account != nil && q.account.Isolated {
		salt += "/" + q.account.Name
	}
	return salt
}

// runAttempt sends the request to the chosen target and handles the response.
func (q *request) runAttempt(ctx context.Context, a *attempt) outcome {
	relay := q.relay
	target := &a.choice.Target
	relay.instruments.attempts.Inc(1)
	a.tracked = relay.Balancer.Begin(a.startedAt, q.balanceRequest(nil), &a.choice)
	relay.Log.Log(eventlog.AttemptBegun, "request_id", q.meta.ID, "route", q.route.Name, "account", q.accountName(),
		"try", q.attempts, "target", target.ID, "weights", a.choice.Version, "expected_ms", a.choice.ExpectedTTFB.Milliseconds(),
		"cached_tokens", a.choice.CachedTokens, "import", a.choice.Import.String(), "import_from", a.choice.ImportAddress, "save", a.choice.SaveToStore, "prompt_tokens", q.meta.PromptTokens,
		"prefix", strconv.FormatUint(a.choice.Prefix, 16), "primary", a.choice.Primary, "recomputed_tokens", a.choice.RecomputedTokens, "candidates", a.choice.Candidates,
		"load_age_ms", a.choice.LoadAge.Milliseconds(), "config", q.config.Version, "left_ms", q.remaining().Milliseconds())
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := q.newStallTimer(func() { cancel(errTargetSilent) })
	defer stall.Stop()
	// A failed write to the caller panics, so a deferred call also ends the
	// tracking.
	defer func() { a.tracked.End(relay.Now(), balance.Cancelled) }()
	result := q.roundTrip(attemptCtx, a, stall)
	a.endedBy = q.endReason(attemptCtx)
	if result != delivered {
		result = q.classifyOutcome(ctx, a, result)
	}
	a.tracked.End(relay.Now(), balanceResult(result))
	return result
}

// newStallTimer returns a timer that cancels the attempt if no first byte
// arrives. The short timeout applies only to the first attempt of a retryable
// request.
func (q *request) newStallTimer(cancel func()) *time.Timer {
	timeout := max(minStallTimeout, stallTimeoutFactor*q.route.FirstByteObjective)
	if !q.route.Retryable() || q.attempts > 1 {
		timeout = q.remaining() + 2*deadlineGrace
	}
	return time.AfterFunc(timeout, cancel)
}

// endReason returns why this process ended an attempt with the given context, or
// nil if it did not.
func (q *request) endReason(attemptCtx context.Context) error {
	switch {
	case attemptCtx.Err() == nil:
		return nil
	case errors.Is(context.Cause(attemptCtx), errTargetSilent):
		return errTargetSilent
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
	if result == failed && ctx.Err() != nil {
		return deadlineExceeded
	}
	if result == notSent && q.remaining() <= 0 {
		a.sent = false
		return deadlineExceeded
	}
	return result
}

func balanceResult(result outcome) balance.Result {
	switch result {
	case delivered:
		return balance.Succeeded
	case notSent:
		return balance.Unreachable
	case addressReused:
		return balance.Replaced
	case notRun:
		return balance.Refused
	case staleWeights:
		return balance.Cancelled
	case callerDisconnected, deadlineExceeded:
		return balance.Cancelled
	default:
		return balance.Failed
	}
}

func (q *request) logFailure(a *attempt, result outcome) {
	status := 0
	if a.exchange != nil {
		status = a.exchange.Response.StatusCode
	}
	message := ""
	if a.err != nil {
		message = a.err.Error()
	}
	endedBy := "target"
	if a.endedBy != nil {
		endedBy = a.endedBy.Error()
	}
	q.relay.Log.Log(eventlog.AttemptFailed, "request_id", q.meta.ID, "try", q.attempts, "target", a.choice.Target.ID,
		"outcome", result.String(), "status", status, "sent", a.sent, "took_ms", (q.relay.Now() - a.startedAt).Milliseconds(), "ended_by", endedBy, "err", message)
}

// handleDisconnect records that the caller disconnected and aborts the handler
// with a panic. Tokens are refunded unless a completed attempt may have run.
func (q *request) handleDisconnect(a *attempt) {
	if !q.mayHaveRun {
		q.refund()
	}
	q.relay.instruments.disconnected.Inc(1)
	q.relay.Log.Log(eventlog.CallerLeft, "request_id", q.meta.ID, "route", q.route.Name,
		"target", a.choice.Target.ID, "total_ms", (q.relay.Now() - q.startedAt).Milliseconds())
	panic(http.ErrAbortHandler)
}
