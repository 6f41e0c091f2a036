package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/call"
)

// TestPace guards against a figure that counts after it has gone stale, that is not passed
// on, or that makes slow moments look like a slow target.
func TestPace(t *testing.T) {
	const start = time.Second
	Convey("Given a target that reports that work takes 2.5 times as long", t, func() {
		b, targets := newBalancer("dc0"), engines(1)
		req := newRequest("", 0, 4000)
		req.SharedParts = nil
		expected := func(b *Balancer, now time.Duration) time.Duration {
			choice, refusal := b.Pick(now, req, targets)
			So(refusal, ShouldBeNil)
			return choice.ExpectedTTFB
		}
		choice, _ := b.Pick(start, req, targets)
		b.Begin(start, req, &choice).End(start, Cancelled)
		usual := expected(b, start)
		b.RecordLoad(start, targets[0].Boot(), call.Load{WorkPercent: 250})
		Convey("the service's expected times rise, and fade to the usual ones", func() {
			slow := expected(b, start+paceFreshTime)
			So(slow, ShouldAlmostEqual, baseTTFB+(usual-baseTTFB)*5/2, time.Microsecond)
			So(expected(b, start+2*paceFreshTime), ShouldBeBetween, usual, slow)
			So(expected(b, start+3*time.Second), ShouldAlmostEqual, usual, time.Millisecond)
		})
		Convey("a newer figure replaces it", func() {
			b.RecordLoad(start+time.Millisecond, targets[0].Boot(), call.Load{WorkPercent: 100})
			So(expected(b, start+time.Millisecond), ShouldEqual, usual)
			So(b.LocalLoads(start+time.Millisecond), ShouldBeEmpty)
		})
		Convey("peers learn it with its age, also through a hub", func() {
			hub, peer := newBalancer("dc1"), newBalancer("dc2")
			hub.SetAdaptive(true)
			peer.SetAdaptive(true)
			hub.SetPeerLoads(start+200*time.Millisecond, "vm-dc0", b.LocalLoads(start+100*time.Millisecond))
			peer.SetPeerLoads(start+300*time.Millisecond, "group g", hub.GroupLoads(start+300*time.Millisecond, []string{"vm-dc0"}))
			pace := peer.fleetTarget(KeyOf("e0")).pace
			So(pace, ShouldResemble, observedPace{factor: 2.5, at: start + 100*time.Millisecond})
			So(hub.GroupLoads(start+time.Second, []string{"vm-dc0"}), ShouldBeEmpty)
		})
		Convey("a first byte of that time doesn't change the target's rate", func() {
			choice, _ := b.Pick(start, req, targets)
			b.Begin(start, req, &choice).RecordFirstByte(start + time.Second)
			So(b.targetState(targets[0].Boot()).drain.sums, ShouldResemble, DrainSums{})
		})
	})
	Convey("A figure below 100 gives a target no preference", t, func() {
		p := observedPace{}
		p.record(start, 0.4)
		So(p.current(start), ShouldEqual, 1)
	})
}

// TestTransientSlowness guards against requests that wait at machines that are known to be
// slow, and against all processes avoiding or choosing the same targets at once.
func TestTransientSlowness(t *testing.T) {
	Convey("With 15% of the targets slow for 0.6 s each, the figure shortens the longest waits", t, func() {
		tail := func(sendsPace bool) int {
			s := newFleetSim(24, 45, 100*time.Millisecond)
			for _, b := range s.processes {
				b.SetAdaptive(true)
			}
			s.sendsPace = sendsPace
			s.offer(900, 4*time.Second, s.simPrompt)
			s.slowDown(0.15, 4*time.Second)
			s.since(1500 * time.Millisecond)
			s.run(4 * time.Second)
			late := 0
			for _, r := range s.results {
				if r.observed > 250*time.Millisecond {
					late++
				}
			}
			return late
		}
		So(tail(true), ShouldBeLessThan, tail(false)*3/4)
	})
}
