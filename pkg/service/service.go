// Package service implements an HTTP client for targets that are not model engines.
// Some of their calls must not be retried.
package service

import (
	"context"
	"net/http"

	"github.com/juju/errors"
)

// Errors returned by a Caller. Compare them with errors.Is.
const (
	// ErrNotSent is returned when no byte of the call was sent; it did not run.
	ErrNotSent = errors.ConstError("call not sent")
	// ErrOutcomeUnknown is returned when the call may have run.
	ErrOutcomeUnknown = errors.ConstError("call outcome unknown")
)

// Call is a request to a service.
type Call struct {
	RequestID string
	Method    string
	// Path is the request URI: the path and the query, without scheme and host.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is the complete response of a service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends calls to a service. Implementations send each call at most once and
// never retry it.
type Client interface {
	Call(ctx context.Context, call Call) (Response, error)
}
