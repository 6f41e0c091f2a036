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
	l.mu.Lock()
	l.learnedAt[boot] = now
	l.mu.Unlock()
	l.entry.log.Log(eventlog.TargetLeaving, "target", boot.ID, "born", boot.StartUnixMS, "source", source)
	return true
}

// recent returns the runs that this process has learned of within leavingNewsTTL,
// and forgets older ones.
func (l *leavingTargets) recent(now time.Duration) []fleet.Boot {
	l.mu.Lock()
	defer l.mu.Unlock()
	var boots []fleet.Boot
	for boot, at := range l.learnedAt {
		if now-at > leavingNewsTTL {
			delete(l.learnedAt, boot)
			continue
		}
		boots = append(boots, boot)
	}
	return boots
}
