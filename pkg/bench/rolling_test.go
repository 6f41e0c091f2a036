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

// TestRollingRestarts: planned stops of routers and agents under load cut no
// request.
func TestRollingRestarts(t *testing.T) {
	Convey("Given a fleet under load", t, func() {
		deployment := localfleet.SmallDeployment()
		deployment.Pools[0].TargetCount = 8
		logTo := io.Discard
		if os.Getenv("ROLLING_LOG") != "" {
			logTo = os.Stderr
		}
		fleet, err := localfleet.Start(t.Context(), localfleet.Config{
			Deployment: deployment, RouterCount: 3, Seed: 1, LogOutput: logTo, ConfigureRouter: quickLists,
			Engine: enginefake.Config{BlockTokens: 100, TotalBlocks: 4096, DecodeStep: 2 * time.Millisecond, PrefillTokensPerSecond: 1e6},
		})
		So(err, ShouldBeNil)
		Reset(fleet.Close)
		pattern := workload.DefaultConfig(1, deployment.Accounts, deployment.Model, localfleet.BlockBytes(100))
		pattern.MaxTokens = 24
		b := newBalancer(1, fleet)
		l := startLoad(context.Background(), fleet, b, 8, pattern)
		r := newRoller(fleet, b)
		started := time.Now()
		err = r.roll(t.Context(), *rollingRestarts, time.Now().Add(time.Hour))
		v := l.stop()
		t.Logf("%d router and %d agent restarts in %v: %d requests, %d wrong, %d incomplete, %d errors %v",
			r.routers, r.agents, time.Since(started), v.requests, v.wrong, v.incomplete, v.explicit, v.codes)
		So(err, ShouldBeNil)
		So(r.routers+r.agents, ShouldEqual, *rollingRestarts)
		So(v.wrong, ShouldEqual, 0)
		So(v.incomplete, ShouldEqual, 0)
		So(v.explicit, ShouldEqual, 0)
	})
}
