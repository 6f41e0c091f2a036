package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

func TestRefusal(t *testing.T) {
	Convey("A refusal is unchanged by conversion, except that RetryAfter is rounded up to milliseconds", t, func() {
		refusal := outcome.NotRunRetryAfter(outcome.CodeRateLimited, 300*time.Microsecond, "later")
		So(FromRefusal(ToRefusal(refusal)), ShouldResemble,
			outcome.NotRunRetryAfter(outcome.CodeRateLimited, time.Millisecond, "later"))
		So(FromRefusal(ToRefusal(nil)), ShouldBeNil)
	})
}
