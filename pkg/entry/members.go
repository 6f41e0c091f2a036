package entry

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// unknownSenderRelistInterval is the minimum interval between two lists of the
// members because of messages from unknown processes. It exceeds the time that a
// new process's registration takes to arrive by the watch.
const unknownSenderRelistInterval = 8 * time.Second

// memberRecord is an entry process's record in the store.
type memberRecord struct {
	VM      string `json:"vm"`
	Boot    string `json:"boot"`
	Address string `json:"address"`
	// DataCentre and Capacity determine the process's group and its rank there;
	// see gossip.Member.
	DataCentre string  `json:"data_centre"`
	Capacity   float64 `json:"capacity"`
}

// member returns the record of the process on a VM with a decoded address.
func (r *memberRecord) member(vm string) (gossip.Member, error) {
	address, err := netip.ParseAddrPort(r.Address)
	if err != nil {
		return gossip.Member{}, errors.Annotatef(err, "decoding the address of peer %q", vm)
	}
	if address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		return gossip.Member{}, errors.NotValidf("address %q of peer %q", r.Address, vm)
	}
	if r.VM != vm || r.Capacity < 0 {
		return gossip.Member{}, errors.NotValidf("record of peer %q, which names VM %q and capacity %g", vm, r.VM, r.Capacity)
	}
	return gossip.Member{VM: r.VM, DataCentre: r.DataCentre, Address: address, Capacity: r.Capacity}, nil
}

// leaderRecord identifies the leader, which sends load orders to engines.
type leaderRecord struct {
	VM   string `json:"vm"`
	Boot string `json:"boot"`
	// Lease is the lease that the record is bound to. The leadership ends with
	// it, even if the process has been granted another lease since.
	Lease kv.LeaseID `json:"lease"`
}

// memberList tracks the entry processes and their leader, as listed in the
// store.
type memberList struct {
	entry *Entry

	mu sync.Mutex
	// byVM holds the other entry processes by VM name.
	byVM map[string]*peer
	// leader is the leader's record and leaderRevision the revision of its key;
	// 0 if there is no leader. The record is empty if it can't be decoded.
	leader         leaderRecord
	leaderRevision uint64
	// leaderlessSince is the time since which there has been no leader.
	leaderlessSince time.Duration
	// topology holds the groups of the fleet, and groups the latest states of the
	// other groups.
	topology gossip.Topology
	groups   *groupTable
	// loaded is set once the list has been read from the store.
	loaded bool
	// relist requests an immediate list of the members; relistRequestedAt is the
	// time of the latest request.
	relist            chan struct{}
	relistRequestedAt time.Duration
	// updated is signalled after each update, so that a change of the leader is
	// handled immediately.
	updated chan struct{}
}

// peer is the state of another entry process.
type peer struct {
	record        memberRecord
	member        gossip.Member
	lastMessageAt time.Duration
	// heardBoot is the run of the process that sent the latest message.
	heardBoot string
	// silent is set while no messages from the peer arrive. Only processes of the
	// same group send messages regularly.
	silent bool
	// unregistered is set when the peer's record has been deleted. The peer may
	// have ended or may only be disconnected from the store, so it remains a
	// member as long as its messages arrive.
	unregistered bool
}

func newMemberList(entry *Entry) *memberList {
	m := &memberList{entry: entry, byVM: map[string]*peer{}, groups: newGroupTable(entry), updated: make(chan struct{}, 1), relist: make(chan struct{}, 1)}
	m.topology = gossip.NewTopology(m.self(), nil)
	return m
}

func (m *memberList) follow(ctx context.Context) {
	monitor := &feedMonitor{entry: m.entry, feed: "members"}
	follower := kv.Follower{
		Store: m.entry.platform.Store, Prefix: m.entry.platform.Keys.SystemPrefix, WatchTimeout: m.memberWatchTimeout, MinInterval: m.memberWatchInterval,
		Relist:   m.relist,
		OnUpdate: m.applyUpdate, OnResult: monitor.record,
	}
	follower.Run(ctx)
}

func (m *memberList) applyUpdate(u kv.Update) {
	m.mu.Lock()
	if u.Full {
		m.prepareFullUpdate(u.Revision)
	}
	for _, entry := range u.Entries {
		m.applyEntry(entry, u.Revision)
	}
	for _, change := range u.Changes {
		if change.Deleted {
			m.applyDeletion(change.Key, change.Revision)
			continue
		}
		m.applyEntry(change.Entry, change.Revision)
	}
	m.loaded = true
	m.mu.Unlock()
	m.entry.software.applyUpdate(u)
	m.entry.ready.membersListed.Store(true)
	m.publishMembers(u.Revision)
	m.signalUpdate()
}

// signalUpdate makes the lease manager run without waiting for its interval.
func (m *memberList) signalUpdate() {
	select {
	case m.updated <- struct{}{}:
	default:
	}
}

// publishMembers derives the groups of the fleet from the list of members and
// sets the peers of the rate limits.
func (m *memberList) publishMembers(revision uint64) {
	m.mu.Lock()
	others := make([]gossip.Member, 0, len(m.byVM))
	for _, p := range m.byVM {
		others = append(others, p.member)
	}
	m.topology = gossip.NewTopology(m.self(), others)
	topology := m.topology
	names := m.names()
	runs := m.runs()
	m.mu.Unlock()
	m.entry.streamOrigins.setMembers(runs)
	m.groups.prune(&topology)
	m.entry.balancer.ShareDrain(len(topology.Ranked) > 1)
	m.entry.balancer.Limits().SetMembers(m.entry.uptime(), names)
	m.entry.limiter.SetPeers(m.entry.uptime(), limiterPeers(&topology, m.entry.settings.VM))
	m.entry.log.Log(eventlog.MembersChanged, "members", strings.Join(names, ","), "group", topology.Own,
		"group_size", len(topology.Ranked[topology.Own]), "groups", len(topology.Ranked), "revision", revision)
}

// prepareFullUpdate clears the leader and unregisters all peers; the full list
// that follows registers those that it contains.
func (m *memberList) prepareFullUpdate(revision uint64) {
	m.clearLeader()
	m.entry.quarantine.applyStored(nil, 0, revision)
	for vm := range m.byVM {
		m.unregister(vm)
	}
}

// clearLeader records that there is no leader.
func (m *memberList) clearLeader() {
	if m.leaderRevision != 0 {
		m.leaderlessSince = m.entry.uptime()
	}
	m.leader, m.leaderRevision = leaderRecord{}, 0
}

// unregister marks a peer whose record has been deleted, or removes it if it is
// already silent.
func (m *memberList) unregister(vm string) {
	p, ok := m.byVM[vm]
	if !ok {
		return
	}
	if p.silent || m.entry.uptime()-p.lastMessageAt > m.silenceTimeout() {
		m.remove(vm)
		return
	}
	p.unregistered = true
}

func (m *memberList) remove(vm string) {
	delete(m.byVM, vm)
	m.entry.balancer.RemovePeer(m.entry.uptime(), vm)
}

// applyEntry applies an entry as observed at a revision, which is that of its write or later.
func (m *memberList) applyEntry(entry kv.Entry, observedAt uint64) {
	if entry.Key == m.entry.platform.Keys.LeaderKey {
		var record leaderRecord
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			// Nobody renews such a record, so the next campaign replaces it.
			m.entry.log.Log(eventlog.DutyFailed, "duty", "members", "err", err)
			record = leaderRecord{}
		}
		m.leader, m.leaderRevision = record, entry.Revision
		return
	}
	if entry.Key == m.entry.platform.Keys.QuarantineKey {
		m.entry.quarantine.applyStored(entry.Value, entry.Revision, observedAt)
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
	member, err := record.member(vm)
	if err != nil {
		m.entry.log.Log(eventlog.DutyFailed, "duty", "members", "err", err)
		return
	}
	m.byVM[vm] = &peer{record: record, member: member, lastMessageAt: -time.Hour, silent: true}
}

// applyDeletion applies the deletion of a key at a revision.
func (m *memberList) applyDeletion(key string, revision uint64) {
	if key == m.entry.platform.Keys.LeaderKey {
		m.clearLeader()
		return
	}
	if key == m.entry.platform.Keys.QuarantineKey {
		m.entry.quarantine.applyStored(nil, 0, revision)
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

// runs returns the runs of the other processes, with the addresses at which they receive messages,
// by name. The caller must hold m.mu.
func (m *memberList) runs() map[string]string {
	runs := make(map[string]string, len(m.byVM))
	for vm, p := range m.byVM {
		runs[vm] = p.record.Boot + " " + p.record.Address
	}
	return runs
}

// all returns the other processes.
func (m *memberList) all() []gossip.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others(m.names())
}

// processCount returns the number of entry processes, including this one.
func (m *memberList) processCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byVM) + 1
}

// requestRelist lists the members again after a message from a process that is
// not among them, since the watch may have missed its registration. The caller
// must hold m.mu.
func (m *memberList) requestRelist() {
	now := m.entry.uptime()
	if !m.loaded || now-m.relistRequestedAt < unknownSenderRelistInterval {
		return
	}
	m.relistRequestedAt = now
	select {
	case m.relist <- struct{}{}:
	default:
	}
}

// recordMessage records the arrival of a message from a peer of the own group. It reports
// whether it is the first one of the peer's run, or the first one after a time of silence.
func (m *memberList) recordMessage(vm, boot string) (first bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.byVM[vm]
	if !ok {
		return false
	}
	first = p.silent || p.heardBoot != boot || m.entry.uptime()-p.lastMessageAt > m.silenceTimeout()
	p.heardBoot = boot
	if p.silent {
		p.silent = false
		m.entry.log.Log(eventlog.PeerHeard, "peer", vm, "boot", boot)
	}
	p.lastMessageAt = m.entry.uptime()
	return first
}

// markSilentPeers marks the peers whose messages have stopped arriving, discards
// their load reports and removes those that are unregistered.
func (m *memberList) markSilentPeers() {
	m.groups.expire(m.entry.uptime())
	m.mu.Lock()
	now := m.entry.uptime()
	removed := false
	for vm, p := range m.byVM {
		if p.silent || now-p.lastMessageAt <= 2*m.silenceTimeout() {
			continue
		}
		p.silent = true
		m.entry.log.Log(eventlog.PeerSilent, "peer", vm, "silent_ms", (now - p.lastMessageAt).Milliseconds())
		m.entry.balancer.RemovePeer(now, vm)
		if p.unregistered {
			m.remove(vm)
			removed = true
		}
	}
	m.mu.Unlock()
	if removed {
		m.publishMembers(0)
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
	return memberRecord{
		VM: s.VM, Boot: m.entry.bootID, Address: net.JoinHostPort(s.IP, strconv.Itoa(s.PeerPort)),
		DataCentre: s.DataCentre, Capacity: s.CPUShare,
	}
}
