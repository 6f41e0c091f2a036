package runner

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/juju/errors"
)

// ErrRefused is returned by Peers when the peer's address refused the
// connection, which proves that no process listens there. A timeout or a
// reset is any other error.
const ErrRefused = errors.ConstError("connection refused")

// ErrNotSupported is returned by Peers for a call that it does not offer.
const ErrNotSupported = errors.ConstError("not supported")

// BucketLevel is what is left of a client account's bucket part.
type BucketLevel struct {
	Account string
	Tokens  uint64
}

// HandedOverSlot is a slot that changes hands on a planned stop.
type HandedOverSlot struct {
	// Record is the record that names the new owner.
	Record ownership.Record
	Levels []BucketLevel
}

// Peers reaches other agents by VM. All calls honour ctx.
type Peers interface {
	// BootID returns the boot number of the process at a VM's address, or
	// ErrRefused.
	BootID(ctx context.Context, vm, address string) (uint64, error)
	// RequestPromise asks a successor for a promise; ErrRefused counts as one.
	RequestPromise(ctx context.Context, ask ownership.RequestPromise) (ownership.PromiseReply, error)
	// RelayRenewal renews a lease through a peer. It returns
	// kv.ErrLeaseExpired, ErrNotSupported or another error for unknown.
	RelayRenewal(ctx context.Context, vm string, lease kv.LeaseID) error
	// HandOver passes levels to the new owner; an error when it has not taken
	// those of all slots, which may be sent again.
	HandOver(ctx context.Context, vm string, slots []HandedOverSlot) error
}

// SlotHandler is the user of the slots, such as the bucket parts. Its methods must
// return fast; they are called from one goroutine.
type SlotHandler interface {
	// SlotAcquired is called after a slot is newly held. Levels start at zero.
	SlotAcquired(slot ownership.SlotID, epoch uint64)
	// SlotLost is called after a slot is no longer held. It may come late:
	// Runner.Holds is the guard.
	SlotLost(slot ownership.SlotID, epoch uint64)
	// ReleaseLevels returns and zeroes the levels of a slot that is no longer
	// held, for the process that it is handed to. It may come before Stopped.
	ReleaseLevels(slot ownership.SlotID) []BucketLevel
	// CreditLevels adds the levels that came with a slot held at epoch; it is
	// called at most once for each slot and epoch, from any goroutine, and
	// may come before Started of that epoch, which must not undo it.
	CreditLevels(slot ownership.SlotID, epoch uint64, levels []BucketLevel)
}

// clockFunc reads the process's monotonic clock.
type clockFunc func() time.Time
