package hedge

import (
	"math"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	testObjective = 500 * time.Millisecond
	testExpected  = 50 * time.Millisecond
)

func alwaysRetry() bool { return true }

// TestBudgetBound guards against more hedges than the operator's share of the requests, over
// processes that start again, peers that come and go, and retries that are refused.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.Float64Range(0.001, 0.2).Draw(rt, "share")
		policy, requests, hedges := New(share), 0, 0
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 5000).Draw(rt, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				policy = New(share)
			case 1, 2, 3:
				mayRetry := rapid.Bool().Draw(rt, "retry")
				if policy.Take(now, "r", "s", rapid.Bool().Draw(rt, "last"), func() bool { return mayRetry }) == "" {
					hedges++
				}
			default:
				count := rapid.IntRange(1, 100).Draw(rt, "requests")
				for range count {
					policy.RecordRequest(now, "s", rapid.IntRange(1, 103).Draw(rt, "processes"))
				}
				requests += count
			}
			if float64(hedges) > share*float64(requests)+1e-6 {
				rt.Fatalf("%d hedges for %d requests with the share %g", hedges, requests, share)
			}
		}
	})
}

// TestSavedBudgetIsBounded guards against hedges of a calm hour that are all sent in one moment.
func TestSavedBudgetIsBounded(t *testing.T) {
	Convey("All processes together can't save up more than the burst", t, func() {
		const processes = 16
		policy, hedges := New(0.2), 0
		for range 100_000 {
			policy.RecordRequest(0, "s", processes)
		}
		for hedges < 1000 && policy.Take(0, "r", "s", true, alwaysRetry) == "" {
			hedges++
		}
		So(hedges, ShouldEqual, fleetBurst/processes)
	})
	Convey("Requests that are a little late leave the reserve to those that are very late", t, func() {
		policy, hedges := New(0.2), 0
		for range 100_000 {
			policy.RecordRequest(0, "s", 103)
		}
		for hedges < 1000 && policy.Take(0, "r", "s", false, alwaysRetry) == "" {
			hedges++
		}
		So(hedges, ShouldEqual, 1)
		So(policy.Take(0, "r", "s", true, alwaysRetry), ShouldBeEmpty)
		So(policy.Take(0, "r", "s", true, alwaysRetry), ShouldEqual, ReasonBudget)
	})
}

// TestQuantile guards against a distribution whose quantiles differ from those of its samples by
// more than a bucket.
func TestQuantile(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		samples := rapid.SliceOfN(rapid.Float64Range(0.002, 10_000), 1, 200).Draw(rt, "samples")
		q := rapid.Float64Range(0.01, 1).Draw(rt, "quantile")
		d := &distribution{}
		for _, sample := range samples {
			d.add(0, sample)
		}
		slices.Sort(samples)
		exact := samples[int(math.Ceil(q*float64(len(samples))))-1]
		const width = 1.0001 * 1.0905 // 2^(1/8)
		if got := d.quantile(q); got < exact || got > exact*width {
			rt.Fatalf("quantile %g is %g, want %g", q, got, exact)
		}
	})
}

// TestDelay guards against a delay below the quantile of the route's times, against hedges of
// requests that would meet their objective without one, and against a distribution that follows a
// change too late or not at all.
func TestDelay(t *testing.T) {
	record := func(policy *Policy, now time.Duration, factor float64) {
		for i := range 100 {
			expected := time.Duration(10+i) * time.Millisecond
			policy.RecordTime(now, "r", scaled(expected, factor*(1+float64(i%10)/100)), expected)
		}
	}
	Convey("Given a route whose times follow the expected ones", t, func() {
		policy := New(0.05)
		record(policy, 0, 2)
		Convey("the delay is that of the ratios for a late request", func() {
			timing, ok := policy.Timing(0, "r", 0, 100*time.Millisecond)
			So(ok, ShouldBeTrue)
			So(timing.ByExpectation, ShouldBeTrue)
			So(timing.Quantile, ShouldEqual, 0.95)
			So(timing.Delay, ShouldBeBetween, 217*time.Millisecond, 240*time.Millisecond)
		})
		Convey("the last delay is when a copy would be too late for the objective, and after the first", func() {
			timing, _ := policy.Timing(0, "r", time.Millisecond, 100*time.Millisecond)
			So(timing.LastDelay, ShouldBeGreaterThan, timing.Delay+200*time.Millisecond)
		})
		Convey("a request has until its copy would be too late for the objective", func() {
			timing, _ := policy.Timing(0, "r", time.Second, 100*time.Millisecond)
			So(timing.LastDelay, ShouldBeBetween, 760*time.Millisecond, 800*time.Millisecond)
			So(timing.Delay, ShouldBeLessThan, 240*time.Millisecond)
		})
		Convey("slower times count within a half-life", func() {
			record(policy, distributionHalfLife, 6)
			timing, _ := policy.Timing(distributionHalfLife, "r", 0, 100*time.Millisecond)
			So(timing.Delay, ShouldBeGreaterThan, 600*time.Millisecond)
		})
		Convey("old samples are too few", func() {
			_, ok := policy.Timing(3*distributionHalfLife, "r", 0, 100*time.Millisecond)
			So(ok, ShouldBeFalse)
		})
	})
	Convey("Times that nothing explains are used as they are", t, func() {
		policy := New(0.05)
		for i := range 100 {
			policy.RecordTime(0, "r", 50*time.Millisecond, time.Duration(1+i)*time.Millisecond)
		}
		timing, _ := policy.Timing(0, "r", 0, 100*time.Millisecond)
		So(timing.ByExpectation, ShouldBeFalse)
		So(timing.Delay, ShouldBeBetween, 49*time.Millisecond, 56*time.Millisecond)
	})
	Convey("Cancelled attempts don't lower the delay", t, func() {
		policy := New(0.05)
		record(policy, 0, 2)
		before, _ := policy.Timing(0, "r", 0, testExpected)
		for range 100 {
			policy.RecordAtLeast(0, "r", time.Millisecond, testExpected)
		}
		after, _ := policy.Timing(0, "r", 0, testExpected)
		So(after, ShouldResemble, before)
		for range 100 {
			policy.RecordAtLeast(0, "r", 20*before.Delay, testExpected)
		}
		after, _ = policy.Timing(0, "r", 0, testExpected)
		So(after.Delay, ShouldBeGreaterThan, before.Delay)
	})
}

// TestRefusal guards against copies that cost more than they save or come too late, and against
// hedges of an overloaded service.
func TestRefusal(t *testing.T) {
	Convey("Given a route with usual times", t, func() {
		policy := New(0.1)
		for range 200 {
			policy.RecordRequest(0, "s", 1)
			policy.RecordTime(0, "r", testExpected, testExpected)
		}
		timing, _ := policy.Timing(0, "r", testObjective, testExpected)
		refusal := func(waited, remaining, expected time.Duration, recomputed float64) string {
			return timing.Refusal(&Copy{Waited: waited, Remaining: remaining, Expected: expected, RecomputedShare: recomputed})
		}
		Convey("a copy has to be fast for the time that has passed", func() {
			timing.ByExpectation = true
			So(refusal(200*time.Millisecond, time.Second, 100*time.Millisecond, 0), ShouldBeEmpty)
			So(refusal(100*time.Millisecond, time.Second, 100*time.Millisecond, 0), ShouldEqual, ReasonNoGain)
			So(refusal(200*time.Millisecond, time.Second, 110*time.Millisecond, 1), ShouldEqual, ReasonNoGain)
			So(refusal(200*time.Millisecond, 200*time.Millisecond, 110*time.Millisecond, 0), ShouldEqual, ReasonNearDeadline)
		})
		Convey("a refused retry leaves the budget", func() {
			So(policy.Take(0, "r", "s", true, func() bool { return false }), ShouldEqual, ReasonRetryBudget)
			So(policy.Take(0, "r", "s", true, alwaysRetry), ShouldBeEmpty)
		})
		Convey("hedges that rarely win wait for the last delay, and are tried again later", func() {
			for range 10 {
				policy.RecordEnd(0, "r", false)
			}
			So(policy.Take(0, "r", "s", false, alwaysRetry), ShouldEqual, ReasonRareWins)
			So(policy.Take(0, "r", "s", true, alwaysRetry), ShouldBeEmpty)
			So(policy.Take(5*winHalfLife, "r", "s", false, alwaysRetry), ShouldBeEmpty)
		})
		Convey("overload is known from its reports, and passes", func() {
			So(policy.IsOverloaded(0, "s"), ShouldBeFalse)
			policy.RecordReport(0, "s", Report{Limited: true})
			So(policy.IsOverloaded(0, "s"), ShouldBeTrue)
			So(policy.IsOverloaded(holdTime, "s"), ShouldBeFalse)
			for range 39 {
				policy.RecordReport(holdTime, "s", Report{})
			}
			policy.RecordReport(holdTime, "s", Report{Queued: true})
			So(policy.IsOverloaded(holdTime, "s"), ShouldBeFalse)
			policy.RecordReport(holdTime, "s", Report{Rejected: true})
			So(policy.IsOverloaded(holdTime, "s"), ShouldBeTrue)
			So(policy.IsOverloaded(holdTime, "other"), ShouldBeFalse)
			So(policy.IsOverloaded(time.Minute, "s"), ShouldBeFalse)
		})
	})
	Convey("A policy without a share, or none, allows nothing and keeps nothing", t, func() {
		for _, policy := range []*Policy{nil, New(0)} {
			policy.RecordRequest(0, "s", 1)
			policy.RecordTime(0, "r", testExpected, testExpected)
			policy.RecordReport(0, "s", Report{Limited: true})
			_, ok := policy.Timing(0, "r", testObjective, testExpected)
			So(ok, ShouldBeFalse)
			So(policy.Take(0, "r", "s", true, alwaysRetry), ShouldEqual, ReasonBudget)
		}
	})
	Convey("The state of unused routes and services is dropped", t, func() {
		policy := New(0.1)
		policy.RecordTime(0, "old", testExpected, testExpected)
		policy.RecordRequest(0, "old", 1)
		policy.RecordRequest(idleTTL+time.Second, "s", 1)
		So(policy.routes, ShouldBeEmpty)
		So(policy.services, ShouldHaveLength, 1)
	})
}
