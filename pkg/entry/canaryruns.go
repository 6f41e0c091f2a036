package entry

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/relay"
)

// crashNoticeTime is the time after which this process knows whether the target of a broken
// response has crashed.
const crashNoticeTime = 600 * time.Millisecond

// canaryRuns holds what this process knows of the requests of all services.
type canaryRuns struct {
	// inFlight holds the numbers of requests in flight by service and software version.
	inFlight map[serviceVersion]int
	// timings holds the times of the old versions by service and route.
	timings map[serviceRoute]*canary.Timing
	// warmAt holds the times at which targets will be warm.
	warmAt map[fleet.Boot]time.Duration
	// broken holds the broken responses whose targets may have crashed.
	broken []brokenRun
}

type serviceVersion struct{ service, version string }

type serviceRoute struct{ service, route string }

// brokenRun is a response that broke off.
type brokenRun struct {
	attempt *canaryAttempt
	outcome canary.Outcome
	at      time.Duration
}

func newCanaryRuns() canaryRuns {
	return canaryRuns{inFlight: map[serviceVersion]int{}, timings: map[serviceRoute]*canary.Timing{}, warmAt: map[fleet.Boot]time.Duration{}}
}

// inFlightAtOthers returns the number of requests in flight at other versions of a service than
// the given one.
func (c *canaryRuns) inFlightAtOthers(service, version string) int {
	sum := 0
	for key, inFlight := range c.inFlight {
		if key.service == service && key.version != version {
			sum += inFlight
		}
	}
	return sum
}

func (c *canaryRuns) timing(key serviceRoute) *canary.Timing {
	timing, ok := c.timings[key]
	if !ok {
		timing = &canary.Timing{}
		c.timings[key] = timing
	}
	return timing
}

// canaryAttempt is an attempt in flight.
type canaryAttempt struct {
	keeper *canaryKeeper
	target fleet.Target
	// rollout is the rollout that was in force when the attempt began; nil if there was none.
	rollout *serviceRollout
	isNew   bool
	isWarm  bool
}

// Next implements relay.VersionRollouts.
func (k *canaryKeeper) Next(service string, isRetry bool) relay.VersionDecision {
	isAlone := k.entry.members.processCount() == 1
	k.mu.Lock()
	defer k.mu.Unlock()
	r, ok := k.byService[service]
	if !ok {
		return relay.VersionDecision{}
	}
	now := k.entry.uptime()
	decision := relay.VersionDecision{Version: r.Order().Target, Withdrawn: k.withdrawn[service], Rollout: r.Rollout}
	k.updateOld(now, r)
	if r.hasOld {
		decision.Decision = r.Next(now, isRetry, isAlone)
	} else {
		decision.Use = canary.NewVersionIfAvailable
	}
	return decision
}

// Return implements relay.VersionRollouts.
func (k *canaryKeeper) Return(decision relay.VersionDecision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	decision.Rollout.Return(decision.Decision)
}

// Begin implements relay.VersionRollouts.
func (k *canaryKeeper) Begin(target fleet.Target, decision relay.VersionDecision) relay.VersionAttempt {
	now := k.entry.uptime()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.runs.inFlight[serviceVersion{target.Service, target.SoftwareVersion}]++
	boot := target.Boot()
	warmAt, ok := k.runs.warmAt[boot]
	if !ok {
		warmAt = now + target.RemainingWarmUp
		k.runs.warmAt[boot] = warmAt
	}
	a := &canaryAttempt{keeper: k, target: target, rollout: k.byService[target.Service], isWarm: now >= warmAt}
	if decision.Rollout != nil && (a.rollout == nil || a.rollout.Rollout != decision.Rollout) {
		decision.Rollout.Return(decision.Decision)
		decision = relay.VersionDecision{}
	}
	if a.rollout != nil {
		a.isNew = target.SoftwareVersion == a.rollout.Order().Target
		a.rollout.Begin(decision.Decision, a.isNew)
	}
	return a
}

// End implements relay.VersionAttempt.
func (a *canaryAttempt) End(end relay.AttemptEnd) {
	k := a.keeper
	k.mu.Lock()
	defer k.mu.Unlock()
	a.countEnded()
	outcome := canary.Outcome{Route: end.Route, IsNew: a.isNew, SentAt: end.SentAt, Result: end.Result, IsAnswered: end.IsAnswered}
	if a.isWarm && end.Time > 0 {
		timing := k.runs.timing(serviceRoute{a.target.Service, end.Route})
		outcome.IsSlow, outcome.IsTimed = timing.IsSlow(end.Time, k.random.Float64())
		if !a.isNew {
			timing.Record(end.Time)
		}
	}
	if a.rollout == nil {
		return
	}
	if !k.isStoreAvailable() && (end.Result == canary.Served || end.Result == canary.Failed) {
		outcome.Result = canary.NoEvidence
	}
	if end.IsBroken && outcome.Result == canary.Failed {
		k.runs.broken = append(k.runs.broken, brokenRun{attempt: a, outcome: outcome, at: k.entry.uptime()})
		return
	}
	a.rollout.End(outcome)
}

// isStoreAvailable reports whether this process or a peer reaches the store. What happens while nobody
// does is no evidence. The caller must hold k.mu.
func (k *canaryKeeper) isStoreAvailable() bool {
	return k.entry.directory.IsRegistryAvailable() || (k.storeHeardAt > 0 && k.entry.uptime()-k.storeHeardAt < storeNewsTTL)
}

// countEnded counts the attempt as no longer in flight. The caller must hold the keeper's mutex.
func (a *canaryAttempt) countEnded() {
	key := serviceVersion{a.target.Service, a.target.SoftwareVersion}
	inFlight := a.keeper.runs.inFlight
	inFlight[key]--
	if inFlight[key] == 0 {
		delete(inFlight, key)
	}
}

// countBrokenRuns counts the broken responses of targets that have not crashed as failures. The
// caller must hold k.mu.
func (k *canaryKeeper) countBrokenRuns(now time.Duration) {
	waiting := k.runs.broken
	for len(waiting) > 0 && now-waiting[0].at >= crashNoticeTime {
		run := &waiting[0]
		if k.hasCrashed(run.attempt.target.Boot()) {
			run.outcome.Result = canary.NoEvidence
		}
		run.attempt.rollout.End(run.outcome)
		waiting = waiting[1:]
	}
	k.runs.broken = waiting
}

// hasCrashed reports whether a run of a target has ended, or may have.
func (k *canaryKeeper) hasCrashed(boot fleet.Boot) bool {
	target, listed := k.entry.directory.Get(boot.ID)
	return !listed || target.Boot() != boot || k.entry.directory.MayHaveEnded(boot)
}

// prune forgets targets that are no longer listed.
func (k *canaryKeeper) prune(targets []fleet.Target) {
	if k == nil {
		return
	}
	listed := make(map[fleet.Boot]bool, len(targets))
	for i := range targets {
		listed[targets[i].Boot()] = true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for boot := range k.runs.warmAt {
		if !listed[boot] {
			delete(k.runs.warmAt, boot)
		}
	}
}
