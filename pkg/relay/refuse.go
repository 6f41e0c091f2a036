package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// notRunRetryAfter is the Retry-After value of a refused request that no target ran,
// for example because a target was full.
const notRunRetryAfter = 100 * time.Millisecond

// unreachedReasons holds the refusal reasons for the outcomes that don't count against
// the route's attempts.
var unreachedReasons = map[outcome]string{
	notSent: "targets_unreachable", addressReused: "targets_unreachable", staleWeights: "weights_changed",
}

// refusal is a response that the relay generates itself.
type refusal struct {
	status int
	reason string
	// mayHaveRun is set if the request has run or may have run.
	mayHaveRun bool
	// permanent is set if no later attempt of the request can be allowed.
	permanent bool
	// part is the part of the prompt because of which the request was refused.
	part string
	// retryAfter is the value of the Retry-After header; 0 omits the header.
	retryAfter time.Duration
	// cost and tokensLeft are the tokens that the request needed and those that
	// the account had left, for a rate-limited request.
	cost, tokensLeft float64
}

// refuse ends the request with a response that the relay generates itself. Once
// part of a target's response has been written, it aborts the connection instead.
func (q *request) refuse(ref refusal) {
	relay := q.relay
	if q.wroteHeader {
		q.abort(q.lastTarget, ref.reason)
	}
	if q.mayHaveRun && !ref.mayHaveRun {
		// An earlier attempt may have run, so the response must not imply that
		// the request did not run.
		ref = refusal{status: http.StatusBadGateway, reason: ref.reason, part: ref.part, mayHaveRun: true}
	}
	if !ref.mayHaveRun {
		q.refund()
	}
	relay.Log.Log(eventlog.CallerRefused, "request_id", q.meta.ID, "route", q.route.Name, "account", q.accountName(),
		"status", ref.status, "reason", ref.reason, "ran", ref.mayHaveRun, "retry_after_ms", ref.retryAfter.Milliseconds(),
		"tries", q.attempts, "total_ms", (relay.Now() - q.startedAt).Milliseconds(), "config", q.configVersion(), "cost", int64(ref.cost), "level", int64(ref.tokensLeft),
		"part", ref.part, "fingerprint", q.fingerprint)
	relay.instruments.countRefusal(ref.reason)
	header := q.w.Header()
	relay.Codec.SetRequestID(header, q.meta.ID)
	if ref.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	body := ref.reason + "\n"
	header.Set("Content-Length", strconv.Itoa(len(body)))
	q.w.WriteHeader(ref.status)
	// A write fails only if the caller has disconnected, so there is no one to
	// report it to.
	_, _ = q.w.Write([]byte(body))
}

// abort closes the caller's connection so that the caller detects an incomplete
// response. It panics and doesn't return.
func (q *request) abort(target, reason string) {
	relay := q.relay
	relay.Log.Log(eventlog.CallerBroken, "request_id", q.meta.ID, "route", q.route.Name, "target", target,
		"events", q.eventCount, "total_ms", (relay.Now() - q.startedAt).Milliseconds(), "err", reason)
	relay.instruments.aborted.Inc(1)
	panic(http.ErrAbortHandler)
}

func (q *request) configVersion() int64 {
	if q.config == nil {
		return 0
	}
	return q.config.Version
}

// finish writes the final response after the last attempt.
func (q *request) finish(a *attempt, result outcome) {
	switch result {
	case notRun:
		q.refuse(q.fullRefusal())
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

// isTooLate reports whether a request that has not run may not be sent to a target any more: it was
// still incomplete when requests began to be refused, and the process may end before its answer.
func (q *request) isTooLate() bool {
	return q.relay.Refusing() && !q.mayHaveRun && !q.wroteHeader && q.deadline+deadlineGrace > q.relay.DrainEnd()
}

// stoppingRefusal refuses a request because the process stops.
func stoppingRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: notRunRetryAfter}
}

func (q *request) notRunRefusal(reason string) refusal {
	return refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: notRunRetryAfter}
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
