package schedule

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// AgentReport is what an agent says of itself, in any message.
type AgentReport struct {
	VMID string
	// BootID is the agent's process boot.
	BootID uint64
	// State is StateLive, StateLeaving or StateDown.
	State State
	// Target fills in a VM that the list does not hold yet; nil when not told.
	Target *Target
}

// Directory holds the targets that a router knows of. The platform's list
// lags, so an agent's own fresh word is preferred: a listed target that says it
// leaves is leaving, and one missing in the list stays while it speaks. It is
// safe for concurrent use; readers take an immutable snapshot.
type Directory struct {
	mu       sync.Mutex
	freshFor time.Duration
	entries  map[string]*entry
	targets  atomic.Pointer[[]Target]
}

// entry joins the two sources for one VM.
type entry struct {
	target   Target
	listed   bool
	leaving  bool
	word     State
	bootID   uint64
	oldBoot  uint64
	spokenAt time.Time
}

// NewDirectory returns an empty Directory. An agent's word counts as fresh for
// freshFor after it was heard.
func NewDirectory(freshFor time.Duration) *Directory {
	d := &Directory{freshFor: freshFor, entries: make(map[string]*entry)}
	d.targets.Store(&[]Target{})
	return d
}

// ApplyList takes in the platform's list of target VMs. Each Target's State is
// StateLive or StateLeaving; BootID is ignored.
func (d *Directory) ApplyList(list []Target, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		e.listed = false
	}
	for _, target := range list {
		e := d.entry(target.VMID)
		e.target = target.hashed()
		e.listed = true
		e.leaving = target.State != StateLive
	}
	d.publish(now)
}

// ApplyReport takes in an agent's own word. A word of a boot that a later boot
// has replaced is ignored; leaving is final for one boot.
func (d *Directory) ApplyReport(word AgentReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.entries[word.VMID]
	if !known && word.Target == nil {
		return
	}
	if !known {
		e = d.entry(word.VMID)
		e.target = word.Target.hashed()
	}
	if word.BootID == e.oldBoot && word.BootID != 0 {
		return
	}
	sameBoot := word.BootID == e.bootID
	unchanged := sameBoot && (word.State == e.word || e.word == StateLeaving)
	wasFresh := d.fresh(e, now)
	if !sameBoot {
		e.oldBoot, e.bootID = e.bootID, word.BootID
	}
	if !sameBoot || e.word != StateLeaving {
		e.word = word.State
	}
	e.spokenAt = now
	if known && unchanged && wasFresh {
		return
	}
	d.publish(now)
}

// Refresh drops targets that are absent from the list and silent. Call it about
// once a second.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish(now)
}

// Targets returns all known targets in order of VM id. The slice is shared and
// must not be changed.
func (d *Directory) Targets() []Target {
	return *d.targets.Load()
}

// Lookup returns the target on a VM.
func (d *Directory) Lookup(vmID string) (Target, bool) {
	targets := d.Targets()
	i, found := slices.BinarySearchFunc(targets, vmID, func(t Target, id string) int {
		return strings.Compare(t.VMID, id)
	})
	if !found {
		return Target{}, false
	}
	return targets[i], true
}

func (d *Directory) entry(vmID string) *entry {
	e, ok := d.entries[vmID]
	if !ok {
		e = &entry{}
		d.entries[vmID] = e
	}
	return e
}

func (d *Directory) fresh(e *entry, now time.Time) bool {
	return e.bootID != 0 && now.Sub(e.spokenAt) <= d.freshFor
}

// publish drops gone entries and replaces the readers' snapshot.
func (d *Directory) publish(now time.Time) {
	targets := make([]Target, 0, len(d.entries))
	for vmID, e := range d.entries {
		state := d.state(e, now)
		if state == StateGone {
			delete(d.entries, vmID)
			continue
		}
		target := e.target
		target.State = state
		target.BootID = e.bootID
		targets = append(targets, target)
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(a.VMID, b.VMID) })
	d.targets.Store(&targets)
}

// state joins the list's and the agent's word. Leaving wins from either side.
// A stale "down" is forgotten, since the next probe tells.
func (d *Directory) state(e *entry, now time.Time) State {
	fresh := d.fresh(e, now)
	switch {
	case !e.listed && !fresh:
		return StateGone
	case e.leaving || (e.bootID != 0 && e.word == StateLeaving):
		return StateLeaving
	case fresh && e.word == StateDown:
		return StateDown
	default:
		return StateLive
	}
}
