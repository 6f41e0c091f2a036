package kv

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
)

// Bounds of a Follower's retry delay after a failed call.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// Update is a set of entries or changes that a Follower reports.
type Update struct {
	// Full reports that Entries replaces all earlier entries below the prefix.
	Full bool
	// Entries holds all entries below the prefix; set only if Full.
	Entries []Entry
	// Changes holds the changes since the last update; set only if not Full.
	Changes []Change
	// Revision is the service's revision up to which the update is complete.
	Revision uint64
}

// Follower reports the entries below a prefix and then their changes. A watch
// without a response ends at the Store's own deadline and is restarted from the
// last revision. The entries are listed again only if the history has been
// compacted or Relist requests it.
type Follower struct {
	Store  Store
	Prefix string
	// WatchTimeout returns the maximum duration of the next watch call.
	WatchTimeout func() time.Duration
	// MinInterval returns the minimum interval between the starts of two calls. It
	// may be nil.
	MinInterval func() time.Duration
	// OnUpdate is called with each update, from one goroutine.
	OnUpdate func(Update)
	// A value on Relist cancels the current call and lists all entries
	// immediately. It is meant for changes that the watch should have
	// reported but has not. Relist may be nil.
	Relist <-chan struct{}
	// OnResult is called with the result of each call that Relist did not
	// cancel; err is nil if the call succeeded, and ErrCompacted if the entries
	// are listed again for that reason. OnResult may be nil.
	OnResult func(err error)
}

// Run follows the prefix until ctx is cancelled.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	var revision uint64
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		startedAt := time.Now()
		nextRevision, relist, err := f.listOrWatchUntilRelist(ctx, listed, revision)
		if ctx.Err() != nil {
			return
		}
		if relist {
			listed = false
			continue
		}
		if f.OnResult != nil {
			f.OnResult(err)
		}
		switch {
		case err == nil:
			listed, revision, retryDelay = true, nextRevision, minRetryDelay
			f.pause(ctx, startedAt)
		case errors.Is(err, ErrCompacted):
			listed = false
		default:
			clock.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
	}
}

// pause waits until the next call may start.
func (f *Follower) pause(ctx context.Context, lastStart time.Time) {
	if f.MinInterval != nil {
		clock.Sleep(ctx, f.MinInterval()-time.Since(lastStart))
	}
}

// listOrWatchUntilRelist calls listOrWatch, cancels the call when Relist
// receives a value, and reports whether it did.
func (f *Follower) listOrWatchUntilRelist(ctx context.Context, listed bool, revision uint64) (next uint64, relist bool, err error) {
	if f.Relist == nil {
		next, err = f.listOrWatch(ctx, listed, revision)
		return next, false, err
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	relistRequested := make(chan bool, 1)
	go func() {
		select {
		case <-f.Relist:
			cancel()
			relistRequested <- true
		case <-done:
			relistRequested <- false
		}
	}()
	next, err = f.listOrWatch(callCtx, listed, revision)
	close(done)
	return next, <-relistRequested, err
}

// listOrWatch makes one list or watch call and returns the revision reached.
func (f *Follower) listOrWatch(ctx context.Context, listed bool, revision uint64) (uint64, error) {
	if !listed {
		entries, listRevision, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return 0, errors.Trace(err)
		}
		f.OnUpdate(Update{Full: true, Entries: entries, Revision: listRevision})
		return listRevision, nil
	}
	changes, err := f.Store.Watch(ctx, f.Prefix, revision, f.WatchTimeout())
	if err != nil {
		return 0, errors.Trace(err)
	}
	if len(changes.Changes) > 0 {
		f.OnUpdate(Update{Changes: changes.Changes, Revision: changes.Revision})
	}
	return max(revision, changes.Revision), nil
}
