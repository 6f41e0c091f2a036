package ownership

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// ObserveContact records the time of an answer from the key-value service.
func (m *Machine) ObserveContact(now time.Time) {
	if now.After(m.lastContact) {
		m.lastContact = now
	}
}

// ObserveRecord applies a record that was read from the key-value service. It
// ignores records that are not newer than the known one.
func (m *Machine) ObserveRecord(record Record) {
	if int(record.Slot) >= len(m.slots) || record.Revision <= m.slots[record.Slot].record.Revision {
		return
	}
	s := &m.slots[record.Slot]
	stillOwned := m.owns(s) && record.Owner == m.localProcess()
	if !stillOwned {
		s.promisesReceived = nil
		s.reportedExtended = false
	}
	s.record = record
	s.eligibleSince = time.Time{}
	s.released = m.draining && record.Owner == m.localProcess()
	s.unconfirmedSuccessors = nil
	if s.writePending && s.expectedRevision < record.Revision {
		s.writePending, s.inFlight, s.outcomeUnknown = false, false, false
	}
}

// MarkRecordsComplete records that all records up to the revision have been
// passed to ObserveRecord.
func (m *Machine) MarkRecordsComplete(revision uint64) {
	m.recordsRevision = max(m.recordsRevision, revision)
}

// SetProcessLeases replaces the known process leases with those read from the
// service at a revision. Outdated reads are ignored.
func (m *Machine) SetProcessLeases(leases []ProcessLease, revision uint64) {
	if revision < m.leasesRevision {
		return
	}
	m.leasesRevision = revision
	clear(m.leases)
	for _, lease := range leases {
		m.leases[lease.Lease] = lease
	}
}

// ApplyProcessLeaseChange applies the change or deletion of the key of one
// lease. The caller must then call MarkProcessLeasesComplete with the revision.
func (m *Machine) ApplyProcessLeaseChange(lease ProcessLease, deleted bool, revision uint64) {
	if revision <= m.leasesRevision {
		return
	}
	if deleted {
		delete(m.leases, lease.Lease)
		return
	}
	m.leases[lease.Lease] = lease
}

// MarkProcessLeasesComplete records that all changes up to the revision have
// been passed to ApplyProcessLeaseChange.
func (m *Machine) MarkProcessLeasesComplete(revision uint64) {
	m.leasesRevision = max(m.leasesRevision, revision)
}

// SetMembers replaces the list of VMs that may own slots, including the local
// one. VMs that are not live must not be listed.
func (m *Machine) SetMembers(members []Member) { m.members = append(m.members[:0:0], members...) }

// MarkTerminated records proof that a process has terminated: its address
// refused a connection, or a newer process answers there. A missing answer is
// not proof.
func (m *Machine) MarkTerminated(process Process) {
	if process != m.localProcess() {
		m.terminated[process] = true
	}
}

// HandleLeaseOpened handles the result of OpenLease. sent is a time before the
// request was sent.
func (m *Machine) HandleLeaseOpened(lease kv.LeaseID, sent, now time.Time, result Result) {
	m.openingLease = false
	m.nextLeaseCall = now.Add(m.config.RetryInterval + m.jitter(m.config.RetryInterval))
	if result != ResultOK {
		return
	}
	m.lease, m.leaseRequestedAt = lease, sent
	m.nextLeaseCall = sent.Add(m.config.LeaseTTL / 3)
	m.ObserveContact(now)
}

// HandleLeaseRenewed handles the result of RenewLease and RelayRenewal. sent is
// a time before the request was sent. ResultRefused means that the lease no
// longer exists in the service.
func (m *Machine) HandleLeaseRenewed(lease kv.LeaseID, sent, now time.Time, result Result) {
	if lease != m.lease || m.lease == "" {
		return
	}
	switch result {
	case ResultOK:
		if sent.After(m.leaseRequestedAt) {
			m.leaseRequestedAt = sent
		}
		m.nextLeaseCall = sent.Add(m.config.LeaseTTL / 3)
	case ResultRefused:
		m.lease = ""
		m.nextLeaseCall = now
	default:
		m.nextLeaseCall = now.Add(m.config.RetryInterval/2 + m.jitter(m.config.RetryInterval))
	}
}

// HandleRecordWritten handles the result of WriteRecord. revision is the new
// revision of the record if result is ResultOK.
func (m *Machine) HandleRecordWritten(write WriteRecord, revision uint64, now time.Time, result Result) {
	s := &m.slots[write.Record.Slot]
	if result == ResultOK {
		write.Record.Revision = revision
		m.ObserveRecord(write.Record)
		return
	}
	if !s.writePending || s.expectedRevision != write.ExpectRevision {
		return
	}
	s.inFlight = false
	s.nextWrite = now.Add(m.config.RetryInterval + m.jitter(m.config.RetryInterval))
	switch result {
	case ResultUnknown:
		// The write may still take effect, so this process grants no promises
		// for the slot until the record has a newer revision.
		s.outcomeUnknown = true
	case ResultNotSent:
		s.writePending = s.outcomeUnknown
	default:
		// ResultRefused: the record has a newer revision, which a later read
		// delivers.
	}
}

// HandlePromiseReply handles the reply to RequestPromise. sent is a time before
// the request was sent.
func (m *Machine) HandlePromiseReply(request RequestPromise, sent, now time.Time, granted bool, contactAge time.Duration) []Action {
	s := &m.slots[request.Slot]
	if !m.owns(s) || s.record.Epoch != request.Epoch {
		return nil
	}
	_, held := m.Holds(request.Slot, now)
	if granted {
		if held {
			m.addPromise(s, request, sent)
		}
		return nil
	}
	if contactAge < m.config.ContactLossTimeout && m.lease != "" && now.After(s.nextRelay) {
		s.nextRelay = now.Add(m.config.RetryInterval)
		return []Action{RelayRenewal{Lease: m.lease, VM: request.VM}}
	}
	return nil
}

// HandlePromiseConnRefused handles a connection refused by the successor's
// address in response to RequestPromise. It is equivalent to a promise: no
// process runs at the address, and a process that starts there later does not
// take over a slot with an expired lease during its first
// Config.PromiseDuration.
func (m *Machine) HandlePromiseConnRefused(request RequestPromise, sent, now time.Time) {
	m.HandlePromiseReply(request, sent, now, true, 0)
}

func (m *Machine) addPromise(s *slot, request RequestPromise, sent time.Time) {
	if s.promisesReceived == nil {
		s.promisesReceived = map[string]time.Time{}
	}
	end := sent.Add(request.Duration - m.config.ClockMargin)
	if end.After(s.promisesReceived[request.VM]) {
		s.promisesReceived[request.VM] = end
	}
}

// PromiseReply is the reply to a request for a promise.
type PromiseReply struct {
	Granted bool
	// ContactAge is the time since the replying process last had contact with
	// the key-value service.
	ContactAge time.Duration
	// NewerRecord is the replying process's record if it is newer than that of
	// the requester; its Revision is 0 otherwise.
	NewerRecord Record
}

// HandlePromiseRequest decides whether to grant another process a promise.
func (m *Machine) HandlePromiseRequest(id SlotID, epoch uint64, duration time.Duration, now time.Time) PromiseReply {
	reply := PromiseReply{ContactAge: m.ContactAge(now)}
	if int(id) >= len(m.slots) {
		return reply
	}
	s := &m.slots[id]
	if s.record.Epoch > epoch {
		reply.NewerRecord = s.record
		return reply
	}
	// A pending write of this process can succeed only on the record revision
	// that it expects, which is outdated if the requester holds a later epoch.
	writeMaySucceed := s.writePending && s.record.Epoch >= epoch
	reply.Granted = reply.ContactAge >= m.config.ContactLossTimeout && !writeMaySucceed && !m.owns(s) &&
		duration <= m.config.PromiseDuration
	if end := now.Add(duration); reply.Granted && end.After(s.promiseGivenUntil) {
		s.promiseGivenUntil = end
	}
	return reply
}
