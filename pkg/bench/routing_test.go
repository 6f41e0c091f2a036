package bench

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRoutingLoad(t *testing.T) {
	Convey("The load is the same for a seed, in order, and floods from one account alone", t, func() {
		setup, err := newRoutingSetup(RoutingOptions{Options: Options{Seed: 4}, Fault: FaultNone})
		So(err, ShouldBeNil)
		load, again := setup.load(1), setup.load(1)
		So(load.requests, ShouldResemble, again.requests)
		inFlood := map[string]int{}
		for i := range load.requests {
			if i > 0 {
				So(load.requests[i].ArrivalTime, ShouldBeGreaterThanOrEqualTo, load.requests[i-1].ArrivalTime)
			}
			if at := load.requests[i].ArrivalTime; at >= load.floodFrom && at < load.floodUntil {
				inFlood[load.requests[i].Account.Name]++
			}
		}
		for name, count := range inFlood {
			if name != load.flooding.Name {
				So(inFlood[load.flooding.Name], ShouldBeGreaterThan, 2*count)
			}
		}
		Convey("The bound falls with the memory and is 0 without reuse", func() {
			whole := setup.bound(load)
			setup.blocks /= 4
			So(setup.bound(load), ShouldBeLessThan, whole)
			load.requests = load.requests[:1]
			load.warmUp = 0
			So(setup.bound(load), ShouldEqual, 0)
		})
	})
	Convey("Unknown policies and faults are refused", t, func() {
		_, err := newRoutingSetup(RoutingOptions{Policy: "best", Fault: FaultNone})
		So(err, ShouldNotBeNil)
		_, err = newRoutingSetup(RoutingOptions{Fault: "flood"})
		So(err, ShouldNotBeNil)
	})
}
