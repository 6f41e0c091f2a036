package kv

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
)

// Bounds of a Follower's pause after a failed call.
const (
	followPauseMin = 50 * time.Millisecond
	followPauseMax = 500 * time.Millisecond
)

// Update is what a Follower reports.
type Update struct {
	// Full says that Entries replaces all that was known below the prefix.
	Full bool
	// Entries is the whole content of the prefix; only when Full.
	Entries []Entry
	// Changes are the changes since the last update; only when not Full.
	Changes []Change
	// Revision is the service's revision that the update is complete up to.
	Revision uint64
}

// Follower keeps a reader up to date with the entries below a prefix. A watch
// that goes silent ends at the Store's own deadline and is begun again where it
// left off; only a compacted history makes it list again.
type Follower struct {
	Store  Store
	Prefix string
	// Wait is the longest time that one watch call stays open.
	Wait time.Duration
	// Spacing is the least time between the starts of two watch calls.
	Spacing time.Duration
	// OnUpdate takes updates, from one goroutine.
	OnUpdate func(Update)
	// Hurry, when it sends, ends the watch under way and has all entries listed
	// at once: there is news that the watch should have told. It may be nil.
	Hurry <-chan struct{}
	// OnContact is told whether the last call was answered; err is nil when it
	// was. A nil OnContact is not called.
	OnContact func(err error)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	var revision uint64
	pause := followPauseMin
	for ctx.Err() == nil {
		began := time.Now()
		next, hurried, err := f.interruptible(ctx, listed, revision)
		if ctx.Err() != nil {
			return
		}
		if hurried {
			listed = false
			continue
		}
		if f.OnContact != nil {
			f.OnContact(err)
		}
		switch {
		case err == nil:
			listed, revision, pause = true, next, followPauseMin
			clock.Sleep(ctx, f.Spacing-time.Since(began))
		case errors.Is(err, ErrCompacted):
			listed = false
		default:
			clock.Sleep(ctx, pause/2+rand.N(pause))
			pause = min(2*pause, followPauseMax)
		}
	}
}

// interruptible is step, and says whether Hurry ended it.
func (f *Follower) interruptible(ctx context.Context, listed bool, revision uint64) (next uint64, hurried bool, err error) {
	if f.Hurry == nil {
		next, err = f.step(ctx, listed, revision)
		return next, false, err
	}
	stepCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-f.Hurry:
			cancel()
			interrupted <- true
		case <-done:
			interrupted <- false
		}
	}()
	next, err = f.step(stepCtx, listed, revision)
	close(done)
	return next, <-interrupted, err
}

// step lists or watches once and returns the revision reached.
func (f *Follower) step(ctx context.Context, listed bool, revision uint64) (uint64, error) {
	if !listed {
		entries, at, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return 0, errors.Trace(err)
		}
		f.OnUpdate(Update{Full: true, Entries: entries, Revision: at})
		return at, nil
	}
	changes, err := f.Store.Watch(ctx, f.Prefix, revision, f.Wait)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if len(changes.Changes) > 0 {
		f.OnUpdate(Update{Changes: changes.Changes, Revision: changes.Revision})
	}
	return max(revision, changes.Revision), nil
}
