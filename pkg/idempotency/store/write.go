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
	// minSealBytes is the minimum size at which the head's records are
	// sealed. Until then, each batch rewrites them with the head.
	minSealBytes = 4 << 10
	// minSealBatchRatio is the minimum ratio of the size of the head's
	// records to the size of the current batch at which they are sealed.
	minSealBatchRatio = 8
	// maxSegmentBytes is the maximum size of a merged segment.
	maxSegmentBytes = 768 << 10
	// maxMergeBytes is the maximum size of a segment that may be merged.
	maxMergeBytes = 512 << 10
	// maxHeadBytes is the maximum encoded size of a head. A batch that
	// would exceed it is not written.
	maxHeadBytes = kv.MaxValueBytes - 64<<10
	// sealRetryInterval is the minimum time between a failed seal and the
	// next one.
	sealRetryInterval = time.Second
)

// writeBatch makes a batch durable. It returns nil, ErrNotWritten if no part of
// the batch has been or will be written, ErrFenced, or the error of ctx.
func (l *Log) writeBatch(ctx context.Context, records []idempotency.Record, intentCount int) error {
	next := l.head
	wires := make([]recordWire, len(records))
	for i, record := range records {
		wires[i] = toWire(record)
	}
	var sealed []recordWire
	if estimateBytes(next.Open) >= max(minSealBytes, minSealBatchRatio*estimateBytes(wires)) {
		next, sealed = l.seal(ctx, next)
	}
	next.Open = mergeRecords(next.Open, wires, l.options.Now())
	next.Nonce = l.options.Random.Uint64()
	value := encode(next)
	if len(value) > maxHeadBytes {
		return ErrNotWritten
	}
	revision, err := l.swapHead(ctx, value, next.Nonce, intentCount)
	if err != nil {
		return err
	}
	l.head, l.revision = next, revision
	l.updateMergeable(sealed)
	l.deleteDiscardedSegment(ctx)
	return nil
}

// swapHead replaces the head. If the reply to a write is lost, it retries the
// same write until one is confirmed. The expected revision ensures that at most
// one of the copies takes effect, including those still in flight.
func (l *Log) swapHead(ctx context.Context, value []byte, nonce uint64, intentCount int) (uint64, error) {
	put := kv.Put{Key: headKey(l.options.Slot), Value: value, ExpectRevision: l.revision}
	unresolved := false
	for attempts := 1; ; attempts++ {
		revision, err := l.kvStore.CompareAndSwap(ctx, put)
		switch {
		case err == nil:
			l.logResolved(unresolved, attempts)
			return revision, nil
		case errors.Is(err, kv.ErrConflict):
			current, revision, readErr := l.readHead(ctx)
			if readErr == nil && current.Nonce == nonce {
				l.logResolved(unresolved, attempts)
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
				"slot", l.options.Slot, "epoch", l.options.Epoch, "intents", intentCount)
		}
		if !clock.Sleep(ctx, retryInterval) {
			return 0, ctx.Err()
		}
	}
}

// logResolved logs that a previously unresolved write has taken effect.
func (l *Log) logResolved(unresolved bool, attempts int) {
	if unresolved {
		l.options.Events.Log(eventlog.OnceWriteResolved,
			"slot", l.options.Slot, "epoch", l.options.Epoch, "tries", attempts)
	}
}

// seal moves the head's records into a new segment. It merges preceding segments
// that are smaller or of similar size into the new one, so that the number of
// times a record is rewritten grows logarithmically with the size of the slot.
// It returns the head to write and the new segment's records, or nil records if
// no segment was written.
func (l *Log) seal(ctx context.Context, next head) (head, []recordWire) {
	now := l.options.Now()
	if now.Before(l.lastSealFailure.Add(sealRetryInterval)) {
		return next, nil
	}
	next.Discarded = slices.Clone(next.Discarded)
	sealed := next.Open
	size := estimateBytes(sealed)
	count := len(next.Segments)
	for ; count > 0; count-- {
		ref := next.Segments[count-1]
		older, cached := l.mergeable[ref.Number]
		if !cached || ref.Bytes > size+size/2 || ref.Bytes+size > maxSegmentBytes {
			break
		}
		sealed = mergeRecords(older, sealed, now)
		size += ref.Bytes
		next.Discarded = append(next.Discarded, ref.Number)
	}
	value := encode(sealed)
	number := next.NextSegment
	_, err := l.kvStore.CompareAndSwap(ctx, kv.Put{Key: segmentKey(l.options.Slot, number), Value: value})
	if err != nil {
		l.lastSealFailure = now
		l.head.NextSegment = number + 1
		l.head.Discarded = append(slices.Clone(l.head.Discarded), number)
		return l.head, nil
	}
	next.NextSegment = number + 1
	next.Segments = append(slices.Clone(next.Segments[:count]), segmentRef{number, latestExpiry(sealed), len(value)})
	next.Open = nil
	return discardExpiredSegments(next, now), sealed
}

// updateMergeable updates the cached records of mergeable segments after a seal.
// sealed holds the records of the new segment; nil means that there is none.
func (l *Log) updateMergeable(sealed []recordWire) {
	if sealed == nil {
		return
	}
	mergeable := make(map[uint64][]recordWire)
	for _, ref := range l.head.Segments {
		if older, cached := l.mergeable[ref.Number]; cached && ref.Bytes <= maxMergeBytes {
			mergeable[ref.Number] = older
		}
	}
	last := l.head.Segments[len(l.head.Segments)-1]
	if last.Bytes <= maxMergeBytes {
		mergeable[last.Number] = sealed
	}
	l.mergeable = mergeable
}

// discardExpiredSegments marks segments whose records have all expired for
// deletion, except the last segment.
func discardExpiredSegments(next head, now time.Time) head {
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

// deleteDiscardedSegment deletes one segment that the stored head no longer
// refers to. The next write of the head removes its number from Discarded.
func (l *Log) deleteDiscardedSegment(ctx context.Context) {
	if len(l.head.Discarded) == 0 {
		return
	}
	key := segmentKey(l.options.Slot, l.head.Discarded[0])
	entry, err := l.kvStore.Get(ctx, key)
	if err == nil {
		err = l.kvStore.Delete(ctx, key, entry.Revision)
	}
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		l.head.Discarded = slices.Clone(l.head.Discarded[1:])
	}
}

// estimateBytes returns the estimated size of stored records.
func estimateBytes(wires []recordWire) int {
	size := 0
	for _, wire := range wires {
		size += recordOverheadBytes + wire.Answer.Size()
	}
	return size
}
