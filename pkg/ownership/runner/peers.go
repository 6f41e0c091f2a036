package runner

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/juju/errors"
)

// ErrRefused is returned by Peers if the peer's address refused the connection,
// which proves that no process listens there. Timeouts and connection resets
// are reported as other errors.
const ErrRefused = errors.ConstError("connection refused")

// ErrNotSupported is returned by Peers for calls that it does not support.
const ErrNotSupported = errors.ConstError("not supported")

// BucketLevel is the number of tokens left in a part of a client account's
// rate-limit bucket.
type BucketLevel struct {
	Account string
	Tokens  uint64
}

// HandedOverSlot is a slot that is handed over during a planned stop.
type HandedOverSlot struct {
	// Record is the slot's record that names the new owner.
	Record ownership.Record
	// Levels are the levels of the bucket parts in the slot.
	Levels []BucketLevel
}

// Peers calls other agents by VM. All calls honour ctx.
type Peers interface {
	// BootID returns the boot ID of the process that listens at a VM's
	// address. It returns ErrRefused if no process listens there.
	BootID(ctx context.Context, vm, address string) (uint64, error)
	// RequestPromise asks a successor for a promise. ErrRefused counts as a
	// granted promise, see ownership.Machine.HandlePromiseConnRefused.
	RequestPromise(ctx context.Context, request ownership.RequestPromise) (ownership.PromiseReply, error)
	// RelayRenewal renews a lease through a peer. It returns kv.ErrLeaseExpired
	// if the lease has expired and ErrNotSupported if relaying is not supported;
	// after any other error the outcome is unknown.
	RelayRenewal(ctx context.Context, vm string, lease kv.LeaseID) error
	// HandOver sends the slots' levels to the new owner. It returns an error
	// unless the new owner has accepted the levels of all slots; the call may
	// then be retried.
	HandOver(ctx context.Context, vm string, slots []HandedOverSlot) error
}

// SlotHandler is notified of the slots that this process acquires and loses, and
// manages the levels of their rate-limit bucket parts. SlotAcquired and SlotLost
// are called from a single goroutine. All methods must return quickly.
type SlotHandler interface {
	// SlotAcquired is called after the process has acquired a slot. The slot's
	// levels start at zero.
	SlotAcquired(slot ownership.SlotID, epoch uint64)
	// SlotLost is called after the process has lost a slot. The call may be
	// delayed; Runner.Holds is authoritative.
	SlotLost(slot ownership.SlotID, epoch uint64)
	// ReleaseLevels returns and zeroes the levels of a slot that is no longer
	// held, so that they can be sent to the new owner. It may be called before
	// SlotLost.
	ReleaseLevels(slot ownership.SlotID) []BucketLevel
	// CreditLevels adds the levels that were handed over with a slot held at
	// epoch. It is called at most once per slot and epoch, from any goroutine.
	// It may be called before SlotAcquired for the same epoch, which must then
	// keep the credited levels.
	CreditLevels(slot ownership.SlotID, epoch uint64, levels []BucketLevel)
}

// clockFunc returns the current reading of the process's monotonic clock.
type clockFunc func() time.Time
