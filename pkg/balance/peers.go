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

// TargetLoad is the load that one process places on one target, and what it has learned
// about the target lately.
type TargetLoad struct {
	// InFlight is the number of requests in flight.
	InFlight int
	// Pending is the number of those requests that have no first byte yet.
	Pending int
	// Backlog is the number of prompt tokens that the target has not
	// processed yet.
	Backlog float64
	// ProgressAge is the age of the latest bytes that the process received from the
	// target; 0 if there are none that are recent.
	ProgressAge time.Duration
}

// peerReport holds the loads that a peer reported.
type peerReport struct {
	receivedAt time.Duration
	loads      map[TargetKey]TargetLoad
}

// LocalLoads returns the load that this process places on each target. Targets without
// requests and without recent progress are omitted.
func (b *Balancer) LocalLoads(now time.Duration) map[TargetKey]TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordReport(now)
	return b.localLoads(now)
}

// DrainingLoads returns the load that this process places on the targets that are
// about to change their weights or are changing them. Idle targets are omitted.
func (b *Balancer) DrainingLoads(now time.Duration) map[TargetKey]TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[TargetKey]TargetLoad{}
	for boot, s := range b.targetStates {
		if s.inFlight > 0 && s.changing(now) {
			loads[KeyOf(boot.ID)] = b.localLoad(now, s)
		}
	}
	return loads
}

func (b *Balancer) localLoads(now time.Duration) map[TargetKey]TargetLoad {
	loads := map[TargetKey]TargetLoad{}
	for boot, s := range b.targetStates {
		if load := b.localLoad(now, s); load != (TargetLoad{}) {
			key := KeyOf(boot.ID)
			loads[key] = loads[key].plus(load, 0)
		}
	}
	return loads
}

// localLoad returns the load that this process places on a run of a target.
func (b *Balancer) localLoad(now time.Duration, s *targetState) TargetLoad {
	load := TargetLoad{InFlight: s.inFlight, Pending: s.pending, ProgressAge: s.progressAge(now)}
	if s.pending > 0 {
		load.Backlog = math.Round(s.backlog(now, b.serviceStats(s.service).prefillRate, s.fleet.peers.Backlog))
	}
	return load
}

// GroupLoads returns the load that this process and the given peers place on
// each target.
func (b *Balancer) GroupLoads(now time.Duration, peers []string) map[TargetKey]TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordReport(now)
	loads := b.localLoads(now)
	for _, peer := range peers {
		report := b.peerLoads[peer]
		for key, load := range report.loads {
			loads[key] = loads[key].plus(load, now-report.receivedAt)
		}
	}
	return loads
}

// plus returns the sum of two loads on one target, of which the other one was reported
// some time ago.
func (l TargetLoad) plus(other TargetLoad, reportAge time.Duration) TargetLoad {
	sum := TargetLoad{InFlight: l.InFlight + other.InFlight, Pending: l.Pending + other.Pending, Backlog: l.Backlog + other.Backlog, ProgressAge: l.ProgressAge}
	if age := other.ProgressAge + reportAge; other.ProgressAge > 0 && age <= maxReportedProgressAge && (sum.ProgressAge == 0 || age < sum.ProgressAge) {
		sum.ProgressAge = age
	}
	return sum
}

// SetPeerLoads replaces the loads reported by a peer process with those that it reported
// now.
func (b *Balancer) SetPeerLoads(now time.Duration, peer string, loads map[TargetKey]TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, load := range loads {
		f := b.fleetTarget(key)
		if load.ProgressAge > 0 {
			f.recordProgress(now - load.ProgressAge)
		}
		f.addPeer(load, 1)
	}
	b.subtractPeer(now, peer, loads)
	for key := range loads {
		b.fleetTarget(key).updateWaiting(now, false)
	}
	b.peerLoads[peer] = peerReport{receivedAt: now, loads: loads}
}

// RemovePeer removes the loads of a peer that is no longer heard.
func (b *Balancer) RemovePeer(now time.Duration, peer string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.subtractPeer(now, peer, nil)
	delete(b.peerLoads, peer)
}

// subtractPeer subtracts the previous report of a peer from the totals. The targets of the
// next report are updated by the caller.
func (b *Balancer) subtractPeer(now time.Duration, peer string, next map[TargetKey]TargetLoad) {
	for key, load := range b.peerLoads[peer].loads {
		f := b.fleetTarget(key)
		f.addPeer(load, -1)
		if _, ok := next[key]; !ok {
			f.updateWaiting(now, false)
		}
	}
}

// addPeer adds sign times a peer's load to the total of all peers, so that the cost of
// a choice does not depend on the number of peers.
func (f *fleetTarget) addPeer(load TargetLoad, sign int) {
	f.peers.InFlight += sign * load.InFlight
	f.peers.Pending += sign * load.Pending
	f.peers.Backlog += float64(sign) * load.Backlog
	if f.peers.InFlight == 0 {
		f.peers = TargetLoad{}
	}
}

// Load returns the load that this process places on a target, and the one that
// its peers have reported.
func (b *Balancer) Load(boot fleet.Boot) (local, peers TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(boot)
	return TargetLoad{InFlight: s.inFlight, Pending: s.pending}, s.fleet.peers
}
