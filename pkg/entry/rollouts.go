package entry

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/rollout"
)

const (
	// planInterval is the planning interval while a weights rollout is unfinished.
	planInterval = 20 * time.Millisecond
	// idlePlanInterval is the planning interval while all engines are up to date.
	idlePlanInterval = 200 * time.Millisecond
	// cordonTTL is the time after which a cordon ends unless it is extended.
	cordonTTL = 1500 * time.Millisecond
)

// rolloutManager updates the engines to the announced weights versions while
// this process is the leader.
type rolloutManager struct {
	entry *Entry

	mu            sync.Mutex
	planners      map[string]*rollout.Planner
	fencingToken  uint64
	planRequested chan struct{}
	// statuses holds the engines' updates, for the peers.
	statuses *statusBoard
	// drains holds the loads that peers report for engines in turn.
	drains *drainTable
}

func newRolloutManager(entry *Entry) *rolloutManager {
	return &rolloutManager{
		entry: entry, planners: map[string]*rollout.Planner{}, planRequested: make(chan struct{}, 1),
		statuses: newStatusBoard(), drains: newDrainTable(),
	}
}

// requestPlan triggers planning before the interval has elapsed.
func (r *rolloutManager) requestPlan() {
	select {
	case r.planRequested <- struct{}{}:
	default:
	}
}

func (r *rolloutManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := idlePlanInterval
		if fencingToken, ok := r.entry.lease.leaderFencingToken(); ok && r.plan(ctx, fencingToken) {
			interval = planInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.planRequested:
		}
		timer.Stop()
	}
}

// plan executes the steps that are due and reports whether a rollout is
// unfinished.
func (r *rolloutManager) plan(ctx context.Context, fencingToken uint64) bool {
	r.mu.Lock()
	if r.fencingToken != fencingToken {
		r.fencingToken = fencingToken
		r.planners = map[string]*rollout.Planner{}
	}
	r.mu.Unlock()
	unfinished := false
	for model, version := range r.entry.balancer.AnnouncedVersions() {
		if r.planModel(ctx, fencingToken, model, version) {
			unfinished = true
		}
	}
	return unfinished
}

func (r *rolloutManager) planModel(ctx context.Context, fencingToken uint64, model string, version int64) bool {
	now := r.entry.uptime()
	targets := r.entry.directory.Targets(now)
	engines := make([]rollout.Engine, 0, len(targets))
	targetsByBoot := make(map[fleet.Boot]*fleet.Target, len(targets))
	unfinished := false
	for i := range targets {
		t := &targets[i]
		if _, ok := t.Models[model]; !ok || t.Draining {
			continue
		}
		engine := r.engineState(now, t, model)
		unfinished = unfinished || engine.Version < version
		engines = append(engines, engine)
		targetsByBoot[engine.Boot] = t
	}
	r.mu.Lock()
	planner, ok := r.planners[model]
	if !ok {
		planner = rollout.NewPlanner(r.entry.settings.VersionDeadline)
		r.planners[model] = planner
	}
	steps := planner.Plan(now, version, engines)
	cordoned, ordered := planner.Updating()
	expectedLoad := planner.ExpectedLoadTime()
	r.mu.Unlock()
	r.cordonEngines(now, model, expectedLoad, cordoned, ordered)
	for _, step := range steps {
		r.executeStep(ctx, planner, fencingToken, model, step, targetsByBoot[step.Boot])
	}
	return unfinished
}

// engineState returns the planner's view of an engine. The load on an engine in
// turn is what the processes report to the leader, which is more recent than
// the regular messages.
func (r *rolloutManager) engineState(now time.Duration, t *fleet.Target, model string) rollout.Engine {
	boot := t.Boot()
	version := r.entry.balancer.Version(t, model)
	load, peers := r.entry.balancer.Load(boot)
	if r.statuses.inTurn(now, boot) {
		peers = r.drains.load(now, boot)
	}
	return rollout.Engine{
		Boot: boot, Version: version, Staleness: r.entry.balancer.Staleness(now, model, version),
		InFlight: load.InFlight + peers.InFlight, Pending: load.Pending + peers.Pending,
	}
}

// cordonEngines marks the engines that are being updated as cordoned or
// loading, so that new requests avoid them. It takes effect in this process
// immediately, and in the peers with the next message.
func (r *rolloutManager) cordonEngines(now time.Duration, model string, expectedLoad time.Duration, cordoned, ordered []fleet.Boot) {
	changed := false
	for _, boot := range cordoned {
		until := now + cordonTTL
		r.entry.balancer.Cordon(boot, until)
		changed = r.statuses.setCordoned(now, boot, model, until) || changed
	}
	for _, boot := range ordered {
		until := now + 2*expectedLoad
		r.entry.balancer.SetLoading(boot, until)
		changed = r.statuses.setLoading(now, boot, model, until) || changed
	}
	if changed {
		r.entry.gossip.SendUrgent()
	}
}

// executeStep executes one step. Each call to an engine runs in its own
// goroutine.
func (r *rolloutManager) executeStep(ctx context.Context, planner *rollout.Planner, fencingToken uint64, model string, step rollout.Step, target *fleet.Target) {
	if step.Kind == rollout.Cordon {
		return
	}
	targetCopy := *target
	if step.Kind == rollout.CountOrders {
		go r.refreshOrderCount(ctx, planner, model, &targetCopy)
		return
	}
	go r.sendOrder(ctx, planner, fencingToken, model, step, &targetCopy)
}

// sendOrder sends a load order to an engine and handles the reply. It sends
// nothing if this process is no longer the leader under the given fencing
// token.
func (r *rolloutManager) sendOrder(ctx context.Context, planner *rollout.Planner, fencingToken uint64, model string, step rollout.Step, target *fleet.Target) {
	if currentToken, ok := r.entry.lease.leaderFencingToken(); !ok || currentToken != fencingToken {
		return
	}
	startedAt := r.entry.uptime()
	response, err := r.entry.platform.Engines.SendOrder(ctx, target, rollout.LoadOrder{
		Model: model, Version: step.Version, LeaseHolder: r.entry.settings.VM, FencingToken: fencingToken, ExpectedOrders: step.ExpectedOrders, Retain: step.Retain,
	})
	reply := response.Reply
	if response.Leaving {
		r.entry.leaving.observe(target.Boot())
	}
	now := r.entry.uptime()
	text := ""
	if err != nil {
		text = err.Error()
	}
	r.entry.log.Log(eventlog.OrderSent, "target", target.ID, "model", model, "version", step.Version, "fence", fencingToken,
		"expected", step.ExpectedOrders, "retain", step.Retain, "outcome", reply.String(), "err", text, "took_ms", (now - startedAt).Milliseconds())
	if reply == rollout.Fenced {
		r.entry.lease.handleFencing(fencingToken)
	}
	r.mu.Lock()
	done := planner.HandleReply(now, step, reply)
	r.mu.Unlock()
	if done {
		r.entry.balancer.RecordVersion(target.Boot(), model, step.Version)
		r.statuses.setDone(now, target.Boot(), model, step.Version)
		r.entry.gossip.SendUrgent()
	}
	r.requestPlan()
}

// refreshOrderCount reads the number of accepted orders from an engine's
// report.
func (r *rolloutManager) refreshOrderCount(ctx context.Context, planner *rollout.Planner, model string, target *fleet.Target) {
	report, err := r.entry.platform.Engines.Report(ctx, target)
	if report.Leaving {
		r.entry.leaving.observe(target.Boot())
	}
	if err != nil {
		r.entry.log.Log(eventlog.DutyFailed, "duty", "report", "err", err)
		r.mu.Lock()
		planner.HandleCountFailure(r.entry.uptime(), target.Boot())
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	planner.HandleCount(target.Boot(), report.AcceptedOrders)
	r.mu.Unlock()
	r.entry.balancer.RecordVersion(target.Boot(), model, report.Models[model])
}
