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
	// noticeTTL is the time for which messages to peers include an engine after
	// its latest change.
	noticeTTL = 1500 * time.Millisecond
	// keepFreeTTL is the time for which an engine is kept free of new requests
	// unless it is extended.
	keepFreeTTL = 1500 * time.Millisecond
)

// rolloutManager updates the engines to the desired weights versions while this
// process is the leader.
type rolloutManager struct {
	entry *Entry

	mu            sync.Mutex
	planners      map[string]*rollout.Planner
	fence         uint64
	notices       map[fleet.Boot]*notice
	planRequested chan struct{}
}

// notice is the state of an engine that is reported to the peers.
type notice struct {
	model        string
	version      int64
	updatedAt    time.Duration
	freeUntil    time.Duration
	loadingUntil time.Duration
}

func newRolloutManager(entry *Entry) *rolloutManager {
	return &rolloutManager{
		entry: entry, planners: map[string]*rollout.Planner{}, notices: map[fleet.Boot]*notice{}, planRequested: make(chan struct{}, 1),
	}
}

// requestPlan triggers planning before the interval is over.
func (r *rolloutManager) requestPlan() {
	select {
	case r.planRequested <- struct{}{}:
	default:
	}
}

func (r *rolloutManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		interval := idlePlanInterval
		if fence, ok := r.entry.lease.leaderFence(); ok && r.plan(ctx, fence) {
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
func (r *rolloutManager) plan(ctx context.Context, fence uint64) bool {
	r.mu.Lock()
	if r.fence != fence {
		r.fence = fence
		r.planners = map[string]*rollout.Planner{}
	}
	r.mu.Unlock()
	unfinished := false
	for model, version := range r.entry.balancer.AnnouncedVersions() {
		if r.planModel(ctx, fence, model, version) {
			unfinished = true
		}
	}
	return unfinished
}

func (r *rolloutManager) planModel(ctx context.Context, fence uint64, model string, version int64) bool {
	now := r.entry.uptime()
	targets := r.entry.directory.Targets(now)
	engines := make([]rollout.Engine, 0, len(targets))
	byBoot := make(map[fleet.Boot]*fleet.Target, len(targets))
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
		byBoot[engine.Boot] = t
	}
	r.mu.Lock()
	planner, ok := r.planners[model]
	if !ok {
		planner = rollout.NewPlanner(r.entry.settings.VersionDeadline)
		r.planners[model] = planner
	}
	steps := planner.Plan(now, version, engines)
	freed, ordered := planner.Changing()
	expectedLoad := planner.ExpectedLoadTime()
	r.mu.Unlock()
	r.blockNewRequests(now, model, expectedLoad, freed, ordered)
	for _, step := range steps {
		r.executeStep(ctx, planner, fence, model, step, byBoot[step.Boot])
	}
	if len(steps) > 0 {
		r.entry.gossip.SendSoon()
	}
	return unfinished
}

// blockNewRequests keeps new requests away from the engines that are being updated:
// on this process at once, and on the peers by the next messages.
func (r *rolloutManager) blockNewRequests(now time.Duration, model string, expectedLoad time.Duration, freed, ordered []fleet.Boot) {
	for _, boot := range freed {
		until := now + keepFreeTTL
		r.entry.balancer.Cordon(boot, until)
		r.updateNotice(boot, func(n *notice) { n.model, n.freeUntil = model, until })
	}
	for _, boot := range ordered {
		until := now + 2*expectedLoad
		r.entry.balancer.SetLoading(boot, until)
		r.updateNotice(boot, func(n *notice) { n.model, n.loadingUntil = model, until })
	}
}

// executeStep executes one step. Each call to an engine runs in its own goroutine.
func (r *rolloutManager) executeStep(ctx context.Context, planner *rollout.Planner, fence uint64, model string, step rollout.Step, target *fleet.Target) {
	if step.Kind == rollout.Cordon {
		return
	}
	targetCopy := *target
	if step.Kind == rollout.CountOrders {
		go r.refreshOrderCount(ctx, planner, model, &targetCopy)
		return
	}
	go r.sendOrder(ctx, planner, fence, model, step, &targetCopy)
}

// sendOrder sends a load order to an engine and applies its reply. It sends nothing
// if this process no longer leads with the given fencing token.
func (r *rolloutManager) sendOrder(ctx context.Context, planner *rollout.Planner, fence uint64, model string, step rollout.Step, target *fleet.Target) {
	if currentFence, ok := r.entry.lease.leaderFence(); !ok || currentFence != fence {
		return
	}
	startedAt := r.entry.uptime()
	reply, err := r.entry.platform.Engines.SendOrder(ctx, target, rollout.Command{
		Model: model, Version: step.Version, LeaseHolder: r.entry.settings.VM, FencingToken: fence, ExpectedOrders: step.ExpectedOrders, Retain: step.Retain,
	})
	now := r.entry.uptime()
	text := ""
	if err != nil {
		text = err.Error()
	}
	r.entry.log.Log(eventlog.OrderSent, "target", target.ID, "model", model, "version", step.Version, "fence", fence,
		"expected", step.ExpectedOrders, "retain", step.Retain, "outcome", reply.String(), "err", text, "took_ms", (now - startedAt).Milliseconds())
	if reply == rollout.Fenced {
		r.entry.lease.handleFencing(fence)
	}
	r.mu.Lock()
	done := planner.HandleReply(now, step, reply)
	r.mu.Unlock()
	if done {
		r.entry.balancer.RecordVersion(target.Boot(), model, step.Version)
		r.updateNotice(target.Boot(), func(n *notice) {
			n.model, n.version, n.freeUntil, n.loadingUntil = model, step.Version, 0, 0
		})
		r.entry.gossip.SendSoon()
	}
	r.requestPlan()
}

// refreshOrderCount reads from an engine the number of orders that it has accepted.
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

func (r *rolloutManager) updateNotice(boot fleet.Boot, change func(*notice)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.notices[boot]
	if !ok {
		n = &notice{}
		r.notices[boot] = n
	}
	n.updatedAt = r.entry.uptime()
	change(n)
}

// engineNotices returns the notices to peers about engines that changed within
// noticeTTL, and discards older ones.
func (r *rolloutManager) engineNotices() []gossip.EngineNotice {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.entry.uptime()
	var list []gossip.EngineNotice
	for boot, n := range r.notices {
		if now-n.updatedAt > noticeTTL {
			delete(r.notices, boot)
			continue
		}
		list = append(list, gossip.EngineNotice{
			ID: boot.ID, BornUnixMS: boot.StartUnixMS, Model: n.model, Version: n.version,
			FreeMS:    max(0, n.freeUntil-now).Milliseconds(),
			LoadingMS: max(0, n.loadingUntil-now).Milliseconds(),
		})
	}
	return list
}
