package entry

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
)

// message is this process's state for its peers.
func (e *Entry) message() gossip.Message {
	m := gossip.Message{
		From:  e.settings.VM,
		Boot:  e.boot,
		Usage: e.limiter.Usage(e.now()),
		Work:  e.balancer.LocalLoads(e.now()),
	}
	if config := e.config.Load(); config != nil {
		m.Config = config.Version
	}
	m.Named = e.balancer.AnnouncedVersions()
	if fence, ok := e.lease.leading(); ok {
		m.Fence = fence
		m.Engines = e.rollouts.notices()
	}
	return m
}

// received takes a peer's state.
func (e *Entry) received(m gossip.Message) {
	if !e.members.heard(m.From, m.Boot) {
		return
	}
	now := e.now()
	e.balancer.SetPeerLoads(m.From, m.Work)
	if config := e.config.Load(); config != nil {
		if e.overdue.heard(now, m.Config, config.Version) {
			e.log.Log(eventlog.ConfigOverdue, "peer", m.From, "version", m.Config, "in_force", config.Version)
		}
		e.limiter.ApplyReport(now, m.From, m.Boot, m.Usage, config.Account)
	}
	for model, version := range m.Named {
		e.nameWeights(model, version, m.From)
	}
	for i := range m.Engines {
		e.engineNotice(now, &m.Engines[i])
	}
}

// engineNotice takes what the leader says of an engine.
func (e *Entry) engineNotice(now time.Duration, n *gossip.Engine) {
	boot := fleet.Boot{ID: n.ID, StartUnixMS: n.Born}
	e.balancer.RecordVersion(boot, n.Model, n.Version)
	if n.FreeMS > 0 {
		e.balancer.Cordon(boot, now+time.Duration(n.FreeMS)*time.Millisecond)
	}
	if n.LoadingMS > 0 {
		e.balancer.SetLoading(boot, now+time.Duration(n.LoadingMS)*time.Millisecond)
	}
}
