package ownership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
)

// Config holds the settings of a Machine; all processes of a fleet use equal ones.
type Config struct {
	// Slots is the number of slots; it never changes for a fleet.
	Slots int
	// TTL is the time to live of a process's lease.
	TTL time.Duration
	// Margin is taken off every lease and promise, for clocks that run at
	// unequal rates.
	Margin time.Duration
	// Promise is the duration of a promise and the longest that is granted.
	Promise time.Duration
	// ContactLoss is the time without the key-value service after which a
	// successor grants promises.
	ContactLoss time.Duration
	// Step is the time by which the next in order waits before it acts.
	Step time.Duration
	// Retry is the time before an unanswered or failed call is repeated.
	Retry time.Duration
	// MaxWrites bounds the writes of records in flight of one process.
	MaxWrites int
	// Successors is the number of successors of a record.
	Successors int
}

// DefaultConfig returns the settings for a number of slots and a lease time.
func DefaultConfig(slots int, ttl time.Duration) Config {
	return Config{
		Slots: slots, TTL: ttl, Margin: ttl / 10, Promise: ttl,
		ContactLoss: ttl / 4, Step: ttl / 3, Retry: ttl / 6,
		MaxWrites: 4, Successors: 3,
	}
}

// Member is a VM that may own slots.
type Member struct {
	VM         string
	Address    string
	DataCentre string
	Region     string
}

// LocalProcess is the process that the Machine decides for.
type LocalProcess struct {
	Member
	BootID uint64
}

// slot is what the Machine knows of one slot.
type slot struct {
	record Record
	// released forbids use of the record at this revision.
	released bool
	// inUse is the epoch last reported by StartUsing; 0 for none.
	inUse uint64
	// attempted is the revision that an unsettled write of this process
	// expects; writing says that such a write exists.
	writing   bool
	attempted uint64
	retryAt   time.Time
	inFlight  bool
	// unsettled says that the outcome of a write at attempted is unknown.
	unsettled bool
	// extra holds successors of unsettled writes of this process.
	extra map[string]bool
	// takeableSince is when the slot was first seen free for the taking.
	takeableSince time.Time
	// promised is the end of the promise that this process gave.
	promised time.Time
	// promises are the ends of the promises that this process was given.
	promises map[string]time.Time
	askAt    time.Time
	relayAt  time.Time
	extended bool
}

// Machine is the state machine of one process. It is not safe for concurrent
// use. Times are readings of one monotonic clock of this process.
type Machine struct {
	config  Config
	self    LocalProcess
	random  *rand.Rand
	started time.Time

	slots   []slot
	members []Member
	// alive are the leases with a key, complete up to aliveRevision.
	alive         map[kv.LeaseID]Alive
	aliveRevision uint64
	// dead are processes proven dead.
	dead map[Process]bool
	// contact is the last answer of the service; zero before the first.
	contact time.Time
	// slotsRev is the revision up to which the records are complete.
	slotsRev uint64

	lease     kv.LeaseID
	leaseSent time.Time
	// leaseAt is when the next lease call is due.
	leaseAt time.Time
	// leasing says that OpenLease was asked at leaseAskedAt, unanswered.
	leasing      bool
	leaseAskedAt time.Time
	// leaseWanted is the end of a wish for a lease to take a slot with.
	leaseWanted time.Time
	stopping    bool
}

// New returns a Machine for a process that starts now.
func New(config Config, self LocalProcess, random *rand.Rand, now time.Time) *Machine {
	m := &Machine{
		config: config, self: self, random: random, started: now,
		slots: make([]slot, config.Slots),
		alive: map[kv.LeaseID]Alive{}, dead: map[Process]bool{},
	}
	for i := range m.slots {
		m.slots[i].record.Slot = SlotID(i)
	}
	m.leaseAt = now.Add(m.jitter(config.Step))
	return m
}

// Holds says whether this process may use the slot at this instant, and the
// epoch to use. It must be asked before every use with a fresh reading of the
// clock, since the process may have been paused since the last question.
func (m *Machine) Holds(id SlotID, now time.Time) (uint64, bool) {
	if int(id) >= len(m.slots) {
		return 0, false
	}
	s := &m.slots[id]
	if !m.owns(s) || s.released {
		return 0, false
	}
	return s.record.Epoch, m.leased(s, now) || now.Before(m.promisedUntil(s))
}

// Table returns the known records of all slots that have one, and the
// greatest revision among them.
func (m *Machine) Table() ([]Record, uint64) {
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

// Leave begins a planned stop: later Ticks hand the slots over. Each is used
// until the write that hands it over is sent.
func (m *Machine) Leave() { m.stopping = true }

// Release ends the use of all slots for good. It is called before the lease is
// revoked.
func (m *Machine) Release() {
	for i := range m.slots {
		if m.owns(&m.slots[i]) {
			m.slots[i].released = true
		}
	}
}

// Lease returns the process's lease; empty for none.
func (m *Machine) Lease() kv.LeaseID { return m.lease }

// ContactAge returns the time since the last answer of the service; before
// the first, since the start.
func (m *Machine) ContactAge(now time.Time) time.Duration {
	if m.contact.IsZero() {
		return now.Sub(m.started)
	}
	return now.Sub(m.contact)
}

// Suspects returns the records whose owners are worth a probe for proof of
// death: those that this process is a successor of, and those whose lease is
// gone. Each owner is named once.
func (m *Machine) Suspects() []Record {
	var records []Record
	seen := map[Process]bool{}
	for i := range m.slots {
		r := m.slots[i].record
		_, leased := m.alive[r.Lease]
		if r.Revision == 0 || r.Owner.VM == m.self.VM || seen[r.Owner] || m.dead[r.Owner] ||
			(leased && !slices.Contains(r.Successors, m.self.VM)) {
			continue
		}
		seen[r.Owner] = true
		records = append(records, r)
	}
	return records
}

// Owned returns the number of slots whose record names this process, used or
// not.
func (m *Machine) Owned() int {
	count := 0
	for i := range m.slots {
		if m.owns(&m.slots[i]) {
			count++
		}
	}
	return count
}

func (m *Machine) me() Process { return Process{VM: m.self.VM, BootID: m.self.BootID} }

func (m *Machine) owns(s *slot) bool {
	return s.record.Revision > 0 && s.record.Owner == m.me()
}

// leaseValid says whether the own lease cannot have lapsed at the service.
func (m *Machine) leaseValid(now time.Time) bool {
	return m.lease != "" && now.Before(m.leaseSent.Add(m.config.TTL-m.config.Margin))
}

func (m *Machine) leased(s *slot, now time.Time) bool {
	return s.record.Lease == m.lease && m.leaseValid(now)
}

// promisedUntil is the instant up to which every possible successor of the
// record has promised; the zero time when one hasn't.
func (m *Machine) promisedUntil(s *slot) time.Time {
	var until time.Time
	for _, vm := range m.promisers(s) {
		end, ok := s.promises[vm]
		if !ok {
			return time.Time{}
		}
		if until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return until
}

// promisers are the successors of the record and of unsettled writes.
func (m *Machine) promisers(s *slot) []string {
	if len(s.extra) == 0 {
		return s.record.Successors
	}
	vms := append([]string(nil), s.record.Successors...)
	for vm := range s.extra {
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
