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
	// intentTimeout bounds the time that a call waits for its intent to
	// become durable.
	intentTimeout = time.Second
	// maxCallTimeout bounds the duration of a call. It is well below the
	// shortest window, so that the record outlives the call.
	maxCallTimeout = idempotency.MinWindow / 2
	// maxWaiters is the maximum number of callers that wait for one attempt.
	maxWaiters = 16
	// drainPollInterval is the interval at which Drain checks for active
	// attempts.
	drainPollInterval = 10 * time.Millisecond
	// recordRetryAfter is the retry delay advertised to callers whose record
	// could not be written.
	recordRetryAfter = time.Second
)

// OwnershipChecker reports whether this process holds a slot.
type OwnershipChecker interface {
	// Holds reports whether the slot is held at the given time, and under
	// which epoch.
	Holds(slot uint32, now time.Time) (epoch uint64, held bool)
}

// Call is a call to an at-most-once route.
type Call struct {
	RequestID string
	Account   string
	Route     string
	// IdempotencyKey is the caller's idempotency key, or the result of RandomKey.
	IdempotencyKey string
	// RequestHash is the result of idempotency.RequestHash for the call.
	RequestHash idempotency.Hash
	// Window is the time for which the outcome is kept.
	Window time.Duration
	// Timeout bounds the duration of the call, measured from the start of
	// Execute.
	Timeout time.Duration
}

// RandomKey returns a key for a call without an idempotency key.
func RandomKey() string {
	return "\x00" + rand.Text()
}

// Send sends a call to its target. It may try several targets in turn, but only
// after all previous targets have confirmed that they have not run the call and
// never will. It may return RanNo with an error only if the call has not run and
// never will. The context is not cancelled when the caller disconnects.
type Send func(ctx context.Context) (idempotency.Answer, outcome.Ran, error)

// Reply is the result of Execute. Answer is valid only if Refusal is nil.
type Reply struct {
	Answer idempotency.Answer
	// Replayed reports whether the answer is that of another attempt.
	Replayed bool
	Refusal  *outcome.Refusal
}

// recordLog makes records durable. Log implements it.
type recordLog interface {
	Append(ctx context.Context, record idempotency.Record) error
	Enqueue(record idempotency.Record)
	Flush(ctx context.Context) error
}

// activeAttempt is an attempt in progress in this process. reply is valid once
// done is closed.
type activeAttempt struct {
	done    chan struct{}
	reply   Reply
	waiters int
}

// Slot runs the calls of a slot that this process owns.
type Slot struct {
	options   Options
	ownership OwnershipChecker
	log       recordLog

	mu       sync.Mutex
	machine  *idempotency.StateMachine
	attempts map[idempotency.Hash]*activeAttempt
}

// OpenSlot fences earlier owners, loads the slot's records and returns the Slot
// with its Log. The caller must call the Log's Run. A process must open a new
// Slot each time it acquires the slot.
func OpenSlot(ctx context.Context, kvStore kv.Store, ownership OwnershipChecker, limits idempotency.Limits, options Options) (*Slot, *Log, error) {
	log, records, err := Open(ctx, kvStore, options)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	machine := idempotency.NewStateMachine(limits, options.Epoch, records, options.Now())
	return newSlot(machine, log, ownership, options), log, nil
}

// newSlot returns a Slot that uses the given state machine and log.
func newSlot(machine *idempotency.StateMachine, log recordLog, ownership OwnershipChecker, options Options) *Slot {
	return &Slot{
		options:   options,
		ownership: ownership,
		log:       log,
		machine:   machine,
		attempts:  make(map[idempotency.Hash]*activeAttempt),
	}
}

// Execute runs a call at most once. It is safe for concurrent use.
func (s *Slot) Execute(ctx context.Context, call Call, send Send) Reply {
	started := s.options.Now()
	if call.IdempotencyKey == "" {
		call.IdempotencyKey = RandomKey()
	}
	if !s.holdsSlot(started) {
		return refusedReply(notOwnerRefusal())
	}
	key := idempotency.KeyHash(call.Account, call.Route, call.IdempotencyKey)
	s.mu.Lock()
	decision := s.machine.Begin(
		idempotency.Call{KeyHash: key, RequestHash: call.RequestHash, Window: call.Window}, newAttemptID(), started)
	switch decision.Action {
	case idempotency.ActionReplay:
		s.mu.Unlock()
		return Reply{Answer: decision.Record.Answer, Replayed: true}
	case idempotency.ActionJoin:
		current := s.attempts[key]
		current.waiters++
		tooManyWaiters := current.waiters > maxWaiters
		s.mu.Unlock()
		return waitForAttempt(ctx, current, tooManyWaiters)
	case idempotency.ActionRefuse:
		s.mu.Unlock()
		return refusedReply(decision.Refusal)
	}
	current := &activeAttempt{done: make(chan struct{})}
	s.attempts[key] = current
	s.mu.Unlock()
	reply := s.runAttempt(ctx, call, decision.Record, started, send)
	current.reply = reply
	close(current.done)
	return reply
}

// runAttempt makes the call's intent durable, then sends the call.
func (s *Slot) runAttempt(ctx context.Context, call Call, record idempotency.Record, started time.Time, send Send) Reply {
	deadline := started.Add(min(call.Timeout, maxCallTimeout))
	appendCtx, cancel := context.WithTimeout(ctx, intentTimeout)
	err := s.log.Append(appendCtx, record)
	cancel()
	if err != nil {
		refusal := outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, recordRetryAfter,
			"The call's idempotency record could not be written.")
		return s.endNotRun(call, record, !errors.Is(err, ErrNotWritten), refusal)
	}
	now := s.options.Now()
	switch {
	case ctx.Err() != nil:
		return s.endNotRun(call, record, true, outcome.NotRun(outcome.CodeCancelled, "The caller left."))
	case !now.Before(deadline):
		return s.endNotRun(call, record, true, outcome.NotRun(outcome.CodeTimeout, "The deadline passed."))
	case !s.holdsSlot(now):
		return s.endNotRun(call, record, true, notOwnerRefusal())
	}
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline.Sub(now))
	defer cancel()
	answer, ran, err := send(sendCtx)
	if err == nil {
		return s.complete(record, answer)
	}
	if ran == outcome.RanNo {
		return s.endNotRun(call, record, true, refusalFromSendError(err, ran))
	}
	return s.endUnknown(call, record, refusalFromSendError(err, ran))
}

// complete ends an attempt that was answered. The caller does not wait for the
// record to be written: without the record, a later call with the same key is
// refused because its outcome is unknown.
func (s *Slot) complete(record idempotency.Record, answer idempotency.Answer) Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, record.KeyHash)
	s.log.Enqueue(s.machine.Complete(record.KeyHash, record.Attempt, answer))
	return Reply{Answer: answer}
}

// endNotRun ends an attempt that will never be sent; no other process can send
// it. If the intent may have been written, it records that the call has not run.
func (s *Slot) endNotRun(call Call, record idempotency.Record, mayBeStored bool, refusal *outcome.Refusal) Reply {
	s.options.Events.Log(eventlog.OnceNotRun,
		"slot", s.options.Slot, "request", call.RequestID, "code", refusal.Code)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, record.KeyHash)
	if mayBeStored {
		s.log.Enqueue(s.machine.MarkNotRun(record.KeyHash, record.Attempt))
	} else {
		s.machine.Discard(record.KeyHash, record.Attempt)
	}
	return refusedReply(refusal)
}

// endUnknown ends an attempt that may have run but has no answer.
func (s *Slot) endUnknown(call Call, record idempotency.Record, refusal *outcome.Refusal) Reply {
	s.options.Events.Log(eventlog.OnceUnknown,
		"slot", s.options.Slot, "request", call.RequestID, "code", refusal.Code)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.attempts, record.KeyHash)
	s.machine.MarkUnknown(record.KeyHash, record.Attempt)
	return refusedReply(refusal)
}

// Drain waits until all attempts have ended and all records are written. Before
// a planned stop or a hand-over, call it once the slot receives no new calls.
func (s *Slot) Drain(ctx context.Context) error {
	for {
		s.mu.Lock()
		remaining := len(s.attempts)
		s.mu.Unlock()
		if remaining == 0 {
			return errors.Trace(s.log.Flush(ctx))
		}
		if !clock.Sleep(ctx, drainPollInterval) {
			return errors.Trace(ctx.Err())
		}
	}
}

// holdsSlot reports whether this process holds the slot under the Slot's epoch.
func (s *Slot) holdsSlot(now time.Time) bool {
	epoch, held := s.ownership.Holds(s.options.Slot, now)
	return held && epoch == s.options.Epoch
}
