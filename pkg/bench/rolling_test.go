package bench

import (
	"context"
	"flag"
	"io"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
	"github.com/baobabhub/baobabhub/pkg/workload"
)

var rollingRestarts = flag.Int("rolling-restarts", 40, "restarts of TestRollingRestarts")

// TestRollingRestarts checks that planned stops of routers and agents under
// load do not interrupt any request.
func TestRollingRestarts(t *testing.T) {
	Convey("Planned restarts of routers and agents under load interrupt no request", t, func() {
		deployment := localfleet.SmallDeployment()
		deployment.Pools[0].TargetCount = 8
		logOutput := io.Discard
		if os.Getenv("ROLLING_LOG") != "" {
			logOutput = os.Stderr
		}
		fleet, err := localfleet.Start(t.Context(), localfleet.Config{
			Deployment: deployment, RouterCount: 3, Seed: 1, LogOutput: logOutput, ConfigureRouter: configureRouter,
			Engine: enginefake.Config{BlockTokens: 100, TotalBlocks: 4096, MinStepDuration: 2 * time.Millisecond, PrefillTokensPerSecond: 1e6},
		})
		So(err, ShouldBeNil)
		Reset(fleet.Close)
		workloadConfig := workload.DefaultConfig(1, deployment.Accounts, deployment.Model, localfleet.BlockBytes(100))
		workloadConfig.MaxTokens = 24
		b := newBalancer(1, fleet)
		load := startLoad(context.Background(), fleet, b, 8, workloadConfig)
		restarter := newRollingRestarter(fleet, b)
		started := time.Now()
		err = restarter.run(t.Context(), *rollingRestarts, time.Now().Add(time.Hour))
		counts := load.stop()
		t.Logf("%d router and %d agent restarts in %v: %d requests, %d wrong, %d incomplete, %d errors %v",
			restarter.routerRestarts, restarter.agentRestarts, time.Since(started), counts.requests, counts.wrongAnswers, counts.incompleteStreams, counts.explicitErrors, counts.errorCodes)
		So(err, ShouldBeNil)
		So(restarter.routerRestarts+restarter.agentRestarts, ShouldEqual, *rollingRestarts)
		So(counts.wrongAnswers, ShouldEqual, 0)
		So(counts.incompleteStreams, ShouldEqual, 0)
		So(counts.explicitErrors, ShouldEqual, 0)
	})
}
