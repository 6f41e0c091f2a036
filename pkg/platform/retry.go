package platform

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/juju/errors"
)

// Backoff computes exponential delays with full jitter. It is not safe for
// concurrent use.
type Backoff struct {
	// Min and Max limit the upper bound of the random delay, which doubles with each
	// failure.
	Min, Max time.Duration
	// Random is the source of the jitter.
	Random *rand.Rand

	failures int
}

// Next records a failure and returns the delay before the next attempt, which is
// above 0 and at most the current upper bound.
func (b *Backoff) Next() time.Duration {
	upper := b.Max
	if b.failures < 30 && b.Min<<b.failures < b.Max {
		upper = b.Min << b.failures
	}
	b.failures++
	return time.Duration(b.Random.Int64N(int64(upper))) + 1
}

// Reset sets the number of failures to 0.
func (b *Backoff) Reset() { b.failures = 0 }

// CompareAndSwapConfirmed writes put to store. If the response is lost, it reads the
// key and compares the stored value with put.Value, which must contain a nonce. It
// returns an error of type kv.ErrUnavailable only if the read does not determine the outcome: it
// failed, or the key still has the expected revision, since the write may take effect later.
func CompareAndSwapConfirmed(ctx context.Context, store kv.Store, put kv.Put) (uint64, error) {
	revision, err := store.CompareAndSwap(ctx, put)
	if !errors.Is(err, kv.ErrUnavailable) {
		return revision, err
	}
	entry, getErr := store.Get(ctx, put.Key)
	switch {
	case getErr == nil && bytes.Equal(entry.Value, put.Value):
		return entry.Revision, nil
	case getErr == nil && entry.Revision != put.ExpectRevision:
		return 0, kv.ErrConflict
	case getErr == nil:
		return 0, errors.WithType(errors.Annotate(err, "write without effect so far"), kv.ErrUnavailable)
	default:
		return 0, errors.WithType(errors.Annotatef(err, "unconfirmed write (read: %v)", getErr), kv.ErrUnavailable)
	}
}
