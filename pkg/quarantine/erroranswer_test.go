package quarantine

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestErrorAnswers guards against a sound request that is refused for half an hour, because targets
// answer it with errors of their own and were in crashes beside it.
func TestErrorAnswers(t *testing.T) {
	request := Request{Fingerprint: "r", Parts: []string{"p"}}
	isRefused := func(table *Table, now time.Time) bool {
		_, quarantined := table.Check(now, Request{Fingerprint: "r"})
		return quarantined
	}
	Convey("Given a request that targets answer with errors", t, func() {
		table := New()
		Convey("crashes of targets that have answered it before don't speak against it", func() {
			for n := range minCrashes {
				table.RecordErrorAnswer(at(n), run(n), request)
				recordNth(table, n, request)
			}
			So(isRefused(table, at(minCrashes)), ShouldBeFalse)
			Convey("nor do they in a process that hears of the crashes from another one", func() {
				observer := New()
				for n := range minCrashes {
					recordNth(observer, n, request)
				}
				So(isRefused(observer, at(minCrashes)), ShouldBeTrue)
				table.Merge(at(minCrashes), observer.Snapshot())
				So(isRefused(table, at(minCrashes)), ShouldBeFalse)
				observer.Merge(at(minCrashes), table.News(at(minCrashes)))
				So(isRefused(observer, at(minCrashes)), ShouldBeFalse)
			})
		})
		Convey("crashes of others do, if fewer than enough targets have answered it since", func() {
			for n := range minCrashes {
				table.RecordErrorAnswer(at(n), run(100), request)
				table.RecordErrorAnswer(at(n), run(101), request)
				recordNth(table, n, request)
			}
			table.RecordErrorAnswer(at(minCrashes), run(100), request)
			table.RecordErrorAnswer(at(minCrashes), run(101), request)
			So(isRefused(table, at(minCrashes)), ShouldBeTrue)
			Convey("until enough of them have", func() {
				cleared := table.RecordErrorAnswer(at(minCrashes), run(102), request)
				So(cleared, ShouldResemble, []Suspect{{Request: "r"}})
				So(isRefused(table, at(minCrashes)), ShouldBeFalse)
			})
		})
		Convey("errors say nothing of the parts of its prompt", func() {
			for n := range minCrashes {
				for answered := range minErrorAnswers {
					table.RecordErrorAnswer(at(n), run(n+answered), request)
				}
				recordNth(table, n, Request{Parts: request.Parts})
			}
			finding, quarantined := table.Check(at(minCrashes), request)
			So(quarantined, ShouldBeTrue)
			So(finding.Part, ShouldEqual, "p")
		})
	})
}

// TestErrorAnswerOfTrial guards against a sound request that stays refused since its trial was answered
// with an error, and against trials without end of a request that crashes most targets.
func TestErrorAnswerOfTrial(t *testing.T) {
	request := Request{Fingerprint: "r"}
	suspect := Suspect{Request: "r"}
	Convey("Given a quarantined request and targets that answer its trials with errors", t, func() {
		table := New()
		for n := range minCrashes {
			recordNth(table, n, request)
		}
		now := at(minCrashes).Add(loneRequestTrialDelay)
		try := func() bool {
			now = now.Add(trialDelay)
			trial, _, due := table.ProposeTrial(now, suspect, now.String())
			if due {
				table.AddTrial(suspect, trial)
				table.Grant(now, suspect, trial)
				So(table.TakeTrial(now, suspect, request), ShouldBeTrue)
			}
			return due
		}
		Convey("the first one leaves it refused, but not for good", func() {
			So(try(), ShouldBeTrue)
			So(table.RecordTrialAnswer(now, suspect), ShouldBeEmpty)
			finding, quarantined := table.Check(now, request)
			So(quarantined, ShouldBeTrue)
			So(finding.Sure, ShouldBeFalse)
			Convey("several clear it, in all processes", func() {
				other := New()
				other.Merge(now, table.Snapshot())
				for range minErrorAnswers - 1 {
					So(try(), ShouldBeTrue)
					table.RecordTrialAnswer(now, suspect)
				}
				_, quarantined := table.Check(now, request)
				So(quarantined, ShouldBeFalse)
				other.Merge(now, table.Snapshot())
				_, quarantined = other.Check(now, request)
				So(quarantined, ShouldBeFalse)
			})
			Convey("a crash under the next one is the last", func() {
				So(try(), ShouldBeTrue)
				table.RecordCrash(now, crashAt(minCrashes, now), request)
				finding, _ := table.Check(now, request)
				So(finding.Sure, ShouldBeTrue)
				now = now.Add(loneRequestTrialDelay)
				So(try(), ShouldBeFalse)
			})
		})
	})
}
