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

// memberRecord is what a process writes of itself in the store.
type memberRecord struct {
	VM      string `json:"vm"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
}

// leaderRecord names the process that gives orders to engines.
type leaderRecord struct {
	VM   string `json:"vm"`
	Boot string `json:"boot"`
}

// members follows the entry processes and their leader in the store.
type members struct {
	e *Entry

	mu sync.Mutex
	// byVM holds the other processes.
	byVM map[string]*peer
	// leader is the leader's record and leaderRevision its key's revision; 0
	// while there is none.
	leader         leaderRecord
	leaderRevision uint64
	// known says that the list has been read.
	known bool
	// changed is signalled when the leader changes.
	changed chan struct{}
}

type peer struct {
	record  memberRecord
	heardAt time.Duration
	silent  bool
	// unlisted peers have no record any more: they may have ended, or be cut
	// off from the store alone. They count as long as they are heard.
	unlisted bool
}

func newMembers(e *Entry) *members {
	return &members{e: e, byVM: map[string]*peer{}, changed: make(chan struct{}, 1)}
}

func (m *members) follow(ctx context.Context) {
	c := &contact{e: m.e, feed: "members"}
	follower := kv.Follower{
		Store: m.e.platform.Store, Prefix: m.e.platform.Keys.SystemPrefix, Wait: ownWait,
		OnUpdate: m.update, OnContact: c.note,
	}
	follower.Run(ctx)
}

func (m *members) update(u kv.Update) {
	m.mu.Lock()
	if u.Full {
		m.reset()
	}
	for _, entry := range u.Entries {
		m.put(entry)
	}
	for _, change := range u.Changes {
		if change.Deleted {
			m.removed(change.Key)
			continue
		}
		m.put(change.Entry)
	}
	m.known = true
	names := m.names()
	m.mu.Unlock()
	m.publish(names, u.Revision)
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

func (m *members) publish(names []string, revision uint64) {
	m.e.limiter.SetPeers(m.e.now(), names, gossip.SilentAfter(len(names)))
	m.e.log.Log(eventlog.MembersChanged, "members", strings.Join(names, ","), "revision", revision)
}

// reset prepares for a full list: what it doesn't hold is unlisted.
func (m *members) reset() {
	m.leader, m.leaderRevision = leaderRecord{}, 0
	for vm := range m.byVM {
		m.unlist(vm)
	}
}

// unlist notes that a peer has no record; it is forgotten once it is silent.
func (m *members) unlist(vm string) {
	p, ok := m.byVM[vm]
	if !ok {
		return
	}
	if p.silent || m.e.now()-p.heardAt > gossip.SilentAfter(len(m.byVM)) {
		m.forget(vm)
		return
	}
	p.unlisted = true
}

func (m *members) forget(vm string) {
	delete(m.byVM, vm)
	m.e.balancer.SetPeerLoads(vm, nil)
}

func (m *members) put(entry kv.Entry) {
	if entry.Key == m.e.platform.Keys.LeaderKey {
		var record leaderRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			m.e.log.Log(eventlog.DutyFailed, "duty", "members", "err", err)
		}
		m.leader, m.leaderRevision = record, entry.Revision
		return
	}
	vm, ok := strings.CutPrefix(entry.Key, m.e.platform.Keys.RoutersPrefix)
	if !ok || vm == m.e.settings.VM {
		return
	}
	var record memberRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		m.e.log.Log(eventlog.DutyFailed, "duty", "members", "err", err)
		return
	}
	if p, ok := m.byVM[vm]; ok && p.record == record {
		p.unlisted = false
		return
	}
	m.byVM[vm] = &peer{record: record, heardAt: -time.Hour, silent: true}
}

func (m *members) removed(key string) {
	if key == m.e.platform.Keys.LeaderKey {
		m.leader, m.leaderRevision = leaderRecord{}, 0
		return
	}
	m.unlist(strings.TrimPrefix(key, m.e.platform.Keys.RoutersPrefix))
}

func (m *members) names() []string {
	names := make([]string, 0, len(m.byVM))
	for vm := range m.byVM {
		names = append(names, vm)
	}
	slices.Sort(names)
	return names
}

// addresses returns where the other processes take messages.
func (m *members) addresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]string, 0, len(m.byVM))
	for _, p := range m.byVM {
		list = append(list, p.record.Address)
	}
	return list
}

// processes returns the number of entry processes, this one included.
func (m *members) processes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byVM) + 1
}

// heard notes a message and says whether its sender is listed.
func (m *members) heard(vm, boot string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.byVM[vm]
	if !ok {
		return false
	}
	if p.silent {
		p.silent = false
		m.e.log.Log(eventlog.PeerHeard, "peer", vm, "boot", boot)
	}
	p.heardAt = m.e.now()
	return true
}

// checkSilent notes peers that are not heard any more.
func (m *members) checkSilent() {
	m.mu.Lock()
	now := m.e.now()
	forgotten := false
	for vm, p := range m.byVM {
		if p.silent || now-p.heardAt <= 2*gossip.SilentAfter(len(m.byVM)) {
			continue
		}
		p.silent = true
		m.e.log.Log(eventlog.PeerSilent, "peer", vm, "silent_ms", (now - p.heardAt).Milliseconds())
		m.e.balancer.SetPeerLoads(vm, nil)
		if p.unlisted {
			m.forget(vm)
			forgotten = true
		}
	}
	names := m.names()
	m.mu.Unlock()
	if forgotten {
		m.publish(names, 0)
	}
}

// rank is this process's place among all, in the order of their names.
func (m *members) rank() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	rank := 0
	for vm := range m.byVM {
		if vm < m.e.settings.VM {
			rank++
		}
	}
	return rank
}

func (m *members) currentLeader() (leaderRecord, uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, m.leaderRevision, m.known
}

// self is this process's own record.
func (m *members) self() memberRecord {
	s := &m.e.settings
	return memberRecord{VM: s.VM, Boot: m.e.boot, Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort))}
}
