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

// TargetLoad is the load that one process places on one target.
type TargetLoad struct {
	// InFlight is the number of requests in flight.
	InFlight int
	// Pending is the number of those requests that have no first byte yet.
	Pending int
	// Backlog is the number of prompt tokens that the target has not
	// processed yet.
	Backlog float64
}

// LocalLoads returns the load that this process places on each target. Idle
// targets are omitted.
func (b *Balancer) LocalLoads(now time.Duration) map[TargetKey]TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[TargetKey]TargetLoad{}
	for boot, s := range b.targetStates {
		if s.inFlight > 0 {
			backlog := math.Round(s.backlog(now, b.serviceStats(s.service).prefillRate))
			loads[KeyOf(boot.ID)] = TargetLoad{InFlight: s.inFlight, Pending: s.pending, Backlog: backlog}
		}
	}
	return loads
}

// SetPeerLoads replaces the loads reported by a peer process; nil removes the
// peer.
func (b *Balancer) SetPeerLoads(peer string, loads map[TargetKey]TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if loads == nil {
		delete(b.peerLoads, peer)
		return
	}
	b.peerLoads[peer] = loads
}

func (b *Balancer) peerLoad(targetID string) TargetLoad {
	var sum TargetLoad
	key := KeyOf(targetID)
	for _, loads := range b.peerLoads {
		load := loads[key]
		sum.InFlight += load.InFlight
		sum.Pending += load.Pending
		sum.Backlog += load.Backlog
	}
	return sum
}

// Pending returns the number of requests at a target that have no first byte
// yet, over all processes.
func (b *Balancer) Pending(boot fleet.Boot) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targetState(boot).pending + b.peerLoad(boot.ID).Pending
}

// InFlight returns the number of requests in flight at a target, over all
// processes.
func (b *Balancer) InFlight(boot fleet.Boot) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targetState(boot).inFlight + b.peerLoad(boot.ID).InFlight
}
