package gossip

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestSilenceTimeoutExceedsSendInterval guards against a silence timeout below
// the send interval, which would mark peers as silent between two regular
// messages.
func TestSilenceTimeoutExceedsSendInterval(t *testing.T) {
	Convey("The silence timeout exceeds one and a half send intervals, for any number of peers", t, func() {
		for peers := range 500 {
			So(SilenceTimeout(peers), ShouldBeGreaterThan, sendInterval(peers)*3/2)
		}
		So(SilenceTimeout(23), ShouldEqual, 500*time.Millisecond)
	})
}
