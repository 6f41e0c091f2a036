package bench

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
)

// versionWatch looks at the bundle version that each process has in force.
type versionWatch struct {
	stores func() []*bundle.Store

	mu      sync.Mutex
	highest map[*bundle.Store]uint64
	reverts int
	version uint64
	since   time.Time
	// reached is when a store had the published version.
	reached map[*bundle.Store]time.Duration
	without map[*bundle.Store]bool
	fleet   *localfleet.Fleet
}

func newVersionWatch(fleet *localfleet.Fleet, entries *entryClients) *versionWatch {
	w := &versionWatch{
		highest: make(map[*bundle.Store]uint64), reached: make(map[*bundle.Store]time.Duration),
		without: make(map[*bundle.Store]bool), fleet: fleet,
	}
	agents := make([]*bundle.Store, 0, len(fleet.Targets))
	for _, target := range fleet.Targets {
		agents = append(agents, target.Agent.Daemon.Bundles())
	}
	w.stores = func() []*bundle.Store {
		stores := slices.Clone(agents)
		for _, router := range entries.all() {
			stores = append(stores, router.Bundles())
		}
		return stores
	}
	return w
}

// leaveOut stops expecting anything of an agent that ends.
func (w *versionWatch) leaveOut(vm string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.without[w.fleet.TargetByVM(vm).Agent.Daemon.Bundles()] = true
}

// versionPeriod is the time between two looks.
const versionPeriod = 5 * time.Millisecond

func (w *versionWatch) run(ctx context.Context) {
	ticker := time.NewTicker(versionPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.look(now)
		}
	}
}

func (w *versionWatch) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, store := range w.stores() {
		version := store.Version()
		if version < w.highest[store] {
			w.reverts++
		}
		w.highest[store] = max(w.highest[store], version)
		if _, done := w.reached[store]; !done && w.version > 0 && version >= w.version {
			w.reached[store] = max(now.Sub(w.since), 0)
		}
	}
}

func (w *versionWatch) published(version uint64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version, w.since = version, at
}

// newest returns the highest version that any process has had in force.
func (w *versionWatch) newest() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	var newest uint64
	for _, version := range w.highest {
		newest = max(newest, version)
	}
	return newest
}

func (w *versionWatch) revertCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reverts
}

// inForceTimeout bounds the wait for the last process.
const inForceTimeout = 10 * time.Second

// inForce returns the median and the greatest time until a process had the
// published version in force.
func (w *versionWatch) inForce(ctx context.Context) (median, greatest float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		if times, all := w.times(); all {
			return times[len(times)/2].Seconds(), times[len(times)-1].Seconds(), nil
		}
		select {
		case <-ctx.Done():
			return 0, 0, errors.Annotate(ctx.Err(), "the bundle isn't in force everywhere")
		case <-time.After(versionPeriod):
		}
	}
}

func (w *versionWatch) times() ([]time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var times []time.Duration
	for _, store := range w.stores() {
		if w.without[store] {
			continue
		}
		at, done := w.reached[store]
		if !done {
			return nil, false
		}
		times = append(times, at)
	}
	slices.Sort(times)
	return times, len(times) > 0
}
