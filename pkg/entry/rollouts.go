package entry

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/rollout"
)

const (
	// planInterval is the planning interval while a weights rollout is unfinished.
	planInterval = 20 * time.Millisecond
	// idlePlanInterval is the planning interval while all engines are up to date.
	idlePlanInterval = 200 * time.Millisecond
	// statusTTL is the time for which messages to peers include an engine after
	// its status was last updated.
	statusTTL = 1500 * time.Millisecond
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
	statuses      map[fleet.Boot]*engineStatus
	planRequested chan struct{}
}

// engineStatus is the state of an engine's update that is sent to the peers.
type engineStatus struct {
	model         string
	version       int64
	updatedAt     time.Duration
	cordonedUntil time.Duration
	loadingUntil  time.Duration
}

func newRolloutManager(entry *Entry) *rolloutManager {
	return &rolloutManager{
		entry: entry, planners: map[string]*rollout.Planner{}, statuses: map[fleet.Boot]*engineStatus{}, planRequested: make(chan struct{}, 1),
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
		currentVersion := r.entry.balancer.Version(t, model)
		engine := rollout.Engine{
			Boot: t.Boot(), Version: currentVersion, Staleness: r.entry.balancer.Staleness(now, model, currentVersion),
			InFlight: r.entry.balancer.InFlight(t.Boot()), Pending: r.entry.balancer.Pending(t.Boot()),
		}
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
	if len(steps) > 0 {
		r.entry.gossip.SendSoon()
	}
	return unfinished
}

// cordonEngines marks the engines that are being updated as cordoned or
// loading, so that new requests avoid them. It takes effect in this process
// immediately, and in the peers with the next message.
func (r *rolloutManager) cordonEngines(now time.Duration, model string, expectedLoad time.Duration, cordoned, ordered []fleet.Boot) {
	for _, boot := range cordoned {
		until := now + cordonTTL
		r.entry.balancer.Cordon(boot, until)
		r.updateStatus(boot, func(status *engineStatus) { status.model, status.cordonedUntil = model, until })
	}
	for _, boot := range ordered {
		until := now + 2*expectedLoad
		r.entry.balancer.SetLoading(boot, until)
		r.updateStatus(boot, func(status *engineStatus) { status.model, status.loadingUntil = model, until })
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
	reply, err := r.entry.platform.Engines.SendOrder(ctx, target, rollout.LoadOrder{
		Model: model, Version: step.Version, LeaseHolder: r.entry.settings.VM, FencingToken: fencingToken, ExpectedOrders: step.ExpectedOrders, Retain: step.Retain,
	})
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
		r.updateStatus(target.Boot(), func(status *engineStatus) {
			status.model, status.version, status.cordonedUntil, status.loadingUntil = model, step.Version, 0, 0
		})
		r.entry.gossip.SendSoon()
	}
	r.requestPlan()
}

// refreshOrderCount reads the number of accepted orders from an engine's
// report.
func (r *rolloutManager) refreshOrderCount(ctx context.Context, planner *rollout.Planner, model string, target *fleet.Target) {
	report, err := r.entry.platform.Engines.Report(ctx, target)
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

func (r *rolloutManager) updateStatus(boot fleet.Boot, change func(*engineStatus)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status, ok := r.statuses[boot]
	if !ok {
		status = &engineStatus{}
		r.statuses[boot] = status
	}
	status.updatedAt = r.entry.uptime()
	change(status)
}

// engineStatuses returns the statuses that were updated within statusTTL, for
// the message to the peers, and discards older ones.
func (r *rolloutManager) engineStatuses() []gossip.EngineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.entry.uptime()
	var list []gossip.EngineStatus
	for boot, status := range r.statuses {
		if now-status.updatedAt > statusTTL {
			delete(r.statuses, boot)
			continue
		}
		list = append(list, gossip.EngineStatus{
			ID: boot.ID, StartUnixMS: boot.StartUnixMS, Model: status.model, Version: status.version,
			CordonedMS: max(0, status.cordonedUntil-now).Milliseconds(),
			LoadingMS:  max(0, status.loadingUntil-now).Milliseconds(),
		})
	}
	return list
}
