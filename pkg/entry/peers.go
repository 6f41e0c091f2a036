package entry

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
)

// gossipMessage returns this process's state as a message to its peers.
func (e *Entry) gossipMessage() gossip.Message {
	m := gossip.Message{
		Sender:      e.settings.VM,
		BootID:      e.bootID,
		Usage:       e.limiter.Usage(e.uptime()),
		TargetLoads: e.balancer.LocalLoads(e.uptime()),
	}
	if config := e.config.Load(); config != nil {
		m.ConfigVersion = config.Version
	}
	m.AnnouncedVersions = e.balancer.AnnouncedVersions()
	if fencingToken, ok := e.lease.leaderFencingToken(); ok {
		m.FencingToken = fencingToken
		m.Engines = e.rollouts.engineStatuses()
	}
	return m
}

// handlePeerMessage applies a peer's state. Messages from processes that are
// not members are ignored.
func (e *Entry) handlePeerMessage(m gossip.Message) {
	if !e.members.recordMessage(m.Sender, m.BootID) {
		return
	}
	now := e.uptime()
	e.balancer.SetPeerLoads(m.Sender, m.TargetLoads)
	if config := e.config.Load(); config != nil {
		if e.overdueDetector.recordVersion(now, m.ConfigVersion, config.Version) {
			e.log.Log(eventlog.ConfigOverdue, "peer", m.Sender, "version", m.ConfigVersion, "in_force", config.Version)
		}
		e.limiter.ApplyReport(now, m.Sender, m.BootID, m.Usage, config.Account)
	}
	for model, version := range m.AnnouncedVersions {
		e.announceVersion(model, version, m.Sender)
	}
	for i := range m.Engines {
		e.applyEngineStatus(now, &m.Engines[i])
	}
}

// applyEngineStatus applies the leader's message about an engine's update.
func (e *Entry) applyEngineStatus(now time.Duration, status *gossip.EngineStatus) {
	boot := fleet.Boot{ID: status.ID, StartUnixMS: status.StartUnixMS}
	e.balancer.RecordVersion(boot, status.Model, status.Version)
	if status.CordonedMS > 0 {
		e.balancer.Cordon(boot, now+time.Duration(status.CordonedMS)*time.Millisecond)
	}
	if status.LoadingMS > 0 {
		e.balancer.SetLoading(boot, now+time.Duration(status.LoadingMS)*time.Millisecond)
	}
}
