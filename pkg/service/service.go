// Package service is the peer package for plain services: targets beside the
// model engines whose calls may not all be repeated.
package service

import (
	"context"
	"net/http"

	"github.com/juju/errors"
)

// Errors of a Caller. Compare with errors.Is.
const (
	// ErrNotSent means that no byte of the call left; it did not run.
	ErrNotSent = errors.ConstError("call not sent")
	// ErrOutcomeUnknown means that the call may have run.
	ErrOutcomeUnknown = errors.ConstError("call outcome unknown")
)

// Call is one call of a service.
type Call struct {
	RequestID string
	Method    string
	// Path holds the path and query below the service's address.
	Path   string
	Header http.Header
	Body   []byte
}

// Response is a service's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Caller sends a call at most once: no implementation repeats it.
type Caller interface {
	Call(ctx context.Context, call Call) (Response, error)
}
