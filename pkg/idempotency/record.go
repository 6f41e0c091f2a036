// Package idempotency implements the decision logic for calls that must run at
// most once. It is independent of any transport and takes the current time as
// an argument.
package idempotency

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

// HashBytes is the length of a Hash in bytes.
const HashBytes = 16

// Hash is a truncated SHA-256 hash of an idempotency key or a request.
type Hash [HashBytes]byte

// KeyHash returns the hash that identifies a call's record.
func KeyHash(account, route, key string) Hash {
	return hashParts([]byte(account), []byte(route), []byte(key))
}

// RequestHash returns the hash that distinguishes different requests with the
// same idempotency key.
func RequestHash(method, path string, body []byte) Hash {
	return hashParts([]byte(method), []byte(path), body)
}

// SlotOf returns the slot of a key hash, in [0, slots).
func SlotOf(key Hash, slots uint32) uint32 {
	return uint32(binary.BigEndian.Uint64(key[:8]) % uint64(slots))
}

// hashParts hashes the parts, each prefixed with its length so that different
// parts with the same concatenation have different hashes.
func hashParts(parts ...[]byte) Hash {
	digest := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		digest.Write(length[:])
		digest.Write(part)
	}
	return Hash(digest.Sum(nil)[:HashBytes])
}

// State is the last recorded state of a call.
type State uint8

// Values of State.
const (
	// StateIntent means that the call may be about to be sent, running or
	// finished.
	StateIntent State = 1
	// StateDone means that the call ran and its answer is known.
	StateDone State = 2
	// StateNotRun means that the attempt was never sent and never will be.
	StateNotRun State = 3
)

// Header is one header field of an answer.
type Header struct {
	Name  string
	Value string
}

// Answer is a target's response to a call.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
	// BodyDropped reports whether the body and headers were dropped because
	// of their size.
	BodyDropped bool
}

// Record is the idempotency record of one call.
type Record struct {
	KeyHash     Hash
	RequestHash Hash
	State       State
	// Attempt is the random identifier of the attempt that wrote the record.
	Attempt uint64
	// Epoch is the epoch of the owner that wrote the intent record.
	Epoch uint64
	// Expires is the end of the call's window.
	Expires time.Time
	// Answer is valid only if State is StateDone.
	Answer Answer
}

// Size returns the size of the answer's body and headers in bytes.
func (a Answer) Size() int {
	size := len(a.Body)
	for _, header := range a.Headers {
		size += len(header.Name) + len(header.Value)
	}
	return size
}

// DropLargeAnswer returns the record in the form that is written to the
// key-value service: it keeps only the status of an answer larger than
// maxAnswerBytes.
func (r Record) DropLargeAnswer(maxAnswerBytes int) Record {
	if r.Answer.Size() > maxAnswerBytes {
		r.Answer = Answer{Status: r.Answer.Status, BodyDropped: true}
	}
	return r
}
