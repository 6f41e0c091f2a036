package ownership

import (
	"slices"
	"time"
)

// maxTerminatedPerSlot times the number of slots is the number of terminated
// processes above which those that own no slot are forgotten.
const maxTerminatedPerSlot = 4

// Tick returns the actions due at now. It should be called several times per
// Config.RetryInterval. A late call only delays actions; it never makes Holds
// incorrect.
func (m *Machine) Tick(now time.Time) []Action {
	actions := m.tickLease(now)
	m.pruneTerminated()
	inFlight := 0
	for i := range m.slots {
		s := &m.slots[i]
		if s.inFlight && now.After(s.nextWrite) {
			s.inFlight, s.outcomeUnknown = false, true
		}
		if s.inFlight {
			inFlight++
		}
	}
	for i := range m.slots {
		s := &m.slots[i]
		actions = append(actions, m.reportHoldChanges(s, now)...)
		actions = append(actions, m.requestPromises(s, now)...)
		if s.inFlight || inFlight >= m.config.MaxInFlightWrites || now.Before(s.nextWrite) || m.recordsRevision == 0 {
			continue
		}
		if write, ok := m.dueWrite(s, now); ok {
			inFlight++
			actions = append(actions, write)
		}
	}
	return actions
}

// tickLease returns the lease request that is due, if any.
func (m *Machine) tickLease(now time.Time) []Action {
	if now.Before(m.nextLeaseCall) || !m.needsLease(now) {
		return nil
	}
	m.nextLeaseCall = now.Add(m.config.LeaseTTL / 3)
	if m.lease == "" {
		if m.openingLease && now.Before(m.openLeaseSentAt.Add(m.config.LeaseTTL)) {
			return nil
		}
		m.openingLease, m.openLeaseSentAt = true, now
		return []Action{OpenLease{}}
	}
	return []Action{RenewLease{Lease: m.lease}}
}

// needsLease reports whether this process owns a slot, is about to acquire one,
// or is the first successor of one. Other processes need no lease, which saves
// the service their renewals.
func (m *Machine) needsLease(now time.Time) bool {
	if m.OwnedCount() > 0 || m.draining {
		return m.OwnedCount() > 0
	}
	if now.Before(m.leaseWantedUntil) {
		return true
	}
	for i := range m.slots {
		if successors := m.slots[i].record.Successors; len(successors) > 0 && successors[0] == m.self.VM {
			return true
		}
	}
	return false
}

// pruneTerminated forgets the terminated processes that own no slot once more
// terminated processes are known than maxTerminatedPerSlot allows.
func (m *Machine) pruneTerminated() {
	if len(m.terminated) <= maxTerminatedPerSlot*len(m.slots) {
		return
	}
	owners := map[Process]bool{}
	for i := range m.slots {
		owners[m.slots[i].record.Owner] = true
	}
	for process := range m.terminated {
		if !owners[process] {
			delete(m.terminated, process)
		}
	}
}

// reportHoldChanges returns the reports that are due because this process has
// started, stopped or extended its hold on the slot since the last Tick.
func (m *Machine) reportHoldChanges(s *slot, now time.Time) []Action {
	epoch, held := m.Holds(s.record.Slot, now)
	var actions []Action
	if s.reportedEpoch != 0 && (!held || s.reportedEpoch != epoch) {
		actions = append(actions, SlotLost{Slot: s.record.Slot, Epoch: s.reportedEpoch, Reason: m.lossReason(s)})
		s.reportedEpoch = 0
	}
	if held && s.reportedEpoch == 0 {
		s.reportedEpoch = epoch
		actions = append(actions, SlotAcquired{Slot: s.record.Slot, Epoch: epoch})
	}
	extended := held && !m.heldByLease(s, now)
	if extended && !s.reportedExtended {
		actions = append(actions, HoldExtended{Slot: s.record.Slot, Epoch: epoch, Until: m.promisedUntil(s)})
	}
	s.reportedExtended = extended
	return actions
}

func (m *Machine) lossReason(s *slot) LossReason {
	switch {
	case m.draining:
		return LossHandedOver
	case !m.owns(s):
		return LossTakenOver
	default:
		return LossExpired
	}
}

// requestPromises requests promises from the successors of a held slot once
// half of the lease TTL has passed without a renewal.
func (m *Machine) requestPromises(s *slot, now time.Time) []Action {
	if now.Before(s.nextPromiseRequest) || now.Before(m.leaseRequestedAt.Add(m.config.LeaseTTL/2)) {
		return nil
	}
	if _, held := m.Holds(s.record.Slot, now); !held {
		return nil
	}
	s.nextPromiseRequest = now.Add(m.config.RetryInterval / 2)
	var actions []Action
	for _, vm := range m.possibleSuccessors(s) {
		if s.promisesReceived[vm].Before(now.Add(m.config.PromiseDuration / 2)) {
			actions = append(actions, RequestPromise{
				Slot: s.record.Slot, Epoch: s.record.Epoch, VM: vm, Duration: m.config.PromiseDuration,
			})
		}
	}
	return actions
}

// dueWrite returns the record write that is due for the slot, if any.
func (m *Machine) dueWrite(s *slot, now time.Time) (WriteRecord, bool) {
	switch {
	case m.owns(s):
		return m.ownSlotWrite(s, now)
	case m.draining:
		return WriteRecord{}, false
	case s.record.Revision == 0:
		return m.claimWrite(s, now)
	default:
		return m.takeOverWrite(s, now)
	}
}

// ownSlotWrite returns the write that is due for a slot owned by this process.
func (m *Machine) ownSlotWrite(s *slot, now time.Time) (WriteRecord, bool) {
	next := s.record
	switch {
	case m.draining:
		return m.handOverWrite(s, now)
	case !m.leaseValid(now):
		return WriteRecord{}, false
	case next.Lease != m.lease:
		next.Epoch++
		next.Lease = m.lease
		return m.beginWrite(s, WriteReclaim, next, now), true
	case m.successorsStale(s):
		next.Successors = m.selectSuccessors(m.self.Member, next.Slot)
		if s.unconfirmedSuccessors == nil {
			s.unconfirmedSuccessors = map[string]bool{}
		}
		for _, vm := range next.Successors {
			s.unconfirmedSuccessors[vm] = true
		}
		return m.beginWrite(s, WriteSuccessors, next, now), true
	}
	return WriteRecord{}, false
}

// handOverWrite returns the write that transfers the slot to the first
// successor that has a lease, or otherwise to any other member that has one.
// The slot must not be used afterwards.
func (m *Machine) handOverWrite(s *slot, now time.Time) (WriteRecord, bool) {
	for _, member := range m.handOverCandidates(s.record) {
		lease, ok := m.leaseOnVM(member.VM)
		if !ok {
			continue
		}
		next := s.record
		next.Epoch++
		next.Owner, next.Address, next.Lease = lease.Owner, lease.Address, lease.Lease
		next.Successors = slices.DeleteFunc(m.selectSuccessors(member, next.Slot),
			func(vm string) bool { return vm == m.self.VM })
		s.released = true
		return m.beginWrite(s, WriteHandOver, next, now), true
	}
	return WriteRecord{}, false
}

// handOverCandidates returns the members that a slot may be handed over to: its
// successors, followed by the other members in the rank order of the slot.
func (m *Machine) handOverCandidates(record Record) []Member {
	successorRank := func(member Member) int {
		if index := slices.Index(record.Successors, member.VM); index >= 0 {
			return index
		}
		return len(record.Successors)
	}
	others := slices.DeleteFunc(slices.Clone(m.members), func(member Member) bool { return member.VM == m.self.VM })
	order := rankMembers(others, record.Slot, func(Member) bool { return false })
	slices.SortStableFunc(order, func(a, b Member) int { return successorRank(a) - successorRank(b) })
	return order
}

// leaseOnVM returns the lease of a process on the VM that is not known to
// have terminated.
func (m *Machine) leaseOnVM(vm string) (ProcessLease, bool) {
	for _, lease := range m.leases {
		if lease.Owner.VM == vm && !m.terminated[lease.Owner] {
			return lease, true
		}
	}
	return ProcessLease{}, false
}

// claimWrite returns the first write of a slot without a record, once the delay
// for this process's rank has passed.
func (m *Machine) claimWrite(s *slot, now time.Time) (WriteRecord, bool) {
	rank, ok := m.claimRank(s.record.Slot)
	if !ok || !m.eligibleFor(s, now, time.Duration(rank)*m.config.RankDelay) {
		return WriteRecord{}, false
	}
	return m.acquire(s, WriteClaim, now)
}

// takeOverWrite returns the write that takes over a slot whose owner has
// terminated or whose owner's lease has expired.
func (m *Machine) takeOverWrite(s *slot, now time.Time) (WriteRecord, bool) {
	owner := s.record.Owner
	successorIndex := slices.Index(s.record.Successors, m.self.VM)
	if m.terminated[owner] || owner.VM == m.self.VM {
		rank := successorIndex
		if rank < 0 {
			rank, _ = m.claimRank(s.record.Slot)
			rank = max(rank, 0) + len(s.record.Successors)
		}
		if owner.VM == m.self.VM {
			rank = 0
		}
		if !m.eligibleFor(s, now, time.Duration(rank)*m.config.RankDelay) {
			return WriteRecord{}, false
		}
		return m.acquire(s, WriteTakeOverTerminated, now)
	}
	_, leaseExists := m.leases[s.record.Lease]
	expired := m.leasesRevision >= s.record.Revision && !leaseExists
	// A process that has just started may have granted a promise before its
	// restart.
	blocked := successorIndex < 0 || now.Before(m.started.Add(m.config.PromiseDuration)) || now.Before(s.promiseGivenUntil)
	if !expired || blocked {
		s.eligibleSince = time.Time{}
		return WriteRecord{}, false
	}
	wait := time.Duration(successorIndex) * m.config.RankDelay
	if m.hasLease(owner) {
		wait += m.config.LeaseTTL // the owner has a new lease and can reclaim the slot itself
	}
	if !m.eligibleFor(s, now, wait) {
		return WriteRecord{}, false
	}
	return m.acquire(s, WriteTakeOver, now)
}

// acquire returns the write that makes this process the owner. Without a valid
// lease it requests one and returns no write.
func (m *Machine) acquire(s *slot, kind WriteKind, now time.Time) (WriteRecord, bool) {
	if !m.leaseValid(now) {
		m.leaseWantedUntil = now.Add(m.config.LeaseTTL)
		return WriteRecord{}, false
	}
	next := m.nextOwnRecord(s)
	if kind == WriteClaim {
		next.HomeDataCentre = HomeDataCentre(m.members, s.record.Slot)
	}
	return m.beginWrite(s, kind, next, now), true
}

// hasLease reports whether a process has any lease.
func (m *Machine) hasLease(process Process) bool {
	for _, lease := range m.leases {
		if lease.Owner == process {
			return true
		}
	}
	return false
}

// nextOwnRecord returns the next record of the slot with this process as the
// owner.
func (m *Machine) nextOwnRecord(s *slot) Record {
	next := s.record
	next.Epoch++
	next.Owner, next.Address, next.Lease = m.localProcess(), m.self.Address, m.lease
	next.Successors = m.selectSuccessors(m.self.Member, next.Slot)
	return next
}

// eligibleFor reports whether this process has been eligible to acquire the
// slot for the duration wait.
func (m *Machine) eligibleFor(s *slot, now time.Time, wait time.Duration) bool {
	if s.eligibleSince.IsZero() {
		s.eligibleSince = now.Add(m.jitter(m.config.RetryInterval))
	}
	return !now.Before(s.eligibleSince.Add(wait))
}

// beginWrite marks a write of the slot's record as in flight. After one
// LeaseTTL without an answer its outcome counts as unknown.
func (m *Machine) beginWrite(s *slot, kind WriteKind, next Record, now time.Time) WriteRecord {
	next.Nonce = m.random.Uint64()
	next.Revision = 0
	s.inFlight = true
	s.nextWrite = now.Add(m.config.LeaseTTL)
	s.writePending, s.expectedRevision = true, s.record.Revision
	return WriteRecord{Kind: kind, Record: next, ExpectRevision: s.record.Revision}
}
