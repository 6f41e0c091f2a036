// Package ownership implements slot ownership: which process may use which
// slot. The package is a deterministic state machine: it reads no clock,
// performs no I/O and draws random numbers from the source that it is given.
// Package runner drives it.
//
// Each slot has a record in the key-value service that names its owner, an
// epoch that increases with every change of owner, and the successors of the
// owner. Each process that owns slots keeps one lease, to which the key
// alive/VM/BOOT/LEASE is attached. A record is valid only together with the
// lease that it names. The protocol and a sketch of its proof are in
// docs/design/ownership.md.
package ownership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/juju/errors"
)

// Key prefixes in the key-value service.
const (
	SlotPrefix         = "slots/"
	ProcessLeasePrefix = "alive/"
)

// SlotID is the index of a slot, starting at 0.
type SlotID uint32

// Process identifies one run of a process on a VM.
type Process struct {
	VM string `json:"vm"`
	// BootID is a random number drawn at process start. It is never 0.
	BootID uint64 `json:"boot"`
}

// Record is the value stored for a slot in the key-value service.
type Record struct {
	Slot    SlotID  `json:"slot"`
	Epoch   uint64  `json:"epoch"`
	Owner   Process `json:"owner"`
	Address string  `json:"address"`
	// Lease is the owner's lease under which the record was written.
	Lease          kv.LeaseID `json:"lease"`
	HomeDataCentre string     `json:"home_data_centre"`
	// Successors lists, in order, the VMs that may take over the slot after the
	// owner's lease has expired.
	Successors []string `json:"successors"`
	// Nonce lets the writer recognize its own write after the answer was lost.
	Nonce uint64 `json:"nonce"`
	// Revision is the revision of the record in the service. It is 0 if there
	// is no record.
	Revision uint64 `json:"-"`
}

// ProcessLease is the value of the key of a process's lease below
// ProcessLeasePrefix.
type ProcessLease struct {
	Owner   Process    `json:"owner"`
	Address string     `json:"address"`
	Lease   kv.LeaseID `json:"lease"`
}

// SlotKey returns the key of the record of a slot.
func SlotKey(slot SlotID) string { return fmt.Sprintf("%s%03d", SlotPrefix, slot) }

// ProcessLeaseKey returns the key of a process under one of its leases. Each
// lease has its own key, so that a delayed write under an abandoned lease
// cannot overwrite the key of the current lease.
func ProcessLeaseKey(p Process, lease kv.LeaseID) string {
	return ProcessLeasePrefix + p.VM + "/" + strconv.FormatUint(p.BootID, 16) + "/" + string(lease)
}

// ParseProcessLeaseKey parses a key that was built by ProcessLeaseKey.
func ParseProcessLeaseKey(key string) (Process, kv.LeaseID, error) {
	parts := strings.SplitN(strings.TrimPrefix(key, ProcessLeasePrefix), "/", 3)
	if len(parts) != 3 {
		return Process{}, "", errors.NotValidf("process lease key %q", key)
	}
	boot, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Process{}, "", errors.NotValidf("process lease key %q", key)
	}
	return Process{VM: parts[0], BootID: boot}, kv.LeaseID(parts[2]), nil
}

// DecodeRecord decodes a key-value entry below SlotPrefix.
func DecodeRecord(entry kv.Entry) (Record, error) {
	var r Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Record{}, errors.Annotatef(err, "decoding record %q", entry.Key)
	}
	if SlotKey(r.Slot) != entry.Key {
		return Record{}, errors.NotValidf("record of slot %d at key %q", r.Slot, entry.Key)
	}
	r.Revision = entry.Revision
	return r, nil
}

// Encode returns the JSON value that is stored for the record.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}
