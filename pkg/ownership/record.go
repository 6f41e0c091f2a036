// Package ownership decides which process owns which slot. It is a pure state
// machine: it reads no clock, sends nothing and draws from a given random
// source. Package runner drives it.
//
// A slot has a record in the key-value service: an owner, an epoch that grows
// with each change of owner, and successors. Each owning process keeps one
// lease of the service, and the key alive/VM/BOOT/LEASE is attached to it.
// A record counts only together with the lease that it names. The rules and
// their proof sketch are in docs/design/ownership.md.
package ownership

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/juju/errors"
)

// Prefixes of the keys in the key-value service.
const (
	SlotPrefix  = "slots/"
	AlivePrefix = "alive/"
)

// SlotID numbers a slot, from 0.
type SlotID uint32

// Process names one run of a process on a VM.
type Process struct {
	VM string `json:"vm"`
	// BootID is the random number drawn at process start; never 0.
	BootID uint64 `json:"boot"`
}

// Record is a slot's value in the key-value service.
type Record struct {
	Slot    SlotID  `json:"slot"`
	Epoch   uint64  `json:"epoch"`
	Owner   Process `json:"owner"`
	Address string  `json:"address"`
	// Lease is the owner's lease under which the record was written.
	Lease          kv.LeaseID `json:"lease"`
	HomeDataCentre string     `json:"home_data_centre"`
	// Successors are the VMs that may take over on a lapsed lease, in order.
	Successors []string `json:"successors"`
	// Nonce tells the writer its own write after a lost answer.
	Nonce uint64 `json:"nonce"`
	// Revision is the service's revision of the record; 0 means no record.
	Revision uint64 `json:"-"`
}

// Alive is the value of a process's key below AlivePrefix.
type Alive struct {
	Owner   Process    `json:"owner"`
	Address string     `json:"address"`
	Lease   kv.LeaseID `json:"lease"`
}

// SlotKey returns the key of a slot's record.
func SlotKey(slot SlotID) string { return fmt.Sprintf("%s%03d", SlotPrefix, slot) }

// AliveKey returns the key of a process under one of its leases. Each lease
// has a key of its own, so that a late write under an abandoned lease never
// replaces the key of the lease in use.
func AliveKey(p Process, lease kv.LeaseID) string {
	return AlivePrefix + p.VM + "/" + strconv.FormatUint(p.BootID, 16) + "/" + string(lease)
}

// ParseAliveKey is the inverse of AliveKey.
func ParseAliveKey(key string) (Process, kv.LeaseID, error) {
	parts := strings.SplitN(strings.TrimPrefix(key, AlivePrefix), "/", 3)
	if len(parts) != 3 {
		return Process{}, "", errors.NotValidf("alive key %q", key)
	}
	boot, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Process{}, "", errors.NotValidf("alive key %q", key)
	}
	return Process{VM: parts[0], BootID: boot}, kv.LeaseID(parts[2]), nil
}

// DecodeRecord decodes an entry below SlotPrefix.
func DecodeRecord(entry kv.Entry) (Record, error) {
	var r Record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return Record{}, errors.Annotatef(err, "record %q", entry.Key)
	}
	if SlotKey(r.Slot) != entry.Key {
		return Record{}, errors.NotValidf("record of slot %d at key %q", r.Slot, entry.Key)
	}
	r.Revision = entry.Revision
	return r, nil
}

// Encode returns the value of the record's key.
func (r Record) Encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return value
}
