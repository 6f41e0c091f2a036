package tokenrate

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestGroups answers fleets whose processes hear most others only as groups: the
// sums of a group come from its hub, and another process may become the hub.
func TestGroups(t *testing.T) {
	groupReport := func(hub, boot string, reachable int, admitted float64) Report {
		return Report{Peer: "group", Source: hub, Boot: boot, Processes: reachable, Accounts: map[string]Usage{"a": {Admitted: admitted, Level: 500}}}
	}
	level := func(l *Limiter, now time.Duration) float64 { return l.Admit(now, account, 0).Level }
	Convey("Given a process that shares the limits with a group of three", t, func() {
		l := New(true)
		l.SetPeers(0, map[string]Peer{"group": {Processes: 3, ReportTimeout: reportTimeout}})
		l.ApplyReport(0, groupReport("hub-1", "b", 3, 0), lookup)
		l.Admit(0, account, 0)
		Convey("what the group admits is deducted once", func() {
			l.ApplyReport(0, groupReport("hub-1", "b", 3, 300), lookup)
			l.ApplyReport(0, groupReport("hub-1", "b", 3, 400), lookup)
			So(level(l, 0), ShouldEqual, 600)
		})
		Convey("a silent group keeps its share of the burst, and so do processes that its hub does not hear", func() {
			So(level(l, 2*reportTimeout), ShouldEqual, 250)
			l.ApplyReport(10*time.Second, groupReport("hub-1", "b", 2, 0), lookup)
			So(level(l, 10*time.Second+reportTimeout), ShouldEqual, 625)
			l.ApplyReport(10*time.Second+reportTimeout, groupReport("hub-1", "b", 2, 0), lookup)
			So(level(l, 11*time.Second), ShouldEqual, 750)
		})
		Convey("the first sums of another hub are only the basis of its next ones", func() {
			l.ApplyReport(0, groupReport("hub-1", "b", 3, 300), lookup)
			l.ApplyReport(0, groupReport("hub-2", "b", 3, 9000), lookup)
			So(level(l, 0), ShouldEqual, 700)
			l.ApplyReport(0, groupReport("hub-2", "b", 3, 9100), lookup)
			So(level(l, 0), ShouldEqual, 600)
		})
		Convey("the sums of a hub that has restarted count from zero", func() {
			l.ApplyReport(0, groupReport("hub-1", "b", 3, 300), lookup)
			l.ApplyReport(0, groupReport("hub-1", "b2", 3, 50), lookup)
			So(level(l, 0), ShouldEqual, 650)
		})
	})
	Convey("A hub reports what it and the peers of its group have admitted", t, func() {
		l := New(true)
		l.SetPeers(0, map[string]Peer{
			"peer":  {Processes: 1, ReportTimeout: reportTimeout, SameGroup: true},
			"group": {Processes: 3, ReportTimeout: reportTimeout},
		})
		l.Admit(0, account, 100)
		l.ApplyReport(0, processReport("peer", "b", map[string]Usage{"a": {Admitted: 40}}), lookup)
		l.ApplyReport(0, groupReport("hub-1", "b", 3, 500), lookup)
		So(l.GroupUsage(0)["a"].Admitted, ShouldEqual, 140)
		So(l.Usage(0)["a"].Admitted, ShouldEqual, 100)
	})
	// A process that starts late adopts the level that one peer tells, which
	// accounts for what all peers had admitted.
	Convey("After a restart, the earlier usage of a second peer is not deducted from the adopted level", t, func() {
		l := New(false)
		l.SetPeers(0, processes("first", "second"))
		l.Admit(0, account, 0)
		l.ApplyReport(0, processReport("first", "b", map[string]Usage{"a": {Admitted: 900, Level: 800}}), lookup)
		l.ApplyReport(0, processReport("second", "b", map[string]Usage{"a": {Admitted: 700, Level: 800}}), lookup)
		before := level(l, 0)
		So(before, ShouldBeGreaterThan, 600)
		l.ApplyReport(0, processReport("second", "b", map[string]Usage{"a": {Admitted: 750, Level: 750}}), lookup)
		So(level(l, 0), ShouldEqual, before-50)
	})
}
