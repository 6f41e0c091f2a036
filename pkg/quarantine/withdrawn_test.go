package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TestWithdrawnCrash guards against a request that is refused because of targets that go on running:
// their connections broke, and their addresses refused others.
func TestWithdrawnCrash(t *testing.T) {
	request := Request{Fingerprint: "r", Parts: []string{"p"}}
	Convey("Given a request and a part that were under three crashes", t, func() {
		table := New()
		for n := range minCrashes {
			recordNth(table, n, request)
		}
		_, quarantined := table.Check(at(minCrashes), request)
		So(quarantined, ShouldBeTrue)
		Convey("they are not suspected once one of the runs is known to go on", func() {
			cleared := table.RecordRunning(at(minCrashes), run(1))
			So(cleared, ShouldResemble, []Suspect{{Part: "p"}, {Request: "r"}})
			_, quarantined := table.Check(at(minCrashes), request)
			So(quarantined, ShouldBeFalse)
			So(table.RecordRunning(at(minCrashes), run(1)), ShouldBeEmpty)
			Convey("a process that learns both in any order doesn't suspect them", func() {
				other := New()
				for n := range minCrashes {
					recordNth(other, n, request)
				}
				other.Merge(at(minCrashes), table.Snapshot())
				_, quarantined := other.Check(at(minCrashes), request)
				So(quarantined, ShouldBeFalse)
				late := New()
				late.Merge(at(minCrashes), table.Snapshot())
				recordNth(late, 0, request)
				_, quarantined = late.Check(at(minCrashes), request)
				So(quarantined, ShouldBeFalse)
			})
			Convey("the same run counts again when it crashes later", func() {
				table.RecordCrash(at(minCrashes+1), crashAt(1, at(minCrashes+1)), request)
				_, quarantined := table.Check(at(minCrashes+1), request)
				So(quarantined, ShouldBeTrue)
				other := New()
				other.Merge(at(minCrashes+1), table.Snapshot())
				_, quarantined = other.Check(at(minCrashes+1), request)
				So(quarantined, ShouldBeTrue)
			})
		})
	})
}

// TestUnconfirmedCrashes guards against a final refusal that rests on runs of which nobody knows
// whether they have ended.
func TestUnconfirmedCrashes(t *testing.T) {
	request := Request{Fingerprint: "r"}
	Convey("Given a request under three crashes of single targets", t, func() {
		ended := map[fleet.Boot]bool{}
		table := NewUnconfirmed(func(run fleet.Boot) bool { return ended[run] })
		for n := range minCrashes {
			recordNth(table, n, request)
		}
		now := at(minCrashes)
		finding, quarantined := table.Check(now, request)
		So(quarantined, ShouldBeTrue)
		Convey("it is refused, but not for good, while one of the runs may go on", func() {
			So(finding.Sure, ShouldBeFalse)
			So(finding.RetryAfter, ShouldBeGreaterThan, 0)
			ended[run(0)], ended[run(1)] = true, true
			table.Expire(now)
			finding, _ := table.Check(now, request)
			So(finding.Sure, ShouldBeFalse)
			Convey("and for good once all have ended", func() {
				ended[run(2)] = true
				table.Expire(now)
				finding, _ := table.Check(now, request)
				So(finding.Sure, ShouldBeTrue)
			})
		})
		Convey("a trial waits until it shows by itself whether they have ended", func() {
			_, due := table.DueTrial(now.Add(unconfirmedTrialDelay/2), request)
			So(due, ShouldBeFalse)
			_, due = table.DueTrial(now.Add(unconfirmedTrialDelay+time.Second), request)
			So(due, ShouldBeTrue)
		})
	})
}
