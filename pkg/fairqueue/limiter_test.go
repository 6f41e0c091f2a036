package fairqueue

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestLimiterFindsTheEnginesCapacity(t *testing.T) {
	Convey("With load reports one second late the limit settles near the engine's slots", t, func() {
		const slots = 20
		settings := DefaultLimiterSettings()
		l := NewLimiter(settings, start)
		now := start
		var reports []int
		var sum, samples, peak int
		for step := range 1200 {
			now = now.Add(100 * time.Millisecond)
			reports = append(reports, max(0, l.Limit()-slots))
			if step >= 10 {
				l.OnReport(reports[step-10], now.Add(-time.Second))
			}
			peak = max(peak, l.Update(l.Limit(), 50, now))
			if step > 400 {
				sum, samples = sum+l.Limit(), samples+1
			}
		}
		So(peak, ShouldBeLessThanOrEqualTo, 2*slots)
		So(sum/samples, ShouldBeBetween, slots*3/4, slots*5/4)
	})
	Convey("A report taken before the last change does not lower the limit again", t, func() {
		l := NewLimiter(DefaultLimiterSettings(), start)
		taken := start.Add(time.Second)
		l.OnReport(9, taken)
		low := l.Update(8, 3, taken.Add(time.Second))
		So(low, ShouldBeLessThan, 8)
		l.OnReport(9, taken)
		So(l.Update(low, 0, taken.Add(2*time.Second)), ShouldEqual, low)
	})
	Convey("First tokens of fully cached prompts, one engine step late, do not lower it", t, func() {
		l := NewLimiter(DefaultLimiterSettings(), start)
		l.OnFirstToken(start, 60*time.Millisecond, time.Millisecond)
		So(l.Update(8, 0, start.Add(time.Second)), ShouldEqual, 8)
	})
	Convey("A slow first token or a slow pace lowers the limit without any report", t, func() {
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
				t.Fatalf("limit %d", limit)
			}
		}
	})
}

func TestBacklogCountsOwnDispatches(t *testing.T) {
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
