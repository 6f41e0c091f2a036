package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func TestOverdue(t *testing.T) {
	const ms = time.Millisecond
	Convey("Given a process with version 3 in force", t, func() {
		o := newOverdue()
		Convey("peers with the same or older versions ask for nothing", func() {
			So(o.heard(0, 3, 3), ShouldBeFalse)
			So(o.heard(time.Second, 2, 3), ShouldBeFalse)
		})
		Convey("a newer version is waited for a little, then read, once a second", func() {
			So(o.heard(0, 4, 3), ShouldBeFalse)
			So(o.heard(100*ms, 4, 3), ShouldBeFalse)
			So(o.heard(200*ms, 4, 3), ShouldBeTrue)
			So(o.hurry, ShouldHaveLength, 1)
			So(o.heard(300*ms, 4, 3), ShouldBeFalse)
			So(o.heard(1200*ms, 5, 3), ShouldBeTrue)
		})
		Convey("a version that comes into force in time is forgotten", func() {
			So(o.heard(0, 4, 3), ShouldBeFalse)
			So(o.heard(time.Second, 5, 4), ShouldBeFalse)
			So(o.heard(1100*ms, 5, 4), ShouldBeFalse)
			So(o.heard(1200*ms, 5, 4), ShouldBeTrue)
		})
	})
}
