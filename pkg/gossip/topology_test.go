package gossip

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fleetOf returns the members of a fleet of the given size, evenly distributed
// over the data centres. Each fifth VM of a data centre is a large one.
func fleetOf(size, dataCentres int) []Member {
	members := make([]Member, 0, size)
	for i := range size {
		capacity := 0.144
		if i/dataCentres%5 == 4 {
			capacity = 0.8
		}
		members = append(members, Member{VM: fmt.Sprintf("vm-%04d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Capacity: capacity})
	}
	return members
}

func topologyOf(members []Member, self int) Topology {
	var peers []Member
	for i := range members {
		if i != self {
			peers = append(peers, members[i])
		}
	}
	return NewTopology(members[self], peers)
}

func everyoneReachable(string) bool { return true }

// TestFleetSize answers fleets that grow: neither the messages of a process nor
// the age of what it knows may grow in proportion.
func TestFleetSize(t *testing.T) {
	Convey("Given fleets of 5 to 1,000 processes", t, func() {
		for _, size := range []int{5, 24, 103, 406, 1000} {
			members := fleetOf(size, 5)
			hubs := 0
			for self := range members {
				topology := topologyOf(members, self)
				groupPeers := len(topology.GroupPeers(members[self].VM))
				sentPerSecond := float64(groupPeers) / sendInterval(groupPeers).Seconds()
				if topology.Hub(everyoneReachable).VM == members[self].VM {
					hubs++
					hubPeers := len(topology.HubPeers())
					sentPerSecond += float64(hubPeers) / sendInterval(hubPeers).Seconds()
				}
				// Rounding up to whole groups leaves some groups above the average size.
				So(groupPeers, ShouldBeLessThan, 2*maxGroupSize)
				So(sentPerSecond, ShouldBeLessThanOrEqualTo, 2*peersAtBaseInterval/baseInterval.Seconds())
				// A state waits for the interval of the sender's group, of the hub and of
				// the receiver's group.
				age := 2*sendInterval(groupPeers) + sendInterval(len(topology.HubPeers()))
				So(age, ShouldBeLessThan, 2500*time.Millisecond)
			}
			So(hubs, ShouldEqual, len(topologyOf(members, 0).Ranked))
		}
	})
	Convey("All processes derive the same groups", t, func() {
		members := fleetOf(103, 5)
		first := topologyOf(members, 0)
		for self := range members {
			topology := topologyOf(members, self)
			So(topology.Ranked, ShouldResemble, first.Ranked)
			names := map[string]bool{}
			for _, m := range topology.Ranked[topology.Own] {
				names[m.VM] = true
			}
			So(names[members[self].VM], ShouldBeTrue)
		}
	})
	Convey("A small fleet is one group, whatever its data centres", t, func() {
		topology := topologyOf(fleetOf(24, 4), 3)
		So(topology.Ranked, ShouldHaveLength, 1)
		So(topology.HubPeers(), ShouldBeEmpty)
	})
}

func TestHub(t *testing.T) {
	members := fleetOf(103, 5)
	topology := topologyOf(members, 0)
	Convey("The hub is the largest VM that is reachable", t, func() {
		first := topology.Hub(everyoneReachable)
		So(first.Capacity, ShouldEqual, 0.8)
		second := topology.Hub(func(vm string) bool { return vm != first.VM })
		So(second.VM, ShouldNotEqual, first.VM)
		So(topology.Hub(func(vm string) bool { return vm == members[0].VM }).VM, ShouldEqual, members[0].VM)
	})
	Convey("A smaller VM is outranked, a largest one is not", t, func() {
		So(topology.Outranked(members[0].VM), ShouldBeTrue)
		So(topology.Outranked(members[20].VM), ShouldBeFalse)
	})
}

func TestMessage(t *testing.T) {
	Convey("A message is decoded as it was encoded, with the states of groups", t, func() {
		inner := Message{Sender: "hub", BootID: "b", Sequence: 7, News: News{ConfigVersion: 3, FencingToken: 1<<40 + 5, LeaderRemaining: time.Second, StoreEra: 2}}
		m := Message{Sender: "a", BootID: "b", Sequence: 9, Partial: true, DrainReport: true, Groups: []Group{{Name: "dc/0", Processes: 20, State: inner}}}
		data, err := m.encode()
		So(err, ShouldBeNil)
		decoded, err := decode(data)
		So(err, ShouldBeNil)
		So(decoded.Partial && decoded.DrainReport, ShouldBeTrue)
		So(decoded.Groups, ShouldHaveLength, 1)
		group := decoded.Groups[0]
		So(group.Name, ShouldEqual, "dc/0")
		So(group.Processes, ShouldEqual, 20)
		So(group.State.Sequence, ShouldEqual, 7)
		So(group.State.FencingToken, ShouldEqual, uint64(1<<40+5))
		So(group.State.LeaderRemaining, ShouldEqual, time.Second)
		So(group.State.StoreEra, ShouldEqual, 2)
	})
}
