package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/targetlimit"
)

const (
	// staleWeightsGrace is the time after the announcement of newer weights
	// during which older weights are not penalized.
	staleWeightsGrace = 1200 * time.Millisecond
	// lastResortDivisor determines the time after which older weights are used
	// only as a last resort: the version deadline divided by lastResortDivisor.
	lastResortDivisor = 2
	// staleCutoffMargin is the time before the version deadline from which no
	// more requests are sent to targets with older weights, since a request
	// may wait in the engine's queue before it begins.
	staleCutoffMargin = 800 * time.Millisecond
	// loadingRetryDelay is the retry delay for callers while all targets load
	// weights.
	loadingRetryDelay = 300 * time.Millisecond
	// refusedRetryDelay is the time after a refused connection before the target is asked to go
	// on with a stream that has begun.
	refusedRetryDelay = 250 * time.Millisecond
	// noTargetRetryDelay is the retry delay for callers while no target is
	// available.
	noTargetRetryDelay = time.Second
)

// candidate is a target that is able to serve the request.
type candidate struct {
	target  *fleet.Target
	state   *targetState
	version int64
	// allowance is what the target's rate limit allows.
	allowance targetlimit.Allowance
	// hash is the hash of the target's identifier.
	hash uint64
	// queue is what the target's queue is expected to be, if learned delays apply.
	queue queueEstimate
	// speedClass is the target's speed, if learned delays apply.
	speedClass int
}

// filter drops the targets that cannot serve the request. Among the rest it
// prefers healthy targets, then those that are not about to change their
// weights, then those whose weights are recent enough. A preference is ignored
// if no candidate satisfies it.
func (b *Balancer) filter(now time.Duration, req *Request, targets []fleet.Target) ([]candidate, *Refusal) {
	serving := b.servingTargets(now, req, targets)
	if len(serving) == 0 {
		return nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetryDelay}
	}
	eligible := selectCandidates(serving, func(c *candidate) bool { return now >= c.state.pausedUntil })
	if len(eligible) == 0 {
		return nil, &Refusal{Reason: ReasonPaused, RetryAfter: shortestPause(now, serving)}
	}
	eligible, refusal := b.withinLimits(now, eligible, req.ExcludeLimited)
	if refusal != nil {
		return nil, refusal
	}
	eligible = selectCandidates(eligible, func(c *candidate) bool { return now >= c.state.loadingUntil })
	if len(eligible) == 0 {
		return nil, &Refusal{Reason: ReasonLoading, RetryAfter: loadingRetryDelay}
	}
	rule := b.stallRule(now)
	eligible = preferCandidates(eligible, func(c *candidate) bool { return !c.state.isAvoided(now) && !rule.isStalled(c.state) })
	eligible = preferCandidates(eligible, func(c *candidate) bool { return now >= c.state.cordonedUntil })
	history := b.versionHistory(req.Model)
	eligible = preferCandidates(eligible, func(c *candidate) bool {
		return history.Staleness(now, c.version) < b.versionDeadline/lastResortDivisor
	})
	eligible = selectCandidates(eligible, func(c *candidate) bool {
		return history.Staleness(now, c.version) < b.versionDeadline-staleCutoffMargin
	})
	if len(eligible) == 0 {
		return nil, &Refusal{Reason: ReasonLoading, RetryAfter: loadingRetryDelay}
	}
	return eligible, nil
}

// withinLimits returns the candidates whose rate limits allow a request now or, if limited ones
// are excluded, those without a rate limit.
func (b *Balancer) withinLimits(now time.Duration, candidates []candidate, excludeLimited bool) ([]candidate, *Refusal) {
	if !b.limits.Any() {
		return candidates, nil
	}
	for i := range candidates {
		candidates[i].allowance = b.limits.Allow(now, candidates[i].target.Boot())
	}
	if excludeLimited {
		if free := selectCandidates(candidates, func(c *candidate) bool { return !c.allowance.Limited }); len(free) > 0 {
			return free, nil
		}
		return nil, &Refusal{Reason: ReasonLimited}
	}
	if ready := selectCandidates(candidates, func(c *candidate) bool { return c.allowance.Ready }); len(ready) > 0 {
		return ready, nil
	}
	wait := candidates[0].allowance.Wait
	for i := range candidates {
		wait = min(wait, candidates[i].allowance.Wait)
	}
	return nil, &Refusal{Reason: ReasonLimited, RetryAfter: wait}
}

// servingTargets returns the targets of the service that the request allows, that serve
// the model and are not draining.
func (b *Balancer) servingTargets(now time.Duration, req *Request, targets []fleet.Target) []candidate {
	list := make([]candidate, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		if t.Service != req.Service || t.Draining || !req.allows(now, t) {
			continue
		}
		s := b.targetState(t.Boot())
		version := int64(0)
		if req.Model != "" {
			listed, ok := t.Models[req.Model]
			if !ok {
				continue
			}
			version = s.newestVersion(req.Model, listed)
		}
		list = append(list, candidate{target: t, state: s, version: version, hash: xxhash.Sum64String(t.ID)})
	}
	return list
}

// shortestPause returns the time until the first of the paused candidates
// accepts requests again.
func shortestPause(now time.Duration, paused []candidate) time.Duration {
	earliest := paused[0].state.pausedUntil
	for i := range paused {
		earliest = min(earliest, paused[i].state.pausedUntil)
	}
	return earliest - now
}

// allows reports whether a target may be chosen, given its software version, the state of its
// run and the targets that have been tried.
func (r *Request) allows(now time.Duration, target *fleet.Target) bool {
	if r.SoftwareVersions != nil && !r.SoftwareVersions[target.SoftwareVersion] {
		return false
	}
	if r.Continues && !r.mayContinueAt(now, target) {
		return false
	}
	if r.Allowed != nil {
		return r.Allowed[target.ID]
	}
	return !r.Excluded[target.ID]
}

// mayContinueAt reports whether a stream that has begun may go on at a target. A run that may have
// ended has to be asked for itself, and streams that wait for it don't connect all the time.
func (r *Request) mayContinueAt(now time.Duration, target *fleet.Target) bool {
	switch {
	case target.Ended:
		return false
	case target.MayHaveEnded:
		return r.AsksRun && now-target.RefusedAt >= refusedRetryDelay
	default:
		return true
	}
}

// selectCandidates returns the candidates that satisfy ok. In the usual case that all do, it
// copies nothing.
func selectCandidates(list []candidate, ok func(*candidate) bool) []candidate {
	first := 0
	for first < len(list) && ok(&list[first]) {
		first++
	}
	if first == len(list) {
		return list
	}
	selected := make([]candidate, first, len(list))
	copy(selected, list)
	for i := first + 1; i < len(list); i++ {
		if ok(&list[i]) {
			selected = append(selected, list[i])
		}
	}
	return selected
}

// preferCandidates returns the candidates that satisfy ok, or all of them if
// none does.
func preferCandidates(list []candidate, ok func(*candidate) bool) []candidate {
	if preferred := selectCandidates(list, ok); len(preferred) > 0 {
		return preferred
	}
	return list
}
