package ownership_test

import (
	"slices"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/pkg/ownership"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// advance runs virtual time and checks at each step that no slot has two
// holders.
func advance(t interface{ Fatalf(string, ...any) }, w *world, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
		for id := range ownership.SlotID(slotCount) {
			if found := w.holders(id); len(found) > 1 {
				t.Fatalf("slot %d held by %v at %v; record %+v", id, found, w.now, w.service.records[id])
			}
		}
	}
}

func allHeld(w *world) bool {
	for id := range ownership.SlotID(slotCount) {
		if len(w.holders(id)) != 1 {
			return false
		}
	}
	return true
}

func heal(w *world) {
	w.service.down, w.lostShare, w.slowShare = false, 0, 0
	w.leaving = [vmCount]bool{}
	w.tellMembers()
	for vm, p := range w.processes {
		p.paused, p.cutKV, p.cutPeers = false, false, false
		if p.dead {
			w.boot(vm)
		}
	}
}

func stop(w *world, p *process) {
	p.machine.Leave()
	w.after(4*time.Second, p, func() {
		p.machine.Release()
		w.service.revoke(p.machine.Lease())
		p.dead = true
	})
}

func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		advance(t, w, 4*time.Second)
		pick := func(t *rapid.T) *process {
			return w.processes[rapid.IntRange(0, vmCount-1).Draw(t, "vm")]
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				advance(t, w, time.Duration(rapid.IntRange(1, 80).Draw(t, "steps"))*stepTime)
			},
			"outage":   func(*rapid.T) { w.service.down = !w.service.down },
			"lost":     func(t *rapid.T) { w.lostShare = rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "share") },
			"slow":     func(t *rapid.T) { w.slowShare = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "share") },
			"pause":    func(t *rapid.T) { p := pick(t); p.paused = !p.paused },
			"cutKV":    func(t *rapid.T) { p := pick(t); p.cutKV = !p.cutKV },
			"cutPeers": func(t *rapid.T) { p := pick(t); p.cutPeers = !p.cutPeers },
			"crash":    func(t *rapid.T) { pick(t).dead = true },
			"restart":  func(t *rapid.T) { p := pick(t); p.dead = true; w.boot(p.vm) },
			"stop":     func(t *rapid.T) { stop(w, pick(t)) },
			"members":  func(t *rapid.T) { w.toggleMember(rapid.IntRange(0, vmCount-1).Draw(t, "vm")) },
			"": func(t *rapid.T) {
				advance(t, w, 4*stepTime)
			},
		})
		heal(w)
		advance(t, w, 10*time.Second)
		heal(w) // processes that ended their planned stop since
		for end := w.now + time.Minute; w.now < end && !allHeld(w); {
			advance(t, w, stepTime)
		}
		if !allHeld(w) {
			t.Fatalf("not every slot is held a minute after the last fault: %+v", w.service.records)
		}
	})
}

func settled(t *testing.T, seed uint64) *world {
	w := newWorld(seed)
	advance(t, w, 15*time.Second)
	So(allHeld(w), ShouldBeTrue)
	return w
}

func owner(w *world, id ownership.SlotID) *process {
	for _, p := range w.processes {
		if p.id == w.service.records[id].Owner {
			return p
		}
	}
	return nil
}

func TestFaults(t *testing.T) {
	Convey("With the service down for all, every holder goes on for an hour", t, func() {
		w := settled(t, 1)
		w.service.down = true
		for end := w.now + time.Hour; w.now < end; {
			advance(t, w, stepTime)
			if !allHeld(w) {
				t.Fatalf("a slot lost its holder at %v", w.now)
			}
		}
		So(w.takeovers, ShouldEqual, 0)
		w.service.down = false
		advance(t, w, 10*time.Second)
		So(allHeld(w), ShouldBeTrue)
		So(w.takeovers, ShouldEqual, 0)
	})
	Convey("A lost change of successors binds the old and the new ones", t, func() {
		for seed := range uint64(20) {
			w := settled(t, 20+seed)
			holder, before := owner(w, 0), w.service.records[0]
			for vm, p := range w.processes {
				if slices.Contains(before.Successors, p.id.VM) {
					w.toggleMember(vm)
				}
			}
			w.lostShare = 1
			for w.service.records[0].Revision == before.Revision {
				advance(t, w, stepTime)
			}
			holder.cutKV, w.service.down, w.lostShare = true, true, 0
			advance(t, w, 8*time.Second)
			So(w.holders(0), ShouldResemble, []ownership.Process{holder.id})
			holder.cutPeers, w.service.down = true, false
			advance(t, w, 10*time.Second)
			So(w.holders(0), ShouldHaveLength, 1)
		}
	})
	Convey("In an outage a crashed successor does not stop the holder", t, func() {
		w := settled(t, 7)
		holder := owner(w, 0).id
		w.service.down = true
		for _, p := range w.processes {
			if p.id.VM == w.service.records[0].Successors[0] {
				p.dead = true
			}
		}
		advance(t, w, 20*time.Second)
		So(w.holders(0), ShouldResemble, []ownership.Process{holder})
	})
	Convey("A holder cut off alone stops and a successor takes over", t, func() {
		w := settled(t, 2)
		lost := owner(w, 0)
		lost.cutKV, lost.cutPeers = true, true
		advance(t, w, 12*time.Second)
		So(w.holders(0), ShouldHaveLength, 1)
		So(w.holders(0)[0], ShouldNotResemble, lost.id)
	})
	Convey("A holder cut off from the service alone renews through a peer", t, func() {
		w := settled(t, 3)
		lost := owner(w, 0)
		lost.cutKV = true
		for range 600 {
			advance(t, w, stepTime)
			So(w.holders(0), ShouldResemble, []ownership.Process{lost.id})
		}
	})
	Convey("A paused holder does not hold past its lease, and is replaced", t, func() {
		w := settled(t, 4)
		paused := owner(w, 0)
		paused.paused = true
		advance(t, w, 12*time.Second)
		So(w.holders(0)[0], ShouldNotResemble, paused.id)
		paused.paused = false
		advance(t, w, 5*time.Second)
		So(w.holders(0)[0], ShouldNotResemble, paused.id)
	})
	Convey("A restarted successor honours the promise that it forgot", t, func() {
		w := settled(t, 6)
		holder := owner(w, 0)
		w.service.down = true
		advance(t, w, 8*time.Second)
		So(w.holders(0), ShouldResemble, []ownership.Process{holder.id})
		holder.cutKV, holder.cutPeers = true, true
		for vm, p := range w.processes {
			if p != holder {
				p.dead = true
				w.boot(vm)
			}
		}
		w.service.down = false
		advance(t, w, 15*time.Second)
		So(w.holders(0), ShouldHaveLength, 1)
		So(w.holders(0)[0], ShouldNotResemble, holder.id)
	})
	Convey("A planned stop whose successors are all gone hands over to another process", t, func() {
		w := settled(t, 8)
		leaving := owner(w, 0)
		var other *process
		for _, p := range w.processes {
			switch {
			case p == leaving:
			case slices.Contains(w.service.records[0].Successors, p.id.VM):
				p.dead = true
			default:
				other = p
			}
		}
		advance(t, w, 5*time.Second)
		before := w.takeovers
		leaving.machine.Leave()
		advance(t, w, 2*time.Second)
		So(w.holders(0), ShouldResemble, []ownership.Process{other.id})
		So(w.takeovers, ShouldEqual, before)
		So(leaving.machine.Owned(), ShouldEqual, 0)
	})
	Convey("A leaving process uses its slots until another one can take them", t, func() {
		w := settled(t, 9)
		leaving := owner(w, 0)
		for _, p := range w.processes {
			p.dead = p != leaving
		}
		advance(t, w, 15*time.Second)
		So(w.holders(0), ShouldResemble, []ownership.Process{leaving.id})
		leaving.machine.Leave()
		advance(t, w, 2*time.Second)
		So(w.holders(0), ShouldResemble, []ownership.Process{leaving.id})
		for vm, p := range w.processes {
			if p != leaving {
				w.boot(vm)
			}
		}
		var unheld time.Duration
		for end := w.now + 10*time.Second; w.now < end; {
			advance(t, w, stepTime)
			if len(w.holders(0)) == 0 {
				unheld += stepTime
			}
		}
		So(leaving.machine.Owned(), ShouldEqual, 0)
		So(unheld, ShouldBeLessThanOrEqualTo, w.config.Retry)
		leaving.machine.Release()
		So(w.holders(0), ShouldHaveLength, 1)
	})
	Convey("A leaving process that must end uses no slot any more", t, func() {
		w := settled(t, 10)
		leaving := owner(w, 0)
		for _, p := range w.processes {
			p.dead = p != leaving
		}
		leaving.machine.Leave()
		leaving.machine.Release()
		advance(t, w, time.Second)
		So(w.holders(0), ShouldBeEmpty)
	})
	Convey("A planned stop hands every slot over before the lease ends", t, func() {
		w := settled(t, 5)
		leaving := owner(w, 0)
		leaving.machine.Leave()
		for end := w.now + 2*time.Second; w.now < end; {
			advance(t, w, stepTime)
		}
		So(leaving.machine.Owned(), ShouldEqual, 0)
		So(w.takeovers, ShouldEqual, 0)
		So(w.holders(0), ShouldHaveLength, 1)
	})
}
