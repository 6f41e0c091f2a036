package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

const (
	// completeStateInterval is the interval at which a process sends its complete state to
	// its group. The other messages leave out what changes rarely.
	completeStateInterval = time.Second
	// completeStateTime is the time for which all messages hold the complete state after
	// another process has been heard, so that it needs not wait for the next one.
	completeStateTime = 300 * time.Millisecond
	// recentUsageTime is the time for which a changed usage is reported in each message, so
	// that the loss of a few messages does no harm.
	recentUsageTime = 600 * time.Millisecond
)

// stateSchedule determines which messages to the group hold the complete state.
type stateSchedule struct {
	mu             sync.Mutex
	lastCompleteAt time.Duration
	lastAt         time.Duration
	completeUntil  time.Duration
}

func newStateSchedule() *stateSchedule {
	return &stateSchedule{lastCompleteAt: -completeStateInterval, lastAt: -completeStateInterval}
}

// next reports whether the message that is sent now holds the complete state. One that
// follows the previous message late does, since its receivers may not accept recent changes
// only.
func (s *stateSchedule) next(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := now-s.lastAt > recentUsageTime/2
	s.lastAt = now
	if !late && now >= s.completeUntil && now-s.lastCompleteAt < completeStateInterval {
		return false
	}
	s.lastCompleteAt = now
	return true
}

// peerHeard makes the next messages hold the complete state for a process that has been
// heard for the first time since its start or since a time of silence.
func (s *stateSchedule) peerHeard(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeUntil = now + completeStateTime
}

// news returns what every process should know, without the engines' updates and with at most
// the given number of announced weights versions of each model.
func (e *Entry) news(now time.Duration, announcedVersions int) gossip.News {
	news := gossip.News{StoreEra: e.platform.Eras.Current(), Leaving: e.leaving.recent(now), RunFindings: e.runEnds.recent(now), Suspects: e.quarantine.table.News(time.Now()), Limits: e.balancer.Limits().Newest(now), Rollouts: e.canary.news(now)}
	e.balancer.AnnouncementAges(now, announcedVersions, func(model string, version int64, age time.Duration) {
		news.AnnouncedVersions = append(news.AnnouncedVersions, gossip.AnnouncedVersion{Model: model, Version: version, Age: age})
	})
	if config := e.config.Load(); config != nil {
		news.ConfigVersion = config.Version
	}
	return news
}

// addLeaderNews adds the leader's claim and the given engines' updates if this
// process is the leader.
func (e *Entry) addLeaderNews(news *gossip.News, engines func() []gossip.EngineStatus) {
	if fencingToken, remaining := e.lease.leaderClaim(); remaining > 0 {
		news.FencingToken, news.LeaderRemaining, news.Engines = fencingToken, remaining, engines()
	}
}

// groupMessage returns this process's state, and the states of other groups that
// it received from their hubs, for the processes of its group.
func (e *Entry) groupMessage() gossip.Message {
	now := e.uptime()
	m := gossip.Message{
		Sender: e.settings.VM, BootID: e.bootID,
		TargetLoads: e.balancer.LocalLoads(now),
		Groups:      e.members.groups.direct(now),
	}
	if e.stateSchedule.next(now) {
		m.News, m.Usage = e.news(now, balance.MaxAnnouncedVersions), e.limiter.Usage(now)
	} else {
		m.News, m.Usage, m.UsageWithin = e.news(now, 1), e.limiter.RecentUsage(now, recentUsageTime), recentUsageTime
	}
	m.Unreachable = e.balancer.Unreachable(now)
	e.canary.addReports(now, m.Rollouts, false)
	e.addLeaderNews(&m.News, func() []gossip.EngineStatus { return e.rollouts.statuses.list(now) })
	return m
}

// hubMessage returns the state of this process's group for other groups.
func (e *Entry) hubMessage() gossip.Message {
	now := e.uptime()
	e.hubSequence++
	state := gossip.Message{
		Sender: e.settings.VM, BootID: e.bootID, Sequence: e.hubSequence, News: e.news(now, balance.MaxAnnouncedVersions),
		Usage:       e.limiter.GroupUsage(now),
		TargetLoads: e.balancer.GroupLoads(now, e.members.groupPeerNames()),
	}
	e.unreachable.record(now, e.balancer.Unreachable(now))
	state.Unreachable = e.unreachable.recent(now)
	e.canary.addReports(now, state.Rollouts, true)
	e.addLeaderNews(&state.News, func() []gossip.EngineStatus { return e.rollouts.statuses.list(now) })
	if token, remaining := e.rollouts.statuses.claim(now); state.LeaderRemaining == 0 && remaining > 0 {
		state.FencingToken, state.LeaderRemaining, state.Engines = token, remaining, e.rollouts.statuses.list(now)
	}
	group := gossip.Group{Name: e.members.ownGroup(), Processes: e.members.heardInGroup() + 1, State: state}
	return gossip.Message{Sender: e.settings.VM, BootID: e.bootID, Partial: true, Groups: []gossip.Group{group}}
}

// urgentMessage returns the news that all processes need immediately.
func (e *Entry) urgentMessage() gossip.Message {
	now := e.uptime()
	m := gossip.Message{Sender: e.settings.VM, BootID: e.bootID, Partial: true, News: e.news(now, balance.MaxAnnouncedVersions)}
	e.addLeaderNews(&m.News, func() []gossip.EngineStatus { return e.rollouts.statuses.takeUrgent(now) })
	return m
}

// handlePeerMessage applies a peer's message. Messages from processes that are
// not members are ignored, except where they say that streams began: that doesn't change, and a
// process that is stopping is not listed any more.
func (e *Entry) handlePeerMessage(m gossip.Message) {
	member, sameGroup := e.members.isMember(m.Sender)
	if m.AboutStreams() {
		e.streamOrigins.handle(&m)
		return
	}
	if !member {
		return
	}
	now := e.uptime()
	e.applyNews(now, m.Sender, &m.News)
	if sameGroup && !m.Partial {
		e.applyPeerState(now, &m)
	}
	if sameGroup && m.LeaderRemaining > 0 {
		e.rollouts.statuses.record(now, &m.News)
	}
	if m.DrainReport {
		e.rollouts.drains.record(now, m.Sender, m.TargetLoads)
		e.rollouts.requestPlan()
	}
	for i := range m.Groups {
		e.applyGroup(now, m.Sender, &m.Groups[i])
	}
}

// applyPeerState applies the state of a peer of the own group.
func (e *Entry) applyPeerState(now time.Duration, m *gossip.Message) {
	if e.members.recordMessage(m.Sender, m.BootID) {
		e.stateSchedule.peerHeard(now)
		e.streamOrigins.tellMember(m.Sender)
	}
	e.unreachable.record(now, m.Unreachable)
	e.balancer.SetPeerLoads(now, m.Sender, m.TargetLoads)
	e.canary.recordReports(now, m.Sender, m.BootID, m.Rollouts)
	e.applyUsage(now, tokenrate.Report{Peer: m.Sender, Source: m.Sender, Boot: m.BootID, Processes: 1, Accounts: m.Usage, ChangesWithin: m.UsageWithin})
}

// applyGroup applies the state of another group, unless a newer one is known.
func (e *Entry) applyGroup(now time.Duration, sender string, group *gossip.Group) {
	if group.Name == e.members.ownGroup() || !e.members.groups.accept(now, group, sender) {
		return
	}
	state := &group.State
	e.applyNews(now, state.Sender, &state.News)
	e.balancer.SetPeerLoads(now, groupPeerName(group.Name), state.TargetLoads)
	e.canary.recordReports(now, groupPeerName(group.Name), "", state.Rollouts)
	e.applyUsage(now, tokenrate.Report{
		Peer: groupPeerName(group.Name), Source: state.Sender, Boot: state.BootID, Processes: group.Processes, Accounts: state.Usage,
	})
}

func (e *Entry) applyUsage(now time.Duration, report tokenrate.Report) {
	if config := e.config.Load(); config != nil {
		e.limiter.ApplyReport(now, report, config.Account)
	}
}

// applyNews applies what every process should know.
func (e *Entry) applyNews(now time.Duration, sender string, news *gossip.News) {
	e.platform.Eras.Observe(news.StoreEra)
	if news.LeaderRemaining > 0 {
		e.lease.handlePeerClaim(news.FencingToken, news.LeaderRemaining)
	}
	if config := e.config.Load(); config != nil && e.overdueDetector.recordVersion(now, news.ConfigVersion, config.Version) {
		e.log.Log(eventlog.ConfigOverdue, "peer", sender, "version", news.ConfigVersion, "in_force", config.Version)
	}
	e.balancer.AvoidUnreachable(now, news.Unreachable)
	e.runEnds.learn(now, news.RunFindings, sender)
	e.quarantine.merge(news.Suspects, sender)
	e.mergeLimits(now, news.Limits, sender)
	e.canary.learn(now, sender, news.Rollouts)
	for _, boot := range news.Leaving {
		e.leaving.learn(now, boot, sender)
	}
	for _, a := range news.AnnouncedVersions {
		e.announceVersion(now-a.Age, a.Model, a.Version, sender)
	}
	for i := range news.Engines {
		e.applyEngineStatus(now, &news.Engines[i])
	}
	if len(news.Engines) > 0 && len(e.balancer.DrainingLoads(now)) > 0 {
		e.drainReports.request()
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
