package store

import (
	"context"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/juju/errors"
)

const (
	// minSealBytes is the least size at which the head's records are sealed;
	// each batch writes them again.
	minSealBytes = 4 << 10
	// minSealBatches is the number of batches of the current size that the
	// head takes before its records are sealed.
	minSealBatches = 8
	// maxSegmentBytes is the size up to which sealed segments are merged.
	maxSegmentBytes = 768 << 10
	// maxMergeBytes is the size of a segment above which it is not merged.
	maxMergeBytes = 512 << 10
	// maxHeadBytes is the size above which no batch is written.
	maxHeadBytes = kv.MaxValueBytes - 64<<10
	// sealRetryInterval is the time after a failed seal until the next.
	sealRetryInterval = time.Second
)

// write makes a batch durable. It returns nil, ErrNotWritten when no part of
// the batch is or will be in the service, ErrFenced, or the error of ctx.
func (l *Log) write(ctx context.Context, records []idempotency.Record, intents int) error {
	next := l.head
	wires := make([]recordWire, len(records))
	for i, record := range records {
		wires[i] = toWire(record)
	}
	var sealed []recordWire
	if openBytes(next.Open) >= max(minSealBytes, minSealBatches*openBytes(wires)) {
		next, sealed = l.seal(ctx, next)
	}
	next.Open = mergeWires(next.Open, wires, l.options.Now())
	next.Nonce = l.options.Random.Uint64()
	value := encode(next)
	if len(value) > maxHeadBytes {
		return ErrNotWritten
	}
	revision, err := l.swap(ctx, value, next.Nonce, intents)
	if err != nil {
		return err
	}
	l.head, l.revision = next, revision
	l.keepSmall(sealed)
	l.deleteDiscarded(ctx)
	return nil
}

// swap replaces the head. After a lost answer it repeats the same write until
// it is known to have taken effect: the expected revision admits only one of
// the copies, also of one that is still under way.
func (l *Log) swap(ctx context.Context, value []byte, nonce uint64, intents int) (uint64, error) {
	put := kv.Put{Key: headKey(l.options.Slot), Value: value, ExpectRevision: l.revision}
	unresolved := false
	for tries := 1; ; tries++ {
		revision, err := l.service.CompareAndSwap(ctx, put)
		switch {
		case err == nil:
			l.logResolved(unresolved, tries)
			return revision, nil
		case errors.Is(err, kv.ErrConflict):
			current, revision, readErr := l.readHead(ctx)
			if readErr == nil && current.Nonce == nonce {
				l.logResolved(unresolved, tries)
				return revision, nil
			}
			if readErr == nil && revision != l.revision {
				return 0, ErrFenced
			}
		case errors.Is(err, kv.ErrBudgetExhausted) && !unresolved:
			return 0, ErrNotWritten
		}
		if !unresolved {
			unresolved = true
			l.options.Events.Log(eventlog.OnceWriteUnresolved,
				"slot", l.options.Slot, "epoch", l.options.Epoch, "intents", intents)
		}
		if !clock.Sleep(ctx, retryInterval) {
			return 0, ctx.Err()
		}
	}
}

// logResolved logs that a write whose answer was lost has taken effect.
func (l *Log) logResolved(unresolved bool, tries int) {
	if unresolved {
		l.options.Events.Log(eventlog.OnceWriteResolved,
			"slot", l.options.Slot, "epoch", l.options.Epoch, "tries", tries)
	}
}

// seal moves the head's records into a segment. Smaller and like-sized
// segments before it are merged into it, so that a record is written again
// only a number of times that grows with the logarithm of the slot's size. It
// returns the head to write and the new segment's records, nil for none.
func (l *Log) seal(ctx context.Context, next head) (head, []recordWire) {
	now := l.options.Now()
	if now.Before(l.failedSeal.Add(sealRetryInterval)) {
		return next, nil
	}
	next.Discarded = slices.Clone(next.Discarded)
	sealed := next.Open
	size := openBytes(sealed)
	count := len(next.Segments)
	for ; count > 0; count-- {
		ref := next.Segments[count-1]
		older, known := l.small[ref.Number]
		if !known || ref.Bytes > size+size/2 || ref.Bytes+size > maxSegmentBytes {
			break
		}
		sealed = mergeWires(older, sealed, now)
		size += ref.Bytes
		next.Discarded = append(next.Discarded, ref.Number)
	}
	value := encode(sealed)
	number := next.NextSegment
	_, err := l.service.CompareAndSwap(ctx, kv.Put{Key: segmentKey(l.options.Slot, number), Value: value})
	if err != nil {
		l.failedSeal = now
		l.head.NextSegment = number + 1
		l.head.Discarded = append(slices.Clone(l.head.Discarded), number)
		return l.head, nil
	}
	next.NextSegment = number + 1
	next.Segments = append(slices.Clone(next.Segments[:count]), segmentRef{number, latestExpiry(sealed), len(value)})
	next.Open = nil
	return dropExpired(next, now), sealed
}

// keepSmall keeps the records of segments that may be merged; sealed holds
// those of the last segment when that is new.
func (l *Log) keepSmall(sealed []recordWire) {
	if sealed == nil {
		return
	}
	small := make(map[uint64][]recordWire)
	for _, ref := range l.head.Segments {
		if older, known := l.small[ref.Number]; known && ref.Bytes <= maxMergeBytes {
			small[ref.Number] = older
		}
	}
	last := l.head.Segments[len(l.head.Segments)-1]
	if last.Bytes <= maxMergeBytes {
		small[last.Number] = sealed
	}
	l.small = small
}

// dropExpired discards the segments whose windows have all ended; the last
// segment stays.
func dropExpired(next head, now time.Time) head {
	last := len(next.Segments) - 1
	kept := make([]segmentRef, 0, len(next.Segments))
	for i, ref := range next.Segments {
		if i < last && ref.ExpiresMS <= now.UnixMilli() {
			next.Discarded = append(next.Discarded, ref.Number)
			continue
		}
		kept = append(kept, ref)
	}
	next.Segments = kept
	return next
}

// deleteDiscarded deletes one segment that no head names any more; the next
// write of the head forgets its number.
func (l *Log) deleteDiscarded(ctx context.Context) {
	if len(l.head.Discarded) == 0 {
		return
	}
	key := segmentKey(l.options.Slot, l.head.Discarded[0])
	entry, err := l.service.Get(ctx, key)
	if err == nil {
		err = l.service.Delete(ctx, key, entry.Revision)
	}
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		l.head.Discarded = slices.Clone(l.head.Discarded[1:])
	}
}

// openBytes estimates the size of stored records.
func openBytes(wires []recordWire) int {
	size := 0
	for _, wire := range wires {
		size += recordBytes + wire.Answer.Bytes()
	}
	return size
}
