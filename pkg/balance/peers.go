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
	return b.localLoads(now, func(*targetState) bool { return true })
}

// DrainingLoads returns the load that this process places on the targets that are
// about to change their weights or are changing them. Idle targets are omitted.
func (b *Balancer) DrainingLoads(now time.Duration) map[TargetKey]TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.localLoads(now, func(s *targetState) bool { return s.changing(now) })
}

func (b *Balancer) localLoads(now time.Duration, include func(*targetState) bool) map[TargetKey]TargetLoad {
	loads := map[TargetKey]TargetLoad{}
	for boot, s := range b.targetStates {
		if s.inFlight > 0 && include(s) {
			backlog := math.Round(s.backlog(now, b.serviceStats(s.service).prefillRate, b.peerLoad(boot.ID).Backlog))
			loads[KeyOf(boot.ID)] = TargetLoad{InFlight: s.inFlight, Pending: s.pending, Backlog: backlog}
		}
	}
	return loads
}

// GroupLoads returns the load that this process and the given peers place on
// each target.
func (b *Balancer) GroupLoads(now time.Duration, peers []string) map[TargetKey]TargetLoad {
	loads := b.LocalLoads(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, peer := range peers {
		for key, load := range b.peerLoads[peer] {
			loads[key] = loads[key].plus(load)
		}
	}
	return loads
}

// plus returns the sum of two loads on one target.
func (l TargetLoad) plus(other TargetLoad) TargetLoad {
	return TargetLoad{InFlight: l.InFlight + other.InFlight, Pending: l.Pending + other.Pending, Backlog: l.Backlog + other.Backlog}
}

// SetPeerLoads replaces the loads reported by a peer process; nil removes the
// peer.
func (b *Balancer) SetPeerLoads(peer string, loads map[TargetKey]TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, load := range b.peerLoads[peer] {
		b.addPeerTotal(key, load, -1)
	}
	for key, load := range loads {
		b.addPeerTotal(key, load, 1)
	}
	if loads == nil {
		delete(b.peerLoads, peer)
		return
	}
	b.peerLoads[peer] = loads
}

// addPeerTotal adds sign times a peer's load to the total of all peers, so that
// the cost of a choice does not depend on the number of peers.
func (b *Balancer) addPeerTotal(key TargetKey, load TargetLoad, sign int) {
	total := b.peerTotals[key]
	total.InFlight += sign * load.InFlight
	total.Pending += sign * load.Pending
	total.Backlog += float64(sign) * load.Backlog
	if total.InFlight == 0 {
		delete(b.peerTotals, key)
		return
	}
	b.peerTotals[key] = total
}

// peerLoad returns the load that all peers place on a target.
func (b *Balancer) peerLoad(targetID string) TargetLoad {
	return b.peerTotals[KeyOf(targetID)]
}

// Load returns the load that this process places on a target, and the one that
// its peers have reported.
func (b *Balancer) Load(boot fleet.Boot) (local, peers TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(boot)
	return TargetLoad{InFlight: s.inFlight, Pending: s.pending}, b.peerLoad(boot.ID)
}
