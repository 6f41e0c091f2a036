package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// run returns the n-th run of a target.
func run(n int) fleet.Boot { return fleet.Boot{ID: fmt.Sprint("target-", n), StartUnixMS: int64(n)} }

func TestQuarantine(t *testing.T) {
	Convey("Given a table", t, func() {
		table := New()
		now := testStart
		crash := func(numbers []int, parts ...string) {
			for _, n := range numbers {
				table.RecordCrash(now, run(n), parts)
				now = now.Add(100 * time.Millisecond)
			}
		}
		Convey("a part is quarantined once three runs of targets have crashed under it", func() {
			crash([]int{1, 2}, "bad")
			So(table.Check([]string{"bad"}), ShouldBeEmpty)
			crash([]int{2}, "bad")
			So(table.Check([]string{"bad"}), ShouldBeEmpty)
			crash([]int{3}, "bad")
			So(table.Check([]string{"common", "bad"}), ShouldEqual, "bad")
			So(table.Check([]string{"common"}), ShouldBeEmpty)
			So(table.TakeTransitions(), ShouldResemble, []Transition{{Part: "bad", Quarantined: true, Crashes: 3}})
		})
		Convey("a completed response clears its parts, before and after the crashes", func() {
			table.RecordCompleted(now, []string{"common"})
			crash([]int{1, 2, 3}, "common", "rare", "bad")
			So(table.Check([]string{"common"}), ShouldBeEmpty)
			So(table.RecordCompleted(now, []string{"common", "rare"}), ShouldResemble, []string{"rare"})
			So(table.Check([]string{"common", "rare"}), ShouldBeEmpty)
			So(table.Check([]string{"bad"}), ShouldEqual, "bad")
		})
		Convey("a response that was completed long ago doesn't clear later crashes", func() {
			table.RecordCompleted(now, []string{"bad"})
			now = now.Add(provenTTL + time.Second)
			crash([]int{1, 2, 3}, "bad")
			So(table.Check([]string{"bad"}), ShouldEqual, "bad")
		})
		Convey("of two parts that always occur together, only both are refused", func() {
			crash([]int{1, 2, 3}, "companion", "bad")
			So(table.Check([]string{"companion", "bad"}), ShouldNotBeEmpty)
			So(table.Check([]string{"companion"}), ShouldBeEmpty)
			So(table.Check([]string{"bad"}), ShouldBeEmpty)
			Convey("until two crashes without the other one tell them apart", func() {
				crash([]int{4, 5}, "bad")
				So(table.Check([]string{"bad"}), ShouldEqual, "bad")
				So(table.Check([]string{"companion"}), ShouldBeEmpty)
			})
			Convey("until a completed response clears one of them", func() {
				table.RecordCompleted(now, []string{"companion"})
				So(table.Check([]string{"bad"}), ShouldEqual, "bad")
			})
		})
		Convey("a sound part that was there at some of the crashes is not refused", func() {
			for n := range 10 {
				parts := []string{"bad"}
				if n%3 == 0 {
					parts = append(parts, "bystander")
				}
				crash([]int{n}, parts...)
			}
			So(table.Check([]string{"bystander"}), ShouldBeEmpty)
			So(table.Check([]string{"bad"}), ShouldEqual, "bad")
		})
		Convey("a quarantine ends when its crashes have expired", func() {
			crash([]int{1, 2, 3}, "bad")
			table.TakeTransitions()
			table.Expire(now.Add(crashTTL))
			So(table.Check([]string{"bad"}), ShouldBeEmpty)
			So(table.TakeTransitions(), ShouldResemble, []Transition{{Part: "bad"}})
			So(table.Snapshot(), ShouldBeEmpty)
		})
		Convey("a crash of a clock that is ahead counts from now", func() {
			ahead := Record{Part: "bad", Crashes: []Crash{{Target: run(1), UnixMS: now.Add(48 * time.Hour).UnixMilli()}}}
			table.Merge(now, []Record{ahead})
			So(table.Snapshot()[0].Crashes[0].UnixMS, ShouldEqual, now.UnixMilli())
		})
		Convey("long identifiers are remembered by a hash", func() {
			long := strings.Repeat("x", 10_000)
			crash([]int{1, 2, 3}, long)
			So(len(table.Check([]string{long})), ShouldBeBetween, 1, maxPartBytes)
			So(table.Check([]string{long + "x"}), ShouldBeEmpty)
		})
	})
}

// TestLostReport guards against a crashing part that stays hidden behind a part that is
// seldom used, when the report of one crash is lost with a restarted process: a request with
// the crashing part and without the other one has to show which it is.
func TestLostReport(t *testing.T) {
	Convey("Given five crashes, of which the crashing part's report of the first one is lost", t, func() {
		table := New()
		for n, parts := range [][]string{{"rare-2"}, {"bad", "rare-2", "rare-3"}, {"bad", "rare-2"}, {"bad", "rare-3"}, {"bad", "rare-3"}} {
			table.RecordCrash(testStart, run(n), parts)
		}
		So(table.Check([]string{"bad", "other"}), ShouldBeEmpty)
		So(table.Check([]string{"bad", "rare-3"}), ShouldEqual, "bad")
		Convey("one more crash suffices for all requests with the part to be refused", func() {
			table.RecordCrash(testStart, run(5), []string{"bad"})
			for _, request := range crashingRequests() {
				So(table.Check(request), ShouldNotBeEmpty)
			}
			So(table.Check([]string{"rare-3"}), ShouldBeEmpty)
		})
	})
}

// TestMassCrash answers the pattern of an outage: many targets crash at the same time,
// under the parts that all requests share.
func TestMassCrash(t *testing.T) {
	Convey("Given a fleet in which each process has seen completed responses to a common part", t, func() {
		table := New()
		table.RecordCompleted(testStart, []string{"common"})
		Convey("the crash of all targets at once suspects only parts without completed responses", func() {
			for n := range 20 {
				table.RecordCrash(testStart.Add(time.Second), run(n), []string{"common", fmt.Sprint("document-", n)})
			}
			So(table.Check([]string{"common", "document-1"}), ShouldBeEmpty)
		})
		Convey("a restarted process, which has seen none, learns that the crashes are cleared", func() {
			restarted := New()
			for n := range 5 {
				restarted.RecordCrash(testStart.Add(time.Second), run(n), []string{"common"})
			}
			table.Merge(testStart.Add(time.Second), restarted.News(testStart.Add(time.Second)))
			restarted.Merge(testStart.Add(time.Second), table.News(testStart.Add(time.Second)))
			So(restarted.Check([]string{"common"}), ShouldBeEmpty)
		})
	})
}

// TestFloodOfParts answers the pattern of many parts that occur once: they must not
// displace the one that crashes targets, and memory and messages are bounded.
func TestFloodOfParts(t *testing.T) {
	Convey("Given crashes that each suspect hundreds of parts of other requests", t, func() {
		table := New()
		now := testStart
		for n := range 12 {
			table.RecordCrash(now, run(n), []string{"bad"})
			for i := range 400 {
				table.RecordCrash(now, run(n), []string{fmt.Sprintf("once-%d-%d", n, i)})
			}
			now = now.Add(time.Second)
		}
		So(table.Check([]string{"bad"}), ShouldEqual, "bad")
		So(len(table.parts), ShouldBeLessThanOrEqualTo, maxParts)
		So(len(table.Snapshot()), ShouldEqual, maxStoredParts)
		So(table.Snapshot()[0].Part, ShouldEqual, "bad")
		news := table.News(now)
		So(news[0].Part, ShouldEqual, "bad")
		So(len(news), ShouldBeLessThanOrEqualTo, maxNewsCrashes)
	})
}

func TestMissingFromStore(t *testing.T) {
	Convey("Given a table with crashes", t, func() {
		table := New()
		table.RecordCrash(testStart, run(1), []string{"bad"})
		So(table.Missing(nil), ShouldBeFalse)
		table.RecordCrash(testStart, run(0), []string{"bad"})
		So(table.Missing(nil), ShouldBeTrue)
		stored := table.Snapshot()
		So(table.Missing(stored), ShouldBeFalse)
		Convey("a further crash, or that one is cleared, is missing from an older copy", func() {
			table.RecordCrash(testStart, run(2), []string{"bad"})
			So(table.Missing(stored), ShouldBeTrue)
			newer := table.Snapshot()
			table.RecordCompleted(testStart, []string{"bad"})
			So(table.Missing(newer), ShouldBeTrue)
			So(table.Missing(table.Snapshot()), ShouldBeFalse)
			So(table.Missing(nil), ShouldBeFalse)
		})
	})
}

// TestNewsOfCrashes answers the pattern of many crashes in a fleet of many processes: if
// each passed on what it learned from the others, the messages would fill the links.
func TestNewsOfCrashes(t *testing.T) {
	Convey("Given a process that learned of a crash from another one", t, func() {
		observer, other := New(), New()
		observer.RecordCrash(testStart, run(1), []string{"rare"})
		So(other.Merge(testStart, observer.News(testStart)), ShouldBeTrue)
		Convey("it does not pass it on", func() {
			So(other.News(testStart), ShouldBeEmpty)
		})
		Convey("it tells that it has cleared it", func() {
			other.RecordCompleted(testStart, []string{"rare"})
			So(observer.Merge(testStart, other.News(testStart)), ShouldBeTrue)
			So(observer.Snapshot()[0].Crashes[0].Cleared, ShouldBeTrue)
		})
		Convey("the observer's message is about it for a short time only", func() {
			So(observer.News(testStart.Add(newsTTL)), ShouldHaveLength, 1)
			So(observer.News(testStart.Add(newsTTL+1)), ShouldBeEmpty)
		})
	})
}
