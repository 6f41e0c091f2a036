package ownership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// Config holds the settings of a Machine. All processes of a fleet must use the
// same settings.
type Config struct {
	// SlotCount is the number of slots. It must not change during the lifetime
	// of a fleet.
	SlotCount int
	// LeaseTTL is the time to live of the process's lease.
	LeaseTTL time.Duration
	// ClockMargin is subtracted from the duration of every lease and promise to
	// allow for clocks that run at different rates.
	ClockMargin time.Duration
	// PromiseDuration is the requested duration of a promise and the longest
	// duration that is granted.
	PromiseDuration time.Duration
	// ContactLossTimeout is the time without contact with the key-value service
	// after which a successor grants promises.
	ContactLossTimeout time.Duration
	// RankDelay is the additional time that each lower-ranked process waits
	// before it claims or takes over a slot.
	RankDelay time.Duration
	// RetryInterval is the delay before an unanswered or failed call is
	// retried.
	RetryInterval time.Duration
	// MaxInFlightWrites limits the number of concurrent record writes of one
	// process.
	MaxInFlightWrites int
	// SuccessorCount is the maximum number of successors in a record.
	SuccessorCount int
}

// DefaultConfig returns the default settings for the given number of slots and
// lease TTL.
func DefaultConfig(slots int, ttl time.Duration) Config {
	return Config{
		SlotCount: slots, LeaseTTL: ttl, ClockMargin: ttl / 10, PromiseDuration: ttl,
		ContactLossTimeout: ttl / 4, RankDelay: ttl / 3, RetryInterval: ttl / 6,
		MaxInFlightWrites: 4, SuccessorCount: 3,
	}
}

// Member is a VM that may own slots.
type Member struct {
	VM         string
	Address    string
	DataCentre string
	Region     string
}

// LocalProcess identifies the process that a Machine runs in.
type LocalProcess struct {
	Member
	BootID uint64
}

// slot is the local state of one slot.
type slot struct {
	record Record
	// released is set when the slot must no longer be used under the current
	// revision of the record.
	released bool
	// reportedEpoch is the epoch of the last reported SlotAcquired, or 0 if the
	// slot is not reported as held.
	reportedEpoch uint64
	// writePending is set while a write of this process has no definite
	// outcome; expectedRevision is the revision that the write expects.
	writePending     bool
	expectedRevision uint64
	// nextWrite is the earliest time of the next write. While a write is in
	// flight, it is the time at which the outcome counts as unknown.
	nextWrite time.Time
	inFlight  bool
	// outcomeUnknown is set when it is unknown whether the write that expects
	// expectedRevision has taken effect.
	outcomeUnknown bool
	// unconfirmedSuccessors is the set of successors named in writes of this
	// process that have no definite outcome.
	unconfirmedSuccessors map[string]bool
	// eligibleSince is the time at which this process first found the slot
	// available for acquisition, plus jitter. It is zero while the slot is
	// unavailable.
	eligibleSince time.Time
	// promiseGivenUntil is the end of the promise that this process has granted
	// to the owner.
	promiseGivenUntil time.Time
	// promisesReceived maps the VM of each successor to the end of the promise
	// that it has granted to this process.
	promisesReceived   map[string]time.Time
	nextPromiseRequest time.Time
	nextRelay          time.Time
	// reportedExtended is set when HoldExtended has been reported for the
	// current extension.
	reportedExtended bool
}

// Machine is the ownership state machine of one process. It is not safe for
// concurrent use. All times that are passed to it must be readings of the same
// monotonic clock of this process.
type Machine struct {
	config  Config
	self    LocalProcess
	random  *rand.Rand
	started time.Time

	slots   []slot
	members []Member
	// leases are the leases that have a process key, complete up to
	// leasesRevision.
	leases         map[kv.LeaseID]ProcessLease
	leasesRevision uint64
	// terminated is the set of processes that are known to have terminated.
	terminated map[Process]bool
	// lastContact is the time of the last answer from the key-value service, or
	// zero before the first one.
	lastContact time.Time
	// recordsRevision is the revision up to which the known records are
	// complete.
	recordsRevision uint64

	lease kv.LeaseID
	// leaseRequestedAt is a time before the last successful grant or renewal of
	// the lease was requested.
	leaseRequestedAt time.Time
	// nextLeaseCall is the time at which the next lease call is due.
	nextLeaseCall time.Time
	// openingLease is set while OpenLease, requested at openLeaseSentAt, is
	// unanswered.
	openingLease    bool
	openLeaseSentAt time.Time
	// leaseWantedUntil is the time up to which a lease is requested in order to
	// acquire a slot.
	leaseWantedUntil time.Time
	draining         bool
}

// New returns a Machine for a process that starts at now.
func New(config Config, self LocalProcess, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{
		config: config, self: self, random: random, started: now,
		slots:  make([]slot, config.SlotCount),
		leases: map[kv.LeaseID]ProcessLease{}, terminated: map[Process]bool{},
	}
	for i := range m.slots {
		m.slots[i].record.Slot = SlotID(i)
	}
	m.nextLeaseCall = now.Add(m.jitter(config.RankDelay))
	return m
}

// Holds reports whether this process may use the slot at now, and under which
// epoch. It must be called before every use with a fresh clock reading, since
// the process may have been paused after the previous call.
func (m *Machine) Holds(id SlotID, now time.Time) (uint64, bool) {
	if int(id) >= len(m.slots) {
		return 0, false
	}
	s := &m.slots[id]
	if !m.owns(s) || s.released {
		return 0, false
	}
	return s.record.Epoch, m.heldByLease(s, now) || now.Before(m.promisedUntil(s))
}

// Records returns the known records of all slots that have one, and the highest
// revision of these records.
func (m *Machine) Records() ([]Record, uint64) {
	records := make([]Record, 0, len(m.slots))
	var revision uint64
	for i := range m.slots {
		if r := m.slots[i].record; r.Revision > 0 {
			records = append(records, r)
			revision = max(revision, r.Revision)
		}
	}
	return records, revision
}

// BeginDrain starts a planned stop: subsequent calls of Tick hand over the
// slots. Each slot remains usable until the write that hands it over is
// requested.
func (m *Machine) BeginDrain() { m.draining = true }

// ReleaseAll permanently ends the use of all slots. It must be called before
// the lease is revoked.
func (m *Machine) ReleaseAll() {
	for i := range m.slots {
		if m.owns(&m.slots[i]) {
			m.slots[i].released = true
		}
	}
}

// Lease returns the process's lease, or an empty ID if it has none.
func (m *Machine) Lease() kv.LeaseID { return m.lease }

// ContactAge returns the time since the last answer from the key-value service,
// or since the start of the process before the first answer.
func (m *Machine) ContactAge(now time.Time) time.Duration {
	if m.lastContact.IsZero() {
		return now.Sub(m.started)
	}
	return now.Sub(m.lastContact)
}

// Suspects returns records whose owners should be probed for proof of
// termination: records that name this process as a successor, and records whose
// lease no longer exists. Each owner appears once.
func (m *Machine) Suspects() []Record {
	var records []Record
	seen := map[Process]bool{}
	for i := range m.slots {
		r := m.slots[i].record
		_, leaseExists := m.leases[r.Lease]
		if r.Revision == 0 || r.Owner.VM == m.self.VM || seen[r.Owner] || m.terminated[r.Owner] ||
			(leaseExists && !slices.Contains(r.Successors, m.self.VM)) {
			continue
		}
		seen[r.Owner] = true
		records = append(records, r)
	}
	return records
}

// OwnedCount returns the number of slots whose record names this process as the
// owner, including slots that are not in use.
func (m *Machine) OwnedCount() int {
	count := 0
	for i := range m.slots {
		if m.owns(&m.slots[i]) {
			count++
		}
	}
	return count
}

func (m *Machine) localProcess() Process { return Process{VM: m.self.VM, BootID: m.self.BootID} }

func (m *Machine) owns(s *slot) bool {
	return s.record.Revision > 0 && s.record.Owner == m.localProcess()
}

// leaseValid reports whether the process's own lease cannot have expired at the
// service yet.
func (m *Machine) leaseValid(now time.Time) bool {
	return m.lease != "" && now.Before(m.leaseRequestedAt.Add(m.config.LeaseTTL-m.config.ClockMargin))
}

// heldByLease reports whether the record is covered by the current, valid lease.
func (m *Machine) heldByLease(s *slot, now time.Time) bool {
	return s.record.Lease == m.lease && m.leaseValid(now)
}

// promisedUntil returns the time up to which every possible successor of the
// record has promised not to take over. It returns the zero time if a promise
// is missing.
func (m *Machine) promisedUntil(s *slot) time.Time {
	var until time.Time
	for _, vm := range m.possibleSuccessors(s) {
		end, ok := s.promisesReceived[vm]
		if !ok {
			return time.Time{}
		}
		if until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return until
}

// possibleSuccessors returns the VMs that may become successors or already are:
// those in the record and those in writes without a definite outcome.
func (m *Machine) possibleSuccessors(s *slot) []string {
	if len(s.unconfirmedSuccessors) == 0 {
		return s.record.Successors
	}
	vms := append([]string(nil), s.record.Successors...)
	for vm := range s.unconfirmedSuccessors {
		vms = append(vms, vm)
	}
	return vms
}

func (m *Machine) jitter(upTo time.Duration) time.Duration {
	if upTo <= 0 {
		return 0
	}
	return time.Duration(m.random.Int64N(int64(upTo)))
}
