package streamorigin

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestReplicas guards against a process that isn't told of streams of which it is a witness, and against
// one that is told of streams that nobody holds any more.
func TestReplicas(t *testing.T) {
	const hold = 30 * time.Second
	key := NewKey("a", testService, "1")
	origin := func(age time.Duration) []Origin { return []Origin{{Key: key, Version: "v1", Age: age}} }
	Convey("Given a process that began a stream, without others", t, func() {
		table := New()
		table.SetHoldTime(hold)
		So(table.SetMembers(0, "a", nil), ShouldBeEmpty)
		table.Begin(0, key, testSoftware("v1"))
		members := map[string]string{"b": "boot-1"}
		Convey("one that joins is told of it, if the witnesses have to know it", func() {
			So(table.SetMembers(time.Second, "a", members), ShouldBeEmpty)
			table.SetTold(time.Second, key)
			members = map[string]string{"b": "boot-1", "c": "boot-1"}
			So(table.SetMembers(2*time.Second, "a", members), ShouldResemble, []Tell{{Process: "c", Origins: origin(2 * time.Second)}})
		})
		table.SetTold(0, key)
		Convey("one that starts again is told again, others are not", func() {
			table.SetMembers(0, "a", map[string]string{"b": "boot-1", "c": "boot-1"})
			members = map[string]string{"b": "boot-2", "c": "boot-1"}
			So(table.SetMembers(time.Second, "a", members), ShouldResemble, []Tell{{Process: "b", Origins: origin(time.Second)}})
			So(table.SetMembers(time.Second, "a", maps.Clone(members)), ShouldBeEmpty)
		})
		Convey("nobody is told once its caller has it all, or can't hold it any more", func() {
			So(table.SetMembers(hold+1, "a", members), ShouldBeEmpty)
			So(table.ForMember(hold+1, "b"), ShouldBeEmpty)
			table.SetEnded(key)
			So(table.ForMember(time.Second, "b"), ShouldBeEmpty)
			So(table.HandOver(time.Second), ShouldBeEmpty)
		})
		Convey("the witnesses are told once more while it goes on", func() {
			table.SetMembers(0, "a", members)
			So(table.Repeat(repeatDelay-1), ShouldBeEmpty)
			So(table.Repeat(repeatDelay), ShouldResemble, []Tell{{Process: "b", Origins: origin(repeatDelay)}})
			So(table.Repeat(2*repeatDelay), ShouldBeEmpty)
		})
		Convey("they are told when it ends, and when they ask", func() {
			table.SetMembers(0, "a", members)
			So(table.HandOver(time.Second), ShouldResemble, []Tell{{Process: "b", Origins: origin(time.Second)}})
			So(table.ForMember(time.Second, "b"), ShouldResemble, origin(time.Second))
			So(table.ForMember(time.Second, "not listed yet"), ShouldResemble, origin(time.Second))
		})
	})
}

// TestCostOfRestart guards against restarts in a large fleet that take the bandwidth of its processes: each
// stream is known to a few, which tell of it only what one restart changes.
func TestCostOfRestart(t *testing.T) {
	const (
		processes       = 103
		streamsPerS     = 1200
		holdSeconds     = 5
		maxToldByOne    = 50
		maxMessagesEach = 1.5
	)
	Convey("Given a fleet with streams, and the restart of one process", t, func() {
		runs := map[string]string{}
		tables := map[string]*Table{}
		for n := range processes {
			name := fmt.Sprint("vm-", n)
			runs[name], tables[name] = "boot", New()
			tables[name].SetHoldTime(holdSeconds * time.Second)
		}
		setMembers := func(now time.Duration) (origins, messages, most int) {
			for _, name := range slices.Sorted(maps.Keys(runs)) {
				others := maps.Clone(runs)
				delete(others, name)
				own := 0
				for _, tell := range tables[name].SetMembers(now, name, others) {
					messages++
					own += len(tell.Origins)
					for _, origin := range tell.Origins {
						tables[tell.Process].Record(now, origin)
					}
				}
				origins += own
				most = max(most, own)
			}
			return origins, messages, most
		}
		setMembers(0)
		names := slices.Sorted(maps.Keys(runs))
		for n := range streamsPerS * holdSeconds {
			key, owner := NewKey("a", testService, fmt.Sprint(n)), names[n%processes]
			tables[owner].Begin(0, key, testSoftware("v1"))
			tables[owner].SetTold(0, key)
			for _, witness := range Witnesses(key, slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == owner })) {
				tables[witness].Record(0, Origin{Key: key, Version: "v1"})
			}
		}
		restarted := names[7]
		delete(runs, restarted)
		left, leftMessages, leftMost := setMembers(time.Second)
		runs[restarted], tables[restarted] = "boot-2", New()
		tables[restarted].SetHoldTime(holdSeconds * time.Second)
		others := maps.Clone(runs)
		delete(others, restarted)
		tables[restarted].SetMembers(2*time.Second, restarted, others)
		joined, joinedMessages, joinedMost := setMembers(2 * time.Second)
		t.Logf("%d streams; leaves: %d told in %d messages, %d at most by one; joins: %d in %d, %d", streamsPerS*holdSeconds, left, leftMessages, leftMost, joined, joinedMessages, joinedMost)
		Convey("each process tells little", func() {
			So(max(leftMost, joinedMost), ShouldBeLessThan, maxToldByOne)
			So(joinedMessages, ShouldBeLessThanOrEqualTo, maxMessagesEach*processes)
		})
		Convey("the restarted one knows the streams of which it is a witness", func() {
			wanted := 0
			for n := range streamsPerS * holdSeconds {
				if slices.Contains(Witnesses(NewKey("a", testService, fmt.Sprint(n)), names), restarted) {
					wanted++
				}
			}
			So(wanted, ShouldBeGreaterThan, 0)
			So(tables[restarted].Len(), ShouldEqual, wanted)
		})
	})
}
