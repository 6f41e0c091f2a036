package ownership

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// SawContact notes an answer of the key-value service.
func (m *Machine) SawContact(now time.Time) {
	if now.After(m.contact) {
		m.contact = now
	}
}

// SawRecord notes a record read from the key-value service. Older ones than
// the known one are ignored.
func (m *Machine) SawRecord(record Record) {
	if int(record.Slot) >= len(m.slots) || record.Revision <= m.slots[record.Slot].record.Revision {
		return
	}
	s := &m.slots[record.Slot]
	same := m.owns(s) && record.Owner == m.me()
	if !same {
		s.promises = nil
		s.extended = false
	}
	s.record = record
	s.takeableSince = time.Time{}
	s.released = m.stopping && record.Owner == m.me()
	s.extra = nil
	if s.writing && s.attempted < record.Revision {
		s.writing, s.inFlight, s.unsettled = false, false, false
	}
}

// SlotsComplete notes that SawRecord was told of all records up to a revision.
func (m *Machine) SlotsComplete(revision uint64) { m.slotsRev = max(m.slotsRev, revision) }

// SawAlive replaces the known leases of processes, as read at a revision of
// the service. Older reads are ignored.
func (m *Machine) SawAlive(processes []Alive, revision uint64) {
	if revision < m.aliveRevision {
		return
	}
	m.aliveRevision = revision
	clear(m.alive)
	for _, p := range processes {
		m.alive[p.Lease] = p
	}
}

// SawAliveChange notes one change of a lease's key. The caller then reports
// the revision with AliveComplete.
func (m *Machine) SawAliveChange(alive Alive, gone bool, revision uint64) {
	if revision <= m.aliveRevision {
		return
	}
	if gone {
		delete(m.alive, alive.Lease)
		return
	}
	m.alive[alive.Lease] = alive
}

// AliveComplete notes that SawAliveChange was told of all changes up to a
// revision.
func (m *Machine) AliveComplete(revision uint64) { m.aliveRevision = max(m.aliveRevision, revision) }

// SawMembers replaces the VMs that may own slots, this one included. VMs that
// are leaving are not among them.
func (m *Machine) SawMembers(members []Member) { m.members = append(m.members[:0:0], members...) }

// SawDead notes proof that a process is gone: its address refused a
// connection, or a newer process answers there. Silence is no proof.
func (m *Machine) SawDead(process Process) {
	if process != m.me() {
		m.dead[process] = true
	}
}

// LeaseOpened answers OpenLease. sent is the time before the call was sent.
func (m *Machine) LeaseOpened(lease kv.LeaseID, sent, now time.Time, result Result) {
	m.leasing = false
	m.leaseAt = now.Add(m.config.Retry + m.jitter(m.config.Retry))
	if result != ResultOK {
		return
	}
	m.lease, m.leaseSent = lease, sent
	m.leaseAt = sent.Add(m.config.TTL / 3)
	m.SawContact(now)
}

// LeaseRenewed answers RenewLease and RelayRenewal. ResultRefused means that
// the lease is no longer known to the service.
func (m *Machine) LeaseRenewed(lease kv.LeaseID, sent, now time.Time, result Result) {
	if lease != m.lease || m.lease == "" {
		return
	}
	switch result {
	case ResultOK:
		if sent.After(m.leaseSent) {
			m.leaseSent = sent
		}
		m.leaseAt = sent.Add(m.config.TTL / 3)
	case ResultRefused:
		m.lease = ""
		m.leaseAt = now
	default:
		m.leaseAt = now.Add(m.config.Retry/2 + m.jitter(m.config.Retry))
	}
}

// RecordWritten answers WriteRecord; revision is that of ResultOK.
func (m *Machine) RecordWritten(write WriteRecord, revision uint64, now time.Time, result Result) {
	s := &m.slots[write.Record.Slot]
	if result == ResultOK {
		write.Record.Revision = revision
		m.SawRecord(write.Record)
		return
	}
	if !s.writing || s.attempted != write.ExpectRevision {
		return
	}
	s.inFlight = false
	s.retryAt = now.Add(m.config.Retry + m.jitter(m.config.Retry))
	switch result {
	case ResultUnknown:
		// The write may still come: no promises until the record moves on.
		s.unsettled = true
	case ResultNotSent:
		s.writing = s.unsettled
	default:
		// Refused: the record has moved on; a read will tell.
	}
}

// PromiseAnswered answers RequestPromise. sent is the time before the question.
func (m *Machine) PromiseAnswered(ask RequestPromise, sent, now time.Time, granted bool, contactAge time.Duration) []Action {
	s := &m.slots[ask.Slot]
	if !m.owns(s) || s.record.Epoch != ask.Epoch {
		return nil
	}
	_, held := m.Holds(ask.Slot, now)
	if granted {
		if held {
			m.addPromise(s, ask, sent)
		}
		return nil
	}
	if contactAge < m.config.ContactLoss && m.lease != "" && now.After(s.relayAt) {
		s.relayAt = now.Add(m.config.Retry)
		return []Action{RelayRenewal{Lease: m.lease, VM: ask.VM}}
	}
	return nil
}

// PromiseRefused answers RequestPromise when the successor's address refused the
// connection. That is as good as a promise: no process runs there, and one that
// starts later takes over no lapsed lease in its first Config.Promise.
func (m *Machine) PromiseRefused(ask RequestPromise, sent, now time.Time) {
	m.PromiseAnswered(ask, sent, now, true, 0)
}

func (m *Machine) addPromise(s *slot, ask RequestPromise, sent time.Time) {
	if s.promises == nil {
		s.promises = map[string]time.Time{}
	}
	end := sent.Add(ask.Duration - m.config.Margin)
	if end.After(s.promises[ask.VM]) {
		s.promises[ask.VM] = end
	}
}

// PromiseReply answers the question of another process for a promise.
type PromiseReply struct {
	Granted bool
	// ContactAge is the time since the last contact with the service.
	ContactAge time.Duration
	// NewerRecord is a record newer than the asker's; Revision 0 for none.
	NewerRecord Record
}

// AskedPromise decides on another process's question for a promise.
func (m *Machine) AskedPromise(id SlotID, epoch uint64, duration time.Duration, now time.Time) PromiseReply {
	reply := PromiseReply{ContactAge: m.ContactAge(now)}
	if int(id) >= len(m.slots) {
		return reply
	}
	s := &m.slots[id]
	if s.record.Epoch > epoch {
		reply.NewerRecord = s.record
		return reply
	}
	// An unsettled write of this process can land only on the record that it
	// expects; it can't when the asker holds a later epoch.
	mayLand := s.writing && s.record.Epoch >= epoch
	reply.Granted = reply.ContactAge >= m.config.ContactLoss && !mayLand && !m.owns(s) &&
		duration <= m.config.Promise
	if end := now.Add(duration); reply.Granted && end.After(s.promised) {
		s.promised = end
	}
	return reply
}
