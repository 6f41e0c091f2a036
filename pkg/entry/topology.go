package entry

import (
	"net/netip"
	"time"

	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/streamorigin"
	"github.com/baobabhub/baobabhub/pkg/tokenrate"
)

// leaderYieldTime is the time for which a process leaves a vacant leadership to
// larger VMs.
const leaderYieldTime = time.Second

// limiterPeers returns the peers that share the rate limits: the processes of
// the own group and the other groups.
func limiterPeers(topology *gossip.Topology, ownVM string) map[string]tokenrate.Peer {
	peers := map[string]tokenrate.Peer{}
	groupPeers := topology.GroupPeers(ownVM)
	for _, member := range groupPeers {
		peers[member.VM] = tokenrate.Peer{Processes: 1, ReportTimeout: gossip.SilenceTimeout(len(groupPeers)), SameGroup: true}
	}
	for name, group := range topology.Ranked {
		if name != topology.Own {
			peers[groupPeerName(name)] = tokenrate.Peer{Processes: len(group), ReportTimeout: gossip.GroupSilenceTimeout(len(groupPeers))}
		}
	}
	return peers
}

// silenceTimeout returns the time after which a peer of the own group is treated
// as silent. The caller must hold m.mu.
func (m *memberList) silenceTimeout() time.Duration {
	return gossip.SilenceTimeout(len(m.topology.Ranked[m.topology.Own]) - 1)
}

// allAddresses returns the message addresses of the other processes.
func (m *memberList) allAddresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]netip.AddrPort, 0, len(m.byVM))
	for _, p := range m.byVM {
		list = append(list, p.member.Address)
	}
	return list
}

// groupAddresses returns the message addresses of the other processes of the own
// group.
func (m *memberList) groupAddresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return addressesOf(m.topology.GroupPeers(m.entry.settings.VM))
}

// hubAddresses returns the message addresses of the processes to which this
// process sends the state of its group; none if it is not the group's hub.
func (m *memberList) hubAddresses() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leadsGroup() {
		return nil
	}
	return addressesOf(m.topology.HubPeers())
}

// isHub reports whether this process is the hub of its group.
func (m *memberList) isHub() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leadsGroup()
}

// leadsGroup is isHub for a caller that holds m.mu.
func (m *memberList) leadsGroup() bool {
	return m.topology.Hub(m.reachable).VM == m.entry.settings.VM
}

func addressesOf(members []gossip.Member) []netip.AddrPort {
	list := make([]netip.AddrPort, 0, len(members))
	for i := range members {
		list = append(list, members[i].Address)
	}
	return list
}

// reachable reports whether messages from a process of the own group arrive. The
// caller must hold m.mu.
func (m *memberList) reachable(vm string) bool {
	if vm == m.entry.settings.VM {
		return true
	}
	p, ok := m.byVM[vm]
	return ok && !p.silent && m.entry.uptime()-p.lastMessageAt <= m.silenceTimeout()
}

// groupPeerNames returns the names of the other processes of the own group.
func (m *memberList) groupPeerNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, member := range m.topology.GroupPeers(m.entry.settings.VM) {
		names = append(names, member.VM)
	}
	return names
}

// ownGroup returns the name of this process's group.
func (m *memberList) ownGroup() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology.Own
}

// leaderAddress returns the message address of the leader, unless there is none
// or it is this process.
func (m *memberList) leaderAddress() (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.byVM[m.leader.VM]
	if m.leaderRevision == 0 || !ok {
		return netip.AddrPort{}, false
	}
	return p.member.Address, true
}

// address returns the message address of another process.
func (m *memberList) address(vm string) (netip.AddrPort, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.byVM[vm]
	if !ok {
		return netip.AddrPort{}, false
	}
	return p.member.Address, true
}

// witnesses returns the processes that this one tells of a stream.
func (m *memberList) witnesses(key streamorigin.Key) []gossip.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others(streamorigin.Witnesses(key, m.names()))
}

// witnessCandidates returns the other processes that may have been told of a stream.
func (m *memberList) witnessCandidates(key streamorigin.Key) []gossip.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.others(streamorigin.Candidates(key, append(m.names(), m.entry.settings.VM)))
}

// others returns the other processes among those with the given names. The caller must hold
// m.mu.
func (m *memberList) others(names []string) []gossip.Member {
	var others []gossip.Member
	for _, vm := range names {
		if p, ok := m.byVM[vm]; ok {
			others = append(others, p.member)
		}
	}
	return others
}

// heardCount returns the number of peers whose states arrive, directly or with
// the state of their group.
func (m *memberList) heardCount() int {
	return m.heardInGroup() + m.groups.heardProcesses(m.entry.uptime())
}

// heardInGroup returns the number of peers of the own group whose messages
// arrive.
func (m *memberList) heardInGroup() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	heard := 0
	for _, member := range m.topology.GroupPeers(m.entry.settings.VM) {
		if m.reachable(member.VM) {
			heard++
		}
	}
	return heard
}

// isMember reports whether a process is a member, and whether it belongs to the
// own group.
func (m *memberList) isMember(vm string) (member, sameGroup bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.byVM[vm]; !ok {
		m.requestRelist()
		return false, false
	}
	for _, peer := range m.topology.Ranked[m.topology.Own] {
		if peer.VM == vm {
			return true, true
		}
	}
	return true, false
}

// self returns this process as a member. Its address is not used.
func (m *memberList) self() gossip.Member {
	s := &m.entry.settings
	return gossip.Member{VM: s.VM, DataCentre: s.DataCentre, Capacity: s.CPUShare}
}

// yieldsLeadership reports whether a vacant leadership should be left to a
// larger VM for now: orders to many engines take processor time.
func (m *memberList) yieldsLeadership() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.topology.Outranked(m.entry.settings.VM) && m.entry.uptime()-m.leaderlessSince < leaderYieldTime
}
