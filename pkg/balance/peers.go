package balance

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TargetKey stands for a target's identifier in messages between processes. Two
// targets with the same key share their counts, which costs a worse choice.
type TargetKey uint32

// KeyOf returns the key of a target's identifier.
func KeyOf(id string) TargetKey {
	return TargetKey(xxhash.Sum64String(id))
}

// TargetLoad is one process's work at one target.
type TargetLoad struct {
	InFlight int
	Pending  int
	// Backlog is the prompt tokens there that are not read yet.
	Backlog float64
}

// LocalLoads returns this process's work by target, idle targets left out.
func (b *Balancer) LocalLoads(now time.Duration) map[TargetKey]TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	shares := map[TargetKey]TargetLoad{}
	for boot, s := range b.states {
		if s.running > 0 {
			backlog := math.Round(s.backlog(now, b.service(s.service).prefillRate))
			shares[KeyOf(boot.ID)] = TargetLoad{InFlight: s.running, Pending: s.unstarted, Backlog: backlog}
		}
	}
	return shares
}

// SetPeerLoads replaces what a peer process has at the targets; nil forgets it.
func (b *Balancer) SetPeerLoads(peer string, shares map[TargetKey]TargetLoad) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if shares == nil {
		delete(b.peers, peer)
		return
	}
	b.peers[peer] = shares
}

func (b *Balancer) peerShare(targetID string) TargetLoad {
	var sum TargetLoad
	key := KeyOf(targetID)
	for _, shares := range b.peers {
		share := shares[key]
		sum.InFlight += share.InFlight
		sum.Pending += share.Pending
		sum.Backlog += share.Backlog
	}
	return sum
}

// Pending returns the requests without a first byte at a target, over all
// processes.
func (b *Balancer) Pending(boot fleet.Boot) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(boot).unstarted + b.peerShare(boot.ID).Pending
}

// InFlight returns the requests at a target, over all processes.
func (b *Balancer) InFlight(boot fleet.Boot) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(boot).running + b.peerShare(boot.ID).InFlight
}
