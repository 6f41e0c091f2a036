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
	// planEvery is the time between looks at unfinished changes of weights.
	planEvery = 20 * time.Millisecond
	// idleEvery is the time between looks when all engines are up to date.
	idleEvery = 200 * time.Millisecond
	// noticeFor is how long peers are told of an engine's last change.
	noticeFor = 1500 * time.Millisecond
	// freeNotice is how long an engine is kept free without a newer word.
	freeNotice = 1500 * time.Millisecond
)

// rollouts brings the engines to the named weights while this process leads.
type rollouts struct {
	e *Entry

	mu       sync.Mutex
	planners map[string]*rollout.Planner
	fence    uint64
	recent   map[fleet.Boot]*notice
	wake     chan struct{}
}

// notice is what peers are told of an engine.
type notice struct {
	model        string
	version      int64
	at           time.Duration
	freeUntil    time.Duration
	loadingUntil time.Duration
}

func newRollouts(e *Entry) *rollouts {
	return &rollouts{
		e: e, planners: map[string]*rollout.Planner{}, recent: map[fleet.Boot]*notice{}, wake: make(chan struct{}, 1),
	}
}

func (r *rollouts) poke() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *rollouts) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := idleEvery
		if fence, ok := r.e.lease.leading(); ok && r.plan(ctx, fence) {
			pause = planEvery
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.wake:
		}
		timer.Stop()
	}
}

// plan takes the steps that are due and says whether a change is unfinished.
func (r *rollouts) plan(ctx context.Context, fence uint64) bool {
	r.mu.Lock()
	if r.fence != fence {
		r.fence = fence
		r.planners = map[string]*rollout.Planner{}
	}
	r.mu.Unlock()
	unfinished := false
	for model, version := range r.e.balancer.AnnouncedVersions() {
		if r.planModel(ctx, fence, model, version) {
			unfinished = true
		}
	}
	return unfinished
}

func (r *rollouts) planModel(ctx context.Context, fence uint64, model string, version int64) bool {
	now := r.e.now()
	targets := r.e.directory.Targets(now)
	engines := make([]rollout.Engine, 0, len(targets))
	byBoot := make(map[fleet.Boot]*fleet.Target, len(targets))
	unfinished := false
	for i := range targets {
		t := &targets[i]
		if _, ok := t.Models[model]; !ok || t.Draining {
			continue
		}
		has := r.e.balancer.Version(t, model)
		engine := rollout.Engine{
			Boot: t.Boot(), Version: has, Staleness: r.e.balancer.Staleness(now, model, has),
			InFlight: r.e.balancer.InFlight(t.Boot()), Pending: r.e.balancer.Pending(t.Boot()),
		}
		unfinished = unfinished || engine.Version < version
		engines = append(engines, engine)
		byBoot[engine.Boot] = t
	}
	r.mu.Lock()
	planner, ok := r.planners[model]
	if !ok {
		planner = rollout.NewPlanner(r.e.settings.VersionDeadline)
		r.planners[model] = planner
	}
	steps := planner.Plan(now, version, engines)
	freed, ordered := planner.Changing()
	load := planner.ExpectedLoadTime()
	r.mu.Unlock()
	r.keepAway(now, model, load, freed, ordered)
	for _, step := range steps {
		r.take(ctx, planner, fence, model, step, byBoot[step.Boot])
	}
	if len(steps) > 0 {
		r.e.gossip.Prompt()
	}
	return unfinished
}

// keepAway keeps new requests from the engines whose change has begun, here and,
// by the next messages, in the peers.
func (r *rollouts) keepAway(now time.Duration, model string, load time.Duration, freed, ordered []fleet.Boot) {
	for _, boot := range freed {
		until := now + freeNotice
		r.e.balancer.Cordon(boot, until)
		r.note(boot, func(n *notice) { n.model, n.freeUntil = model, until })
	}
	for _, boot := range ordered {
		until := now + 2*load
		r.e.balancer.SetLoading(boot, until)
		r.note(boot, func(n *notice) { n.model, n.loadingUntil = model, until })
	}
}

// take carries out one step; orders are sent from a goroutine each.
func (r *rollouts) take(ctx context.Context, planner *rollout.Planner, fence uint64, model string, step rollout.Step, target *fleet.Target) {
	if step.Kind == rollout.Cordon {
		return
	}
	copied := *target
	if step.Kind == rollout.CountOrders {
		go r.recount(ctx, planner, model, &copied)
		return
	}
	go r.order(ctx, planner, fence, model, step, &copied)
}

// order sends an order and takes the engine's answer.
func (r *rollouts) order(ctx context.Context, planner *rollout.Planner, fence uint64, model string, step rollout.Step, target *fleet.Target) {
	if held, ok := r.e.lease.leading(); !ok || held != fence {
		return
	}
	began := r.e.now()
	reply, err := r.e.platform.Engines.SendOrder(ctx, target, rollout.Command{
		Model: model, Version: step.Version, LeaseHolder: r.e.settings.VM, FencingToken: fence, ExpectedOrders: step.ExpectedOrders, Retain: step.Retain,
	})
	now := r.e.now()
	text := ""
	if err != nil {
		text = err.Error()
	}
	r.e.log.Log(eventlog.OrderSent, "target", target.ID, "model", model, "version", step.Version, "fence", fence,
		"expected", step.ExpectedOrders, "retain", step.Retain, "outcome", reply.String(), "err", text, "took_ms", (now - began).Milliseconds())
	if reply == rollout.Fenced {
		r.e.lease.fenced(fence)
	}
	r.mu.Lock()
	done := planner.HandleReply(now, step, reply)
	r.mu.Unlock()
	if done {
		r.e.balancer.RecordVersion(target.Boot(), model, step.Version)
		r.note(target.Boot(), func(n *notice) {
			n.model, n.version, n.freeUntil, n.loadingUntil = model, step.Version, 0, 0
		})
		r.e.gossip.Prompt()
	}
	r.poke()
}

// recount reads how many orders an engine has accepted.
func (r *rollouts) recount(ctx context.Context, planner *rollout.Planner, model string, target *fleet.Target) {
	report, err := r.e.platform.Engines.Report(ctx, target)
	if err != nil {
		r.e.log.Log(eventlog.DutyFailed, "duty", "report", "err", err)
		r.mu.Lock()
		planner.HandleCountFailure(r.e.now(), target.Boot())
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	planner.HandleCount(target.Boot(), report.AcceptedOrders)
	r.mu.Unlock()
	r.e.balancer.RecordVersion(target.Boot(), model, report.Models[model])
}

func (r *rollouts) note(boot fleet.Boot, change func(*notice)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.recent[boot]
	if !ok {
		n = &notice{}
		r.recent[boot] = n
	}
	n.at = r.e.now()
	change(n)
}

// notices returns what to tell the peers of engines that changed lately.
func (r *rollouts) notices() []gossip.Engine {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.e.now()
	var list []gossip.Engine
	for boot, n := range r.recent {
		if now-n.at > noticeFor {
			delete(r.recent, boot)
			continue
		}
		list = append(list, gossip.Engine{
			ID: boot.ID, Born: boot.StartUnixMS, Model: n.model, Version: n.version,
			FreeMS:    max(0, n.freeUntil-now).Milliseconds(),
			LoadingMS: max(0, n.loadingUntil-now).Milliseconds(),
		})
	}
	return list
}
