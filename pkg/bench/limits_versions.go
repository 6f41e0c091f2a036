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

// bundleVersionMonitor tracks the bundle version that each process has in
// force.
type bundleVersionMonitor struct {
	stores func() []*bundle.Store

	mu               sync.Mutex
	highestVersions  map[*bundle.Store]uint64
	reverts          int
	publishedVersion uint64
	publishedAt      time.Time
	// activationDelays holds, for each store, the time from publication until
	// it had the published version in force.
	activationDelays map[*bundle.Store]time.Duration
	excluded         map[*bundle.Store]bool
	fleet            *localfleet.Fleet
}

func newBundleVersionMonitor(fleet *localfleet.Fleet, clients *routerClients) *bundleVersionMonitor {
	m := &bundleVersionMonitor{
		highestVersions: make(map[*bundle.Store]uint64), activationDelays: make(map[*bundle.Store]time.Duration),
		excluded: make(map[*bundle.Store]bool), fleet: fleet,
	}
	agents := make([]*bundle.Store, 0, len(fleet.Targets))
	for _, target := range fleet.Targets {
		agents = append(agents, target.Agent.Daemon.Bundles())
	}
	m.stores = func() []*bundle.Store {
		stores := slices.Clone(agents)
		for _, router := range clients.daemons() {
			stores = append(stores, router.Bundles())
		}
		return stores
	}
	return m
}

// exclude omits an agent that is about to crash from the activation delays.
func (m *bundleVersionMonitor) exclude(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.excluded[m.fleet.TargetByVM(vm).Agent.Daemon.Bundles()] = true
}

// versionPollInterval is the time between two polls of all stores.
const versionPollInterval = 5 * time.Millisecond

func (m *bundleVersionMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(versionPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.poll(now)
		}
	}
}

func (m *bundleVersionMonitor) poll(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, store := range m.stores() {
		version := store.Version()
		if version < m.highestVersions[store] {
			m.reverts++
		}
		m.highestVersions[store] = max(m.highestVersions[store], version)
		if _, done := m.activationDelays[store]; !done && m.publishedVersion > 0 && version >= m.publishedVersion {
			m.activationDelays[store] = max(now.Sub(m.publishedAt), 0)
		}
	}
}

func (m *bundleVersionMonitor) recordPublication(version uint64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishedVersion, m.publishedAt = version, at
}

// newestVersion returns the highest version that any process has had in force.
func (m *bundleVersionMonitor) newestVersion() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var newest uint64
	for _, version := range m.highestVersions {
		newest = max(newest, version)
	}
	return newest
}

func (m *bundleVersionMonitor) revertCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reverts
}

// activationTimeout bounds the wait until the last process has the published
// version in force.
const activationTimeout = 10 * time.Second

// waitForActivation waits until all processes have the published version in
// force and returns the median and longest activation delay in seconds.
func (m *bundleVersionMonitor) waitForActivation(ctx context.Context) (median, longest float64, err error) {
	ctx, cancel := context.WithTimeout(ctx, activationTimeout)
	defer cancel()
	for {
		if delays, all := m.sortedActivationDelays(); all {
			return delays[len(delays)/2].Seconds(), delays[len(delays)-1].Seconds(), nil
		}
		select {
		case <-ctx.Done():
			return 0, 0, errors.Annotate(ctx.Err(), "the bundle isn't in force everywhere")
		case <-time.After(versionPollInterval):
		}
	}
}

func (m *bundleVersionMonitor) sortedActivationDelays() ([]time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var delays []time.Duration
	for _, store := range m.stores() {
		if m.excluded[store] {
			continue
		}
		delay, done := m.activationDelays[store]
		if !done {
			return nil, false
		}
		delays = append(delays, delay)
	}
	slices.Sort(delays)
	return delays, len(delays) > 0
}
