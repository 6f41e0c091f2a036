package tokenrate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// recentWindow is the time within which changes are reported in these tests.
const recentWindow = 600 * time.Millisecond

// recentReport returns a process's report of its recent changes.
func recentReport(name, boot string, accounts map[string]Usage) Report {
	report := processReport(name, boot, accounts)
	report.ChangesWithin = recentWindow
	return report
}

func TestRecentUsage(t *testing.T) {
	Convey("Given a limiter that has heard a peer's complete report", t, func() {
		l := New(true)
		l.SetPeers(0, processes("p"))
		l.ApplyReport(0, processReport("p", "1", map[string]Usage{"a": {Admitted: 100, Level: 900}}), lookup)
		Convey("only accounts that have changed lately are reported, without their levels", func() {
			l.Admit(0, account, 50)
			So(l.RecentUsage(recentWindow, recentWindow), ShouldResemble, map[string]Usage{"a": {Admitted: 50}})
			So(l.RecentUsage(recentWindow+1, recentWindow), ShouldBeEmpty)
		})
		Convey("a report of changes is deducted if it follows the previous report soon", func() {
			l.ApplyReport(100*time.Millisecond, recentReport("p", "1", map[string]Usage{"a": {Admitted: 400}}), lookup)
			So(l.Usage(100*time.Millisecond), ShouldBeEmpty)
			So(l.Admit(100*time.Millisecond, account, 701).Admitted, ShouldBeFalse)
		})
		// Changes between the two reports may be missing from the later one, so it
		// must not make the peer count as heard.
		Convey("one that follows late, or is of another run, is ignored", func() {
			l.ApplyReport(recentWindow, recentReport("p", "1", map[string]Usage{"a": {Admitted: 400}}), lookup)
			l.ApplyReport(100*time.Millisecond, recentReport("p", "2", map[string]Usage{"a": {Admitted: 400}}), lookup)
			So(l.reachableShare(recentWindow), ShouldEqual, 0.5)
		})
	})
	Convey("A bucket without a valid level takes none from a report of changes", t, func() {
		l := New(false)
		l.SetPeers(0, processes("p"))
		l.ApplyReport(0, processReport("p", "1", nil), lookup)
		l.ApplyReport(100*time.Millisecond, recentReport("p", "1", map[string]Usage{"a": {Admitted: 400}}), lookup)
		So(l.Admit(100*time.Millisecond, account, 1).Admitted, ShouldBeFalse)
		l.ApplyReport(200*time.Millisecond, processReport("p", "1", map[string]Usage{"a": {Admitted: 500, Level: 300}}), lookup)
		So(l.Admit(200*time.Millisecond, account, 300).Admitted, ShouldBeTrue)
	})
}

// TestRecentUsageConverges guards against usage that is lost for good: reports of changes
// may be lost, but after each complete report the receiver has deducted all that the
// sender admitted.
func TestRecentUsageConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := New(true), New(true)
		receiver.SetPeers(0, processes("p"))
		sender.SetPeers(0, processes("q"))
		now, admitted := time.Duration(0), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(10, 300).Draw(t, "ms")) * time.Millisecond
			tokens := float64(rapid.IntRange(0, 5).Draw(t, "tokens"))
			sender.ApplyReport(now, processReport("q", "1", nil), lookup)
			if tokens > 0 && sender.Admit(now, account, tokens).Admitted {
				admitted += tokens
			}
			complete := rapid.Bool().Draw(t, "complete")
			if rapid.Bool().Draw(t, "lost") {
				continue
			}
			if complete {
				receiver.ApplyReport(now, processReport("p", "1", sender.Usage(now)), lookup)
			} else {
				receiver.ApplyReport(now, recentReport("p", "1", sender.RecentUsage(now, recentWindow)), lookup)
			}
			known := receiver.peers["p"].admitted["a"]
			if known > admitted {
				t.Fatalf("%g tokens deducted, %g admitted", known, admitted)
			}
			if complete && known != admitted {
				t.Fatalf("%g tokens deducted after a complete report, %g admitted", known, admitted)
			}
		}
	})
}
