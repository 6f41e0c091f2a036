// Package kv defines the interface to the platform's key-value service: get,
// compare-and-swap, leases and watches. It is independent of the transport;
// package platform implements the adapter.
package kv

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// Errors of a Store. Compare with errors.Is.
const (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.ConstError("key not found")
	// ErrConflict means that the expected revision is not the current one.
	ErrConflict = errors.ConstError("revision conflict")
	// ErrUnavailable means that the service did not respond; a write may have
	// taken effect.
	ErrUnavailable = errors.ConstError("key-value service unavailable")
	// ErrBudgetExhausted means that the process has exhausted its call budget;
	// no call was sent.
	ErrBudgetExhausted = errors.ConstError("call budget spent")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.ConstError("lease expired")
	// ErrCompacted means that a watch requested changes older than the history
	// that the service retains, or changes since a revision from before a restore
	// of the service; the caller has to list the entries again.
	ErrCompacted = errors.ConstError("changes compacted")
)

// Answered reports whether the result of a call shows that the service answered
// it, although it may have rejected it.
func Answered(err error) bool {
	for _, answer := range []error{ErrNotFound, ErrConflict, ErrBudgetExhausted, ErrLeaseExpired, ErrCompacted} {
		if errors.Is(err, answer) {
			return true
		}
	}
	return err == nil
}

// Entry is one key with its value.
type Entry struct {
	// Key is the full key; its segments are separated by '/'.
	Key string `json:"key"`
	// Value is at most MaxValueBytes long.
	Value []byte `json:"value"`
	// Revision is the revision of the key's last write. It increases with each
	// write of any key, also across a restore of the service from an older copy;
	// 0 means that the key does not exist.
	Revision uint64 `json:"revision"`
}

// LeaseID identifies a lease of the service.
type LeaseID string

// Put describes a compare-and-swap.
type Put struct {
	// Key is the key to write.
	Key string
	// Value replaces the current value.
	Value []byte
	// ExpectRevision is the revision that the key must have; 0 if it must not
	// exist.
	ExpectRevision uint64
	// Lease, if set, binds the key to a lease: the service deletes the key when
	// the lease ends.
	Lease LeaseID
}

// Change is one write or deletion that a watch reports.
type Change struct {
	Entry
	// Deleted reports that the key was deleted; Value is then empty.
	Deleted bool `json:"deleted"`
}

// Changes is the result of one watch call.
type Changes struct {
	// Changes are in revision order.
	Changes []Change
	// Revision is the service's revision up to which Changes are complete.
	Revision uint64
}

// Store is the key-value service. All methods honour ctx and return one of the
// package's errors. A CompareAndSwap or Delete that returns ErrUnavailable may
// have taken effect. To find out, the caller has to read the key again; a nonce
// in the value, for example, identifies the caller's own write.
type Store interface {
	// Get returns the entry of a key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns all entries below a prefix and the service's revision.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// CompareAndSwap writes a value and returns its revision, or ErrConflict.
	CompareAndSwap(ctx context.Context, put Put) (uint64, error)
	// Delete deletes a key if it has the expected revision.
	Delete(ctx context.Context, key string, expectRevision uint64) error
	// Watch waits at most wait for changes below prefix after the given revision.
	// It returns no changes if there were none.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (Changes, error)
	// Grant creates a lease that ends ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease to its full ttl, or returns ErrLeaseExpired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease immediately and deletes the keys bound to it.
	Revoke(ctx context.Context, lease LeaseID) error
}
