package entry

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/targetlimit"
)

// recordLimit records the limit that a response named, or that it named none, and tells
// all processes of a change.
func (e *Entry) recordLimit(requestID string, boot fleet.Boot, sentAt time.Duration, limit call.TargetLimit) {
	change, changed := e.balancer.Limits().RecordResponse(e.uptime(), boot, sentAt, limit.Named, limit.PerSecond)
	if !changed {
		return
	}
	e.logLimit(&change, requestID, sourceSelf)
	e.gossip.SendUrgent()
}

// mergeLimits applies a peer's observations of the limits of listed targets. Those of
// targets that are gone would be passed on for ever.
func (e *Entry) mergeLimits(now time.Duration, observations []targetlimit.Observation, source string) {
	if len(observations) == 0 {
		return
	}
	listed := make([]targetlimit.Observation, 0, len(observations))
	for _, o := range observations {
		if target, ok := e.directory.Get(o.Target.ID); ok && target.Boot() == o.Target {
			listed = append(listed, o)
		}
	}
	changes := e.balancer.Limits().Merge(now, listed)
	for i := range changes {
		e.logLimit(&changes[i], "", source)
	}
}

func (e *Entry) logLimit(change *targetlimit.Change, requestID, source string) {
	if !change.Limited {
		e.log.Log(eventlog.TargetLimitEnded, "request_id", requestID, "target", change.Target.ID, "born", change.Target.StartUnixMS, "source", source)
		return
	}
	e.log.Log(eventlog.TargetLimitNamed, "request_id", requestID, "target", change.Target.ID, "born", change.Target.StartUnixMS,
		"per_second", change.PerSecond, "share", change.Share, "source", source)
}

// pruneLimits forgets the limits of targets that are no longer listed.
func (e *Entry) pruneLimits(targets []fleet.Target) {
	listed := make(map[fleet.Boot]bool, len(targets))
	for i := range targets {
		listed[targets[i].Boot()] = true
	}
	e.balancer.Limits().Prune(func(target fleet.Boot) bool { return listed[target] })
}
