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

// Errors of a Log. Compare with errors.Is.
const (
	// ErrNotWritten means that the record is not in the service and never
	// will be.
	ErrNotWritten = errors.ConstError("record not written")
	// ErrFateUnknown means that the record may be in the service.
	ErrFateUnknown = errors.ConstError("record write not resolved")
	// ErrFenced means that a newer owner holds the slot; the record may be in
	// the service.
	ErrFenced = errors.ConstError("slot has a newer owner")
)

// retryInterval is the time between two tries of an unresolved write.
const retryInterval = 50 * time.Millisecond

// Options are the settings of a Log.
type Options struct {
	Slot  uint32
	Epoch uint64
	// OwnerID is a random number of this process.
	OwnerID uint64
	// BatchInterval is the least time between two writes; 0 for the default.
	BatchInterval time.Duration
	// Random draws nonces; the Log uses it from one goroutine at a time.
	Random *rand.Rand
	// Now is the clock.
	Now    func() time.Time
	Events *eventlog.Logger
}

// Open fences every earlier owner of the slot, then loads its records. It
// tries until ctx ends. It returns ErrFenced when a newer epoch is found.
func Open(ctx context.Context, service kv.Store, options Options) (*Log, []idempotency.Record, error) {
	if options.BatchInterval == 0 {
		options.BatchInterval = DefaultBatchInterval
	}
	l := newLog(service, options)
	if err := l.fence(ctx); err != nil {
		return nil, nil, err
	}
	records, err := l.load(ctx)
	if err != nil {
		return nil, nil, err
	}
	options.Events.Log(eventlog.OnceSlotOpened,
		"slot", options.Slot, "epoch", options.Epoch, "records", len(records))
	return l, records, nil
}

// fence writes this owner's epoch into the head.
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
			written, putErr := l.service.CompareAndSwap(ctx, put)
			if putErr == nil {
				l.head, l.revision = current, written
				return nil
			}
		}
		if !clock.Sleep(ctx, retryInterval) {
			return errors.Annotate(ctx.Err(), "fencing a slot's idempotency records")
		}
	}
}

// readHead returns the slot's head, or an empty one with revision 0.
func (l *Log) readHead(ctx context.Context) (head, uint64, error) {
	var current head
	entry, err := l.service.Get(ctx, headKey(l.options.Slot))
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

// load reads the segments that the head names. Segments never change, and no
// other owner can discard one after the fence.
func (l *Log) load(ctx context.Context) ([]idempotency.Record, error) {
	var all []recordWire
	for _, ref := range l.head.Segments {
		wires, err := l.readSegment(ctx, ref.Number)
		if err != nil {
			return nil, err
		}
		if ref.Bytes <= maxMergeBytes {
			l.small[ref.Number] = wires
		}
		all = append(all, wires...)
	}
	all = append(all, l.head.Open...)
	records := make([]idempotency.Record, 0, len(all))
	for _, wire := range mergeWires(nil, all, l.options.Now()) {
		record, err := fromWire(wire)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

// readSegment reads one sealed segment; it tries until ctx ends.
func (l *Log) readSegment(ctx context.Context, number uint64) ([]recordWire, error) {
	for {
		entry, err := l.service.Get(ctx, segmentKey(l.options.Slot, number))
		if err == nil {
			var wires []recordWire
			return wires, decode(entry.Value, &wires)
		}
		if errors.Is(err, kv.ErrNotFound) {
			return nil, errors.Annotatef(err, "segment %d of slot %d", number, l.options.Slot)
		}
		if !clock.Sleep(ctx, retryInterval) {
			return nil, errors.Annotate(ctx.Err(), "loading a slot's idempotency records")
		}
	}
}
