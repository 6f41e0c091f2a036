package platform

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/juju/errors"
)

// Backoff is an exponential back-off with full jitter. It is not safe for
// concurrent use.
type Backoff struct {
	// Min and Max bound the upper end of the drawn time.
	Min, Max time.Duration
	// Random draws the jitter.
	Random *rand.Rand

	failures int
}

// Next returns the time to wait after one more failure, in (0, upper end].
func (b *Backoff) Next() time.Duration {
	upper := b.Max
	if b.failures < 30 && b.Min<<b.failures < b.Max {
		upper = b.Min << b.failures
	}
	b.failures++
	return time.Duration(b.Random.Int64N(int64(upper))) + 1
}

// Reset forgets the failures.
func (b *Backoff) Reset() { b.failures = 0 }

// CompareAndSwapConfirmed is CompareAndSwap for values that carry a nonce. When
// the answer is lost it reads the key and recognises its own value. It returns
// kv.ErrUnavailable only when the read does not settle the matter: a read that
// still shows the expected revision doesn't, since the write may come later.
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
	default:
		return 0, kv.ErrUnavailable
	}
}
