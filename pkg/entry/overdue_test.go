package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOverdueConfigDetector(t *testing.T) {
	const ms = time.Millisecond
	Convey("Given a process with version 3 in force", t, func() {
		detector := newOverdueConfigDetector()
		Convey("a peer with the same or an older version causes no relist", func() {
			So(detector.recordVersion(0, 3, 3), ShouldBeFalse)
			So(detector.recordVersion(time.Second, 2, 3), ShouldBeFalse)
		})
		Convey("a peer with a newer version causes a relist after 200 ms, and at most one relist per second", func() {
			So(detector.recordVersion(0, 4, 3), ShouldBeFalse)
			So(detector.recordVersion(100*ms, 4, 3), ShouldBeFalse)
			So(detector.recordVersion(200*ms, 4, 3), ShouldBeTrue)
			So(detector.relist, ShouldHaveLength, 1)
			So(detector.recordVersion(300*ms, 4, 3), ShouldBeFalse)
			So(detector.recordVersion(1200*ms, 5, 3), ShouldBeTrue)
		})
		Convey("the delay restarts after a newer version has come into force", func() {
			So(detector.recordVersion(0, 4, 3), ShouldBeFalse)
			So(detector.recordVersion(time.Second, 5, 4), ShouldBeFalse)
			So(detector.recordVersion(1100*ms, 5, 4), ShouldBeFalse)
			So(detector.recordVersion(1200*ms, 5, 4), ShouldBeTrue)
		})
	})
}
