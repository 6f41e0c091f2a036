// Package caller is the peer package for callers: the OpenAI-style HTTP
// interface for completions, and plain service calls under their routes.
package caller

import (
	"context"
	"net/http"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Header names of requests and responses.
const (
	// HeaderRan says whether the request ran: no, yes or unknown.
	HeaderRan = "Baobab-Ran"
	// HeaderRequestID names the request in logs.
	HeaderRequestID = "Baobab-Request-Id"
	// HeaderTarget names the VM of the target that answered.
	HeaderTarget = "Baobab-Target"
	// HeaderReplayed is "true" on the stored answer of an earlier attempt.
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

// Sink takes a completion's answer in order. Its methods are called from one
// goroutine. An error means that the caller is gone.
type Sink interface {
	// Begin tells the target before the first text.
	Begin(targetVM string) error
	// Text delivers the next part of the answer.
	Text(text string) error
	// Finish ends the answer.
	Finish(reason string, usage Usage) error
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	RequestID string
	Token     string
	Method    string
	// Path holds path and query as the caller sent them.
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
	// Replayed says that the answer is that of an earlier attempt.
	Replayed bool
}

// Backend serves what callers ask. A nil refusal means that the answer was
// delivered whole.
type Backend interface {
	Complete(ctx context.Context, completion Completion, sink Sink) *outcome.Refusal
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, *outcome.Refusal)
	// CheckKey refuses a key that no client account holds. It accepts an empty
	// one, which open routes allow.
	CheckKey(token string) *outcome.Refusal
	// Models lists the models that the key may use.
	Models(token string) ([]string, *outcome.Refusal)
	// Ready says whether requests can be served.
	Ready() bool
}
