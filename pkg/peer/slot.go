package peer

import (
	"math/rand/v2"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// ToSlotRecord converts a slot's ownership record to its protobuf message.
func ToSlotRecord(record ownership.Record) *peerpb.SlotRecord {
	return &peerpb.SlotRecord{
		Slot:           uint32(record.Slot),
		Epoch:          record.Epoch,
		OwnerVmId:      record.Owner.VM,
		OwnerBootId:    record.Owner.BootID,
		OwnerAddress:   record.Address,
		HomeDataCentre: record.HomeDataCentre,
		SuccessorVmIds: record.Successors,
		Revision:       record.Revision,
		Lease:          string(record.Lease),
		Nonce:          record.Nonce,
	}
}

// FromSlotRecord converts a slot's ownership record from its protobuf message.
func FromSlotRecord(record *peerpb.SlotRecord) ownership.Record {
	return ownership.Record{
		Slot:           ownership.SlotID(record.GetSlot()),
		Epoch:          record.GetEpoch(),
		Owner:          ownership.Process{VM: record.GetOwnerVmId(), BootID: record.GetOwnerBootId()},
		Address:        record.GetOwnerAddress(),
		HomeDataCentre: record.GetHomeDataCentre(),
		Successors:     record.GetSuccessorVmIds(),
		Revision:       record.GetRevision(),
		Lease:          kv.LeaseID(record.GetLease()),
		Nonce:          record.GetNonce(),
	}
}

// Shuffled returns a copy of addresses in random order.
func Shuffled(addresses []string) []string {
	shuffled := append([]string(nil), addresses...)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return shuffled
}
