package loadshed

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestPromptTimeWithoutSamples guards against limits that are no number once a process has run for
// many hours without a sample.
func TestPromptTimeWithoutSamples(t *testing.T) {
	Convey("Without a sample, the time of a prompt is the longest assumed one", t, func() {
		var p PromptTime
		So(p.Of(30*24*time.Hour, 1000), ShouldEqual, 1000*maxPromptTime)
	})
}
