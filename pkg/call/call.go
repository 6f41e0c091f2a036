// Package call holds the typed form of one request and its answer, apart from
// the header names that carry them on the wire.
package call

import (
	"net/http"
	"time"
)

// PromptPart is one piece of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// RequestMetadata is what a caller says of its request.
type RequestMetadata struct {
	ID string
	// APIKey is the only value of the key header; empty when there is none or
	// more than one.
	APIKey string
	// Deadline is the time that the caller waits; 0 when it names none.
	Deadline time.Duration
	Model    string
	// HasTokens says whether the caller named its tokens.
	HasTokens    bool
	PromptTokens int64
	OutputTokens int64
	// Parts are the parts of the prompt in order; the last one is the request's own.
	Parts []PromptPart
	// LastEventID is the event after which a stream goes on; empty from the start.
	LastEventID string
}

// Shared returns the parts that other requests may share.
func (m *RequestMetadata) Shared() []PromptPart {
	if len(m.Parts) == 0 {
		return nil
	}
	return m.Parts[:len(m.Parts)-1]
}

// ForwardFields is what the system adds to a request on its way to a target.
type ForwardFields struct {
	TargetID string
	Deadline time.Duration
	// Account is empty for requests without an account.
	Account string
	// HasPriority says whether Priority is sent; 0 is the most urgent.
	HasPriority bool
	Priority    int
	// WeightsVersion is the version that the target must have; 0 sends none.
	WeightsVersion int64
	// CacheSalt separates cache entries; empty sends none.
	CacheSalt string
	// FetchFrom is the address to import cached parts from; empty for none.
	FetchFrom string
	// SaveTo is the address of the store that keeps newly read parts.
	SaveTo string
	// LastEventID is sent when a stream goes on at another target.
	LastEventID string
}

// Answer is what a target's answer header says.
type Answer struct {
	RequestID string
	// HasDigest says whether the answer bears the target's digest.
	HasDigest bool
	// NotRun is the target's promise that the request has not run.
	NotRun bool
	// InstanceMismatch says that another target has the address.
	InstanceMismatch bool
	// WeightsVersion is the version of the answer's weights; 0 when unsaid.
	WeightsVersion int64
	// Load is the target's load; HasLoad says whether it was sent.
	HasLoad bool
	Load    Load
	// KeepAlive is how long the connection may idle; 0 when unsaid.
	KeepAlive time.Duration
}

// Load is a target's own count of its work.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Codec translates between headers on the wire and the types of this package.
type Codec interface {
	// DecodeRequest decodes a caller's request header.
	DecodeRequest(h http.Header) RequestMetadata
	// ForwardHeader returns the header to send to a target: the caller's own fields
	// without those that the system sets, and those of f.
	ForwardHeader(h http.Header, f ForwardFields) http.Header
	// DecodeAnswer decodes a target's answer to a request that was sent to targetID.
	DecodeAnswer(resp *http.Response, targetID string) Answer
	// CallerHeader returns the header to hand to the caller.
	CallerHeader(h http.Header) http.Header
	// SetRequestID sets the echo of the request's identifier on an own answer.
	SetRequestID(h http.Header, id string)
}
