package balance

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// isStalledAt reports whether a process considers its first target stalled.
func isStalledAt(b *Balancer, now time.Duration) bool {
	return b.stallRule(now).isStalled(b.targetState(engines(1)[0].Boot()))
}

// report has b receive a peer's load on the first target.
func report(b *Balancer, now time.Duration, peer string, load TargetLoad) {
	b.SetPeerLoads(now, peer, map[TargetKey]TargetLoad{KeyOf("e0"): load})
}

// TestLiveness guards against targets with long queues that every process takes for
// stalled, because it has received no first byte itself for a while.
func TestLiveness(t *testing.T) {
	const start = time.Second
	Convey("Given a process with a pending request", t, func() {
		b, targets := newBalancer("dc0"), engines(1)
		begin := func(now, expected time.Duration) *TrackedRequest {
			return b.Begin(now, newRequest("p", 0, 10), &Choice{Target: targets[0], ExpectedTTFB: expected})
		}
		first := begin(start, 0)
		Convey("bytes that a peer receives count, with their age", func() {
			for now := start; now < start+5*time.Second; now += 100 * time.Millisecond {
				report(b, now, "p", TargetLoad{InFlight: 2, Pending: 1, ProgressAge: 300 * time.Millisecond})
				So(isStalledAt(b, now+50*time.Millisecond), ShouldBeFalse)
			}
		})
		Convey("a target from which nobody hears anything is stalled after progressTimeout", func() {
			report(b, start, "p", TargetLoad{InFlight: 2, Pending: 1})
			So(isStalledAt(b, start+progressTimeout-1), ShouldBeFalse)
			report(b, start+progressTimeout-1, "p", TargetLoad{InFlight: 2, Pending: 1})
			So(isStalledAt(b, start+progressTimeout), ShouldBeTrue)
			Convey("and not after its next bytes, whoever receives them", func() {
				report(b, start+progressTimeout, "p", TargetLoad{ProgressAge: time.Millisecond})
				So(isStalledAt(b, start+progressTimeout), ShouldBeFalse)
			})
		})
		Convey("later events and refusals count as progress", func() {
			first.RecordFirstByte(start + 100*time.Millisecond)
			begin(start+200*time.Millisecond, 0)
			first.RecordProgress(start + 800*time.Millisecond)
			So(isStalledAt(b, start+1400*time.Millisecond), ShouldBeFalse)
			So(isStalledAt(b, start+1500*time.Millisecond), ShouldBeTrue)
		})
		Convey("a dark target is noticed although each request is cancelled before progressTimeout", func() {
			at := start
			for range 3 {
				at += 300 * time.Millisecond
				first.End(at, Cancelled)
				at += 100 * time.Millisecond
				first = begin(at, 0)
			}
			So(isStalledAt(b, at), ShouldBeTrue)
		})
		Convey("a request that is cancelled alone and a later one don't add up to a silence", func() {
			first.End(start+50*time.Millisecond, Cancelled)
			begin(start+650*time.Millisecond, 0)
			So(isStalledAt(b, start+progressTimeout), ShouldBeFalse)
		})
		Convey("requests of peers that end between two reports are no silence", func() {
			first.End(start, Cancelled)
			for now := start; now < start+3*time.Second; now += 100 * time.Millisecond {
				report(b, now, "p", TargetLoad{InFlight: 1, Pending: 1, ProgressAge: 90 * time.Millisecond})
				So(isStalledAt(b, now), ShouldBeFalse)
			}
		})
	})
	Convey("A process without news from peers allows for the expected wait of its oldest pending request", t, func() {
		b, targets := newBalancer("dc0"), engines(1)
		b.Begin(start, newRequest("p", 0, 10), &Choice{Target: targets[0], ExpectedTTFB: 500 * time.Millisecond})
		So(isStalledAt(b, start+1400*time.Millisecond), ShouldBeFalse)
		So(isStalledAt(b, start+1500*time.Millisecond), ShouldBeTrue)
		report(b, start+1400*time.Millisecond, "p", TargetLoad{InFlight: 1, Pending: 1})
		So(isStalledAt(b, start+1400*time.Millisecond), ShouldBeTrue)
	})
	Convey("A process that was paused doesn't take its own silence for that of its targets", t, func() {
		b, targets := newBalancer("dc0"), engines(1)
		report(b, start, "p", TargetLoad{InFlight: 1})
		b.LocalLoads(start)
		b.Begin(start, newRequest("p", 0, 10), &Choice{Target: targets[0]})
		So(isStalledAt(b, start+5*time.Second), ShouldBeFalse)
		b.LocalLoads(start + 5*time.Second)
		b.LocalLoads(start + 5500*time.Millisecond)
		So(isStalledAt(b, start+5*time.Second+progressTimeout-1), ShouldBeFalse)
		So(isStalledAt(b, start+5*time.Second+progressTimeout), ShouldBeTrue)
	})
	Convey("The state of a group holds the youngest progress of its processes", t, func() {
		b := newBalancer("dc0")
		report(b, start, "p", TargetLoad{InFlight: 1, ProgressAge: 200 * time.Millisecond})
		report(b, start, "q", TargetLoad{InFlight: 1, ProgressAge: 50 * time.Millisecond})
		loads := b.GroupLoads(start+100*time.Millisecond, []string{"p", "q"})
		So(loads[KeyOf("e0")].ProgressAge, ShouldEqual, 150*time.Millisecond)
	})
}

// stalledTargets returns the number of the targets that each process considers stalled.
func (s *fleetSim) stalledTargets() []int {
	counts := make([]int, len(s.processes))
	for i, b := range s.processes {
		for _, e := range s.engines {
			if b.stallRule(s.now).isStalled(b.targetState(e.target.Boot())) {
				counts[i]++
			}
		}
	}
	return counts
}

// TestBurstLiveness guards against processes that crowd on a few targets during a burst
// while the rest are idle, and against dark targets that go unnoticed.
func TestBurstLiveness(t *testing.T) {
	for _, processes := range []int{24, 103} {
		Convey("In a burst of 2.5 times the usual requests, only a target that goes dark is stalled, within a second", t, func() {
			s := newFleetSim(processes, 45, 200*time.Millisecond)
			s.offer(500, 4*time.Second, s.simPrompt)
			s.run(1500 * time.Millisecond)
			s.offer(750, 4*time.Second, s.simPrompt)
			s.run(2500 * time.Millisecond)
			So(slices.Max(s.stalledTargets()), ShouldEqual, 0)
			dark := s.engines[3]
			dark.isDark = true
			s.run(3500 * time.Millisecond)
			So(slices.Max(s.stalledTargets()), ShouldEqual, 1)
			received := dark.received
			s.run(4 * time.Second)
			So(dark.received, ShouldEqual, received)
			So(slices.Max(s.stalledTargets()), ShouldEqual, 1)
		})
	}
}
