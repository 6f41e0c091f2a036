package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// Delays of Follow.
const (
	minFollowBackoff = 100 * time.Millisecond
	maxFollowBackoff = 2 * time.Second
	// maxFollowPause is the longest pause after a response with changes. The pause
	// limits the number of calls that each watcher makes during a series of changes.
	maxFollowPause = 100 * time.Millisecond
)

// Update is reported by Follow. It is either a snapshot, which lists all entries, or
// a list of changes.
type Update struct {
	// Snapshot is true if Entries replaces everything previously known about the prefix.
	Snapshot bool
	// Entries holds all entries with the prefix; it is set only in a snapshot.
	Entries []kv.Entry
	// Changes holds the changes since the last update; it is not set in a snapshot.
	Changes []kv.Change
	// Revision is the store revision up to which all changes have been reported.
	Revision uint64
}

// Follow lists a prefix, then watches it, and lists it again every period. It
// calls fn from one goroutine, including for responses without changes, and returns
// when ctx ends. A random delay of up to one tenth of the period precedes the first
// list, so that processes that start together do not list at the same time. A watch
// without a response ends at the store's deadline, which limits how long it can
// delay the next list.
func Follow(ctx context.Context, store kv.Store, prefix string, period time.Duration, fn func(Update)) {
	backoff := Backoff{
		Min: minFollowBackoff, Max: maxFollowBackoff,
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
			err = watchForPeriod(ctx, store, prefix, revision, period, fn)
		}
		if err != nil && !clock.Sleep(ctx, backoff.Next()) {
			return
		}
	}
}

// watchForPeriod watches the prefix until an error occurs, but for no longer than the
// period minus a random jitter.
func watchForPeriod(ctx context.Context, store kv.Store, prefix string, revision uint64, period time.Duration, fn func(Update)) error {
	duration := period - time.Duration(rand.Int64N(int64(period)/5+1))
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	deadline := time.Now().Add(duration)
	for {
		remaining := time.Until(deadline)
		if remaining <= time.Millisecond {
			return nil
		}
		changes, err := store.Watch(ctx, prefix, revision, remaining)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		revision = max(revision, changes.Revision)
		fn(Update{Changes: changes.Changes, Revision: changes.Revision})
		if len(changes.Changes) > 0 && !clock.Sleep(ctx, time.Duration(rand.Int64N(int64(maxFollowPause)))) {
			return nil
		}
	}
}
