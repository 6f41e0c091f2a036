package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
)

// statusTTL is the time for which messages to peers include an engine after its
// status was last updated.
const statusTTL = 1500 * time.Millisecond

// statusBoard holds the leader's view of the engines' updates, for messages to
// peers. The leader fills it; a hub that hears the leader records it in order to
// pass it on to other groups.
type statusBoard struct {
	mu       sync.Mutex
	statuses map[fleet.Boot]*engineStatus
	// urgent holds the engines whose phase has changed since the last urgent
	// message.
	urgent map[fleet.Boot]bool
	// fencingToken and leaderUntil are the claim of the leader that the statuses
	// were recorded from.
	fencingToken uint64
	leaderUntil  time.Duration
}

// engineStatus is the state of an engine's update.
type engineStatus struct {
	model         string
	version       int64
	updatedAt     time.Duration
	cordonedUntil time.Duration
	loadingUntil  time.Duration
}

func newStatusBoard() *statusBoard {
	return &statusBoard{statuses: map[fleet.Boot]*engineStatus{}, urgent: map[fleet.Boot]bool{}}
}

// setCordoned records that an engine is cordoned until the given time. It reports
// whether that begins a new phase, which peers need to know immediately.
func (b *statusBoard) setCordoned(now time.Duration, boot fleet.Boot, model string, until time.Duration) bool {
	return b.update(now, boot, model, func(s *engineStatus) bool {
		begins := now >= s.cordonedUntil
		s.cordonedUntil = until
		return begins
	})
}

// setLoading records that an engine is expected to load weights until the given
// time. It reports whether that begins a new phase.
func (b *statusBoard) setLoading(now time.Duration, boot fleet.Boot, model string, until time.Duration) bool {
	return b.update(now, boot, model, func(s *engineStatus) bool {
		begins := now >= s.loadingUntil
		s.loadingUntil = until
		return begins
	})
}

// setDone records that an engine serves a version.
func (b *statusBoard) setDone(now time.Duration, boot fleet.Boot, model string, version int64) {
	b.update(now, boot, model, func(s *engineStatus) bool {
		s.version, s.cordonedUntil, s.loadingUntil = version, 0, 0
		return true
	})
}

func (b *statusBoard) update(now time.Duration, boot fleet.Boot, model string, change func(*engineStatus) bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	status, ok := b.statuses[boot]
	if !ok {
		status = &engineStatus{}
		b.statuses[boot] = status
	}
	status.model, status.updatedAt = model, now
	urgent := change(status)
	if urgent {
		b.urgent[boot] = true
	}
	return urgent
}

// inTurn reports whether an engine is cordoned or loading weights.
func (b *statusBoard) inTurn(now time.Duration, boot fleet.Boot) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	status, ok := b.statuses[boot]
	return ok && (now < status.cordonedUntil || now < status.loadingUntil)
}

// record records the leader's news, received from the leader itself.
func (b *statusBoard) record(now time.Duration, news *gossip.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fencingToken, b.leaderUntil = news.FencingToken, now+news.LeaderRemaining
	for i := range news.Engines {
		e := &news.Engines[i]
		b.statuses[fleet.Boot{ID: e.ID, StartUnixMS: e.StartUnixMS}] = &engineStatus{
			model: e.Model, version: e.Version, updatedAt: now,
			cordonedUntil: now + time.Duration(e.CordonedMS)*time.Millisecond,
			loadingUntil:  now + time.Duration(e.LoadingMS)*time.Millisecond,
		}
	}
}

// claim returns the claim of the leader that the statuses were recorded from, and
// the time for which it remains valid; 0 if there is none.
func (b *statusBoard) claim(now time.Duration) (fencingToken uint64, remaining time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now >= b.leaderUntil {
		return 0, 0
	}
	return b.fencingToken, b.leaderUntil - now
}

// list returns the statuses that were updated within statusTTL, and discards
// older ones.
func (b *statusBoard) list(now time.Duration) []gossip.EngineStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []gossip.EngineStatus
	for boot, status := range b.statuses {
		if now-status.updatedAt > statusTTL {
			delete(b.statuses, boot)
			continue
		}
		list = append(list, status.message(now, boot))
	}
	return list
}

// takeUrgent returns the statuses whose phase has changed since the last call.
func (b *statusBoard) takeUrgent(now time.Duration) []gossip.EngineStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []gossip.EngineStatus
	for boot := range b.urgent {
		if status, ok := b.statuses[boot]; ok {
			list = append(list, status.message(now, boot))
		}
	}
	clear(b.urgent)
	return list
}

func (s *engineStatus) message(now time.Duration, boot fleet.Boot) gossip.EngineStatus {
	return gossip.EngineStatus{
		ID: boot.ID, StartUnixMS: boot.StartUnixMS, Model: s.model, Version: s.version,
		CordonedMS: max(0, s.cordonedUntil-now).Milliseconds(),
		LoadingMS:  max(0, s.loadingUntil-now).Milliseconds(),
	}
}
