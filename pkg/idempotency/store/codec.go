// Package store persists the idempotency records of a slot in the key-value
// service and uses them to run each call at most once.
//
// The head of a slot holds the owner's epoch, the newest records and references
// to the sealed segments. Every change to a slot is a single compare-and-swap of
// its head, so that a new owner's first write makes all later writes of earlier
// owners fail.
package store

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"time"

	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/juju/errors"
)

// recordWire is the stored form of an idempotency.Record.
type recordWire struct {
	Key       []byte
	Request   []byte
	State     uint8
	Attempt   uint64
	Epoch     uint64
	ExpiresMS int64
	Answer    idempotency.Answer
}

// segmentRef refers to a sealed segment, which is immutable.
type segmentRef struct {
	Number uint64
	// ExpiresMS is the latest expiry of the segment's records, in Unix ms.
	ExpiresMS int64
	Bytes     int
}

// head is the value stored under a slot's head key.
type head struct {
	Epoch uint64
	// Owner is the random identifier of the process that owns the slot in this
	// epoch.
	Owner uint64
	// Nonce is the random identifier of the last write.
	Nonce uint64
	// NextSegment is greater than every segment number in use.
	NextSegment uint64
	Segments    []segmentRef
	// Discarded lists the segments to delete.
	Discarded []uint64
	Open      []recordWire
}

// headKey returns the key of a slot's head.
func headKey(slot uint32) string {
	return fmt.Sprintf("once/%03d/head", slot)
}

// segmentKey returns the key of a sealed segment.
func segmentKey(slot uint32, number uint64) string {
	return fmt.Sprintf("once/%03d/seg-%d", slot, number)
}

// encode returns the gob encoding of a value.
func encode(value any) []byte {
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(value); err != nil {
		panic("idempotency/store: value cannot be encoded: " + err.Error())
	}
	return out.Bytes()
}

// decode decodes a gob-encoded value.
func decode(data []byte, value any) error {
	return errors.Annotate(gob.NewDecoder(bytes.NewReader(data)).Decode(value), "decoding stored idempotency records")
}

// toWire converts a record to its stored form.
func toWire(r idempotency.Record) recordWire {
	return recordWire{
		Key:       r.KeyHash[:],
		Request:   r.RequestHash[:],
		State:     uint8(r.State),
		Attempt:   r.Attempt,
		Epoch:     r.Epoch,
		ExpiresMS: r.Expires.UnixMilli(),
		Answer:    r.Answer,
	}
}

// fromWire converts a record from its stored form.
func fromWire(w recordWire) (idempotency.Record, error) {
	if len(w.Key) != idempotency.HashBytes || len(w.Request) != idempotency.HashBytes {
		return idempotency.Record{}, errors.NotValidf("hash length in stored idempotency record")
	}
	return idempotency.Record{
		KeyHash:     idempotency.Hash(w.Key),
		RequestHash: idempotency.Hash(w.Request),
		State:       idempotency.State(w.State),
		Attempt:     w.Attempt,
		Epoch:       w.Epoch,
		Expires:     time.UnixMilli(w.ExpiresMS),
		Answer:      w.Answer,
	}, nil
}

// mergeRecords returns the unexpired records of older, followed by those of
// newer. If both hold a record for a key, the newer one takes the older one's
// position.
func mergeRecords(older, newer []recordWire, now time.Time) []recordWire {
	index := make(map[string]int, len(older)+len(newer))
	merged := make([]recordWire, 0, len(older)+len(newer))
	for _, records := range [][]recordWire{older, newer} {
		for _, record := range records {
			if record.ExpiresMS <= now.UnixMilli() {
				continue
			}
			if position, found := index[string(record.Key)]; found {
				merged[position] = record
				continue
			}
			index[string(record.Key)] = len(merged)
			merged = append(merged, record)
		}
	}
	return merged
}

// latestExpiry returns the latest expiry of the records, in Unix ms.
func latestExpiry(records []recordWire) int64 {
	var latest int64
	for _, record := range records {
		latest = max(latest, record.ExpiresMS)
	}
	return latest
}
