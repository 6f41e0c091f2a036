package fleet

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// RegistryRecoveryGrace is how long entries that lapsed during an outage of the registry
// may take to come back after its return.
const RegistryRecoveryGrace = 2200 * time.Millisecond

// Directory holds the targets that may get work. It is safe for concurrent use.
// Times are offsets on the process's monotonic clock.
type Directory struct {
	mu      sync.Mutex
	entries map[string]*entry
	// regained is when the registry was last back from an outage.
	regained time.Duration
	away     bool
	list     []Target
}

type entry struct {
	target Target
	// goneAt is when a vanished entry counts as gone; 0 while it stands.
	goneAt time.Duration
}

// NewDirectory returns an empty Directory.
func NewDirectory() *Directory {
	return &Directory{entries: map[string]*entry{}, regained: -RegistryRecoveryGrace}
}

// SetRegistryUnavailable notes that the registry is out of reach, or back.
func (d *Directory) SetRegistryUnavailable(now time.Duration, away bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.away && !away {
		d.regained = now
	}
	d.away = away
}

// Put adds or replaces a target.
func (d *Directory) Put(target Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries[target.ID] = &entry{target: target}
	d.list = nil
}

// Remove notes that a target's entry vanished. Right after an outage it stays
// in use until its time to come back is over; otherwise it is gone at once.
func (d *Directory) Remove(now time.Duration, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remove(now, id)
}

func (d *Directory) remove(now time.Duration, id string) {
	e, ok := d.entries[id]
	if !ok || e.goneAt != 0 {
		return
	}
	if until := d.regained + RegistryRecoveryGrace; now < until {
		e.goneAt = until
		return
	}
	delete(d.entries, id)
	d.list = nil
}

// Replace sets the whole list, as read from the registry.
func (d *Directory) Replace(now time.Duration, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present := make(map[string]bool, len(targets))
	for _, target := range targets {
		present[target.ID] = true
		d.entries[target.ID] = &entry{target: target}
	}
	for id := range d.entries {
		if !present[id] {
			d.remove(now, id)
		}
	}
	d.list = nil
}

// Targets returns all targets, draining ones too, ordered by ID. The slice is
// shared and must not be changed.
func (d *Directory) Targets(now time.Duration) []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, e := range d.entries {
		if e.goneAt != 0 && now >= e.goneAt {
			delete(d.entries, id)
			d.list = nil
		}
	}
	if d.list == nil {
		d.list = make([]Target, 0, len(d.entries))
		for _, e := range d.entries {
			d.list = append(d.list, e.target)
		}
		slices.SortFunc(d.list, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	return d.list
}

// Get returns one target.
func (d *Directory) Get(id string) (Target, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.entries[id]
	if !ok {
		return Target{}, false
	}
	return e.target, true
}
