package entry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

const (
	// operatorWait is how long a watch of the operators' keys stays open: a
	// watch that the store has forgotten is noticed soon after it.
	operatorWait = 1300 * time.Millisecond
	// targetWait and targetSpacing are those of the targets' entries, which
	// change all the time.
	targetWait    = time.Second
	targetSpacing = 900 * time.Millisecond
	// ownWait is that of the system's own keys.
	ownWait = 3 * time.Second
)

// contact logs when a feed loses or regains the store.
type contact struct {
	mu     sync.Mutex
	e      *Entry
	feed   string
	lostAt time.Duration
	lost   bool
}

func (c *contact) note(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.e.now()
	switch {
	case err != nil && !c.lost:
		c.lost, c.lostAt = true, now
		c.e.log.Log(eventlog.StoreLost, "feed", c.feed, "err", err)
	case err == nil && c.lost:
		c.lost = false
		c.e.log.Log(eventlog.StoreRegained, "feed", c.feed, "away_ms", (now - c.lostAt).Milliseconds())
	}
}

// followOperator keeps the configuration and the named weights up to date.
func (e *Entry) followOperator(ctx context.Context) {
	c := &contact{e: e, feed: "operator"}
	follower := kv.Follower{
		Store: e.platform.Store, Prefix: e.platform.Keys.OperatorPrefix, Wait: operatorWait,
		Hurry:     e.overdue.hurry,
		OnUpdate:  e.operatorUpdate,
		OnContact: c.note,
	}
	follower.Run(ctx)
}

func (e *Entry) operatorUpdate(u kv.Update) {
	for _, entry := range u.Entries {
		e.operatorEntry(entry)
	}
	for _, change := range u.Changes {
		if !change.Deleted {
			e.operatorEntry(change.Entry)
		}
	}
}

func (e *Entry) operatorEntry(entry kv.Entry) {
	switch {
	case entry.Key == e.platform.Keys.ConfigKey:
		e.takeConfig(entry.Value)
	case strings.HasPrefix(entry.Key, e.platform.Keys.WeightsVersionsPrefix):
		e.takeWeights(entry.Value)
	}
}

// takeConfig puts a newer configuration in force. Versions never go back.
func (e *Entry) takeConfig(data []byte) {
	config, err := e.platform.DecodeConfig(data)
	inForce := e.config.Load()
	was := int64(0)
	if inForce != nil {
		was = inForce.Version
	}
	if err != nil {
		e.log.Log(eventlog.ConfigRejected, "err", err, "in_force", was)
		return
	}
	if inForce != nil && config.Version <= was {
		return
	}
	e.config.Store(config)
	e.log.Log(eventlog.ConfigInForce, "version", config.Version, "was", was)
	e.ready.configured.Store(true)
}

func (e *Entry) takeWeights(data []byte) {
	model, version, err := e.platform.DecodeWeightsVersion(data)
	if err != nil {
		e.log.Log(eventlog.ConfigRejected, "err", err, "in_force", 0)
		return
	}
	e.nameWeights(model, version, "store")
}

// nameWeights notes the version named for a model; source says who told.
func (e *Entry) nameWeights(model string, version int64, source string) {
	if e.balancer.AnnounceVersion(e.now(), model, version) {
		e.rollouts.poke()
		e.log.Log(eventlog.WeightsNamed, "model", model, "version", version, "source", source)
	}
}

// followTargets keeps the directory of targets up to date.
func (e *Entry) followTargets(ctx context.Context) {
	c := &contact{e: e, feed: "targets"}
	follower := kv.Follower{
		Store: e.platform.Store, Prefix: e.platform.Keys.TargetsPrefix, Wait: targetWait, Spacing: targetSpacing,
		OnUpdate: e.targetUpdate,
		OnContact: func(err error) {
			c.note(err)
			e.directory.SetRegistryUnavailable(e.now(), err != nil)
		},
	}
	follower.Run(ctx)
}

func (e *Entry) targetUpdate(u kv.Update) {
	if u.Full {
		e.replaceTargets(u)
		return
	}
	for _, change := range u.Changes {
		id := strings.TrimPrefix(change.Key, e.platform.Keys.TargetsPrefix)
		if change.Deleted {
			e.removeTarget(id, change.Revision)
			continue
		}
		target, err := e.platform.DecodeTarget(id, change.Value)
		if err != nil {
			e.log.Log(eventlog.TargetUnreadable, "target", id, "err", err)
			e.directory.Remove(e.now(), id)
			continue
		}
		e.putTarget(target, change.Revision)
	}
}

func (e *Entry) replaceTargets(u kv.Update) {
	targets := make([]fleet.Target, 0, len(u.Entries))
	for _, entry := range u.Entries {
		id := strings.TrimPrefix(entry.Key, e.platform.Keys.TargetsPrefix)
		target, err := e.platform.DecodeTarget(id, entry.Value)
		if err != nil {
			e.log.Log(eventlog.TargetUnreadable, "target", id, "err", err)
			continue
		}
		targets = append(targets, target)
		e.logTarget(&target, entry.Revision)
	}
	e.directory.Replace(e.now(), targets)
	e.ready.listed.Store(true)
}

// putTarget replaces a target's entry and logs what changed of it.
func (e *Entry) putTarget(target fleet.Target, revision uint64) {
	old, known := e.directory.Get(target.ID)
	if !known || old.Draining != target.Draining || old.StartUnixMS != target.StartUnixMS || old.Address != target.Address {
		e.logTarget(&target, revision)
	}
	e.directory.Put(target)
}

func (e *Entry) logTarget(t *fleet.Target, revision uint64) {
	e.log.Log(eventlog.TargetListed, "target", t.ID, "service", t.Service, "address", t.Address,
		"data_centre", t.DataCentre, "draining", t.Draining, "born", t.StartUnixMS, "revision", revision)
}

func (e *Entry) removeTarget(id string, revision uint64) {
	e.log.Log(eventlog.TargetRemoved, "target", id, "revision", revision)
	e.directory.Remove(e.now(), id)
}
