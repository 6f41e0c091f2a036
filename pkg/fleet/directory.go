package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// RegistryRecoveryGrace is the time after an outage of the registry for which
// entries that expired during the outage are kept, so that their targets can
// register again.
const RegistryRecoveryGrace = 2200 * time.Millisecond

// Directory holds the targets that may receive requests. It is safe for
// concurrent use. Times are offsets on the process's monotonic clock.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*entry
	// registryRestoredAt is the time at which the latest outage of the
	// registry ended.
	registryRestoredAt  time.Duration
	registryUnavailable bool
	sortedTargets       []Target
}

type entry struct {
	target Target
	// expiresAt is the time at which the target is dropped after it was removed
	// from the registry; 0 while it is registered.
	expiresAt time.Duration
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[string]*entry{}, registryRestoredAt: -RegistryRecoveryGrace}
}

// SetRegistryUnavailable records whether the registry is unavailable.
func (d *Directory) SetRegistryUnavailable(now time.Duration, unavailable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.registryUnavailable && !unavailable {
		d.registryRestoredAt = now
	}
	d.registryUnavailable = unavailable
}

// Put adds or replaces a target.
func (d *Directory) Put(target Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[target.ID] = &entry{target: target}
	d.sortedTargets = nil
}

// Remove records the removal of a target's registry entry. Within
// RegistryRecoveryGrace after an outage, the target is kept until the end of
// that period; otherwise it is removed immediately.
func (d *Directory) Remove(now time.Duration, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(now, id)
}

func (d *Directory) remove(now time.Duration, id string) {
	e, ok := d.entries[id]
	if !ok || e.expiresAt != 0 {
		return
	}
	if graceEnd := d.registryRestoredAt + RegistryRecoveryGrace; now < graceEnd {
		e.expiresAt = graceEnd
		return
	}
	delete(d.entries, id)
	d.sortedTargets = nil
}

// Replace sets the complete list of targets, as read from the registry.
func (d *Directory) Replace(now time.Duration, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		listed[target.ID] = true
		d.entries[target.ID] = &entry{target: target}
	}
	for id := range d.entries {
		if !listed[id] {
			d.remove(now, id)
		}
	}
	d.sortedTargets = nil
}

// Targets returns all targets, including draining ones, ordered by ID. The
// slice is shared and must not be modified.
func (d *Directory) Targets(now time.Duration) []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.entries {
		if e.expiresAt != 0 && now >= e.expiresAt {
			delete(d.entries, id)
			d.sortedTargets = nil
		}
	}
	if d.sortedTargets == nil {
		d.sortedTargets = make([]Target, 0, len(d.entries))
		for _, e := range d.entries {
			d.sortedTargets = append(d.sortedTargets, e.target)
		}
		slices.SortFunc(d.sortedTargets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return d.sortedTargets
}

// Get returns the target with the given ID.
func (d *Directory) Get(id string) (Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[id]
	if !ok {
		return Target{}, false
	}
	return e.target, true
}
