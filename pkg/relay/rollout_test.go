package relay

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// fakeRollout sends first attempts by one rule and retries by another.
type fakeRollout struct {
	first, retry canary.Use
	asked        []bool
	returned     int
	begun        []string
	ends         []AttemptEnd
}

func (f *fakeRollout) Next(_ string, isRetry bool) VersionDecision {
	f.asked = append(f.asked, isRetry)
	use := f.first
	if isRetry {
		use = f.retry
	}
	return VersionDecision{Decision: canary.Decision{Use: use}, Version: "v2"}
}

func (f *fakeRollout) Return(VersionDecision) { f.returned++ }

func (f *fakeRollout) Begin(target fleet.Target, _ VersionDecision) VersionAttempt {
	f.begun = append(f.begun, target.SoftwareVersion)
	return f
}

func (f *fakeRollout) End(end AttemptEnd) { f.ends = append(f.ends, end) }

func (f *fakeRollout) results() (results []canary.Result) {
	for _, end := range f.ends {
		results = append(results, end.Result)
	}
	return results
}

// sendDuringRollout sends a request to targets of the given versions, which answer in turn.
func sendDuringRollout(bubble *testing.T, route fleet.Route, rollout *fakeRollout, versions []string, responses ...rawResponse) (world *testWorld, result testResult) {
	synctest.Test(bubble, func(*testing.T) {
		world = newTestWorld(route, 0, len(versions))
		targets := world.relay.Targets()
		for i, version := range versions {
			targets[i].SoftwareVersion = version
		}
		world.relay.VersionRollouts = rollout
		for i := range responses {
			world.texts = append(world.texts, responses[i].text())
		}
		result = world.send(3 * time.Second)
		world.close()
		synctest.Wait()
	})
	return world, result
}

// TestVersionRollout guards against requests at a version that a rollout doesn't allow, and against
// attempts whose end it doesn't learn.
func TestVersionRollout(t *testing.T) {
	route := fleet.Route{Name: "safe", Kind: fleet.Idempotent, Timeout: 20 * time.Second, MaxAttempts: 2}
	ok := rawResponse{200, "text/plain", "length", []rawPiece{{Text: "x"}}, false}
	cut := rawResponse{200, "text/plain", "length", []rawPiece{{Text: "x"}}, true}
	failure := rawResponse{500, "text/plain", "length", []rawPiece{{Text: "x"}}, false}
	invalid := rawResponse{404, "text/plain", "length", []rawPiece{{Text: "x"}}, false}
	Convey("Given a rollout from v1 to v2", t, func() {
		f := &fakeRollout{first: canary.NewVersionFirst, retry: canary.OldVersions}
		Convey("a retry after a failure at the new version goes to the old one", func() {
			world, result := sendDuringRollout(t, route, f, []string{"v1", "v2"}, cut, ok)
			So(result.status, ShouldEqual, 200)
			So(world.received, ShouldResemble, []string{"t1", "t0"})
			So(f.asked, ShouldResemble, []bool{false, true})
			So(f.begun, ShouldResemble, []string{"v2", "v1"})
			So(f.results(), ShouldResemble, []canary.Result{canary.Failed, canary.Served})
			So(f.ends[0].IsBroken, ShouldBeTrue)
			// The retry has no place in the budget.
			So(f.returned, ShouldEqual, 1)
		})
		Convey("a request that finds no target of the new version goes to the old one, and returns its decision", func() {
			world, result := sendDuringRollout(t, route, f, []string{"v1"}, ok)
			So(result.status, ShouldEqual, 200)
			So(world.received, ShouldResemble, []string{"t0"})
			So(f.returned, ShouldEqual, 1)
		})
		Convey("a request to the old version never goes to the new one", func() {
			f.first = canary.OldVersions
			world, result := sendDuringRollout(t, route, f, []string{"v2"}, ok)
			So(result.status, ShouldEqual, 503)
			So(world.received, ShouldBeEmpty)
			So(f.begun, ShouldBeEmpty)
		})
		Convey("after the end the new version serves requests if there is no other", func() {
			f.first = canary.OldVersionsFirst
			_, result := sendDuringRollout(t, route, f, []string{"v2"}, ok)
			So(result.status, ShouldEqual, 200)
			So(f.begun, ShouldResemble, []string{"v2"})
		})
		Convey("a target is to blame for a status of 5xx, not for one of 4xx", func() {
			single := route
			single.MaxAttempts = 1
			sendDuringRollout(t, single, f, []string{"v2"}, failure)
			sendDuringRollout(t, single, f, []string{"v2"}, invalid)
			So(f.results(), ShouldResemble, []canary.Result{canary.Failed, canary.Served})
		})
		Convey("a stream goes on at the version that began it, whatever the rollout says", func() {
			first := rawResponse{200, "text/event-stream", "chunked", []rawPiece{event(0, 1)}, true}
			rest := rawResponse{200, "text/event-stream", "chunked", []rawPiece{event(1, 2)}, false}
			_, result := sendDuringRollout(t, resumableRoute(2), f, []string{"v1", "v2", "v2"}, first, rest)
			So(idsOf(result.body), ShouldResemble, []int{1, 2})
			So(f.begun, ShouldResemble, []string{"v2", "v2"})
			So(f.asked, ShouldResemble, []bool{false})
		})
	})
}
