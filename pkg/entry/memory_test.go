package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestCallerBounds guards against defaults that refuse callers within the configuration
// on the smallest VM, or that leave nothing for responses.
func TestCallerBounds(t *testing.T) {
	Convey("On the smallest VM", t, func() {
		settings := Settings{MemoryBytes: 112 << 20, MaxDescriptors: 3075}
		budgets := newMemoryBudgets(&settings)
		Convey("the largest body, with the memory of its growth, and the largest response have room", func() {
			So(budgets.intake.NewClaim().Grow(4<<20+8<<20), ShouldBeTrue)
			So(budgets.responses.NewClaim().Grow(12<<20+1), ShouldBeTrue)
		})
		Convey("callers that use all that they may leave room for responses", func() {
			for intake := budgets.intake.NewClaim(); intake.Grow(32 << 10); {
				intake = budgets.intake.NewClaim()
			}
			So(budgets.responses.NewClaim().Grow(12<<20+1), ShouldBeTrue)
		})
		Convey("there is room for hundreds of connections, and the setting takes precedence", func() {
			So(callerConns(&settings), ShouldBeBetween, 500, 1400)
			settings.MaxCallerConns = 7
			So(callerConns(&settings), ShouldEqual, 7)
		})
	})
	Convey("Without limits in the settings, connections and bodies are not limited", t, func() {
		settings := Settings{}
		So(callerConns(&settings), ShouldEqual, 0)
		So(newMemoryBudgets(&settings).intake, ShouldBeNil)
		So(newMemoryBudgets(&settings).responses.Limit(), ShouldEqual, defaultBufferBytes)
		So(newSmallServerBudget(&settings), ShouldBeNil)
	})
}
