package store

import (
	"context"
	"crypto/rand"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/juju/errors"
)

const (
	// recordTimeout bounds a call's wait for its intent to be durable.
	recordTimeout = time.Second
	// maxCallTimeout bounds a call; its record outlives it by far.
	maxCallTimeout = idempotency.MinWindow / 2
	// maxJoined bounds the callers that wait for one running attempt.
	maxJoined = 16
	// drainInterval is the time between two looks at the running attempts.
	drainInterval = 10 * time.Millisecond
	// retryAfterRecord is the time to come back after a failed record write.
	retryAfterRecord = time.Second
)

// OwnershipChecker says whether this process holds a slot.
type OwnershipChecker interface {
	// Holds returns the epoch under which the slot is held at now.
	Holds(slot uint32, now time.Time) (epoch uint64, held bool)
}

// Call is one call of a once route.
type Call struct {
	RequestID string
	Account   string
	Route     string
	// IdempotencyKey is the caller's idempotency key, or a RandomKey.
	IdempotencyKey string
	// RequestHash is the idempotency.RequestHash of the call.
	RequestHash idempotency.Hash
	// Window is how long the outcome is kept.
	Window time.Duration
	// Timeout bounds the call, from the start of Execute.
	Timeout time.Duration
}

// RandomKey returns a key for a call that came without one.
func RandomKey() string {
	return "\x00" + rand.Text()
}

// Send sends a call to its target. It may try several targets in turn, each
// only when all before have said that they have not run the call and never
// will. An error goes with RanNo only if the call has not run and never will.
// The context does not end when the caller leaves.
type Send func(ctx context.Context) (idempotency.Answer, outcome.Ran, error)

// Reply is the outcome of Execute: Refusal is set, or Answer holds.
type Reply struct {
	Answer idempotency.Answer
	// Replayed says that the answer is that of another attempt.
	Replayed bool
	Refusal  *outcome.Refusal
}

// recordLog makes records durable; a Log is one.
type recordLog interface {
	Append(ctx context.Context, record idempotency.Record) error
	Put(record idempotency.Record)
	Flush(ctx context.Context) error
}

// running is an attempt of this process that has not ended.
type running struct {
	ended  chan struct{}
	reply  Reply
	joined int
}

// Slot runs the calls of one slot that this process owns.
type Slot struct {
	options Options
	guard   OwnershipChecker
	log     recordLog

	mu       sync.Mutex
	machine  *idempotency.Machine
	attempts map[idempotency.Hash]*running
}

// OpenSlot fences earlier owners, loads the slot's records and returns the
// Slot with the Log, whose Run the caller starts. Every attempt to own the
// slot opens a new Slot.
func OpenSlot(ctx context.Context, service kv.Store, guard OwnershipChecker, limits idempotency.Limits, options Options) (*Slot, *Log, error) {
	log, records, err := Open(ctx, service, options)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	machine := idempotency.New(limits, options.Epoch, records, options.Now())
	return newSlot(machine, log, guard, options), log, nil
}

// newSlot returns a Slot over a machine and a log.
func newSlot(machine *idempotency.Machine, log recordLog, guard OwnershipChecker, options Options) *Slot {
	return &Slot{
		options:  options,
		guard:    guard,
		log:      log,
		machine:  machine,
		attempts: make(map[idempotency.Hash]*running),
	}
}

// Execute runs a call at most once. It is safe for concurrent use.
func (s *Slot) Execute(ctx context.Context, call Call, send Send) Reply {
	started := s.options.Now()
	if call.IdempotencyKey == "" {
		call.IdempotencyKey = RandomKey()
	}
	if !s.held(started) {
		return refused(notOwner())
	}
	key := idempotency.KeyHash(call.Account, call.Route, call.IdempotencyKey)
	s.mu.Lock()
	decision := s.machine.Begin(
		idempotency.Call{Key: key, Request: call.RequestHash, Window: call.Window}, newAttempt(), started)
	switch decision.Action {
	case idempotency.ActionReplay:
		s.mu.Unlock()
		return Reply{Answer: decision.Record.Answer, Replayed: true}
	case idempotency.ActionJoin:
		current := s.attempts[key]
		current.joined++
		excess := current.joined > maxJoined
		s.mu.Unlock()
		return join(ctx, current, excess)
	case idempotency.ActionRefuse:
		s.mu.Unlock()
		return refused(decision.Refusal)
	}
	current := &running{ended: make(chan struct{})}
	s.attempts[key] = current
	s.mu.Unlock()
	reply := s.run(ctx, call, decision.Record, started, send)
	current.reply = reply
	close(current.ended)
	return reply
}

// run makes the intent durable, then sends the call.
func (s *Slot) run(ctx context.Context, call Call, record idempotency.Record, started time.Time, send Send) Reply {
	deadline := started.Add(min(call.Timeout, maxCallTimeout))
	appendCtx, cancel := context.WithTimeout(ctx, recordTimeout)
	err := s.log.Append(appendCtx, record)
	cancel()
	if err != nil {
		refusal := outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, retryAfterRecord,
			"The call's idempotency record could not be written.")
		return s.notSent(call, record, !errors.Is(err, ErrNotWritten), refusal)
	}
	now := s.options.Now()
	switch {
	case ctx.Err() != nil:
		return s.notSent(call, record, true, outcome.NotRun(outcome.CodeCancelled, "The caller left."))
	case !now.Before(deadline):
		return s.notSent(call, record, true, outcome.NotRun(outcome.CodeTimeout, "The deadline passed."))
	case !s.held(now):
		return s.notSent(call, record, true, notOwner())
	}
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline.Sub(now))
	defer cancel()
	answer, ran, err := send(sendCtx)
	if err == nil {
		return s.finish(record, answer)
	}
	if ran == outcome.RanNo {
		return s.notSent(call, record, true, sendRefusal(err, ran))
	}
	return s.unknown(call, record, sendRefusal(err, ran))
}

// finish records the answer of an attempt. The caller does not wait for the
// record: without it a later attempt is told that the outcome is unknown.
func (s *Slot) finish(record idempotency.Record, answer idempotency.Answer) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, record.Key)
	s.log.Put(s.machine.Finish(record.Key, record.Attempt, answer))
	return Reply{Answer: answer}
}

// notSent ends an attempt that this process, the only one that could, will
// never send. An intent that may be in the service is closed as not run.
func (s *Slot) notSent(call Call, record idempotency.Record, maybeWritten bool, refusal *outcome.Refusal) Reply {
	s.options.Events.Log(eventlog.OnceNotRun,
		"slot", s.options.Slot, "request", call.RequestID, "code", refusal.Code)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, record.Key)
	if maybeWritten {
		s.log.Put(s.machine.NotSent(record.Key, record.Attempt))
	} else {
		s.machine.Withdraw(record.Key, record.Attempt)
	}
	return refused(refusal)
}

// unknown ends an attempt that may have run and has no answer.
func (s *Slot) unknown(call Call, record idempotency.Record, refusal *outcome.Refusal) Reply {
	s.options.Events.Log(eventlog.OnceUnknown,
		"slot", s.options.Slot, "request", call.RequestID, "code", refusal.Code)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, record.Key)
	s.machine.Unknown(record.Key, record.Attempt)
	return refused(refusal)
}

// Drain waits until every attempt has ended and every record is written. For a
// planned stop or a hand-over it is called once new calls go elsewhere.
func (s *Slot) Drain(ctx context.Context) error {
	for {
		s.mu.Lock()
		left := len(s.attempts)
		s.mu.Unlock()
		if left == 0 {
			return errors.Trace(s.log.Flush(ctx))
		}
		if !clock.Sleep(ctx, drainInterval) {
			return errors.Trace(ctx.Err())
		}
	}
}

// held says whether this process holds the slot under the Slot's epoch.
func (s *Slot) held(now time.Time) bool {
	epoch, held := s.guard.Holds(s.options.Slot, now)
	return held && epoch == s.options.Epoch
}
