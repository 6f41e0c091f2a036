package store

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/juju/errors"
)

// Errors returned by a Log. Compare them with errors.Is.
const (
	// ErrNotWritten means that the record has not been written to the
	// key-value service and never will be.
	ErrNotWritten = errors.ConstError("record not written")
	// ErrWriteUnresolved means that the record may have been written.
	ErrWriteUnresolved = errors.ConstError("record write not resolved")
	// ErrFenced means that a newer owner holds the slot. The record may have
	// been written.
	ErrFenced = errors.ConstError("slot has a newer owner")
)

// retryInterval is the delay before a failed read or write is retried.
const retryInterval = 50 * time.Millisecond

// Options configures a Log.
type Options struct {
	Slot  uint32
	Epoch uint64
	// OwnerID is the random identifier of this process.
	OwnerID uint64
	// BatchInterval is the minimum time between writes. 0 selects
	// DefaultBatchInterval.
	BatchInterval time.Duration
	// Random generates nonces. The Log uses it from one goroutine at a time.
	Random *rand.Rand
	// Now returns the current time.
	Now    func() time.Time
	Events *eventlog.Logger
}

// Open fences all earlier owners of the slot, then loads its records. It retries
// until ctx ends. It returns ErrFenced if the slot has a newer owner.
func Open(ctx context.Context, kvStore kv.Store, options Options) (*Log, []idempotency.Record, error) {
	if options.BatchInterval == 0 {
		options.BatchInterval = DefaultBatchInterval
	}
	l := newLog(kvStore, options)
	if err := l.fence(ctx); err != nil {
		return nil, nil, err
	}
	records, err := l.loadRecords(ctx)
	if err != nil {
		return nil, nil, err
	}
	options.Events.Log(eventlog.OnceSlotOpened,
		"slot", options.Slot, "epoch", options.Epoch, "records", len(records))
	return l, records, nil
}

// fence writes this owner's epoch to the head, which makes later writes of
// earlier owners fail. It retries until ctx ends.
func (l *Log) fence(ctx context.Context) error {
	nonce := l.options.Random.Uint64()
	for {
		current, revision, err := l.readHead(ctx)
		switch {
		case err != nil:
		case revision != 0 && current.Nonce == nonce:
			l.head, l.revision = current, revision
			return nil
		case current.Epoch > l.options.Epoch,
			current.Epoch == l.options.Epoch && revision != 0 && current.Owner != l.options.OwnerID:
			return ErrFenced
		default:
			current.Epoch, current.Owner, current.Nonce = l.options.Epoch, l.options.OwnerID, nonce
			put := kv.Put{Key: headKey(l.options.Slot), Value: encode(current), ExpectRevision: revision}
			newRevision, putErr := l.kvStore.CompareAndSwap(ctx, put)
			if putErr == nil {
				l.head, l.revision = current, newRevision
				return nil
			}
		}
		if !clock.Sleep(ctx, retryInterval) {
			return errors.Annotate(ctx.Err(), "fencing a slot's idempotency records")
		}
	}
}

// readHead returns the slot's head and its revision, or an empty head and
// revision 0 if there is none.
func (l *Log) readHead(ctx context.Context) (head, uint64, error) {
	var current head
	entry, err := l.kvStore.Get(ctx, headKey(l.options.Slot))
	if errors.Is(err, kv.ErrNotFound) {
		return current, 0, nil
	}
	if err != nil {
		return current, 0, err
	}
	if err := decode(entry.Value, &current); err != nil {
		return current, 0, err
	}
	return current, entry.Revision, nil
}

// loadRecords reads the head's segments and returns the unexpired records.
// Segments are immutable, and no other owner can discard one after the fence.
func (l *Log) loadRecords(ctx context.Context) ([]idempotency.Record, error) {
	var stored []recordWire
	for _, ref := range l.head.Segments {
		wires, err := l.readSegment(ctx, ref.Number)
		if err != nil {
			return nil, err
		}
		if ref.Bytes <= maxMergeBytes {
			l.mergeable[ref.Number] = wires
		}
		stored = append(stored, wires...)
	}
	stored = append(stored, l.head.Open...)
	records := make([]idempotency.Record, 0, len(stored))
	for _, wire := range mergeRecords(nil, stored, l.options.Now()) {
		record, err := fromWire(wire)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// readSegment reads a sealed segment. It retries until ctx ends.
func (l *Log) readSegment(ctx context.Context, number uint64) ([]recordWire, error) {
	for {
		entry, err := l.kvStore.Get(ctx, segmentKey(l.options.Slot, number))
		if err == nil {
			var wires []recordWire
			return wires, decode(entry.Value, &wires)
		}
		if errors.Is(err, kv.ErrNotFound) {
			return nil, errors.Annotatef(err, "reading segment %d of slot %d", number, l.options.Slot)
		}
		if !clock.Sleep(ctx, retryInterval) {
			return nil, errors.Annotate(ctx.Err(), "loading a slot's idempotency records")
		}
	}
}
