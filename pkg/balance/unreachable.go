package balance

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// unreachableNewsTTL is the time for which a process reports a target to its
	// peers after it failed to reach it.
	unreachableNewsTTL = time.Second
	// peersAvoidDuration is the time for which a target is avoided after a peer's
	// report. It is short, since the fault may lie between the peer and the target.
	peersAvoidDuration = 500 * time.Millisecond
	// maxUnreachableFraction is the largest fraction of the targets that a credible
	// report may contain. A process that fails to reach more of them is probably
	// cut off itself.
	maxUnreachableFraction = 0.5
)

// Unreachable returns the targets that this process has recently failed to
// reach, for its peers.
func (b *Balancer) Unreachable(now time.Duration) []fleet.Boot {
	b.mu.Lock()
	defer b.mu.Unlock()
	var boots []fleet.Boot
	for boot, s := range b.targetStates {
		if s.unreachable && now-s.unreachableAt < unreachableNewsTTL {
			boots = append(boots, boot)
		}
	}
	if float64(len(boots)) > maxUnreachableFraction*float64(len(b.targetStates)) {
		return nil
	}
	return boots
}

// AvoidUnreachable makes new requests avoid for a short time the targets that a
// peer failed to reach, unless no others are left.
func (b *Balancer) AvoidUnreachable(now time.Duration, boots []fleet.Boot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, boot := range boots {
		s := b.targetState(boot)
		s.peersAvoidUntil = max(s.peersAvoidUntil, now+peersAvoidDuration)
	}
}
