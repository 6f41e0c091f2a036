package relay

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/hedge"
)

// hedgedRoute returns the route of idempotent requests with an objective of 300 ms.
func hedgedRoute(attempts int) fleet.Route {
	return fleet.Route{Name: "h", Kind: fleet.Idempotent, Timeout: 20 * time.Second, FirstByteObjective: 300 * time.Millisecond, MaxAttempts: attempts}
}

// recordUsualTimes records earlier requests of 10 to 59 ms, which their expected times don't explain.
func recordUsualTimes(policy *hedge.Policy, route string) {
	for i := range 200 {
		policy.RecordTime(0, route, time.Duration(10+i%50)*time.Millisecond, time.Duration(1+i%7*20)*time.Millisecond)
	}
}

// knowingPolicy returns a policy that knows a route's usual times and has a full budget.
func knowingPolicy(share float64, route string) *hedge.Policy {
	policy := hedge.New(share)
	recordUsualTimes(policy, route)
	for range 200 {
		policy.RecordRequest(0, "s", 1)
	}
	return policy
}

// withHedges sends one request in virtual time through a relay with a policy.
func withHedges(t *testing.T, policy *hedge.Policy, route fleet.Route, targets int, callerTimeout time.Duration, scripts ...[]scriptStep) (world *testWorld, result testResult) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		world = newTestWorld(route, 2, targets, scripts...)
		world.relay.Hedges = policy
		result = world.send(callerTimeout)
		world.close()
		synctest.Wait()
	})
	return world, result
}

// TestHedge guards against a late response that is waited for although a copy would be faster, and
// against a loser that goes on at its target or counts as a failed one.
func TestHedge(t *testing.T) {
	for _, route := range []fleet.Route{hedgedRoute(2), resumableRoute(2)} {
		Convey("Given a hedged route of kind "+fmt.Sprint(route.Kind), t, func() {
			timing, ok := knowingPolicy(0.1, route.Name).Timing(0, route.Name, route.FirstByteObjective, 0)
			So(ok, ShouldBeTrue)
			So(timing.Delay, ShouldBeLessThan, route.FirstByteObjective)
			Convey("a copy that responds first is delivered, and the first attempt is cancelled", func() {
				world, result := withHedges(t, knowingPolicy(0.1, route.Name), route, 2, 10*time.Second, stream(800*time.Millisecond, 0), stream(30*time.Millisecond, 0))
				So(result.body, ShouldEqual, completeTestStream(2))
				So(result.endedAt, ShouldEqual, timing.Delay+30*time.Millisecond)
				So(world.received, ShouldHaveLength, 2)
				So(world.received[0], ShouldNotEqual, world.received[1])
				So(world.closedByRelay, ShouldResemble, []time.Duration{result.endedAt})
				So(world.log.String(), ShouldContainSubstring, `"outcome":"won"`)
				So(world.log.String(), ShouldContainSubstring, `"outcome":"superseded"`)
				So(world.log.String(), ShouldNotContainSubstring, `"outcome":"failed"`)
			})
			Convey("a first attempt that responds first is delivered, and the copy is cancelled", func() {
				world, result := withHedges(t, knowingPolicy(0.1, route.Name), route, 2, 10*time.Second, stream(400*time.Millisecond, 0), stream(500*time.Millisecond, 0))
				So(result.body, ShouldEqual, completeTestStream(2))
				So(result.endedAt, ShouldEqual, 400*time.Millisecond)
				So(world.closedByRelay, ShouldResemble, []time.Duration{result.endedAt})
				So(world.log.String(), ShouldContainSubstring, `"outcome":"lost"`)
			})
			Convey("a copy goes on when the first attempt fails", func() {
				_, result := withHedges(t, knowingPolicy(0.1, route.Name), route, 2, 10*time.Second, []scriptStep{{400 * time.Millisecond, breakOff}}, stream(200*time.Millisecond, 0))
				So(result.body, ShouldEqual, completeTestStream(2))
				So(result.endedAt, ShouldEqual, timing.Delay+200*time.Millisecond)
			})
			Convey("a copy that rarely wins is sent when the objective requires it", func() {
				policy := knowingPolicy(0.1, route.Name)
				for range 10 {
					policy.RecordEnd(0, route.Name, false)
				}
				_, result := withHedges(t, policy, route, 2, 10*time.Second, stream(800*time.Millisecond, 0), stream(30*time.Millisecond, 0))
				So(result.body, ShouldEqual, completeTestStream(2))
				So(result.endedAt, ShouldEqual, timing.LastDelay+30*time.Millisecond)
				So(result.endedAt, ShouldBeLessThan, route.FirstByteObjective)
			})
			for name, failing := range map[string][]scriptStep{"rejected": {{0, reject}}, "broken off": {{0, breakOff}}} {
				Convey("a first attempt goes on when the copy is "+name, func() {
					world, result := withHedges(t, knowingPolicy(0.1, route.Name), route, 2, 10*time.Second, stream(700*time.Millisecond, 0), failing)
					So(result.body, ShouldEqual, completeTestStream(2))
					So(result.endedAt, ShouldEqual, 700*time.Millisecond)
					So(world.received, ShouldHaveLength, 2)
				})
			}
		})
	}
}

// TestNoHedge guards against copies that must not or should not be sent.
func TestNoHedge(t *testing.T) {
	late := stream(700*time.Millisecond, 0)
	oneTry, once, begun := hedgedRoute(1), hedgedRoute(2), resumableRoute(2)
	once.Kind = fleet.NonIdempotent
	plainStream := resumableRoute(2)
	plainStream.Resumable = false
	overloaded, paused, noBudget := knowingPolicy(0.1, "h"), knowingPolicy(0.1, "h"), hedge.New(0.1)
	overloaded.RecordReport(0, "s", hedge.Report{Rejected: true})
	paused.RecordReport(0, "s", hedge.Report{Limited: true})
	recordUsualTimes(noBudget, "h")
	cases := []struct {
		name    string
		policy  *hedge.Policy
		route   fleet.Route
		timeout time.Duration
		script  []scriptStep
		// reason is logged; empty if no hedge is considered.
		reason string
	}{
		{"the share is 0", knowingPolicy(0, "h"), hedgedRoute(2), 10 * time.Second, late, ""},
		{"there is no policy", nil, hedgedRoute(2), 10 * time.Second, late, ""},
		{"the route has one attempt", knowingPolicy(0.1, "h"), oneTry, 10 * time.Second, late, ""},
		{"the route's requests run once", knowingPolicy(0.1, "h"), once, 10 * time.Second, late, ""},
		{"the stream can't be resumed", knowingPolicy(0.1, "resume"), plainStream, 10 * time.Second, late, ""},
		{"the stream has begun", knowingPolicy(0.1, "resume"), begun, 10 * time.Second, stream(40*time.Millisecond, time.Second), ""},
		{"the response is in time", knowingPolicy(0.1, "h"), hedgedRoute(2), 10 * time.Second, stream(40*time.Millisecond, 0), ""},
		{"nothing is known of the route", knowingPolicy(0.1, "other"), hedgedRoute(2), 10 * time.Second, late, ""},
		{"targets reject requests", overloaded, hedgedRoute(2), 10 * time.Second, late, hedge.ReasonOverload},
		{"targets name limits", paused, hedgedRoute(2), 10 * time.Second, late, hedge.ReasonOverload},
		{"the budget is empty", noBudget, hedgedRoute(2), 10 * time.Second, late, hedge.ReasonBudget},
		{"the deadline is near", knowingPolicy(0.1, "h"), hedgedRoute(2), 125 * time.Millisecond, late, hedge.ReasonNearDeadline},
	}
	Convey("A request is sent once", t, func() {
		for _, c := range cases {
			Convey("if "+c.name, func() {
				world, _ := withHedges(t, c.policy, c.route, 2, c.timeout, c.script)
				So(world.received, ShouldHaveLength, 1)
				So(strings.Contains(world.log.String(), `"name":"hedge_decided"`), ShouldEqual, c.reason != "")
				So(world.log.String(), ShouldContainSubstring, c.reason)
			})
		}
	})
	Convey("A hedge leaves half of the retry budget's burst", t, func() {
		budgets := NewRetryBudgets(0, 10/usableBudgetFraction)
		for range 6 {
			So(budgets.TryHedge("s", 1), ShouldBeTrue)
		}
		So(budgets.TryHedge("s", 1), ShouldBeFalse)
		So(budgets.TryRetry("s", 1), ShouldBeTrue)
	})
}

// TestHedgesAgainstRandomTargets guards against a response that mixes two attempts, a request that
// is sent to more targets than its route allows, and one that ends while a target works on it.
func TestHedgesAgainstRandomTargets(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		route := resumableRoute(rapid.IntRange(1, 3).Draw(rt, "attempts"))
		if rapid.Bool().Draw(rt, "idempotent") {
			route.Kind = fleet.Idempotent
		}
		var scripts [][]scriptStep
		for i := range rapid.IntRange(1, 6).Draw(rt, "scripts") {
			scripts = append(scripts, drawScript(rt, fmt.Sprint("request ", i)))
		}
		callerTimeout := time.Duration(rapid.IntRange(1000, 15000).Draw(rt, "timeout")) * time.Millisecond
		world, result := withHedges(t, knowingPolicy(0.2, route.Name), route, rapid.IntRange(1, 4).Draw(rt, "targets"), callerTimeout, scripts...)
		if problem := checkStream(world, result, route.MaxAttempts, callerTimeout); problem != "" {
			rt.Fatalf("%s\n%+v\n%s", problem, result, world.log.String())
		}
	})
}
