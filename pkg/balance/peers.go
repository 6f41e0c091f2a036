package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TargetKey is a hash of a target's identifier, used in messages between
// processes. Targets whose hashes collide share their counts, which affects
// only the quality of the choice.
type TargetKey uint32

// KeyOf returns the key for a target identifier.
func KeyOf(id string) TargetKey {
	return TargetKey(xxhash.Sum64String(id))
}

// Share is the load that one process places on one target.
type Share struct {
	// Running is the number of requests in flight.
	Running int
	// Unstarted is the number of those requests that have no first byte yet.
	Unstarted int
	// Backlog is the number of prompt tokens that the target has not
	// processed yet.
	Backlog float64
}

// Own returns the load that this process places on each target. Idle targets
// are omitted.
func (b *Balancer) Own(now time.Duration) map[TargetKey]Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[TargetKey]Share{}
	for boot, s := range b.targetStates {
		if s.inFlight > 0 {
			backlog := math.Round(s.backlog(now, b.serviceStats(s.service).prefillRate))
			loads[KeyOf(boot.ID)] = Share{Running: s.inFlight, Unstarted: s.pending, Backlog: backlog}
		}
	}
	return loads
}

// SetPeer replaces the loads reported by a peer process; nil removes the peer.
func (b *Balancer) SetPeer(peer string, loads map[TargetKey]Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if loads == nil {
		delete(b.peerLoads, peer)
		return
	}
	b.peerLoads[peer] = loads
}

func (b *Balancer) peerLoad(targetID string) Share {
	var sum Share
	key := KeyOf(targetID)
	for _, loads := range b.peerLoads {
		load := loads[key]
		sum.Running += load.Running
		sum.Unstarted += load.Unstarted
		sum.Backlog += load.Backlog
	}
	return sum
}

// Unstarted returns the number of requests at a target that have no first byte
// yet, over all processes.
func (b *Balancer) Unstarted(boot fleet.Boot) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targetState(boot).pending + b.peerLoad(boot.ID).Unstarted
}

// Running returns the number of requests in flight at a target, over all
// processes.
func (b *Balancer) Running(boot fleet.Boot) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targetState(boot).inFlight + b.peerLoad(boot.ID).Running
}
