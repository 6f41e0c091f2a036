package targetlimit

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

var target = fleet.Boot{ID: "target", StartUnixMS: 1}

// tables returns the tables of a fleet.
func tables(processes int) []*Table {
	var all []*Table
	var members []string
	for i := range processes {
		members = append(members, fmt.Sprint("vm-", i))
	}
	for i := range processes {
		table := New(members[i], uint64(i+1))
		table.SetMembers(0, members)
		all = append(all, table)
	}
	return all
}

func TestShares(t *testing.T) {
	Convey("The shares of all processes add up to the limit, and few processes hold a low one", t, func() {
		for _, processes := range []int{1, 4, 103} {
			for _, limit := range []float64{0.5, 1.2, 6, 250} {
				sum, holders := 0.0, 0
				for _, table := range tables(processes) {
					change, ok := table.RecordResponse(0, target, 0, true, limit)
					So(ok, ShouldBeTrue)
					sum += change.Share
					if change.Share > 0 {
						holders++
					}
				}
				So(sum, ShouldAlmostEqual, limit, 1e-9)
				So(holders, ShouldBeLessThanOrEqualTo, max(1, limit/minShare))
			}
		}
	})
	Convey("A process without a list of members has no share, and none after it leaves", t, func() {
		table := New("vm-0", 1)
		change, _ := table.RecordResponse(0, target, 0, true, 5)
		So(change.Share, ShouldEqual, 0)
		table.SetMembers(0, nil)
		So(table.states[target].share, ShouldEqual, 5)
		table.Leave(0)
		table.SetMembers(0, []string{"vm-0"})
		So(table.states[target].share, ShouldEqual, 0)
	})
	Convey("A limit of 0 leaves the target a request now and then", t, func() {
		change, _ := tables(1)[0].RecordResponse(0, target, 0, true, 0)
		So(change.Share, ShouldEqual, minLimit)
	})
}

func TestAllow(t *testing.T) {
	Convey("A target that has been getting far more than the limit that it names gets nothing for a while", t, func() {
		table := tables(1)[0]
		for range 20 {
			table.Take(0, target)
		}
		change, _ := table.RecordResponse(0, target, 0, true, 2)
		So(change.Limited, ShouldBeTrue)
		So(table.Allow(longPauseAfterNaming+499*time.Millisecond, target).Ready, ShouldBeFalse)
		So(table.Allow(longPauseAfterNaming+500*time.Millisecond, target).Ready, ShouldBeTrue)
		Convey("and again when it names a lower one", func() {
			table.RecordResponse(time.Second, target, 0, true, 1)
			So(table.Allow(longPauseAfterNaming+time.Second, target).Ready, ShouldBeFalse)
		})
	})
	Convey("Given the only process of a fleet and a target that names 2 a second", t, func() {
		table := tables(1)[0]
		So(table.Allow(0, target), ShouldResemble, Allowance{Ready: true})
		table.RecordResponse(0, target, 0, true, 2)
		Convey("the target gets nothing before its limit allows a request", func() {
			So(table.Allow(pauseAfterNaming+250*time.Millisecond, target), ShouldResemble, Allowance{Limited: true, Wait: 250 * time.Millisecond})
			So(table.Allow(pauseAfterNaming+500*time.Millisecond, target), ShouldResemble, Allowance{Limited: true, Ready: true})
		})
		Convey("then it gets the rate", func() {
			sent := 0
			for now := 2 * time.Second; now < 12*time.Second; now += 10 * time.Millisecond {
				if table.Allow(now, target).Ready {
					table.Take(now, target)
					sent++
				}
			}
			So(sent, ShouldBeBetweenOrEqual, 19, 21)
		})
		Convey("it is due when nothing has been heard of it for some time", func() {
			So(table.Allow(refreshInterval-time.Millisecond, target).Due, ShouldBeFalse)
			So(table.Allow(refreshInterval, target).Due, ShouldBeTrue)
		})
		Convey("a response without a limit ends it only if its request was sent after the latest one with a limit", func() {
			table.RecordResponse(time.Second, target, 500*time.Millisecond, true, 2)
			_, changed := table.RecordResponse(1100*time.Millisecond, target, 900*time.Millisecond, false, 0)
			So(changed, ShouldBeFalse)
			change, changed := table.RecordResponse(1200*time.Millisecond, target, 1050*time.Millisecond, false, 0)
			So(changed, ShouldBeTrue)
			So(change.Limited, ShouldBeFalse)
			So(table.Allow(1200*time.Millisecond, target), ShouldResemble, Allowance{Ready: true})
		})
		Convey("another value applies at once", func() {
			change, changed := table.RecordResponse(time.Second, target, 0, true, 8)
			So(changed, ShouldBeTrue)
			So(change.Share, ShouldEqual, 8)
		})
		Convey("it is forgotten when the target is gone", func() {
			table.Prune(func(fleet.Boot) bool { return false })
			So(table.states, ShouldBeEmpty)
		})
	})
}

func TestMergeObservations(t *testing.T) {
	Convey("Given two processes, one of which has observed a limit", t, func() {
		pair := tables(2)
		observer, other := pair[0], pair[1]
		observer.RecordResponse(time.Second, target, 0, true, 3)
		So(other.Merge(time.Second, observer.Newest(time.Second)), ShouldHaveLength, 1)
		Convey("an observation that returns over other processes doesn't become newer", func() {
			for i := range 100 {
				now := time.Second + time.Duration(i)*100*time.Millisecond
				observer.Merge(now+50*time.Millisecond, other.Newest(now))
				other.Merge(now+100*time.Millisecond, observer.Newest(now+50*time.Millisecond))
			}
			So(observer.states[target].observedAt, ShouldEqual, time.Second)
		})
		Convey("the observers that are remembered are bounded", func() {
			for n := range 2 * maxObservers {
				other.Merge(time.Second, []Observation{{Target: target, Observer: uint64(1000 + n), Sequence: 1, Named: true, PerSecond: 3}})
			}
			So(len(other.states[target].seen), ShouldBeLessThanOrEqualTo, maxObservers)
		})
		Convey("its end is merged, and an older message doesn't name it again", func() {
			older := observer.Newest(1100 * time.Millisecond)
			observer.RecordResponse(1200*time.Millisecond, target, 1100*time.Millisecond, false, 0)
			So(other.Merge(1250*time.Millisecond, observer.Newest(1200*time.Millisecond)), ShouldHaveLength, 1)
			So(other.Merge(1300*time.Millisecond, older), ShouldBeEmpty)
			So(other.Allow(1300*time.Millisecond, target).Limited, ShouldBeFalse)
			So(observer.Newest(1200*time.Millisecond+endedTTL+1), ShouldBeEmpty)
		})
	})
}
