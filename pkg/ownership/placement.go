package ownership

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// HomeDataCentre returns the data centre in which a slot is placed initially.
// Slots are assigned to the data centres of the members round-robin. The result
// is empty if there are no members.
func HomeDataCentre(members []Member, id SlotID) string {
	var dataCentres []string
	for _, member := range members {
		if !slices.Contains(dataCentres, member.DataCentre) {
			dataCentres = append(dataCentres, member.DataCentre)
		}
	}
	if len(dataCentres) == 0 {
		return ""
	}
	slices.Sort(dataCentres)
	return dataCentres[int(id)%len(dataCentres)]
}

// rendezvousScore returns the rendezvous hash of a VM for a slot.
func rendezvousScore(vm string, id SlotID) uint64 {
	return xxhash.Sum64String(vm + "#" + strconv.Itoa(int(id)))
}

// rankMembers sorts members for a slot: preferred members first, then by
// descending rendezvous hash.
func rankMembers(members []Member, id SlotID, preferred func(Member) bool) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b Member) int {
		if preferred(a) != preferred(b) {
			if preferred(a) {
				return -1
			}
			return 1
		}
		if x, y := rendezvousScore(a.VM, id), rendezvousScore(b.VM, id); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return 0
	})
	return sorted
}

// claimRank returns this process's rank among the members that may claim a slot
// without a record.
func (m *Machine) claimRank(id SlotID) (int, bool) {
	home := HomeDataCentre(m.members, id)
	order := rankMembers(m.members, id, func(member Member) bool { return member.DataCentre == home })
	rank := slices.IndexFunc(order, func(member Member) bool { return member.VM == m.self.VM })
	return rank, rank >= 0
}

// selectSuccessors returns the successors for an owner: VMs of its region,
// those of other data centres first.
func (m *Machine) selectSuccessors(owner Member, id SlotID) []string {
	order := rankMembers(m.members, id, func(member Member) bool { return member.DataCentre != owner.DataCentre })
	var vms []string
	for _, member := range order {
		if member.Region == owner.Region && member.VM != owner.VM && len(vms) < m.config.SuccessorCount {
			vms = append(vms, member.VM)
		}
	}
	return vms
}

// successorsStale reports whether a successor is no longer a member, or whether
// more successors are available than the record lists.
func (m *Machine) successorsStale(s *slot) bool {
	isMember := func(vm string) bool {
		return slices.ContainsFunc(m.members, func(member Member) bool { return member.VM == vm })
	}
	if !isMember(m.self.VM) {
		return false
	}
	for _, vm := range s.record.Successors {
		if !isMember(vm) {
			return true
		}
	}
	return len(s.record.Successors) < len(m.selectSuccessors(m.self.Member, s.record.Slot))
}
