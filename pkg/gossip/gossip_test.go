package gossip

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSilenceAtAnySize: a peer that sends in time doesn't count as silent,
// however many peers there are.
func TestSilenceAtAnySize(t *testing.T) {
	Convey("The time to silence is above the time between messages", t, func() {
		for peers := range 500 {
			So(SilentAfter(peers), ShouldBeGreaterThan, period(peers)*3/2)
		}
		So(SilentAfter(23), ShouldEqual, 500*time.Millisecond)
	})
}
