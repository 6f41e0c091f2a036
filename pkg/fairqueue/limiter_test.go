package fairqueue

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestLimiterConvergesToEngineCapacity(t *testing.T) {
	Convey("With load reports delayed by one second, the limit converges to the engine's capacity", t, func() {
		const engineSlots = 20
		settings := DefaultLimiterSettings()
		l := NewLimiter(settings, start)
		now := start
		var reports []int
		var sum, samples, peak int
		for step := range 1200 {
			now = now.Add(100 * time.Millisecond)
			reports = append(reports, max(0, l.Limit()-engineSlots))
			if step >= 10 {
				l.OnReport(reports[step-10], now.Add(-time.Second))
			}
			peak = max(peak, l.Update(l.Limit(), 50, now))
			if step > 400 {
				sum, samples = sum+l.Limit(), samples+1
			}
		}
		So(peak, ShouldBeLessThanOrEqualTo, 2*engineSlots)
		So(sum/samples, ShouldBeBetween, engineSlots*3/4, engineSlots*5/4)
	})
	Convey("A report taken before the last decrease does not lower the limit again", t, func() {
		l := NewLimiter(DefaultLimiterSettings(), start)
		reportedAt := start.Add(time.Second)
		l.OnReport(9, reportedAt)
		reduced := l.Update(8, 3, reportedAt.Add(time.Second))
		So(reduced, ShouldBeLessThan, 8)
		l.OnReport(9, reportedAt)
		So(l.Update(reduced, 0, reportedAt.Add(2*time.Second)), ShouldEqual, reduced)
	})
	Convey("First tokens of fully cached prompts, delayed by one engine step, do not lower the limit", t, func() {
		l := NewLimiter(DefaultLimiterSettings(), start)
		l.OnFirstToken(start, 60*time.Millisecond, time.Millisecond)
		So(l.Update(8, 0, start.Add(time.Second)), ShouldEqual, 8)
	})
	Convey("A slow first token or a long token gap lowers the limit without a load report", t, func() {
		l := NewLimiter(DefaultLimiterSettings(), start)
		l.OnFirstToken(start, time.Second, 100*time.Millisecond)
		So(l.Update(8, 1, start.Add(time.Second)), ShouldBeLessThan, 8)
		l = NewLimiter(DefaultLimiterSettings(), start)
		l.OnTokens(10, time.Second)
		So(l.Update(8, 1, start.Add(time.Second)), ShouldBeLessThan, 8)
	})
}

func TestLimiterStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultLimiterSettings()
		settings.Min, settings.Max, settings.Initial = 2, 12, 6
		l, now := NewLimiter(settings, start), start
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "report") {
				l.OnReport(rapid.IntRange(0, 5).Draw(t, "waiting"), now)
			}
			limit := l.Update(rapid.IntRange(0, 12).Draw(t, "running"), rapid.IntRange(0, 3).Draw(t, "queued"), now)
			if limit < settings.Min || limit > settings.Max {
				t.Fatalf("limit %d is out of bounds", limit)
			}
		}
	})
}

func TestBacklogAddsDispatchesToReport(t *testing.T) {
	Convey("Dispatches after the last report are added to it", t, func() {
		b := NewBacklog()
		b.OnDispatch("1", 100, start)
		So(b.Tokens(), ShouldEqual, 100)
		b.OnReport(30, start.Add(time.Second))
		So(b.Tokens(), ShouldEqual, 30)
		for i := range 3 {
			b.OnDispatch(fmt.Sprint("late", i), 200, start.Add(2*time.Second))
		}
		So(b.Tokens(), ShouldEqual, 630)
		b.OnPrefillEnd("late0")
		b.OnReport(9999, start)
		So(b.Tokens(), ShouldEqual, 430)
		So(b.Full(431), ShouldBeFalse)
		So(b.Full(430), ShouldBeTrue)
		b.Reset()
		So(b.Full(0), ShouldBeFalse)
		So(b.Tokens(), ShouldEqual, 0)
	})
}
