package bench

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRoutingLoad(t *testing.T) {
	Convey("The load is deterministic for a seed, sorted by arrival, and floods from a single account", t, func() {
		setup, err := newRoutingSetup(RoutingOptions{Options: Options{Seed: 4}, Fault: FaultNone})
		So(err, ShouldBeNil)
		load, repeated := setup.generateLoad(1), setup.generateLoad(1)
		So(load.requests, ShouldResemble, repeated.requests)
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
			if name != load.floodAccount.Name {
				So(inFlood[load.floodAccount.Name], ShouldBeGreaterThan, 2*count)
			}
		}
		Convey("The LRU hit rate falls with the cache size and is 0 without reuse", func() {
			fullSizeRate := setup.lruHitRate(load)
			setup.blocksPerEngine /= 4
			So(setup.lruHitRate(load), ShouldBeLessThan, fullSizeRate)
			load.requests = load.requests[:1]
			load.warmUp = 0
			So(setup.lruHitRate(load), ShouldEqual, 0)
		})
	})
	Convey("Unknown policies and faults are rejected", t, func() {
		_, err := newRoutingSetup(RoutingOptions{Policy: "best", Fault: FaultNone})
		So(err, ShouldNotBeNil)
		_, err = newRoutingSetup(RoutingOptions{Fault: "flood"})
		So(err, ShouldNotBeNil)
	})
}
