package fleet

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// TestRefusedRun guards against a run that counts as ended for good because its address once refused
// a connection.
func TestRefusedRun(t *testing.T) {
	Convey("Given a registered run whose address has refused a connection", t, func() {
		d := NewDirectory()
		run := Boot{ID: "a", StartUnixMS: 1}
		const refusedAt = 10 * time.Second
		d.Put(0, Target{ID: "a", Service: "s", StartUnixMS: 1})
		So(d.MarkRefused(refusedAt, run), ShouldBeTrue)
		So(d.MarkRefused(refusedAt, run), ShouldBeFalse)
		listed := func() Target { return d.Targets(refusedAt)[0] }
		So(listed().MayHaveEnded, ShouldBeTrue)
		So(listed().Ended, ShouldBeFalse)
		So(d.MayHaveEnded(run), ShouldBeTrue)
		So(d.HasEnded(run), ShouldBeFalse)
		Convey("an answer of the run from before proves nothing", func() {
			So(d.MarkRunning(refusedAt-1, run), ShouldBeFalse)
			So(listed().MayHaveEnded, ShouldBeTrue)
		})
		Convey("a later answer of the run shows that it goes on", func() {
			So(d.MarkRunning(refusedAt+1, run), ShouldBeTrue)
			So(listed().MayHaveEnded, ShouldBeFalse)
			Convey("and a peer that tells of the refusal again changes nothing", func() {
				So(d.MarkRefused(refusedAt, run), ShouldBeFalse)
				So(listed().MayHaveEnded, ShouldBeFalse)
			})
			Convey("and another refusal counts again", func() {
				So(d.MarkRefused(refusedAt+2, run), ShouldBeTrue)
				So(listed().MayHaveEnded, ShouldBeTrue)
			})
		})
		Convey("a later run at the address shows that it has ended", func() {
			So(d.MarkEnded(refusedAt+1, run), ShouldBeTrue)
			So(listed().Ended, ShouldBeTrue)
			So(d.HasEnded(run), ShouldBeTrue)
		})
		Convey("an entry that is still registered after the registry would have removed it shows that it goes on", func() {
			const lapse = maxMissedReports * DefaultReportInterval
			d.RegistryRead(refusedAt + lapse)
			So(d.ConfirmRegistered(), ShouldBeEmpty)
			Convey("if the registry has been available all the time", func() {
				d.RegistryRead(refusedAt + lapse + 1)
				So(d.ConfirmRegistered(), ShouldResemble, []Boot{run})
				So(listed().MayHaveEnded, ShouldBeFalse)
			})
			Convey("not if it was away meanwhile", func() {
				d.SetRegistryUnavailable(refusedAt+lapse, true)
				d.SetRegistryUnavailable(refusedAt+lapse+1, false)
				d.RegistryRead(refusedAt + lapse + 1)
				So(d.ConfirmRegistered(), ShouldBeEmpty)
			})
			Convey("not while it is not available", func() {
				d.RegistryRead(refusedAt + lapse + 1)
				d.SetRegistryUnavailable(refusedAt+lapse+1, true)
				So(d.ConfirmRegistered(), ShouldBeEmpty)
			})
			Convey("not if it was restored from a copy meanwhile", func() {
				d.RegistryRestored(refusedAt + lapse)
				d.RegistryRead(refusedAt + lapse + 1)
				So(d.ConfirmRegistered(), ShouldBeEmpty)
			})
			Convey("not if the entry has been removed", func() {
				d.Remove(refusedAt+lapse, "a")
				d.RegistryRead(refusedAt + lapse + 1)
				So(d.ConfirmRegistered(), ShouldBeEmpty)
				So(d.HasEnded(run), ShouldBeTrue)
			})
		})
	})
}

// TestOrderOfRunFindings checks that the order in which findings of several processes arrive doesn't
// matter: the latest ones count.
func TestOrderOfRunFindings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirectory()
		run := Boot{ID: "a", StartUnixMS: 1}
		d.Put(0, Target{ID: "a", StartUnixMS: 1})
		latest := map[RunFinding]time.Duration{ConnectionRefused: never, LaterRunFound: never, RunAnswered: never}
		marks := map[RunFinding]func(time.Duration, Boot) bool{ConnectionRefused: d.MarkRefused, LaterRunFound: d.MarkEnded, RunAnswered: d.MarkRunning}
		for range rapid.IntRange(0, 12).Draw(t, "findings") {
			finding := rapid.SampledFrom([]RunFinding{ConnectionRefused, LaterRunFound, RunAnswered}).Draw(t, "finding")
			at := time.Duration(rapid.IntRange(-5, 5).Draw(t, "at")) * time.Second
			before := d.MayHaveEnded(run)
			changed := marks[finding](at, run)
			latest[finding] = max(latest[finding], at)
			if finding != LaterRunFound && changed != (before != d.MayHaveEnded(run)) {
				t.Fatalf("finding %d at %v reports a change: %v", finding, at, changed)
			}
		}
		ended := latest[LaterRunFound] > latest[RunAnswered]
		mayHaveEnded := ended || latest[ConnectionRefused] > latest[RunAnswered]
		if target := d.Targets(0)[0]; target.Ended != ended || target.MayHaveEnded != mayHaveEnded {
			t.Fatalf("%+v: ended %v, may have ended %v", latest, target.Ended, target.MayHaveEnded)
		}
	})
}
