// Package caller implements the HTTP interface for callers: an OpenAI-compatible
// API for completions, and calls to plain services under the paths of their
// routes. A plain service is any HTTP service that is not a model engine.
package caller

import (
	"context"
	"net/http"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Header names of requests and responses.
const (
	// HeaderRan states whether the request ran: no, yes or unknown.
	HeaderRan = "Baobab-Ran"
	// HeaderRequestID carries the id that identifies the request in logs.
	HeaderRequestID = "Baobab-Request-Id"
	// HeaderTarget carries the id of the VM whose target answered.
	HeaderTarget = "Baobab-Target"
	// HeaderReplayed is "true" if the response is the stored answer of an
	// earlier attempt.
	HeaderReplayed = "Baobab-Replayed"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int
	CachedTokens     int
	CompletionTokens int
}

// Sink receives the answer of a completion request in order. Its methods are
// called from one goroutine. An error means that the caller has disconnected.
type Sink interface {
	// Begin sets the VM of the target that answers. It is called before the
	// target's first text, and again if another target continues the answer.
	Begin(targetVM string) error
	// WriteText writes the next part of the answer.
	WriteText(text string) error
	// Finish ends the answer, with its finish reason and token usage.
	Finish(reason string, usage Usage) error
}

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	RequestID string
	APIKey    string
	Method    string
	// Path is the path and query as the caller sent them.
	Path           string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
}

// ServiceAnswer is a plain service's answer.
type ServiceAnswer struct {
	Status   int
	Header   http.Header
	Body     []byte
	TargetVM string
	// Replayed reports whether this is the stored answer of an earlier attempt.
	Replayed bool
}

// Backend serves the requests of callers. A nil refusal means that the answer was
// delivered in full.
type Backend interface {
	// Complete serves a completion request and writes its answer to sink.
	Complete(ctx context.Context, request CompletionRequest, sink Sink) *outcome.Refusal
	// Call serves a call to a plain service.
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, *outcome.Refusal)
	// CheckKey refuses a key that belongs to no client account. It accepts the
	// empty key, since open routes need none.
	CheckKey(key string) *outcome.Refusal
	// Models returns the names of the models that the key may use.
	Models(key string) ([]string, *outcome.Refusal)
	// Ready reports whether requests can be served.
	Ready() bool
}
