// Package call defines the decoded form of a request and its answer,
// independent of the header names on the wire.
package call

import (
	"net/http"
	"time"
)

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// RequestMetadata is the metadata that a caller sends with its request.
type RequestMetadata struct {
	ID string
	// APIKey is the value of the key header; empty if the header is missing
	// or has more than one value.
	APIKey string
	// Deadline is the time for which the caller waits; 0 if it sent none.
	Deadline time.Duration
	Model    string
	// HasTokens reports whether the caller sent its token counts.
	HasTokens    bool
	PromptTokens int64
	OutputTokens int64
	// Parts holds the parts of the prompt in order. The last one is specific
	// to the request.
	Parts []PromptPart
	// LastEventID is the event after which a stream resumes; empty for a new
	// stream.
	LastEventID string
}

// Shared returns the parts of the prompt that other requests may share.
func (m *RequestMetadata) Shared() []PromptPart {
	if len(m.Parts) == 0 {
		return nil
	}
	return m.Parts[:len(m.Parts)-1]
}

// ForwardFields holds the header fields that the router adds to a request for a
// target.
type ForwardFields struct {
	TargetID string
	Deadline time.Duration
	// Account is empty for requests without an account.
	Account string
	// HasPriority reports whether Priority is sent; 0 is the most urgent
	// priority.
	HasPriority bool
	Priority    int
	// WeightsVersion is the version that the target must serve; 0 sends none.
	WeightsVersion int64
	// CacheSalt separates cache entries; empty sends none.
	CacheSalt string
	// FetchFrom is the address from which to import cached parts; empty for
	// none.
	FetchFrom string
	// SaveTo is the address of the store for newly computed parts; empty for
	// none.
	SaveTo string
	// LastEventID is sent when a stream resumes at another target.
	LastEventID string
}

// Answer holds the decoded header fields of a target's answer.
type Answer struct {
	RequestID string
	// HasDigest reports whether the answer carries the target's digest.
	HasDigest bool
	// NotRun reports whether the target guarantees that the request has not
	// run.
	NotRun bool
	// InstanceMismatch reports whether another target uses the address.
	InstanceMismatch bool
	// WeightsVersion is the weights version that produced the answer; 0 if it
	// was not sent.
	WeightsVersion int64
	// Load is the load of the target. It is valid if HasLoad is set.
	HasLoad bool
	Load    Load
	// KeepAlive is the time for which the connection may be idle; 0 if it was
	// not sent.
	KeepAlive time.Duration
}

// Load is a target's own report of its load.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Codec converts between headers on the wire and the types of this package.
type Codec interface {
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest(h http.Header) RequestMetadata
	// ForwardHeader returns the header to send to a target: the caller's fields,
	// except those that the router sets itself, and the fields of f.
	ForwardHeader(h http.Header, f ForwardFields) http.Header
	// DecodeAnswer decodes the answer to a request that was sent to the target with
	// the given ID.
	DecodeAnswer(resp *http.Response, targetID string) Answer
	// CallerHeader returns the header to send to the caller.
	CallerHeader(h http.Header) http.Header
	// SetRequestID sets the request's identifier in the header of an answer
	// that the router generates itself.
	SetRequestID(h http.Header, id string)
}
