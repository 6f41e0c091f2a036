package idempotency

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Bounds of a call's window.
const (
	// MinWindow is the shortest window. It is far above any call's timeout, so
	// that a record outlives the attempt that wrote it.
	MinWindow = 10 * time.Minute
	// MaxWindow is the longest window.
	MaxWindow = 48 * time.Hour
	// ClockSkew is added to each window for owners whose clocks differ.
	ClockSkew = time.Minute
)

// sweepInterval is the time between two searches for expired records.
const sweepInterval = time.Minute

// Limits bound a Machine.
type Limits struct {
	// MaxRecords is the largest number of records.
	MaxRecords int
	// MaxStoredAnswerBytes is the largest answer, body and headers, that goes into the service.
	MaxStoredAnswerBytes int
	// MaxVolatileBytes bounds the larger answers, which are in memory only.
	MaxVolatileBytes int
}

// DefaultLimits are the limits of one slot.
func DefaultLimits() Limits {
	return Limits{MaxRecords: 200_000, MaxStoredAnswerBytes: 2 << 10, MaxVolatileBytes: 1 << 20}
}

// Call is an incoming call as the Machine sees it.
type Call struct {
	Key     Hash
	Request Hash
	// Window is how long the outcome is kept; clamped to [MinWindow, MaxWindow].
	Window time.Duration
}

// Action is what is to be done with a call.
type Action uint8

// Actions of a Decision.
const (
	// ActionRun means: make Record durable, then send.
	ActionRun Action = 1
	// ActionReplay means: give Record's answer again.
	ActionReplay Action = 2
	// ActionJoin means: wait for the attempt in Record, which runs here.
	ActionJoin Action = 3
	// ActionRefuse means: answer Refusal.
	ActionRefuse Action = 4
)

// Decision is a Machine's answer to a call.
type Decision struct {
	Action  Action
	Record  Record
	Refusal *outcome.Refusal
}

// entry is a record with what only this process knows of it.
type entry struct {
	Record
	// live says that an attempt of this process is between Begin and its end.
	live bool
}

// Machine holds the records of one slot under one epoch. It is not safe for
// concurrent use.
type Machine struct {
	limits        Limits
	epoch         uint64
	entries       map[Hash]*entry
	volatile      []Hash
	volatileBytes int
	nextSweep     time.Time
}

// New returns a Machine over the records that earlier owners left.
func New(limits Limits, epoch uint64, records []Record, now time.Time) *Machine {
	m := &Machine{
		limits:    limits,
		epoch:     epoch,
		entries:   make(map[Hash]*entry, len(records)),
		nextSweep: now.Add(sweepInterval),
	}
	for _, record := range records {
		if now.Before(record.Expires) {
			m.entries[record.Key] = &entry{Record: record}
		}
	}
	return m
}

// Len returns the number of records.
func (m *Machine) Len() int {
	return len(m.entries)
}

// Begin decides about a call. attempt is a fresh random number, which becomes
// the record's when the decision is ActionRun. Such an attempt ends by exactly
// one of Finish, NotSent, Withdraw and Unknown.
func (m *Machine) Begin(call Call, attempt uint64, now time.Time) Decision {
	m.sweep(now)
	current, found := m.entries[call.Key]
	if found && (current.live || now.Before(current.Expires)) {
		if decision, settled := decideKnown(current, call); settled {
			return decision
		}
	} else if len(m.entries) >= m.limits.MaxRecords {
		return refuse(outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, sweepInterval,
			"The slot holds as many idempotency records as it may."))
	}
	m.dropVolatile(call.Key)
	window := min(max(call.Window, MinWindow), MaxWindow)
	record := Record{
		Key:     call.Key,
		Request: call.Request,
		State:   StateIntent,
		Attempt: attempt,
		Epoch:   m.epoch,
		Expires: now.Add(window + ClockSkew),
	}
	m.entries[call.Key] = &entry{Record: record, live: true}
	return Decision{Action: ActionRun, Record: record}
}

// decideKnown decides about a call whose key has a record; settled is false
// when the call may run.
func decideKnown(current *entry, call Call) (decision Decision, settled bool) {
	switch {
	case current.Request != call.Request:
		return refuse(outcome.NotRun(outcome.CodeKeyReused,
			"The idempotency key was used before with a different request.")), true
	case current.live:
		return Decision{Action: ActionJoin, Record: current.Record}, true
	case current.State == StateNotRun:
		return Decision{}, false
	case current.State == StateIntent:
		return refuse(&outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown,
			Message: "An earlier attempt with this idempotency key may have run."}), true
	case current.Answer.BodyDropped:
		return refuse(&outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanYes,
			Message: "An earlier attempt ran; its answer was too large to be kept."}), true
	default:
		return Decision{Action: ActionReplay, Record: current.Record}, true
	}
}

// refuse returns the decision to refuse.
func refuse(refusal *outcome.Refusal) Decision {
	return Decision{Action: ActionRefuse, Refusal: refusal}
}

// Finish records the answer of a live attempt and returns the record to store.
func (m *Machine) Finish(key Hash, attempt uint64, answer Answer) Record {
	current := m.end(key, attempt)
	current.State = StateDone
	current.Answer = answer
	if answer.Bytes() > m.limits.MaxStoredAnswerBytes {
		m.keepVolatile(current)
	}
	return current.Stored(m.limits.MaxStoredAnswerBytes)
}

// NotSent ends a live attempt that was never sent and never will be, though
// its intent may be in the service. It returns the record to store.
func (m *Machine) NotSent(key Hash, attempt uint64) Record {
	current := m.end(key, attempt)
	current.State = StateNotRun
	return current.Record
}

// Withdraw ends a live attempt whose intent is known never to be written.
func (m *Machine) Withdraw(key Hash, attempt uint64) {
	m.end(key, attempt)
	delete(m.entries, key)
}

// Unknown ends a live attempt that may have run and has no answer.
func (m *Machine) Unknown(key Hash, attempt uint64) {
	m.end(key, attempt)
}

// end marks an attempt as no longer live.
func (m *Machine) end(key Hash, attempt uint64) *entry {
	current, found := m.entries[key]
	if !found || !current.live || current.Attempt != attempt {
		panic("idempotency: end of an attempt that is not live")
	}
	current.live = false
	return current
}

// keepVolatile keeps a large answer in memory, at the cost of the oldest ones.
func (m *Machine) keepVolatile(current *entry) {
	m.volatile = append(m.volatile, current.Key)
	m.volatileBytes += current.Answer.Bytes()
	for m.volatileBytes > m.limits.MaxVolatileBytes {
		m.dropVolatile(m.volatile[0])
	}
}

// dropVolatile drops the large answer of a key, if there is one.
func (m *Machine) dropVolatile(key Hash) {
	for i, kept := range m.volatile {
		if kept != key {
			continue
		}
		current := m.entries[key]
		m.volatileBytes -= current.Answer.Bytes()
		current.Record = current.Stored(m.limits.MaxStoredAnswerBytes)
		m.volatile = append(m.volatile[:i], m.volatile[i+1:]...)
		return
	}
}

// sweep forgets expired records, at most once every sweepInterval.
func (m *Machine) sweep(now time.Time) {
	if now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = now.Add(sweepInterval)
	for key, current := range m.entries {
		if !current.live && !now.Before(current.Expires) {
			m.dropVolatile(key)
			delete(m.entries, key)
		}
	}
}
