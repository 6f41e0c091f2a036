package store

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/juju/errors"
)

const (
	// DefaultBatchInterval is the default minimum time between writes to a slot.
	DefaultBatchInterval = 5 * time.Millisecond
	// maxQueuedIntents is the maximum number of intents waiting for a batch.
	maxQueuedIntents = 1024
	// maxBatchBytes is the estimated size at which a batch is full.
	maxBatchBytes = 128 << 10
	// recordOverheadBytes is the estimated size of a record without its answer.
	recordOverheadBytes = 96
)

// queuedIntent is an intent whose caller waits for it to become durable.
type queuedIntent struct {
	record  idempotency.Record
	result  chan error
	batched bool
}

// Log writes the records of one slot under one epoch. Run must be called from
// one goroutine; Append, Enqueue and Flush are safe for concurrent use.
type Log struct {
	kvStore kv.Store
	options Options
	wakeup  chan struct{}

	// head, revision, mergeable and lastSealFailure are used only by the
	// goroutine that calls Run.
	head     head
	revision uint64
	// mergeable holds the records of segments that may still be merged, by
	// segment number.
	mergeable       map[uint64][]recordWire
	lastSealFailure time.Time

	mu            sync.Mutex
	queuedIntents []*queuedIntent
	// queuedOutcomes holds records that supersede an earlier intent. No
	// caller waits for them. Their number is bounded by the slot's number of
	// records.
	queuedOutcomes map[idempotency.Hash]idempotency.Record
	// batchInFlight is set from the removal of a batch from the queues until
	// its write has completed.
	batchInFlight bool
	closeErr      error
}

// newLog returns a Log whose head has not been read yet.
func newLog(kvStore kv.Store, options Options) *Log {
	return &Log{
		kvStore:        kvStore,
		options:        options,
		wakeup:         make(chan struct{}, 1),
		mergeable:      make(map[uint64][]recordWire),
		queuedOutcomes: make(map[idempotency.Hash]idempotency.Record),
	}
}

// Append writes an intent and waits until it is durable. It returns nil,
// ErrNotWritten, ErrWriteUnresolved or ErrFenced.
func (l *Log) Append(ctx context.Context, record idempotency.Record) error {
	queued := &queuedIntent{record: record, result: make(chan error, 1)}
	l.mu.Lock()
	if l.closeErr != nil || len(l.queuedIntents) >= maxQueuedIntents {
		l.mu.Unlock()
		return ErrNotWritten
	}
	l.queuedIntents = append(l.queuedIntents, queued)
	l.mu.Unlock()
	l.notify()
	select {
	case err := <-queued.result:
		return err
	case <-ctx.Done():
		return l.cancelIntent(queued)
	}
}

// cancelIntent removes an intent from the queue. It returns ErrNotWritten, or
// ErrWriteUnresolved if the intent is already part of a batch.
func (l *Log) cancelIntent(queued *queuedIntent) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if queued.batched {
		return ErrWriteUnresolved
	}
	if i := slices.Index(l.queuedIntents, queued); i >= 0 {
		l.queuedIntents = slices.Delete(l.queuedIntents, i, i+1)
	}
	return ErrNotWritten
}

// Enqueue queues a record that supersedes an earlier intent and returns without
// waiting. The record is written once the key-value service is available, or
// never if the slot has a newer owner.
func (l *Log) Enqueue(record idempotency.Record) {
	l.mu.Lock()
	if l.closeErr == nil {
		l.queuedOutcomes[record.KeyHash] = record
	}
	l.mu.Unlock()
	l.notify()
}

// Flush waits until all queued records are written. It returns the error that
// Run ended with, if it ended, or the error of ctx.
func (l *Log) Flush(ctx context.Context) error {
	for {
		l.mu.Lock()
		idle := len(l.queuedIntents) == 0 && len(l.queuedOutcomes) == 0 && !l.batchInFlight
		closeErr := l.closeErr
		l.mu.Unlock()
		switch {
		case closeErr != nil:
			return errors.Trace(closeErr)
		case idle:
			return nil
		case !clock.Sleep(ctx, l.options.BatchInterval):
			return errors.Trace(ctx.Err())
		}
	}
}

// notify wakes up Run.
func (l *Log) notify() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// Run writes batches until ctx ends or the slot has a newer owner. It returns
// ErrFenced or the error of ctx.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case <-l.wakeup:
		case <-ctx.Done():
			return l.close(ctx.Err(), nil)
		}
		for {
			intents, records := l.nextBatch()
			if len(records) == 0 {
				break
			}
			pause := l.options.BatchInterval
			err := l.writeBatch(ctx, records, len(intents))
			if err != nil && !errors.Is(err, ErrNotWritten) {
				return l.close(err, intents)
			}
			l.completeBatch(intents, records, err)
			if err != nil {
				pause = retryInterval
			}
			if !clock.Sleep(ctx, pause) {
				return l.close(ctx.Err(), nil)
			}
		}
	}
}

// nextBatch removes the next batch from the queues. An intent supersedes a
// queued outcome of the same key, which belongs to an earlier attempt.
func (l *Log) nextBatch() ([]*queuedIntent, []idempotency.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []idempotency.Record
	size := 0
	count := 0
	for _, queued := range l.queuedIntents {
		if size >= maxBatchBytes {
			break
		}
		queued.batched = true
		delete(l.queuedOutcomes, queued.record.KeyHash)
		records = append(records, queued.record)
		size += recordOverheadBytes
		count++
	}
	intents := slices.Clone(l.queuedIntents[:count])
	l.queuedIntents = slices.Delete(l.queuedIntents, 0, count)
	for key, record := range l.queuedOutcomes {
		if size >= maxBatchBytes {
			break
		}
		delete(l.queuedOutcomes, key)
		records = append(records, record)
		size += recordOverheadBytes + record.Answer.Size()
	}
	l.batchInFlight = len(records) > 0
	return intents, records
}

// completeBatch reports the result of a write to the callers that wait for the
// batch's intents. If the batch was not written, it queues the outcomes again.
func (l *Log) completeBatch(intents []*queuedIntent, records []idempotency.Record, err error) {
	l.mu.Lock()
	l.batchInFlight = false
	if err != nil {
		for _, record := range records[len(intents):] {
			if _, superseded := l.queuedOutcomes[record.KeyHash]; !superseded {
				l.queuedOutcomes[record.KeyHash] = record
			}
		}
		l.notify()
	}
	l.mu.Unlock()
	for _, queued := range intents {
		queued.result <- err
	}
}

// close ends the Log. Intents in flight fail with ErrFenced or
// ErrWriteUnresolved, as they may have been written; queued intents fail with
// ErrNotWritten.
func (l *Log) close(cause error, inFlight []*queuedIntent) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeErr = cause
	inFlightErr := error(ErrWriteUnresolved)
	if errors.Is(cause, ErrFenced) {
		inFlightErr = ErrFenced
		l.options.Events.Log(eventlog.OnceSlotFenced, "slot", l.options.Slot, "epoch", l.options.Epoch)
	}
	for _, queued := range inFlight {
		queued.result <- inFlightErr
	}
	for _, queued := range l.queuedIntents {
		queued.result <- ErrNotWritten
	}
	l.queuedIntents = nil
	clear(l.queuedOutcomes)
	return cause
}
