package bundlesync

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// HistoryPrefix is the key prefix of earlier versions. Each key holds the encoded
// reverse difference from a version's successor back to the version, with the
// signature and approvals of the earlier version.
const HistoryPrefix = "bundle/history/"

// HistoryLength is the maximum number of earlier versions that are kept.
const HistoryLength = 32

// PublishedVersion is a published version: the decoded bundle and its envelope.
type PublishedVersion struct {
	Bundle bundle.Bundle
	Signed bundle.Signed
}

// History returns the published version and the earlier versions that are kept,
// newest first. It stops at the first missing version.
func History(ctx context.Context, store kv.Store, published Published) ([]PublishedVersion, error) {
	if published.Signed == nil {
		return nil, nil
	}
	current, err := decode(*published.Signed)
	if err != nil {
		return nil, err
	}
	versions := []PublishedVersion{{Bundle: current, Signed: *published.Signed}}
	if published.previous != nil {
		previous, err := decode(*published.previous)
		if err != nil {
			return versions, err
		}
		versions = append(versions, PublishedVersion{Bundle: previous, Signed: *published.previous})
	}
	byBase, err := readHistory(ctx, store)
	if err != nil {
		return versions, err
	}
	return appendEarlierVersions(versions, byBase)
}

// appendEarlierVersions appends earlier versions by following the chain of reverse
// differences, which byBase holds by base version.
func appendEarlierVersions(versions []PublishedVersion, byBase map[uint64]bundle.SignedDifference) ([]PublishedVersion, error) {
	for len(versions) <= HistoryLength {
		latest := versions[len(versions)-1].Bundle
		difference, found := byBase[latest.Version]
		if !found {
			break
		}
		data, err := bundle.Apply(latest, difference.Difference)
		if err != nil {
			return versions, errors.Annotatef(err, "history of version %d", difference.Difference.Version)
		}
		signed := newSigned(data, difference)
		earlier, err := decode(*signed)
		if err != nil {
			return versions, err
		}
		versions = append(versions, PublishedVersion{Bundle: earlier, Signed: *signed})
	}
	return versions, nil
}

// readHistory returns the reverse differences in the history by base version. It
// skips entries that are malformed or not reverse differences.
func readHistory(ctx context.Context, store kv.Store) (map[uint64]bundle.SignedDifference, error) {
	entries, _, err := store.List(ctx, HistoryPrefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	byBase := make(map[uint64]bundle.SignedDifference, len(entries))
	for _, entry := range entries {
		difference, problems := bundle.DecodeDifference(entry.Value)
		if len(problems) > 0 || difference.Difference.Version >= difference.Difference.Base {
			continue
		}
		byBase[difference.Difference.Base] = difference
	}
	return byBase, nil
}

// supersededBundle is a published bundle and the newer one that replaces it.
type supersededBundle struct {
	signed    bundle.Signed
	bundle    bundle.Bundle
	successor bundle.Bundle
}

// writeHistory writes a superseded version to its key in the ring of HistoryLength
// keys. Concurrent operators write the same value to that key.
func writeHistory(ctx context.Context, store kv.Store, superseded supersededBundle) error {
	difference, err := bundle.Diff(superseded.successor, superseded.bundle)
	if err != nil {
		return errors.Trace(err)
	}
	encoded, err := bundle.SignedDifference{
		Difference: difference, KeyID: superseded.signed.KeyID,
		Signature: superseded.signed.Signature, Approvals: superseded.signed.Approvals,
	}.Encode()
	if err != nil {
		return errors.Trace(err)
	}
	if len(encoded) > bundle.MaxSignedBytes {
		// The difference is too large to store. The history ends before this
		// version, but publishing must still succeed.
		return nil
	}
	key := fmt.Sprintf("%s%02d", HistoryPrefix, superseded.bundle.Version%HistoryLength)
	entry, err := store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Trace(err)
	}
	if err == nil {
		existing, problems := bundle.DecodeDifference(entry.Value)
		if len(problems) == 0 && existing.Difference.Version >= superseded.bundle.Version {
			return nil
		}
	}
	err = compareAndSwap(ctx, store, kv.Put{Key: key, Value: encoded, ExpectRevision: entry.Revision})
	if errors.Is(err, ErrSuperseded) {
		return nil
	}
	return err
}
