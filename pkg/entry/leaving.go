package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// leavingNewsTTL is the time for which a process tells its peers of a target that
// announced that it is leaving, after it has learned of it. The registry reports
// it later.
const leavingNewsTTL = 5 * time.Second

// leavingMemoryTTL is the time after which a process forgets that it has told its
// peers of a leaving target. It exceeds the time for which the target's entry
// remains in the registry.
const leavingMemoryTTL = time.Minute

// leavingTargets holds the runs of targets whose responses to this process or a
// peer have recently announced that they are leaving.
type leavingTargets struct {
	entry *Entry

	mu        sync.Mutex
	learnedAt map[fleet.Boot]time.Duration
}

func newLeavingTargets(entry *Entry) *leavingTargets {
	return &leavingTargets{entry: entry, learnedAt: map[fleet.Boot]time.Duration{}}
}

// observe records a response that announces that its sender is leaving, and
// tells the peers.
func (l *leavingTargets) observe(boot fleet.Boot) {
	if l.learn(l.entry.uptime(), boot, "self") {
		l.entry.gossip.SendUrgent()
	}
}

// learn excludes a leaving target from new requests and reports whether it was
// not known to be leaving. source is the peer that reported it, or "self"; it is
// logged.
func (l *leavingTargets) learn(now time.Duration, boot fleet.Boot, source string) bool {
	if !l.entry.directory.MarkLeaving(now, boot) {
		return false
	}
	l.tellPeers(now, boot)
	l.entry.log.Log(eventlog.TargetLeaving, "target", boot.ID, "born", boot.StartUnixMS, "source", source)
	return true
}

// tellPeers includes a leaving target in the messages to peers for leavingNewsTTL,
// unless it was included before.
func (l *leavingTargets) tellPeers(now time.Duration, boot fleet.Boot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, told := l.learnedAt[boot]; !told {
		l.learnedAt[boot] = now
	}
}

// recent returns the runs that this process has learned of within leavingNewsTTL,
// and forgets the oldest ones.
func (l *leavingTargets) recent(now time.Duration) []fleet.Boot {
	l.mu.Lock()
	defer l.mu.Unlock()
	var boots []fleet.Boot
	for boot, at := range l.learnedAt {
		if now-at > leavingMemoryTTL {
			delete(l.learnedAt, boot)
		}
		if now-at > leavingNewsTTL {
			continue
		}
		boots = append(boots, boot)
	}
	return boots
}
