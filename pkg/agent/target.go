package agent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// reportValidity is how long a load report vouches for the engine. It exceeds
// the follower's period and the time limit of one call.
const reportValidity = 2 * time.Second

// Target is the agent's view of its model engine and the queue in front of it.
type Target struct {
	engine   engine.Engine
	bundles  *bundle.Store
	view     *cacheview.View
	follower *cacheview.Follower
	gate     *gate
	watched  *watched
}

func newTarget(e engine.Engine, identity Identity, bundles *bundle.Store, log *eventlog.Logger) *Target {
	now := time.Now()
	view := cacheview.New(cacheview.DefaultConfig(), now)
	seen := &watched{Engine: e, view: view}
	random := rand.New(rand.NewPCG(identity.BootID, 0))
	return &Target{
		engine:   e,
		bundles:  bundles,
		view:     view,
		follower: cacheview.NewFollower(seen, view, cacheview.DefaultFollowerConfig(identity.VM), log, tally.NoopScope, random),
		gate:     newGate(view, log, now),
		watched:  seen,
	}
}

// run follows the engine until ctx ends.
func (t *Target) run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { return t.follower.Run(ctx) })
	group.Go(func() error {
		t.gate.run(ctx, t.follower.Latest)
		return nil
	})
	// Both end with ctx alone.
	_ = group.Wait()
}

// report returns the engine's last load report while it vouches for the engine.
func (t *Target) report(now time.Time) (engine.LoadReport, bool) {
	latest, ok := t.follower.Latest()
	return latest.Report, ok && !t.watched.doubtful.Load() && now.Sub(latest.ReceivedAt) < reportValidity
}

// weight returns an account's share of the target.
func (t *Target) weight(account string) float64 {
	snapshot := t.bundles.Current()
	if snapshot == nil {
		return 1
	}
	if known := snapshot.Index.Account(account); known != nil {
		return known.Weight
	}
	return 1
}

// enter waits for a turn at the engine.
func (t *Target) enter(ctx context.Context, req *peerpb.DispatchRequest) (*pass, *outcome.Refusal) {
	return t.gate.enter(ctx, req, t.weight(req.Account))
}

// recheck refuses a prompt whose target or key changed since the pick.
func (t *Target) recheck(req *peerpb.DispatchRequest) *outcome.Refusal {
	report, ok := t.report(time.Now())
	boot := max(t.view.Boot(), report.Boot)
	switch {
	case !ok:
		return outcome.NotRun(outcome.CodeNoTarget, "the engine does not report")
	case req.EngineBoot != 0 && req.EngineBoot != boot:
		return outcome.NotRun(outcome.CodeStaleTarget, "the engine has restarted")
	case !serves(report, req.Model, req.WeightsVersion, req.Adapter):
		return outcome.NotRun(outcome.CodeStaleTarget, "the engine does not hold the weights")
	case !t.keyActive(req):
		return outcome.NotRun(outcome.CodeUnauthorized, "the key has been withdrawn")
	}
	return nil
}

// keyActive says whether the key that a prompt came with is still in force.
// Prompts of open routes come without one.
func (t *Target) keyActive(req *peerpb.DispatchRequest) bool {
	snapshot := t.bundles.Current()
	if req.Account == "" || snapshot == nil {
		return true
	}
	return snapshot.Index.KeyActive(bundle.KeyOwner{Account: req.Account, KeyID: req.KeyId})
}

// serves says whether the report lists the weights and the adapter.
func serves(report engine.LoadReport, model, weightsVersion, adapter string) bool {
	for _, loaded := range report.Models {
		if loaded.Model == model && loaded.WeightsVersion == weightsVersion {
			return adapter == "" || slices.Contains(loaded.Adapters, adapter)
		}
	}
	return false
}

func (t *Target) fillStatus(status *Status) {
	report, ok := t.report(time.Now())
	status.EngineReported = ok
	status.EngineBoot = t.view.Boot()
	for _, loaded := range report.Models {
		status.Weights = append(status.Weights, loaded.Model+"@"+loaded.WeightsVersion)
	}
}
