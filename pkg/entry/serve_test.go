package entry

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// TestDrainMargin guards against a planned stop that ends requests before the last
// sixth of a short grace period.
func TestDrainMargin(t *testing.T) {
	Convey("Requests may last until the last sixth of the grace period", t, func() {
		for _, grace := range []time.Duration{3 * time.Second, 5 * time.Second, 6 * time.Second, 8 * time.Second, time.Minute} {
			So(drainMargin(grace), ShouldBeLessThanOrEqualTo, grace/6)
		}
	})
	Convey("The final responses have their time within the grace period", t, func() {
		So(drainMargin(5*time.Second), ShouldBeGreaterThan, finalTimeout(5*time.Second))
		So(finalTimeout(8*time.Second), ShouldEqual, finalResponseTimeout)
		for _, grace := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			So(finalTimeout(grace), ShouldBeBetween, 0, drainMargin(grace))
		}
	})
}
