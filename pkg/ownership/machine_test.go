package ownership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/ownership"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// advance advances virtual time and fails the test if a slot ever has two
// holders.
func advance(t interface{ Fatalf(string, ...any) }, sim *simulation, d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.step()
		for id := range ownership.SlotID(slotCount) {
			if found := sim.holders(id); len(found) > 1 {
				t.Fatalf("slot %d has several holders %v at %v; record %+v", id, found, sim.now, sim.service.records[id])
			}
		}
	}
}

func allHeld(sim *simulation) bool {
	for id := range ownership.SlotID(slotCount) {
		if len(sim.holders(id)) != 1 {
			return false
		}
	}
	return true
}

// clearFaults removes all injected faults and restarts terminated processes.
func clearFaults(sim *simulation) {
	sim.service.down, sim.lostAnswerShare, sim.slowMessageShare = false, 0, 0
	sim.removedMembers = [vmCount]bool{}
	sim.broadcastMembers()
	for vm, p := range sim.processes {
		p.paused, p.kvPartitioned, p.peersPartitioned = false, false, false
		if p.terminated {
			sim.boot(vm)
		}
	}
}

func beginPlannedStop(sim *simulation, p *process) {
	p.machine.BeginDrain()
	sim.after(4*time.Second, p, func() {
		p.machine.ReleaseAll()
		sim.service.revoke(p.machine.Lease())
		p.terminated = true
	})
}

func TestAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		advance(t, sim, 4*time.Second)
		pick := func(t *rapid.T) *process {
			return sim.processes[rapid.IntRange(0, vmCount-1).Draw(t, "vm")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				advance(t, sim, time.Duration(rapid.IntRange(1, 80).Draw(t, "steps"))*stepTime)
			},
			"outage":   func(*rapid.T) { sim.service.down = !sim.service.down },
			"lost":     func(t *rapid.T) { sim.lostAnswerShare = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "share") },
			"slow":     func(t *rapid.T) { sim.slowMessageShare = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "share") },
			"pause":    func(t *rapid.T) { p := pick(t); p.paused = !p.paused },
			"cutKV":    func(t *rapid.T) { p := pick(t); p.kvPartitioned = !p.kvPartitioned },
			"cutPeers": func(t *rapid.T) { p := pick(t); p.peersPartitioned = !p.peersPartitioned },
			"crash":    func(t *rapid.T) { pick(t).terminated = true },
			"restart":  func(t *rapid.T) { p := pick(t); p.terminated = true; sim.boot(p.vm) },
			"stop":     func(t *rapid.T) { beginPlannedStop(sim, pick(t)) },
			"members":  func(t *rapid.T) { sim.toggleMember(rapid.IntRange(0, vmCount-1).Draw(t, "vm")) },
			"": func(t *rapid.T) {
				advance(t, sim, 4*stepTime)
			},
		})
		clearFaults(sim)
		advance(t, sim, 10*time.Second)
		clearFaults(sim) // restart processes that have completed their planned stop since the first call
		for end := sim.now + time.Minute; sim.now < end && !allHeld(sim); {
			advance(t, sim, stepTime)
		}
		if !allHeld(sim) {
			t.Fatalf("some slots have no holder one minute after the last fault: %+v", sim.service.records)
		}
	})
}

func newSettledSimulation(t *testing.T, seed uint64) *simulation {
	sim := newSimulation(seed)
	advance(t, sim, 15*time.Second)
	So(allHeld(sim), ShouldBeTrue)
	return sim
}

func owner(sim *simulation, id ownership.SlotID) *process {
	for _, p := range sim.processes {
		if p.id == sim.service.records[id].Owner {
			return p
		}
	}
	return nil
}

func TestFaults(t *testing.T) {
	Convey("Holders keep their slots through an hour of service outage", t, func() {
		sim := newSettledSimulation(t, 1)
		sim.service.down = true
		for end := sim.now + time.Hour; sim.now < end; {
			advance(t, sim, stepTime)
			if !allHeld(sim) {
				t.Fatalf("a slot has no holder at %v", sim.now)
			}
		}
		So(sim.takeovers, ShouldEqual, 0)
		sim.service.down = false
		advance(t, sim, 10*time.Second)
		So(allHeld(sim), ShouldBeTrue)
		So(sim.takeovers, ShouldEqual, 0)
	})
	Convey("If the outcome of a successor change is unknown, the holder needs promises from both the old and the new successors", t, func() {
		for seed := range uint64(20) {
			sim := newSettledSimulation(t, 20+seed)
			holder, before := owner(sim, 0), sim.service.records[0]
			for vm, p := range sim.processes {
				if slices.Contains(before.Successors, p.id.VM) {
					sim.toggleMember(vm)
				}
			}
			sim.lostAnswerShare = 1
			for sim.service.records[0].Revision == before.Revision {
				advance(t, sim, stepTime)
			}
			holder.kvPartitioned, sim.service.down, sim.lostAnswerShare = true, true, 0
			advance(t, sim, 8*time.Second)
			So(sim.holders(0), ShouldResemble, []ownership.Process{holder.id})
			holder.peersPartitioned, sim.service.down = true, false
			advance(t, sim, 10*time.Second)
			So(sim.holders(0), ShouldHaveLength, 1)
		}
	})
	Convey("A crashed successor does not make the holder lose its slot during a service outage", t, func() {
		sim := newSettledSimulation(t, 7)
		holder := owner(sim, 0).id
		sim.service.down = true
		for _, p := range sim.processes {
			if p.id.VM == sim.service.records[0].Successors[0] {
				p.terminated = true
			}
		}
		advance(t, sim, 20*time.Second)
		So(sim.holders(0), ShouldResemble, []ownership.Process{holder})
	})
	Convey("An isolated holder loses its slot to a successor", t, func() {
		sim := newSettledSimulation(t, 2)
		isolated := owner(sim, 0)
		isolated.kvPartitioned, isolated.peersPartitioned = true, true
		advance(t, sim, 12*time.Second)
		So(sim.holders(0), ShouldHaveLength, 1)
		So(sim.holders(0)[0], ShouldNotResemble, isolated.id)
	})
	Convey("A holder that is partitioned only from the service renews its lease through a peer", t, func() {
		sim := newSettledSimulation(t, 3)
		partitioned := owner(sim, 0)
		partitioned.kvPartitioned = true
		for range 600 {
			advance(t, sim, stepTime)
			So(sim.holders(0), ShouldResemble, []ownership.Process{partitioned.id})
		}
	})
	Convey("A paused holder is replaced after its lease has expired and does not resume holding the slot", t, func() {
		sim := newSettledSimulation(t, 4)
		paused := owner(sim, 0)
		paused.paused = true
		advance(t, sim, 12*time.Second)
		So(sim.holders(0)[0], ShouldNotResemble, paused.id)
		paused.paused = false
		advance(t, sim, 5*time.Second)
		So(sim.holders(0)[0], ShouldNotResemble, paused.id)
	})
	Convey("A restarted successor honours a promise granted before the restart", t, func() {
		sim := newSettledSimulation(t, 6)
		holder := owner(sim, 0)
		sim.service.down = true
		advance(t, sim, 8*time.Second)
		So(sim.holders(0), ShouldResemble, []ownership.Process{holder.id})
		holder.kvPartitioned, holder.peersPartitioned = true, true
		for vm, p := range sim.processes {
			if p != holder {
				p.terminated = true
				sim.boot(vm)
			}
		}
		sim.service.down = false
		advance(t, sim, 15*time.Second)
		So(sim.holders(0), ShouldHaveLength, 1)
		So(sim.holders(0)[0], ShouldNotResemble, holder.id)
	})
	Convey("A planned stop hands over to another member if all successors have terminated", t, func() {
		sim := newSettledSimulation(t, 8)
		draining := owner(sim, 0)
		var other *process
		for _, p := range sim.processes {
			switch {
			case p == draining:
			case slices.Contains(sim.service.records[0].Successors, p.id.VM):
				p.terminated = true
			default:
				other = p
			}
		}
		advance(t, sim, 5*time.Second)
		before := sim.takeovers
		draining.machine.BeginDrain()
		advance(t, sim, 2*time.Second)
		So(sim.holders(0), ShouldResemble, []ownership.Process{other.id})
		So(sim.takeovers, ShouldEqual, before)
		So(draining.machine.OwnedCount(), ShouldEqual, 0)
	})
	Convey("A draining process keeps its slots until another process can take them over", t, func() {
		sim := newSettledSimulation(t, 9)
		draining := owner(sim, 0)
		for _, p := range sim.processes {
			p.terminated = p != draining
		}
		advance(t, sim, 15*time.Second)
		So(sim.holders(0), ShouldResemble, []ownership.Process{draining.id})
		draining.machine.BeginDrain()
		advance(t, sim, 2*time.Second)
		So(sim.holders(0), ShouldResemble, []ownership.Process{draining.id})
		for vm, p := range sim.processes {
			if p != draining {
				sim.boot(vm)
			}
		}
		var timeWithoutHolder time.Duration
		for end := sim.now + 10*time.Second; sim.now < end; {
			advance(t, sim, stepTime)
			if len(sim.holders(0)) == 0 {
				timeWithoutHolder += stepTime
			}
		}
		So(draining.machine.OwnedCount(), ShouldEqual, 0)
		So(timeWithoutHolder, ShouldBeLessThanOrEqualTo, sim.config.RetryInterval)
		draining.machine.ReleaseAll()
		So(sim.holders(0), ShouldHaveLength, 1)
	})
	Convey("A draining process holds no slot after ReleaseAll", t, func() {
		sim := newSettledSimulation(t, 10)
		draining := owner(sim, 0)
		for _, p := range sim.processes {
			p.terminated = p != draining
		}
		draining.machine.BeginDrain()
		draining.machine.ReleaseAll()
		advance(t, sim, time.Second)
		So(sim.holders(0), ShouldBeEmpty)
	})
	Convey("A planned stop hands over every slot before the lease expires", t, func() {
		sim := newSettledSimulation(t, 5)
		draining := owner(sim, 0)
		draining.machine.BeginDrain()
		for end := sim.now + 2*time.Second; sim.now < end; {
			advance(t, sim, stepTime)
		}
		So(draining.machine.OwnedCount(), ShouldEqual, 0)
		So(sim.takeovers, ShouldEqual, 0)
		So(sim.holders(0), ShouldHaveLength, 1)
	})
}
