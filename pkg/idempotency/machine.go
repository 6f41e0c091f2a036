package idempotency

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
)

// Bounds of a call's window, which is the time for which its outcome is kept.
const (
	// MinWindow is the shortest window. It far exceeds any call timeout, so
	// that a record outlives the attempt that wrote it.
	MinWindow = 10 * time.Minute
	// MaxWindow is the longest window.
	MaxWindow = 48 * time.Hour
	// MaxClockSkew extends each window to allow for clock differences
	// between successive owners of a slot.
	MaxClockSkew = time.Minute
)

// expiryScanInterval is the minimum time between scans for expired records.
const expiryScanInterval = time.Minute

// Limits bounds the records and answers that a StateMachine holds.
type Limits struct {
	// MaxRecords is the maximum number of records.
	MaxRecords int
	// MaxStoredAnswerBytes is the maximum size of an answer, body and headers,
	// that is written to the key-value service.
	MaxStoredAnswerBytes int
	// MaxVolatileBytes bounds the total size of larger answers, which are
	// kept in memory only.
	MaxVolatileBytes int
}

// DefaultLimits returns the default limits of one slot.
func DefaultLimits() Limits {
	return Limits{MaxRecords: 200_000, MaxStoredAnswerBytes: 2 << 10, MaxVolatileBytes: 1 << 20}
}

// Call describes an incoming call. It is the input of StateMachine.Begin.
type Call struct {
	KeyHash     Hash
	RequestHash Hash
	// Window is the time for which the outcome is kept. It is clamped to
	// [MinWindow, MaxWindow].
	Window time.Duration
}

// Action selects how to handle a call.
type Action uint8

// Values of Action.
const (
	// ActionRun means that the caller makes Decision.Record durable, then
	// sends the call.
	ActionRun Action = 1
	// ActionReplay means that the caller returns the answer in Decision.Record.
	ActionReplay Action = 2
	// ActionJoin means that the caller waits for the attempt in
	// Decision.Record, which is in progress in this process.
	ActionJoin Action = 3
	// ActionRefuse means that the caller returns Decision.Refusal.
	ActionRefuse Action = 4
)

// Decision is the result of StateMachine.Begin.
type Decision struct {
	Action  Action
	Record  Record
	Refusal *outcome.Refusal
}

// entry is a record together with its state in this process.
type entry struct {
	Record
	// inProgress is set from Begin until the attempt ends.
	inProgress bool
}

// StateMachine holds the records of one slot under one epoch and decides how to
// handle each call. It is not safe for concurrent use.
type StateMachine struct {
	limits         Limits
	epoch          uint64
	entries        map[Hash]*entry
	volatileKeys   []Hash
	volatileBytes  int
	nextExpiryScan time.Time
}

// NewStateMachine returns a StateMachine that holds the unexpired records of
// earlier owners.
func NewStateMachine(limits Limits, epoch uint64, records []Record, now time.Time) *StateMachine {
	m := &StateMachine{
		limits:         limits,
		epoch:          epoch,
		entries:        make(map[Hash]*entry, len(records)),
		nextExpiryScan: now.Add(expiryScanInterval),
	}
	for _, record := range records {
		if now.Before(record.Expires) {
			m.entries[record.KeyHash] = &entry{Record: record}
		}
	}
	return m
}

// Len returns the number of records, including expired ones that have not been
// removed yet.
func (m *StateMachine) Len() int {
	return len(m.entries)
}

// Begin decides how to handle a call. attempt is a new random number that
// identifies the attempt if the decision is ActionRun. The caller must end such
// an attempt with exactly one call to Complete, MarkNotRun, Discard or
// MarkUnknown.
func (m *StateMachine) Begin(call Call, attempt uint64, now time.Time) Decision {
	m.removeExpired(now)
	current, found := m.entries[call.KeyHash]
	if found && (current.inProgress || now.Before(current.Expires)) {
		if decision, decided := decideExisting(current, call); decided {
			return decision
		}
	} else if len(m.entries) >= m.limits.MaxRecords {
		return refuse(outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, expiryScanInterval,
			"The slot holds as many idempotency records as it may."))
	}
	m.evictVolatile(call.KeyHash)
	window := min(max(call.Window, MinWindow), MaxWindow)
	record := Record{
		KeyHash:     call.KeyHash,
		RequestHash: call.RequestHash,
		State:       StateIntent,
		Attempt:     attempt,
		Epoch:       m.epoch,
		Expires:     now.Add(window + MaxClockSkew),
	}
	m.entries[call.KeyHash] = &entry{Record: record, inProgress: true}
	return Decision{Action: ActionRun, Record: record}
}

// decideExisting decides how to handle a call whose key has a record. decided
// is false if the call may run.
func decideExisting(current *entry, call Call) (decision Decision, decided bool) {
	switch {
	case current.RequestHash != call.RequestHash:
		return refuse(outcome.NotRun(outcome.CodeKeyReused,
			"The idempotency key was used before with a different request.")), true
	case current.inProgress:
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

// refuse returns an ActionRefuse decision.
func refuse(refusal *outcome.Refusal) Decision {
	return Decision{Action: ActionRefuse, Refusal: refusal}
}

// Complete ends an attempt that was answered. It returns the record to store.
func (m *StateMachine) Complete(key Hash, attempt uint64, answer Answer) Record {
	current := m.endAttempt(key, attempt)
	current.State = StateDone
	current.Answer = answer
	if answer.Size() > m.limits.MaxStoredAnswerBytes {
		m.addVolatile(current)
	}
	return current.DropLargeAnswer(m.limits.MaxStoredAnswerBytes)
}

// MarkNotRun ends an attempt that was never sent and never will be, but whose
// intent record may be in the key-value service. It returns the record to store.
func (m *StateMachine) MarkNotRun(key Hash, attempt uint64) Record {
	current := m.endAttempt(key, attempt)
	current.State = StateNotRun
	return current.Record
}

// Discard ends an attempt whose intent record was not written and never will be.
func (m *StateMachine) Discard(key Hash, attempt uint64) {
	m.endAttempt(key, attempt)
	delete(m.entries, key)
}

// MarkUnknown ends an attempt that may have run but has no answer.
func (m *StateMachine) MarkUnknown(key Hash, attempt uint64) {
	m.endAttempt(key, attempt)
}

// endAttempt marks an attempt as no longer in progress.
func (m *StateMachine) endAttempt(key Hash, attempt uint64) *entry {
	current, found := m.entries[key]
	if !found || !current.inProgress || current.Attempt != attempt {
		panic("idempotency: attempt is not in progress")
	}
	current.inProgress = false
	return current
}

// addVolatile keeps a large answer in memory and evicts the oldest large
// answers if they exceed MaxVolatileBytes.
func (m *StateMachine) addVolatile(completed *entry) {
	m.volatileKeys = append(m.volatileKeys, completed.KeyHash)
	m.volatileBytes += completed.Answer.Size()
	for m.volatileBytes > m.limits.MaxVolatileBytes {
		m.evictVolatile(m.volatileKeys[0])
	}
}

// evictVolatile removes the large answer of a key from memory, if present.
func (m *StateMachine) evictVolatile(key Hash) {
	for i, candidate := range m.volatileKeys {
		if candidate != key {
			continue
		}
		current := m.entries[key]
		m.volatileBytes -= current.Answer.Size()
		current.Record = current.DropLargeAnswer(m.limits.MaxStoredAnswerBytes)
		m.volatileKeys = append(m.volatileKeys[:i], m.volatileKeys[i+1:]...)
		return
	}
}

// removeExpired removes expired records, at most once per expiryScanInterval.
func (m *StateMachine) removeExpired(now time.Time) {
	if now.Before(m.nextExpiryScan) {
		return
	}
	m.nextExpiryScan = now.Add(expiryScanInterval)
	for key, current := range m.entries {
		if !current.inProgress && !now.Before(current.Expires) {
			m.evictVolatile(key)
			delete(m.entries, key)
		}
	}
}
