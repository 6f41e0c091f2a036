package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// Bounds of the back-off of Follow.
const (
	followBackoffMin = 100 * time.Millisecond
	followBackoffMax = 2 * time.Second
	// followSpacing is the longest pause after an answer with changes, so
	// that a run of changes costs each watcher few calls.
	followSpacing = 100 * time.Millisecond
)

// Update is what Follow reports.
type Update struct {
	// Snapshot says that Entries replaces all that was known below the prefix.
	Snapshot bool
	// Entries is the whole content of the prefix; only when Full.
	Entries []kv.Entry
	// Changes are the changes since the last update; only when not Full.
	Changes []kv.Change
	// Revision is the service's revision that the update is complete up to.
	Revision uint64
}

// Follow lists a prefix, then watches it, and lists it again every period. It
// calls fn from one goroutine, also for answers without changes, and returns
// when ctx ends. The start is jittered over one tenth of the period, so that a
// herd of starting processes does not list at one instant. A silent watch ends
// at the Store's deadline and never delays the next list by more than that.
func Follow(ctx context.Context, store kv.Store, prefix string, period time.Duration, fn func(Update)) {
	backoff := Backoff{
		Min: followBackoffMin, Max: followBackoffMax,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if !clock.Sleep(ctx, time.Duration(backoff.Random.Int64N(int64(period)/10+1))) {
		return
	}
	for ctx.Err() == nil {
		entries, revision, err := store.List(ctx, prefix)
		if err == nil {
			backoff.Reset()
			fn(Update{Snapshot: true, Entries: entries, Revision: revision})
			err = watchUntil(ctx, store, prefix, revision, period, fn)
		}
		if err != nil && !clock.Sleep(ctx, backoff.Next()) {
			return
		}
	}
}

// watchUntil watches for one jittered period or until an error.
func watchUntil(ctx context.Context, store kv.Store, prefix string, revision uint64, period time.Duration, fn func(Update)) error {
	jittered := period - time.Duration(rand.Int64N(int64(period)/5+1))
	ctx, cancel := context.WithTimeout(ctx, jittered)
	defer cancel()
	end := time.Now().Add(jittered)
	for {
		left := time.Until(end)
		if left <= time.Millisecond {
			return nil
		}
		changes, err := store.Watch(ctx, prefix, revision, left)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		revision = max(revision, changes.Revision)
		fn(Update{Changes: changes.Changes, Revision: changes.Revision})
		if len(changes.Changes) > 0 && !clock.Sleep(ctx, time.Duration(rand.Int64N(int64(followSpacing)))) {
			return nil
		}
	}
}
