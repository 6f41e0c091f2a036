package ownership

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// Action is a request or a report that a Machine passes to its caller.
// OpenLease, RenewLease, RelayRenewal, WriteRecord and RequestPromise are
// requests; they may be executed in any order, and their results are passed to
// the Machine's Handle methods. The Machine retries a request whose result is
// missing. SlotAcquired, SlotLost and HoldExtended are reports.
type Action interface{ action() }

// OpenLease requests a new lease and, after it is granted, the write of the
// process's key under that lease. The result is passed to
// Machine.HandleLeaseOpened.
type OpenLease struct{}

// RenewLease requests a renewal of the lease. The result is passed to
// Machine.HandleLeaseRenewed.
type RenewLease struct{ Lease kv.LeaseID }

// RelayRenewal asks a peer that can reach the key-value service to renew the
// lease. The result is passed to Machine.HandleLeaseRenewed together with the
// time at which the peer was asked.
type RelayRenewal struct {
	Lease kv.LeaseID
	VM    string
}

// WriteKind is the reason for writing a record.
type WriteKind string

// Values of WriteKind.
const (
	// WriteClaim creates the first record of a slot.
	WriteClaim WriteKind = "claim"
	// WriteTakeOver takes over a slot whose owner's lease has expired.
	WriteTakeOver WriteKind = "take_over"
	// WriteTakeOverTerminated takes over a slot whose owner is known to have
	// terminated.
	WriteTakeOverTerminated WriteKind = "take_over_dead"
	// WriteReclaim rewrites the process's own record under a new lease.
	WriteReclaim WriteKind = "reclaim"
	// WriteSuccessors changes the successors in the process's own record.
	WriteSuccessors WriteKind = "successors"
	// WriteHandOver transfers a slot that the process has stopped using to
	// another process.
	WriteHandOver WriteKind = "hand_over"
)

// WriteRecord requests a compare-and-swap of Record at SlotKey(Record.Slot).
// The result is passed to Machine.HandleRecordWritten together with the same
// WriteRecord.
type WriteRecord struct {
	Kind           WriteKind
	Record         Record
	ExpectRevision uint64
}

// RequestPromise asks a successor to promise not to take over a slot for
// Duration. The result is passed to Machine.HandlePromiseReply or
// Machine.HandlePromiseConnRefused.
type RequestPromise struct {
	Slot     SlotID
	Epoch    uint64
	VM       string
	Duration time.Duration
}

// LossReason is the reason why a slot is no longer held.
type LossReason string

// Values of LossReason.
const (
	LossExpired    LossReason = "lapsed"
	LossTakenOver  LossReason = "taken_over"
	LossHandedOver LossReason = "handed_over"
)

// SlotLost reports that the process no longer holds a slot. It is
// informational: Holds is authoritative and returns false even before the Tick
// that reports the loss.
type SlotLost struct {
	Slot   SlotID
	Epoch  uint64
	Reason LossReason
}

// SlotAcquired reports that the process has started to hold a slot.
type SlotAcquired struct {
	Slot  SlotID
	Epoch uint64
}

// HoldExtended reports that the process continues to hold a slot beyond its
// lease because the successors have promised not to take it over.
type HoldExtended struct {
	Slot  SlotID
	Epoch uint64
	Until time.Time
}

func (OpenLease) action()      {}
func (RenewLease) action()     {}
func (RelayRenewal) action()   {}
func (WriteRecord) action()    {}
func (RequestPromise) action() {}
func (SlotLost) action()       {}
func (SlotAcquired) action()   {}
func (HoldExtended) action()   {}

// Result is the outcome of a call to the key-value service.
type Result int

// Values of Result.
const (
	// ResultOK means that the call took effect.
	ResultOK Result = iota
	// ResultRefused means that the call had no effect and never will, for
	// example because of a conflict or an expired lease.
	ResultRefused
	// ResultNotSent means that the call was not sent.
	ResultNotSent
	// ResultUnknown means that the call may have taken effect or may still do
	// so.
	ResultUnknown
)
