package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// RegistryRecoveryGrace is the time after an outage of the registry for which
	// entries that expired during the outage are kept, so that their targets can
	// register again.
	RegistryRecoveryGrace = 2200 * time.Millisecond
	// departedTTL is the time for which the directory remembers that a run of a
	// target has left. It exceeds the age of a copy that the registry is restored
	// from, and the time for which a leaving target still serves.
	departedTTL = time.Minute
)

// Directory holds the targets that may receive requests. It is safe for
// concurrent use. Times are offsets on the process's monotonic clock.
//
// A run of a target that has begun to leave is never listed as available again,
// even if an older registry entry appears after it.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*entry
	// departed holds the runs that have begun to leave or have been removed.
	departed map[Boot]departure
	// evidence holds what is known of the ends of registered runs.
	evidence map[Boot]*runEvidence
	// reportInterval is the interval at which targets report to the registry, and
	// registryReadAt the time at which the registry was last read.
	reportInterval time.Duration
	registryReadAt time.Duration
	// registryRestoredAt is the time at which the latest outage of the
	// registry ended.
	registryRestoredAt  time.Duration
	registryUnavailable bool
	// listOutdated is set after the registry was restored from an older copy,
	// until it has been listed again. That list may hold entries of targets that
	// have left since the copy.
	listOutdated  bool
	sortedTargets []Target
}

type entry struct {
	target Target
	// expiresAt is the time at which the target is dropped after it was removed
	// from the registry; 0 while it is registered.
	expiresAt time.Duration
}

// departure describes a run of a target that has left or is leaving.
type departure struct {
	at time.Duration
	// draining reports whether the target said that it is leaving. A target that
	// was only removed from the registry may register again.
	draining bool
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{
		entries: map[string]*entry{}, departed: map[Boot]departure{}, evidence: map[Boot]*runEvidence{},
		reportInterval: DefaultReportInterval, registryRestoredAt: -RegistryRecoveryGrace,
	}
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

// RegistryRead records that the registry was read, after all changes in it have been applied.
func (d *Directory) RegistryRead(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registryReadAt = now
}

// IsRegistryAvailable reports whether the registry has answered the latest call.
func (d *Directory) IsRegistryAvailable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.registryUnavailable
}

// RegistryRestored records that the registry was restored from an older copy.
func (d *Directory) RegistryRestored(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.registryRestoredAt = now
	d.listOutdated = true
}

// Put adds or replaces a target after a write of its registry entry.
func (d *Directory) Put(now time.Duration, target Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(now, target)
}

func (d *Directory) put(now time.Duration, target Target) {
	boot := target.Boot()
	if target.Draining {
		d.departed[boot] = departure{at: now, draining: true}
	}
	left, ok := d.departed[boot]
	target.Draining = ok && left.draining
	d.applyEvidence(&target)
	if ok && !left.draining {
		delete(d.departed, boot)
	}
	d.entries[target.ID] = &entry{target: target}
	d.sortedTargets = nil
}

// MarkLeaving records that a run of a target said outside the registry that it
// is leaving. It reports whether that was not known.
func (d *Directory) MarkLeaving(now time.Duration, boot Boot) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.departed[boot].draining {
		return false
	}
	d.departed[boot] = departure{at: now, draining: true}
	if e, ok := d.entries[boot.ID]; ok && e.target.Boot() == boot {
		e.target.Draining = true
		d.sortedTargets = nil
	}
	return true
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
	d.drop(now, id)
}

// drop deletes an entry and remembers that its run has left.
func (d *Directory) drop(now time.Duration, id string) {
	boot := d.entries[id].target.Boot()
	d.departed[boot] = departure{at: now, draining: d.departed[boot].draining}
	delete(d.entries, id)
	d.sortedTargets = nil
}

// Replace sets the complete list of targets, as read from the registry.
func (d *Directory) Replace(now time.Duration, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		if _, left := d.departed[target.Boot()]; left && d.listOutdated {
			continue
		}
		listed[target.ID] = true
		d.put(now, target)
	}
	for id := range d.entries {
		if !listed[id] {
			d.remove(now, id)
		}
	}
	d.listOutdated = false
	d.sortedTargets = nil
}

// Targets returns all targets, including draining ones, ordered by ID. The
// slice is shared and must not be modified.
func (d *Directory) Targets(now time.Duration) []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.entries {
		if e.expiresAt != 0 && now >= e.expiresAt {
			d.drop(now, id)
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

// Prune forgets the runs that left more than departedTTL ago and are no longer
// listed.
func (d *Directory) Prune(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for boot, left := range d.departed {
		if !d.isListed(boot) && now-left.at > departedTTL {
			delete(d.departed, boot)
		}
	}
	maps.DeleteFunc(d.evidence, func(boot Boot, _ *runEvidence) bool { return !d.isListed(boot) })
}

// isListed reports whether a run of a target is registered.
func (d *Directory) isListed(boot Boot) bool {
	e, ok := d.entries[boot.ID]
	return ok && e.target.Boot() == boot
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
