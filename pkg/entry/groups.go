package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/gossip"
)

// groupTable holds the latest states of the other groups of processes. At any
// time it accepts a group's state from one hub only, since the counts of two hubs
// are not comparable.
type groupTable struct {
	entry *Entry

	mu             sync.Mutex
	byName         map[string]*groupState
	silenceTimeout time.Duration
}

// groupState is the latest state of a group.
type groupState struct {
	hub, boot  string
	sequence   uint64
	receivedAt time.Duration
	processes  int
	silent     bool
	// direct is the latest state that this process received from the hub itself,
	// at directAt. It is passed on to the own group.
	direct   gossip.Group
	directAt time.Duration
}

func newGroupTable(entry *Entry) *groupTable {
	return &groupTable{entry: entry, byName: map[string]*groupState{}, silenceTimeout: gossip.GroupSilenceTimeout(0)}
}

// groupPeerName returns the name under which the limiter and the balancer know a
// group, which differs from the names of all processes.
func groupPeerName(group string) string { return "group " + group }

// accept records a group's state and reports whether it is newer than the known
// one. sender is the process from which it was received.
func (t *groupTable) accept(now time.Duration, group *gossip.Group, sender string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.byName[group.Name]
	if !ok {
		state = &groupState{silent: true}
		t.byName[group.Name] = state
	}
	hub, boot, sequence := group.State.Sender, group.State.BootID, group.State.Sequence
	if state.hub != hub && !state.silent && now-state.receivedAt <= t.silenceTimeout {
		return false
	}
	if state.hub == hub && state.boot == boot && sequence <= state.sequence {
		return false
	}
	if state.silent || state.hub != hub {
		t.entry.log.Log(eventlog.GroupHeard, "group", group.Name, "hub", hub, "boot", boot, "processes", group.Processes)
	}
	state.hub, state.boot, state.sequence = hub, boot, sequence
	state.receivedAt, state.processes, state.silent = now, group.Processes, false
	if sender == hub {
		state.direct, state.directAt = *group, now
	}
	return true
}

// direct returns the states that this process received from hubs themselves and
// that are recent.
func (t *groupTable) direct(now time.Duration) []gossip.Group {
	t.mu.Lock()
	defer t.mu.Unlock()
	var groups []gossip.Group
	for _, state := range t.byName {
		if state.direct.Name != "" && now-state.directAt <= t.silenceTimeout {
			groups = append(groups, state.direct)
		}
	}
	return groups
}

// heardProcesses returns the number of processes of other groups whose states
// arrive with the state of their group.
func (t *groupTable) heardProcesses(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := 0
	for _, state := range t.byName {
		if !state.silent && now-state.receivedAt <= t.silenceTimeout {
			heard += state.processes
		}
	}
	return heard
}

// expire marks the groups whose states have stopped arriving and discards their
// loads.
func (t *groupTable) expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, state := range t.byName {
		if state.silent || now-state.receivedAt <= 2*t.silenceTimeout {
			continue
		}
		state.silent = true
		t.entry.log.Log(eventlog.GroupSilent, "group", name, "hub", state.hub, "silent_ms", (now - state.receivedAt).Milliseconds())
		t.entry.balancer.RemovePeer(now, groupPeerName(name))
	}
}

// prune forgets the groups that no longer exist.
func (t *groupTable) prune(topology *gossip.Topology) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.silenceTimeout = gossip.GroupSilenceTimeout(len(topology.Ranked[topology.Own]) - 1)
	for name := range t.byName {
		if _, ok := topology.Ranked[name]; !ok || name == topology.Own {
			delete(t.byName, name)
			t.entry.balancer.RemovePeer(t.entry.uptime(), groupPeerName(name))
		}
	}
}
