package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// feedMonitor logs when a feed loses or regains its connection to a store.
type feedMonitor struct {
	mu             sync.Mutex
	entry          *Entry
	feed           string
	disconnectedAt time.Duration
	disconnected   bool
	// rejected is set while the store rejects calls because of their rate.
	rejected bool
}

// record processes the result of a call. A call that the store rejected, for
// example because its history is compacted, shows that the store is reachable.
func (m *feedMonitor) record(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.entry.uptime()
	if errors.Is(err, kv.ErrCompacted) {
		m.entry.log.Log(eventlog.FeedRelisted, "feed", m.feed, "era", m.entry.platform.Eras.Current())
	}
	rejected := errors.Is(err, kv.ErrBudgetExhausted)
	if rejected && !m.rejected {
		m.entry.log.Log(eventlog.StoreCallsRejected, "feed", m.feed, "err", err)
	}
	m.rejected = rejected
	lost := !kv.Answered(err)
	switch {
	case lost && !m.disconnected:
		m.disconnected, m.disconnectedAt = true, now
		m.entry.log.Log(eventlog.StoreLost, "feed", m.feed, "err", err)
	case !lost && m.disconnected:
		m.disconnected = false
		m.entry.log.Log(eventlog.StoreRegained, "feed", m.feed, "away_ms", (now - m.disconnectedAt).Milliseconds())
	}
}

// followOperatorKeys keeps the configuration and the announced weights versions
// up to date.
func (e *Entry) followOperatorKeys(ctx context.Context) {
	monitor := &feedMonitor{entry: e, feed: "operator"}
	follower := kv.Follower{
		Store: e.platform.Store, Prefix: e.platform.Keys.OperatorPrefix, WatchTimeout: e.members.operatorWatchTimeout,
		Relist:   e.overdueDetector.relist,
		OnUpdate: e.applyOperatorUpdate,
		OnResult: monitor.record,
	}
	follower.Run(ctx)
}

func (e *Entry) applyOperatorUpdate(u kv.Update) {
	for _, entry := range u.Entries {
		e.applyOperatorEntry(entry)
	}
	for _, change := range u.Changes {
		if !change.Deleted {
			e.applyOperatorEntry(change.Entry)
		}
	}
}

func (e *Entry) applyOperatorEntry(entry kv.Entry) {
	switch {
	case entry.Key == e.platform.Keys.ConfigKey:
		e.applyConfig(entry.Value)
	case strings.HasPrefix(entry.Key, e.platform.Keys.WeightsVersionsPrefix):
		e.applyWeightsVersion(entry.Value)
	case strings.HasPrefix(entry.Key, e.platform.Keys.RolloutsPrefix):
		e.canary.applyOrder(&entry)
	}
}

// applyConfig applies a newer configuration. Older versions are ignored, so
// that the version in force never decreases.
func (e *Entry) applyConfig(data []byte) {
	config, err := e.platform.DecodeConfig(data)
	inForce := e.config.Load()
	previousVersion := int64(0)
	if inForce != nil {
		previousVersion = inForce.Version
	}
	if err != nil {
		e.log.Log(eventlog.ConfigRejected, "err", err, "in_force", previousVersion)
		return
	}
	if inForce != nil && config.Version <= previousVersion {
		return
	}
	e.config.Store(config)
	e.log.Log(eventlog.ConfigInForce, "version", config.Version, "was", previousVersion)
	e.streamOrigins.table.SetHoldTime(e.software.holdTime())
	e.ready.configured.Store(true)
}

func (e *Entry) applyWeightsVersion(data []byte) {
	model, version, err := e.platform.DecodeWeightsVersion(data)
	if err != nil {
		e.log.Log(eventlog.ConfigRejected, "err", err, "in_force", 0)
		return
	}
	e.announceVersion(e.uptime(), model, version, "store")
}

// announceVersion records a weights version of a model that was announced at the
// given time and, if it is newer than all known ones, triggers a rollout. source
// is the peer that sent the version, or "store"; it is logged.
func (e *Entry) announceVersion(at time.Duration, model string, version int64, source string) {
	if e.balancer.AnnounceVersion(at, model, version) {
		e.rollouts.requestPlan()
		e.log.Log(eventlog.WeightsNamed, "model", model, "version", version, "source", source, "age_ms", (e.uptime() - at).Milliseconds())
	}
}

// followTargets keeps the directory of targets up to date.
func (e *Entry) followTargets(ctx context.Context) {
	monitor := &feedMonitor{entry: e, feed: "targets"}
	follower := kv.Follower{
		Store: e.platform.Store, Prefix: e.platform.Keys.TargetsPrefix,
		WatchTimeout: func() time.Duration { return targetWatchTimeout }, MinInterval: e.targetWatchInterval,
		OnUpdate: e.applyTargetUpdate,
		OnResult: func(err error) {
			monitor.record(err)
			e.directory.SetRegistryUnavailable(e.uptime(), !kv.Answered(err))
			if err == nil {
				e.directory.RegistryRead(e.uptime())
			}
		},
	}
	follower.Run(ctx)
}

func (e *Entry) applyTargetUpdate(u kv.Update) {
	defer e.software.observeTargets()
	defer e.quarantine.reconsider()
	if u.Full {
		e.replaceTargets(u)
		return
	}
	for _, change := range u.Changes {
		id := strings.TrimPrefix(change.Key, e.platform.Keys.TargetsPrefix)
		if change.Deleted {
			delete(e.unreadableTargets, id)
			e.removeTarget(id, change.Revision)
			continue
		}
		if target, ok := e.decodeTarget(id, &change.Entry); ok {
			e.putTarget(target, change.Revision)
		} else {
			e.directory.Remove(e.uptime(), id)
		}
	}
}

// decodeTarget decodes a target's entry. One that names no target to use is logged once for each
// write.
func (e *Entry) decodeTarget(id string, entry *kv.Entry) (target fleet.Target, ok bool) {
	target, err := e.platform.DecodeTarget(id, entry.Value)
	if err == nil {
		delete(e.unreadableTargets, id)
		return target, true
	}
	if e.unreadableTargets[id] != entry.Revision {
		e.unreadableTargets[id] = entry.Revision
		e.log.Log(eventlog.TargetUnreadable, "target", id, "revision", entry.Revision, "err", err)
	}
	return fleet.Target{}, false
}

func (e *Entry) replaceTargets(u kv.Update) {
	targets := make([]fleet.Target, 0, len(u.Entries))
	unreadable := e.unreadableTargets
	e.unreadableTargets = map[string]uint64{}
	for i := range u.Entries {
		entry := &u.Entries[i]
		id := strings.TrimPrefix(entry.Key, e.platform.Keys.TargetsPrefix)
		if revision, ok := unreadable[id]; ok {
			e.unreadableTargets[id] = revision
		}
		target, ok := e.decodeTarget(id, entry)
		if !ok {
			continue
		}
		targets = append(targets, target)
		e.logTarget(&target, entry.Revision)
	}
	e.directory.Replace(e.uptime(), targets)
	e.ready.targetsListed.Store(true)
}

// putTarget replaces a target's entry. It logs the target if it is new, has
// restarted, has changed its address or software, or has started or stopped draining.
func (e *Entry) putTarget(target fleet.Target, revision uint64) {
	if target.Draining {
		e.leaving.tellPeers(e.uptime(), target.Boot())
	}
	old, listed := e.directory.Get(target.ID)
	if !listed || old.Draining != target.Draining || old.Boot() != target.Boot() || old.Address != target.Address || old.SoftwareVersion != target.SoftwareVersion {
		e.logTarget(&target, revision)
	}
	e.directory.Put(e.uptime(), target)
}

func (e *Entry) logTarget(t *fleet.Target, revision uint64) {
	e.log.Log(eventlog.TargetListed, "target", t.ID, "service", t.Service, "address", t.Address,
		"data_centre", t.DataCentre, "draining", t.Draining, "born", t.StartUnixMS, "software", t.SoftwareVersion, "revision", revision)
}

func (e *Entry) removeTarget(id string, revision uint64) {
	e.log.Log(eventlog.TargetRemoved, "target", id, "revision", revision)
	e.directory.Remove(e.uptime(), id)
}
