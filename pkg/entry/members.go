package entry

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// memberRecord is an entry process's record in the store.
type memberRecord struct {
	VM      string `json:"vm"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
}

// leaderRecord identifies the leader, which sends load orders to engines.
type leaderRecord struct {
	VM   string `json:"vm"`
	Boot string `json:"boot"`
}

// memberList tracks the entry processes and their leader, as listed in the
// store.
type memberList struct {
	entry *Entry

	mu sync.Mutex
	// byVM holds the other entry processes by VM name.
	byVM map[string]*peer
	// leader is the leader's record and leaderRevision the revision of its key;
	// 0 if there is no leader.
	leader         leaderRecord
	leaderRevision uint64
	// loaded is set once the list has been read from the store.
	loaded bool
	// updated is signalled after each update, so that a change of the leader is
	// handled immediately.
	updated chan struct{}
}

// peer is the state of another entry process.
type peer struct {
	record        memberRecord
	lastMessageAt time.Duration
	// silent is set while no messages from the peer arrive.
	silent bool
	// unregistered is set when the peer's record has been deleted. The peer may
	// have ended or may only be disconnected from the store, so it remains a
	// member as long as its messages arrive.
	unregistered bool
}

func newMemberList(entry *Entry) *memberList {
	return &memberList{entry: entry, byVM: map[string]*peer{}, updated: make(chan struct{}, 1)}
}

func (m *memberList) follow(ctx context.Context) {
	monitor := &feedMonitor{entry: m.entry, feed: "members"}
	follower := kv.Follower{
		Store: m.entry.platform.Store, Prefix: m.entry.platform.Keys.SystemPrefix, WatchTimeout: memberWatchTimeout,
		OnUpdate: m.applyUpdate, OnResult: monitor.record,
	}
	follower.Run(ctx)
}

func (m *memberList) applyUpdate(u kv.Update) {
	m.mu.Lock()
	if u.Full {
		m.prepareFullUpdate()
	}
	for _, entry := range u.Entries {
		m.applyEntry(entry)
	}
	for _, change := range u.Changes {
		if change.Deleted {
			m.applyDeletion(change.Key)
			continue
		}
		m.applyEntry(change.Entry)
	}
	m.loaded = true
	names := m.names()
	m.mu.Unlock()
	m.publishMembers(names, u.Revision)
	select {
	case m.updated <- struct{}{}:
	default:
	}
}

func (m *memberList) publishMembers(names []string, revision uint64) {
	m.entry.limiter.SetPeers(m.entry.uptime(), names, gossip.SilenceTimeout(len(names)))
	m.entry.log.Log(eventlog.MembersChanged, "members", strings.Join(names, ","), "revision", revision)
}

// prepareFullUpdate clears the leader and unregisters all peers; the full list
// that follows registers those that it contains.
func (m *memberList) prepareFullUpdate() {
	m.leader, m.leaderRevision = leaderRecord{}, 0
	for vm := range m.byVM {
		m.unregister(vm)
	}
}

// unregister marks a peer whose record has been deleted, or removes it if it is
// already silent.
func (m *memberList) unregister(vm string) {
	p, ok := m.byVM[vm]
	if !ok {
		return
	}
	if p.silent || m.entry.uptime()-p.lastMessageAt > gossip.SilenceTimeout(len(m.byVM)) {
		m.remove(vm)
		return
	}
	p.unregistered = true
}

func (m *memberList) remove(vm string) {
	delete(m.byVM, vm)
	m.entry.balancer.SetPeerLoads(vm, nil)
}

func (m *memberList) applyEntry(entry kv.Entry) {
	if entry.Key == m.entry.platform.Keys.LeaderKey {
		var record leaderRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			m.entry.log.Log(eventlog.DutyFailed, "duty", "members", "err", err)
		}
		m.leader, m.leaderRevision = record, entry.Revision
		return
	}
	vm, ok := strings.CutPrefix(entry.Key, m.entry.platform.Keys.RoutersPrefix)
	if !ok || vm == m.entry.settings.VM {
		return
	}
	var record memberRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		m.entry.log.Log(eventlog.DutyFailed, "duty", "members", "err", err)
		return
	}
	if p, ok := m.byVM[vm]; ok && p.record == record {
		p.unregistered = false
		return
	}
	m.byVM[vm] = &peer{record: record, lastMessageAt: -time.Hour, silent: true}
}

func (m *memberList) applyDeletion(key string) {
	if key == m.entry.platform.Keys.LeaderKey {
		m.leader, m.leaderRevision = leaderRecord{}, 0
		return
	}
	m.unregister(strings.TrimPrefix(key, m.entry.platform.Keys.RoutersPrefix))
}

func (m *memberList) names() []string {
	names := make([]string, 0, len(m.byVM))
	for vm := range m.byVM {
		names = append(names, vm)
	}
	slices.Sort(names)
	return names
}

// addresses returns the message addresses of the other processes.
func (m *memberList) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]string, 0, len(m.byVM))
	for _, p := range m.byVM {
		list = append(list, p.record.Address)
	}
	return list
}

// processCount returns the number of entry processes, including this one.
func (m *memberList) processCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byVM) + 1
}

// recordMessage records the arrival of a message and reports whether its sender
// is a member.
func (m *memberList) recordMessage(vm, boot string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.byVM[vm]
	if !ok {
		return false
	}
	if p.silent {
		p.silent = false
		m.entry.log.Log(eventlog.PeerHeard, "peer", vm, "boot", boot)
	}
	p.lastMessageAt = m.entry.uptime()
	return true
}

// markSilentPeers marks the peers whose messages have stopped arriving, discards
// their load reports and removes those that are unregistered.
func (m *memberList) markSilentPeers() {
	m.mu.Lock()
	now := m.entry.uptime()
	removed := false
	for vm, p := range m.byVM {
		if p.silent || now-p.lastMessageAt <= 2*gossip.SilenceTimeout(len(m.byVM)) {
			continue
		}
		p.silent = true
		m.entry.log.Log(eventlog.PeerSilent, "peer", vm, "silent_ms", (now - p.lastMessageAt).Milliseconds())
		m.entry.balancer.SetPeerLoads(vm, nil)
		if p.unregistered {
			m.remove(vm)
			removed = true
		}
	}
	names := m.names()
	m.mu.Unlock()
	if removed {
		m.publishMembers(names, 0)
	}
}

// rank returns this process's zero-based position among all members, ordered by
// VM name.
func (m *memberList) rank() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := 0
	for vm := range m.byVM {
		if vm < m.entry.settings.VM {
			rank++
		}
	}
	return rank
}

func (m *memberList) currentLeader() (leaderRecord, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, m.leaderRevision, m.loaded
}

// ownRecord returns this process's record.
func (m *memberList) ownRecord() memberRecord {
	s := &m.entry.settings
	return memberRecord{VM: s.VM, Boot: m.entry.bootID, Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))}
}
