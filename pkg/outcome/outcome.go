// Package outcome defines the results of requests that are not served in full,
// including whether the request ran.
package outcome

import (
	"net/http"
	"time"
)

// Ran states whether a target executed a request.
type Ran uint32

// Values of Ran. The numbers are part of the protocol between processes.
const (
	// RanNo means that no target has run the request and none will.
	RanNo Ran = 0
	// RanYes means that a target has run the request, partly or fully.
	RanYes Ran = 1
	// RanUnknown means that the request may have run.
	RanUnknown Ran = 2
)

// String returns the value for the Baobab-Ran response header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}

// Code identifies the reason for a refusal or failure.
type Code string

// Codes. Callers receive them in the "code" field of an error body.
const (
	// CodeInvalidRequest means that the request is malformed, oversized or
	// unsupported.
	CodeInvalidRequest Code = "invalid_request"
	// CodeBodyTooLarge means that the request body exceeds the configured limit.
	CodeBodyTooLarge Code = "body_too_large"
	// CodeUnauthorized means that the API key is missing, unknown or withdrawn.
	CodeUnauthorized Code = "unauthorized"
	// CodeForbidden means that the key's client account may not use the route.
	CodeForbidden Code = "forbidden"
	// CodeUnknownModel means that no route serves the model.
	CodeUnknownModel Code = "unknown_model"
	// CodeUnknownRoute means that the path matches no route.
	CodeUnknownRoute Code = "unknown_route"
	// CodeRateLimited means that the request exceeds the client account's rate and
	// burst.
	CodeRateLimited Code = "rate_limited"
	// CodeLimiterUnavailable means that no part of the client account's token
	// bucket answered.
	CodeLimiterUnavailable Code = "limiter_unavailable"
	// CodeOverloaded means that no target can start the request in time.
	CodeOverloaded Code = "overloaded"
	// CodeNoTarget means that no target serves the model and version.
	CodeNoTarget Code = "no_target"
	// CodeLeaving means that the process or its target is stopping.
	CodeLeaving Code = "leaving"
	// CodeStaleTarget means that the target has restarted or changed its weights
	// since it was selected.
	CodeStaleTarget Code = "stale_target"
	// CodeNotOwner means that the agent does not own the call's slot.
	CodeNotOwner Code = "not_owner"
	// CodeStillRunning means that an earlier attempt with the same idempotency
	// key is still running.
	CodeStillRunning Code = "still_running"
	// CodeOutcomeUnknown means that the call may have run, in this attempt or an
	// earlier one.
	CodeOutcomeUnknown Code = "outcome_unknown"
	// CodeKeyReused means that the idempotency key was used before with a different
	// request.
	CodeKeyReused Code = "idempotency_key_reused"
	// CodeRecordUnavailable means that the call's idempotency record could not be
	// written.
	CodeRecordUnavailable Code = "record_unavailable"
	// CodeTargetFailed means that the target failed during the request.
	CodeTargetFailed Code = "target_failed"
	// CodeTimeout means that the request's deadline passed.
	CodeTimeout Code = "timeout"
	// CodeCancelled means that the caller disconnected.
	CodeCancelled Code = "cancelled"
	// CodeNotReady means that the process has no active bundle yet.
	CodeNotReady Code = "not_ready"
)

// statusClientClosedRequest is the non-standard status, introduced by nginx, of a
// request whose caller disconnected before the response.
const statusClientClosedRequest = 499

// statusByCode holds the HTTP status of each code.
var statusByCode = map[Code]int{
	CodeInvalidRequest:     http.StatusBadRequest,
	CodeBodyTooLarge:       http.StatusRequestEntityTooLarge,
	CodeUnauthorized:       http.StatusUnauthorized,
	CodeForbidden:          http.StatusForbidden,
	CodeUnknownModel:       http.StatusNotFound,
	CodeUnknownRoute:       http.StatusNotFound,
	CodeRateLimited:        http.StatusTooManyRequests,
	CodeLimiterUnavailable: http.StatusServiceUnavailable,
	CodeOverloaded:         http.StatusServiceUnavailable,
	CodeNoTarget:           http.StatusServiceUnavailable,
	CodeLeaving:            http.StatusServiceUnavailable,
	CodeStaleTarget:        http.StatusServiceUnavailable,
	CodeNotOwner:           http.StatusServiceUnavailable,
	CodeStillRunning:       http.StatusConflict,
	CodeOutcomeUnknown:     http.StatusConflict,
	CodeKeyReused:          http.StatusUnprocessableEntity,
	CodeRecordUnavailable:  http.StatusServiceUnavailable,
	CodeTargetFailed:       http.StatusBadGateway,
	CodeTimeout:            http.StatusGatewayTimeout,
	CodeCancelled:          statusClientClosedRequest,
	CodeNotReady:           http.StatusServiceUnavailable,
}

// HTTPStatus returns the HTTP status for the code.
func (c Code) HTTPStatus() int {
	if status, ok := statusByCode[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Refusal is the final outcome of a request that was not served in full. It
// implements error so that it can be passed through error returns.
type Refusal struct {
	// Code is the reason.
	Code Code
	// Ran states whether the request ran.
	Ran Ran
	// RetryAfter is the time after which a retry may succeed, or 0 if unknown.
	RetryAfter time.Duration
	// Message is one sentence for the caller. It never contains a key.
	Message string
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// NotRun returns the refusal of a request that has not run and will not run.
func NotRun(code Code, message string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Message: message}
}

// NotRunRetryAfter returns a NotRun refusal with a RetryAfter time.
func NotRunRetryAfter(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, RetryAfter: retryAfter, Message: message}
}
