// Package outcome names the results that a request can have when it is not
// served, and says for each whether the request ran.
package outcome

import (
	"net/http"
	"time"
)

// Ran says whether a request reached execution at a target.
type Ran uint32

// Values of Ran. The numbers travel between processes.
const (
	// RanNo means that no target has run the request or will run it.
	RanNo Ran = 0
	// RanYes means that a target has run the request, in part or whole.
	RanYes Ran = 1
	// RanUnknown means that the request may have run.
	RanUnknown Ran = 2
)

// String returns the form used in the Baobab-Ran response header.
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

// Code is the typed reason of a refusal or failure.
type Code string

// Codes, as callers see them in the "code" field of an error body.
const (
	// CodeInvalidRequest is a malformed, oversized or unsupported request.
	CodeInvalidRequest Code = "invalid_request"
	// CodeBodyTooLarge is a request body above the configured limit.
	CodeBodyTooLarge Code = "body_too_large"
	// CodeUnauthorized is a missing, unknown or withdrawn key.
	CodeUnauthorized Code = "unauthorized"
	// CodeForbidden is a key whose client account may not use the route.
	CodeForbidden Code = "forbidden"
	// CodeUnknownModel is a model that no route names.
	CodeUnknownModel Code = "unknown_model"
	// CodeUnknownRoute is a path that no route names.
	CodeUnknownRoute Code = "unknown_route"
	// CodeRateLimited is a client account above its rate and burst.
	CodeRateLimited Code = "rate_limited"
	// CodeLimiterUnavailable means that no part of the account's bucket answered.
	CodeLimiterUnavailable Code = "limiter_unavailable"
	// CodeOverloaded means that no target can start the request in time.
	CodeOverloaded Code = "overloaded"
	// CodeNoTarget means that no target serves the model and version.
	CodeNoTarget Code = "no_target"
	// CodeLeaving means that the process or its target is stopping.
	CodeLeaving Code = "leaving"
	// CodeStaleTarget means that the target's boot or weights changed since the pick.
	CodeStaleTarget Code = "stale_target"
	// CodeNotOwner means that the asked agent does not hold the slot.
	CodeNotOwner Code = "not_owner"
	// CodeStillRunning means that an earlier attempt with the same idempotency key runs.
	CodeStillRunning Code = "still_running"
	// CodeOutcomeUnknown means that an earlier attempt may have run.
	CodeOutcomeUnknown Code = "outcome_unknown"
	// CodeKeyReused is an idempotency key used again with a different request.
	CodeKeyReused Code = "idempotency_key_reused"
	// CodeRecordUnavailable means that no idempotency record could be written.
	CodeRecordUnavailable Code = "record_unavailable"
	// CodeTargetFailed means that the target broke off its answer.
	CodeTargetFailed Code = "target_failed"
	// CodeTimeout means that the request's deadline passed.
	CodeTimeout Code = "timeout"
	// CodeCancelled means that the caller left.
	CodeCancelled Code = "cancelled"
	// CodeNotReady means that the process has no bundle in force yet.
	CodeNotReady Code = "not_ready"
)

// statusClientClosed is the customary status of a request whose caller left.
const statusClientClosed = 499

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
	CodeCancelled:          statusClientClosed,
	CodeNotReady:           http.StatusServiceUnavailable,
}

// HTTPStatus returns the HTTP status that goes with the code.
func (c Code) HTTPStatus() int {
	if status, ok := statusByCode[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Refusal is a request's final outcome when it was not served whole. It is a
// value; it satisfies error so that it can travel through error returns.
type Refusal struct {
	// Code is the typed reason.
	Code Code
	// Ran says whether the request ran.
	Ran Ran
	// RetryAfter is the time after which asking again may help; 0 for none.
	RetryAfter time.Duration
	// Message is one sentence for the caller. It never holds a key.
	Message string
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// NotRun returns a refusal of a request that has not run and will not run.
func NotRun(code Code, message string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, Message: message}
}

// NotRunRetryAfter returns a NotRun refusal with the time to come back.
func NotRunRetryAfter(code Code, retryAfter time.Duration, message string) *Refusal {
	return &Refusal{Code: code, Ran: RanNo, RetryAfter: retryAfter, Message: message}
}
