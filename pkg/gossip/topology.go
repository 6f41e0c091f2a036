package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxGroupSize is the largest number of processes that send their states to
	// each other directly. A larger fleet is divided into groups.
	maxGroupSize = 32
	// hubPeersPerGroup is the number of processes of another group to which a hub
	// sends the state of its own, so that the loss of one interrupts nothing.
	hubPeersPerGroup = 2
)

// Member is an entry process, as registered in the store.
type Member struct {
	VM         string
	DataCentre string
	Address    netip.AddrPort
	// Capacity is the VM's share of a processor core. Larger VMs rank first for
	// duties that serve the whole fleet.
	Capacity float64
}

// Topology divides the processes of a fleet into groups. Processes with the same
// list of members derive the same groups.
type Topology struct {
	// Own is the name of this process's group.
	Own string
	// Ranked holds the members of each group by name, in the order in which they
	// serve as the group's hub. It includes this process.
	Ranked map[string][]Member
}

// NewTopology returns the groups of the fleet that consists of self and peers. A
// fleet of up to maxGroupSize processes is one group. In a larger one, each data
// centre is a group, or several if it has more processes than that.
func NewTopology(self Member, peers []Member) Topology {
	members := append([]Member{self}, peers...)
	t := Topology{Ranked: map[string][]Member{}}
	sizes := map[string]int{}
	for i := range members {
		sizes[members[i].DataCentre]++
	}
	for i := range members {
		name := groupName(&members[i], len(members), sizes[members[i].DataCentre])
		t.Ranked[name] = append(t.Ranked[name], members[i])
		if i == 0 {
			t.Own = name
		}
	}
	for _, group := range t.Ranked {
		slices.SortFunc(group, compareRank)
	}
	return t
}

func groupName(m *Member, fleetSize, dataCentreSize int) string {
	if fleetSize <= maxGroupSize {
		return "fleet"
	}
	parts := (dataCentreSize + maxGroupSize - 1) / maxGroupSize
	part := xxhash.Sum64String(m.VM) % uint64(parts)
	return m.DataCentre + "/" + strconv.FormatUint(part, 10)
}

// compareRank orders larger VMs first.
func compareRank(a, b Member) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.VM, b.VM))
}

// Hub returns the member of this process's group that serves as its hub: the
// first one that is reachable.
func (t *Topology) Hub(reachable func(vm string) bool) Member {
	for _, m := range t.Ranked[t.Own] {
		if reachable(m.VM) {
			return m
		}
	}
	return Member{}
}

// GroupPeers returns the other members of the group of the process on vm.
func (t *Topology) GroupPeers(vm string) []Member {
	var peers []Member
	for _, m := range t.Ranked[t.Own] {
		if m.VM != vm {
			peers = append(peers, m)
		}
	}
	return peers
}

// HubPeers returns the members of the other groups to which the hub sends the
// state of its group.
func (t *Topology) HubPeers() []Member {
	var peers []Member
	for name, group := range t.Ranked {
		if name != t.Own {
			peers = append(peers, group[:min(hubPeersPerGroup, len(group))]...)
		}
	}
	return peers
}

// Outranked reports whether another process of the fleet runs on a larger VM
// than the process on vm.
func (t *Topology) Outranked(vm string) bool {
	capacity, largest := 0.0, 0.0
	for _, group := range t.Ranked {
		for _, m := range group {
			largest = max(largest, m.Capacity)
			if m.VM == vm {
				capacity = m.Capacity
			}
		}
	}
	return capacity < largest
}
