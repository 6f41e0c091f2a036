// Package kv defines what the system needs of the platform's key-value
// service: get, compare-and-swap, leases and watches. It imports no transport;
// package platform holds the adapter.
package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// Errors of a Store. Compare with errors.Is.
const (
	// ErrNotFound means that the key holds no value.
	ErrNotFound = errors.ConstError("key not found")
	// ErrConflict means that the expected revision was not the current one.
	ErrConflict = errors.ConstError("revision conflict")
	// ErrUnavailable means that the service did not answer; a write may
	// have taken effect.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrBudgetExhausted means that the process's own call budget is spent; nothing
	// was sent.
	ErrBudgetExhausted = errors.ConstError("call budget spent")
	// ErrLeaseExpired means that the lease is not known to the service.
	ErrLeaseExpired = errors.ConstError("lease expired")
	// ErrCompacted means that a watch asked for changes older than those
	// that the service still holds; the caller lists again.
	ErrCompacted = errors.ConstError("changes compacted")
)

// Entry is one key with its value.
type Entry struct {
	// Key is the full key, with '/' between its parts.
	Key string `json:"key"`
	// Value is at most MaxValueBytes long.
	Value []byte `json:"value"`
	// Revision grows with each write of any key; 0 means absent.
	Revision uint64 `json:"revision"`
}

// LeaseID names a lease of the service.
type LeaseID string

// Put is one compare-and-swap.
type Put struct {
	// Key is the key to write.
	Key string
	// Value replaces the current value.
	Value []byte
	// ExpectRevision is the revision that the key must have; 0 for absent.
	ExpectRevision uint64
	// Lease, when set, deletes the key once the lease ends.
	Lease LeaseID
}

// Change is one write or deletion that a watch reports.
type Change struct {
	Entry
	// Deleted says that the key is gone; Value is then empty.
	Deleted bool `json:"deleted"`
}

// Changes is the answer of one watch call.
type Changes struct {
	// Changes are in revision order.
	Changes []Change
	// Revision is the service's revision up to which Changes are complete.
	Revision uint64
}

// Store is the key-value service. All methods honour ctx and return one of
// the package's errors. A Put or Delete that returns ErrUnavailable may have
// taken effect; the caller reads the key again and looks for its own nonce.
type Store interface {
	// Get returns one entry or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix and the service's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes a value and returns its revision, or ErrConflict.
	CompareAndSwap(ctx context.Context, put Put) (uint64, error)
	// Delete removes a key at the expected revision.
	Delete(ctx context.Context, key string, expectRevision uint64) error
	// Watch waits at most wait for changes below prefix after a revision.
	// An empty answer means that nothing changed.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Grant opens a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew prolongs a lease by its ttl, or returns ErrLeaseExpired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease at once and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
