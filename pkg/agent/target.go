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

// reportValidity is the time for which a load report is considered current. It
// exceeds the follower's polling interval and the timeout of one engine call.
const reportValidity = 2 * time.Second

// Target holds the agent's view of its model engine and the queue of prompts for
// the engine.
type Target struct {
	engine    engine.Engine
	bundles   *bundle.Store
	view      *cacheview.View
	follower  *cacheview.Follower
	queue     *promptQueue
	monitored *monitoredEngine
}

func newTarget(e engine.Engine, identity Identity, bundles *bundle.Store, log *eventlog.Logger) *Target {
	now := time.Now()
	view := cacheview.New(cacheview.DefaultConfig(), now)
	monitored := &monitoredEngine{Engine: e, view: view}
	random := rand.New(rand.NewPCG(identity.BootID, 0))
	return &Target{
		engine:    e,
		bundles:   bundles,
		view:      view,
		follower:  cacheview.NewFollower(monitored, view, cacheview.DefaultFollowerConfig(identity.VM), log, tally.NoopScope, random),
		queue:     newPromptQueue(view, log, now),
		monitored: monitored,
	}
}

// run follows the engine and schedules prompts until ctx is done.
func (t *Target) run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { return t.follower.Run(ctx) })
	group.Go(func() error {
		t.queue.run(ctx, t.follower.Latest)
		return nil
	})
	// Both functions return only when ctx is done.
	_ = group.Wait()
}

// report returns the engine's latest load report and whether it is current.
func (t *Target) report(now time.Time) (engine.LoadReport, bool) {
	latest, ok := t.follower.Latest()
	return latest.Report, ok && !t.monitored.suspect.Load() && now.Sub(latest.ReceivedAt) < reportValidity
}

// weight returns the fair-queueing weight of a client account. It is 1 for an
// unknown account.
func (t *Target) weight(account string) float64 {
	snapshot := t.bundles.Current()
	if snapshot == nil {
		return 1
	}
	if clientAccount := snapshot.Index.Account(account); clientAccount != nil {
		return clientAccount.Weight
	}
	return 1
}

// acquire waits until a prompt may run at the engine.
func (t *Target) acquire(ctx context.Context, req *peerpb.DispatchRequest) (*runningPrompt, *outcome.Refusal) {
	return t.queue.acquire(ctx, req, t.weight(req.Account))
}

// revalidate refuses a prompt that the target can no longer serve, because the
// engine or the API key has changed since the router selected the target.
func (t *Target) revalidate(req *peerpb.DispatchRequest) *outcome.Refusal {
	report, ok := t.report(time.Now())
	boot := max(t.view.Boot(), report.BootID)
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

// keyActive reports whether the API key of a prompt is still active. Prompts on
// open routes have no key and always pass.
func (t *Target) keyActive(req *peerpb.DispatchRequest) bool {
	snapshot := t.bundles.Current()
	if req.Account == "" || snapshot == nil {
		return true
	}
	return snapshot.Index.KeyActive(bundle.KeyOwner{Account: req.Account, KeyID: req.KeyId})
}

// serves reports whether a load report lists the weights and the adapter.
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
