package ownership

import (
	"slices"
	"time"
)

// deadPerSlot bounds the processes remembered as dead, for each slot.
const deadPerSlot = 4

// Tick returns the actions due now. It is called several times in each
// Config.Retry; a late call delays actions and never makes Holds wrong.
func (m *Machine) Tick(now time.Time) []Action {
	actions := m.tickLease(now)
	m.pruneDead()
	inFlight := 0
	for i := range m.slots {
		s := &m.slots[i]
		if s.inFlight && now.After(s.retryAt) {
			s.inFlight, s.unsettled = false, true
		}
		if s.inFlight {
			inFlight++
		}
	}
	for i := range m.slots {
		s := &m.slots[i]
		actions = append(actions, m.reportUse(s, now)...)
		actions = append(actions, m.askPromises(s, now)...)
		if s.inFlight || inFlight >= m.config.MaxWrites || now.Before(s.retryAt) || m.slotsRev == 0 {
			continue
		}
		if write, ok := m.decide(s, now); ok {
			inFlight++
			actions = append(actions, write)
		}
	}
	return actions
}

func (m *Machine) tickLease(now time.Time) []Action {
	if now.Before(m.leaseAt) || !m.wantsLease(now) {
		return nil
	}
	m.leaseAt = now.Add(m.config.TTL / 3)
	if m.lease == "" {
		if m.leasing && now.Before(m.leaseAskedAt.Add(m.config.TTL)) {
			return nil
		}
		m.leasing, m.leaseAskedAt = true, now
		return []Action{OpenLease{}}
	}
	return []Action{RenewLease{Lease: m.lease}}
}

// wantsLease says whether this process owns a slot, is about to, or is the
// first successor of one. All others spare the service their renewals.
func (m *Machine) wantsLease(now time.Time) bool {
	if m.Owned() > 0 || m.stopping {
		return m.Owned() > 0
	}
	if now.Before(m.leaseWanted) {
		return true
	}
	for i := range m.slots {
		if next := m.slots[i].record.Successors; len(next) > 0 && next[0] == m.self.VM {
			return true
		}
	}
	return false
}

// pruneDead forgets dead processes that own nothing, above a bound.
func (m *Machine) pruneDead() {
	if len(m.dead) <= deadPerSlot*len(m.slots) {
		return
	}
	owners := map[Process]bool{}
	for i := range m.slots {
		owners[m.slots[i].record.Owner] = true
	}
	for process := range m.dead {
		if !owners[process] {
			delete(m.dead, process)
		}
	}
}

// reportUse reports changes of use since the last Tick.
func (m *Machine) reportUse(s *slot, now time.Time) []Action {
	epoch, held := m.Holds(s.record.Slot, now)
	var actions []Action
	if s.inUse != 0 && (!held || s.inUse != epoch) {
		actions = append(actions, StopUsing{Slot: s.record.Slot, Epoch: s.inUse, Reason: m.stopReason(s)})
		s.inUse = 0
	}
	if held && s.inUse == 0 {
		s.inUse = epoch
		actions = append(actions, StartUsing{Slot: s.record.Slot, Epoch: epoch})
	}
	extended := held && !m.leased(s, now)
	if extended && !s.extended {
		actions = append(actions, Extended{Slot: s.record.Slot, Epoch: epoch, Until: m.promisedUntil(s)})
	}
	s.extended = extended
	return actions
}

func (m *Machine) stopReason(s *slot) StopReason {
	switch {
	case m.stopping:
		return StopHandedOver
	case !m.owns(s):
		return StopTakenOver
	default:
		return StopLapsed
	}
}

// askPromises asks the successors of a held slot once half of the lease has
// gone without a renewal.
func (m *Machine) askPromises(s *slot, now time.Time) []Action {
	if now.Before(s.askAt) || now.Before(m.leaseSent.Add(m.config.TTL/2)) {
		return nil
	}
	if _, held := m.Holds(s.record.Slot, now); !held {
		return nil
	}
	s.askAt = now.Add(m.config.Retry / 2)
	var actions []Action
	for _, vm := range m.promisers(s) {
		if s.promises[vm].Before(now.Add(m.config.Promise / 2)) {
			actions = append(actions, RequestPromise{
				Slot: s.record.Slot, Epoch: s.record.Epoch, VM: vm, Duration: m.config.Promise,
			})
		}
	}
	return actions
}

// decide returns the write that the slot needs now.
func (m *Machine) decide(s *slot, now time.Time) (WriteRecord, bool) {
	switch {
	case m.owns(s):
		return m.decideOwn(s, now)
	case m.stopping:
		return WriteRecord{}, false
	case s.record.Revision == 0:
		return m.decideClaim(s, now)
	default:
		return m.decideTakeOver(s, now)
	}
}

func (m *Machine) decideOwn(s *slot, now time.Time) (WriteRecord, bool) {
	next := s.record
	switch {
	case m.stopping:
		return m.decideHandOver(s, now)
	case !m.leaseValid(now):
		return WriteRecord{}, false
	case next.Lease != m.lease:
		next.Epoch++
		next.Lease = m.lease
		return m.write(s, WriteReclaim, next, now), true
	case m.successorsStale(s):
		next.Successors = m.pickSuccessors(m.self.Member, next.Slot)
		if s.extra == nil {
			s.extra = map[string]bool{}
		}
		for _, vm := range next.Successors {
			s.extra[vm] = true
		}
		return m.write(s, WriteSuccessors, next, now), true
	}
	return WriteRecord{}, false
}

// decideHandOver gives the slot to the first successor that has a lease, else
// to any other member that has one. The slot is not used from then on.
func (m *Machine) decideHandOver(s *slot, now time.Time) (WriteRecord, bool) {
	for _, member := range m.heirs(s.record) {
		alive, ok := m.leasedProcess(member.VM)
		if !ok {
			continue
		}
		next := s.record
		next.Epoch++
		next.Owner, next.Address, next.Lease = alive.Owner, alive.Address, alive.Lease
		next.Successors = slices.DeleteFunc(m.pickSuccessors(member, next.Slot),
			func(vm string) bool { return vm == m.self.VM })
		s.released = true
		return m.write(s, WriteHandOver, next, now), true
	}
	return WriteRecord{}, false
}

// heirs are the members that a slot may be handed to: its successors, then the
// others in the slot's own order.
func (m *Machine) heirs(record Record) []Member {
	place := func(member Member) int {
		if at := slices.Index(record.Successors, member.VM); at >= 0 {
			return at
		}
		return len(record.Successors)
	}
	others := slices.DeleteFunc(slices.Clone(m.members), func(member Member) bool { return member.VM == m.self.VM })
	order := ranked(others, record.Slot, func(Member) bool { return false })
	slices.SortStableFunc(order, func(a, b Member) int { return place(a) - place(b) })
	return order
}

// leasedProcess returns a VM's process that has a lease and isn't proven dead.
func (m *Machine) leasedProcess(vm string) (Alive, bool) {
	for _, alive := range m.alive {
		if alive.Owner.VM == vm && !m.dead[alive.Owner] {
			return alive, true
		}
	}
	return Alive{}, false
}

func (m *Machine) decideClaim(s *slot, now time.Time) (WriteRecord, bool) {
	rank, ok := m.claimRank(s.record.Slot)
	if !ok || !m.waited(s, now, time.Duration(rank)*m.config.Step) {
		return WriteRecord{}, false
	}
	return m.take(s, WriteClaim, now)
}

func (m *Machine) decideTakeOver(s *slot, now time.Time) (WriteRecord, bool) {
	owner := s.record.Owner
	place := slices.Index(s.record.Successors, m.self.VM)
	if m.dead[owner] || owner.VM == m.self.VM {
		rank := place
		if rank < 0 {
			rank, _ = m.claimRank(s.record.Slot)
			rank = max(rank, 0) + len(s.record.Successors)
		}
		if owner.VM == m.self.VM {
			rank = 0
		}
		if !m.waited(s, now, time.Duration(rank)*m.config.Step) {
			return WriteRecord{}, false
		}
		return m.take(s, WriteTakeOverDead, now)
	}
	_, present := m.alive[s.record.Lease]
	lapsed := m.aliveRevision >= s.record.Revision && !present
	mayNot := place < 0 || now.Before(m.started.Add(m.config.Promise)) || now.Before(s.promised)
	if !lapsed || mayNot {
		s.takeableSince = time.Time{}
		return WriteRecord{}, false
	}
	wait := time.Duration(place) * m.config.Step
	if m.hasLease(owner) {
		wait += m.config.TTL // the owner is back and renews its record itself
	}
	if !m.waited(s, now, wait) {
		return WriteRecord{}, false
	}
	return m.take(s, WriteTakeOver, now)
}

// take makes this process the owner; it needs a valid lease first.
func (m *Machine) take(s *slot, kind WriteKind, now time.Time) (WriteRecord, bool) {
	if !m.leaseValid(now) {
		m.leaseWanted = now.Add(m.config.TTL)
		return WriteRecord{}, false
	}
	next := m.ownRecord(s)
	if kind == WriteClaim {
		next.HomeDataCentre = HomeDataCentre(m.members, s.record.Slot)
	}
	return m.write(s, kind, next, now), true
}

// hasLease says whether a process has any lease.
func (m *Machine) hasLease(process Process) bool {
	for _, alive := range m.alive {
		if alive.Owner == process {
			return true
		}
	}
	return false
}

// ownRecord is the slot's next record with this process as the owner.
func (m *Machine) ownRecord(s *slot) Record {
	next := s.record
	next.Epoch++
	next.Owner, next.Address, next.Lease = m.me(), m.self.Address, m.lease
	next.Successors = m.pickSuccessors(m.self.Member, next.Slot)
	return next
}

// waited says whether the slot has been free for the taking for a time.
func (m *Machine) waited(s *slot, now time.Time, wait time.Duration) bool {
	if s.takeableSince.IsZero() {
		s.takeableSince = now.Add(m.jitter(m.config.Retry))
	}
	return !now.Before(s.takeableSince.Add(wait))
}

// write marks the slot's write as under way. A write without an answer counts
// as unsettled after one TTL.
func (m *Machine) write(s *slot, kind WriteKind, next Record, now time.Time) WriteRecord {
	next.Nonce = m.random.Uint64()
	next.Revision = 0
	s.inFlight = true
	s.retryAt = now.Add(m.config.TTL)
	s.writing, s.attempted = true, s.record.Revision
	return WriteRecord{Kind: kind, Record: next, ExpectRevision: s.record.Revision}
}
