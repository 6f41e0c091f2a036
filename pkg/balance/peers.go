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
	// Drain holds the process's samples of the target's drain rate. Not every report
	// holds them.
	Drain DrainSums
	// Pace is the latest figure of a target on which work takes longer than usual; zero if
	// there is none.
	Pace Pace
}

// peerReport holds the loads that a peer reported.
type peerReport struct {
	receivedAt time.Duration
	loads      map[TargetKey]TargetLoad
	// drains holds the latest samples of drain rates by target.
	drains map[TargetKey]decayedSums
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
			loads[KeyOf(boot.ID)] = TargetLoad{InFlight: s.inFlight, Pending: s.pending, Backlog: b.reportedBacklog(now, s)}
		}
	}
	return loads
}

func (b *Balancer) localLoads(now time.Duration) map[TargetKey]TargetLoad {
	loads := map[TargetKey]TargetLoad{}
	for boot, s := range b.targetStates {
		key := KeyOf(boot.ID)
		if load := b.localLoad(now, key, s); load != (TargetLoad{}) {
			sum := loads[key].plus(load, 0)
			sum.Drain = sum.Drain.plus(load.Drain)
			loads[key] = sum
		}
	}
	return loads
}

// localLoad returns the load that this process places on a run of a target.
func (b *Balancer) localLoad(now time.Duration, key TargetKey, s *targetState) TargetLoad {
	load := TargetLoad{InFlight: s.inFlight, Pending: s.pending, Backlog: b.reportedBacklog(now, s), ProgressAge: s.progressAge(now)}
	if !b.isAdaptive(b.serviceStats(s.service)) {
		return load
	}
	load.Pace = s.ownPace.reported(now)
	if b.sharesDrain && b.reportsDrain(key) {
		load.Drain = s.drain.current(now).reported()
	}
	return load
}

// ShareDrain sets whether this process reports its samples of drain rates to its peers. In a small
// fleet each process has enough samples of its own; those of others were taken behind other queues
// and hide how much the targets differ. In a large one a process sees each target too rarely.
func (b *Balancer) ShareDrain(shares bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharesDrain = shares
}

// reportsDrain reports whether the current report holds the samples for a target.
func (b *Balancer) reportsDrain(key TargetKey) bool {
	return int(key%drainReportCycle) == b.reportCount%drainReportCycle
}

// reportedBacklog returns the backlog of this process at the target as reported to peers.
func (b *Balancer) reportedBacklog(now time.Duration, s *targetState) float64 {
	if s.pending == 0 {
		return 0
	}
	return math.Round(b.localBacklog(now, s, b.serviceStats(s.service)))
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
			if sum := loads[key].plus(load, now-report.receivedAt); sum != (TargetLoad{}) {
				loads[key] = sum
			}
		}
		for key, drain := range report.drains {
			if sums := drain.current(now).reported(); b.reportsDrain(key) && !sums.isZero() {
				load := loads[key]
				load.Drain = load.Drain.plus(sums)
				loads[key] = load
			}
		}
	}
	return loads
}

// plus returns the sum of two loads on one target, of which the other one was reported
// some time ago.
func (l TargetLoad) plus(other TargetLoad, reportAge time.Duration) TargetLoad {
	sum := TargetLoad{InFlight: l.InFlight + other.InFlight, Pending: l.Pending + other.Pending, Backlog: l.Backlog + other.Backlog, ProgressAge: l.ProgressAge, Drain: l.Drain, Pace: l.Pace.younger(other.Pace, reportAge)}
	if age := other.ProgressAge + reportAge; other.ProgressAge > 0 && age <= maxReportedProgressAge && (sum.ProgressAge == 0 || age < sum.ProgressAge) {
		sum.ProgressAge = age
	}
	return sum
}

// reported returns the sums as they are sent to peers; zero if they are too small.
func (d DrainSums) reported() DrainSums {
	if d.isZero() {
		return DrainSums{}
	}
	return d
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
		if load.Pace.Factor > 0 {
			f.pace.record(now-load.Pace.Age, load.Pace.Factor)
		}
		f.addPeer(load, 1)
	}
	b.subtractPeer(now, peer, loads)
	for key := range loads {
		b.fleetTarget(key).updateWaiting(now, false)
	}
	report := peerReport{receivedAt: now, loads: loads, drains: b.peerLoads[peer].drains}
	if report.drains == nil {
		report.drains = map[TargetKey]decayedSums{}
	}
	for key, load := range loads {
		if !load.Drain.isZero() {
			b.fleetTarget(key).setPeerDrain(now, report.drains[key], load.Drain)
			report.drains[key] = decayedSums{sums: load.Drain, at: now}
		}
	}
	b.peerLoads[peer] = report
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
