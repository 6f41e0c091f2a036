package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// runNewsTTL is the time for which a process tells its peers what it has learned of a run
	// of a target. The registry reports it later.
	runNewsTTL = 5 * time.Second
	// runMemoryTTL is the time after which a process forgets that it has told its peers of a
	// run. It exceeds the time for which the run's entry remains in the registry.
	runMemoryTTL = time.Minute
)

// runNews holds runs of targets of which this process or a peer has learned something before
// the registry reports it: that they are leaving.
type runNews struct {
	entry *Entry
	// mark records the news in the directory, and reports whether it was not known.
	mark func(now time.Duration, boot fleet.Boot) bool
	// event is logged for each run, with the peer that reported it, or self.
	event eventlog.Event

	mu        sync.Mutex
	learnedAt map[fleet.Boot]time.Duration
}

func newRunNews(entry *Entry, mark func(now time.Duration, boot fleet.Boot) bool, event eventlog.Event) *runNews {
	return &runNews{entry: entry, mark: mark, event: event, learnedAt: map[fleet.Boot]time.Duration{}}
}

// observe records what this process has seen of a run, and tells the peers.
func (n *runNews) observe(boot fleet.Boot) {
	if n.learn(n.entry.uptime(), boot, sourceSelf) {
		n.entry.gossip.SendUrgent()
	}
}

// learn records the news of a run from a source, and reports whether it was not known.
func (n *runNews) learn(now time.Duration, boot fleet.Boot, source string) bool {
	if !n.mark(now, boot) {
		return false
	}
	n.tellPeers(now, boot)
	n.entry.log.Log(n.event, "target", boot.ID, "born", boot.StartUnixMS, "source", source)
	return true
}

// tellPeers includes a run in the messages to peers for runNewsTTL, unless it was included
// before.
func (n *runNews) tellPeers(now time.Duration, boot fleet.Boot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, told := n.learnedAt[boot]; !told {
		n.learnedAt[boot] = now
	}
}

// recent returns the runs that this process has learned of within runNewsTTL, and forgets the
// oldest ones.
func (n *runNews) recent(now time.Duration) []fleet.Boot {
	n.mu.Lock()
	defer n.mu.Unlock()
	var boots []fleet.Boot
	for boot, at := range n.learnedAt {
		if now-at > runMemoryTTL {
			delete(n.learnedAt, boot)
		}
		if now-at > runNewsTTL {
			continue
		}
		boots = append(boots, boot)
	}
	return boots
}
