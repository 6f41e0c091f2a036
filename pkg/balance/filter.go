package balance

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// preferNewAfter is how long after a version was named older weights still
	// count as equal.
	preferNewAfter = 1200 * time.Millisecond
	// requireNewShare is the part of the versions' deadline, one in so many,
	// after which older weights are a last resort.
	requireNewShare = 2
	// beginMargin is how long before the deadline no more requests are sent to
	// older weights, since they may wait at the engine.
	beginMargin = 800 * time.Millisecond
	// loadingRetry is when to come back while all targets load weights.
	loadingRetry = 300 * time.Millisecond
	// noTargetRetry is when to come back while no target is known.
	noTargetRetry = time.Second
	// silenceLimit is how long a target with work may say nothing.
	silenceLimit = 700 * time.Millisecond
)

// candidate is a target that may serve the request.
type candidate struct {
	target  *fleet.Target
	state   *state
	version int64
}

// filter drops targets that can't serve the request. Among the rest it prefers,
// as long as there are any: healthy ones, those outside a weights change, and,
// once a new version is due, those that have it.
func (b *Balancer) filter(now time.Duration, req *Request, targets []fleet.Target) ([]candidate, *Refusal) {
	all := b.serving(req, targets)
	if len(all) == 0 {
		return nil, &Refusal{Reason: ReasonNoTarget, RetryAfter: noTargetRetry}
	}
	able := keep(all, func(c *candidate) bool { return now >= c.state.loadingUntil })
	if len(able) == 0 {
		return nil, &Refusal{Reason: ReasonLoading, RetryAfter: loadingRetry}
	}
	able = prefer(able, func(c *candidate) bool { return c.state.healthy(now) })
	able = prefer(able, func(c *candidate) bool { return now >= c.state.nextUntil })
	history := b.history(req.Model)
	able = prefer(able, func(c *candidate) bool {
		return history.Staleness(now, c.version) < b.versionDeadline/requireNewShare
	})
	able = keep(able, func(c *candidate) bool {
		return history.Staleness(now, c.version) < b.versionDeadline-beginMargin
	})
	if len(able) == 0 {
		return nil, &Refusal{Reason: ReasonLoading, RetryAfter: loadingRetry}
	}
	return able, nil
}

// serving returns the targets of the service that have the model.
func (b *Balancer) serving(req *Request, targets []fleet.Target) []candidate {
	list := make([]candidate, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		if t.Service != req.Service || t.Draining || req.Excluded[t.ID] {
			continue
		}
		s := b.state(t.Boot())
		version := int64(0)
		if req.Model != "" {
			listed, ok := t.Models[req.Model]
			if !ok {
				continue
			}
			version = s.weights(req.Model, listed)
		}
		list = append(list, candidate{target: t, state: s, version: version})
	}
	return list
}

func keep(list []candidate, ok func(*candidate) bool) []candidate {
	var kept []candidate
	for i := range list {
		if ok(&list[i]) {
			kept = append(kept, list[i])
		}
	}
	return kept
}

// prefer keeps the candidates that satisfy ok, or all when none does.
func prefer(list []candidate, ok func(*candidate) bool) []candidate {
	if kept := keep(list, ok); len(kept) > 0 {
		return kept
	}
	return list
}
