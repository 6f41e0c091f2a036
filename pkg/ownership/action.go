package ownership

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// Action is what the caller shall do: OpenLease, RenewLease, RelayRenewal,
// WriteRecord, RequestPromise or StopUsing. Actions are sent in any order; each
// has an answer method at Machine, and a missing answer is asked again.
type Action interface{ action() }

// OpenLease asks for a new lease and for the alive key under it, in this
// order. Its answer is Machine.LeaseOpened.
type OpenLease struct{}

// RenewLease asks for a renewal. Its answer is Machine.LeaseRenewed.
type RenewLease struct{ Lease kv.LeaseID }

// RelayRenewal asks a peer with contact to renew the lease. Its answer is
// Machine.LeaseRenewed with the time at which the peer was asked.
type RelayRenewal struct {
	Lease kv.LeaseID
	VM    string
}

// WriteKind says why a record is written.
type WriteKind string

// Kinds of WriteRecord.
const (
	// WriteClaim is the first record of a slot.
	WriteClaim WriteKind = "claim"
	// WriteTakeOver takes a slot whose owner's lease has lapsed.
	WriteTakeOver WriteKind = "take_over"
	// WriteTakeOverDead takes a slot whose owner is proven dead.
	WriteTakeOverDead WriteKind = "take_over_dead"
	// WriteReclaim renews the own record under a new lease.
	WriteReclaim WriteKind = "reclaim"
	// WriteSuccessors changes the successors of an own record.
	WriteSuccessors WriteKind = "successors"
	// WriteHandOver gives an own slot, no longer used, to another process.
	WriteHandOver WriteKind = "hand_over"
)

// WriteRecord asks for a compare-and-swap of Record at SlotKey(Record.Slot).
// Its answer is Machine.RecordWritten with the same value.
type WriteRecord struct {
	Kind           WriteKind
	Record         Record
	ExpectRevision uint64
}

// RequestPromise asks a successor not to take over a slot for Duration. Its
// answer is Machine.PromiseAnswered.
type RequestPromise struct {
	Slot     SlotID
	Epoch    uint64
	VM       string
	Duration time.Duration
}

// StopReason says why a slot is no longer used.
type StopReason string

// Reasons of StopUsing.
const (
	StopLapsed     StopReason = "lapsed"
	StopTakenOver  StopReason = "taken_over"
	StopHandedOver StopReason = "handed_over"
)

// StopUsing reports that a slot held before is no longer held. It is a
// report only: Holds says so by itself, also when no Tick ran.
type StopUsing struct {
	Slot   SlotID
	Epoch  uint64
	Reason StopReason
}

// StartUsing reports that a slot is newly held.
type StartUsing struct {
	Slot  SlotID
	Epoch uint64
}

// Extended reports that a slot is held past its lease on promises.
type Extended struct {
	Slot  SlotID
	Epoch uint64
	Until time.Time
}

func (OpenLease) action()      {}
func (RenewLease) action()     {}
func (RelayRenewal) action()   {}
func (WriteRecord) action()    {}
func (RequestPromise) action() {}
func (StopUsing) action()      {}
func (StartUsing) action()     {}
func (Extended) action()       {}

// Result is the outcome of a call of the key-value service.
type Result int

// Results of a call.
const (
	// ResultOK means that the call took effect.
	ResultOK Result = iota
	// ResultRefused means that the call took no effect and won't: a
	// conflict, a lapsed lease.
	ResultRefused
	// ResultNotSent means that the call was not sent.
	ResultNotSent
	// ResultUnknown means that the call may have taken effect or may yet.
	ResultUnknown
)
