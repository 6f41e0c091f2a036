package schedule

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// AgentReport is an agent's report about itself. Any message may carry one.
type AgentReport struct {
	VMID string
	// BootID identifies the run of the agent process.
	BootID uint64
	// State is StateLive, StateLeaving or StateDown.
	State State
	// Target describes the target if it is not in the platform's list yet; it may
	// be nil.
	Target *Target
}

// Directory holds the targets that a process knows. The platform's list lags, so
// fresh reports from agents take precedence: a listed target that reports leaving
// is leaving, and a target missing from the list is kept while its reports are
// fresh. It is safe for concurrent use; readers get an immutable snapshot.
type Directory struct {
	mu        sync.Mutex
	reportTTL time.Duration
	entries   map[string]*entry
	targets   atomic.Pointer[[]Target]
}

// entry combines the platform's list and the agent's reports for one VM.
type entry struct {
	target         Target
	listed         bool
	listedLeaving  bool
	reportedState  State
	bootID         uint64
	previousBootID uint64
	reportedAt     time.Time
}

// NewDirectory returns an empty Directory. An agent's report is fresh for
// reportTTL after it was received.
func NewDirectory(reportTTL time.Duration) *Directory {
	d := &Directory{reportTTL: reportTTL, entries: make(map[string]*entry)}
	d.targets.Store(&[]Target{})
	return d
}

// ApplyList replaces the platform's list of targets. Each Target's State is
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
		e.listedLeaving = target.State != StateLive
	}
	d.publish(now)
}

// ApplyReport applies an agent's report. It ignores a report of the boot before
// the current one. Leaving is final within one boot.
func (d *Directory) ApplyReport(report AgentReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.entries[report.VMID]
	if !known && report.Target == nil {
		return
	}
	if !known {
		e = d.entry(report.VMID)
		e.target = report.Target.hashed()
	}
	if report.BootID == e.previousBootID && report.BootID != 0 {
		return
	}
	sameBoot := report.BootID == e.bootID
	unchanged := sameBoot && (report.State == e.reportedState || e.reportedState == StateLeaving)
	wasFresh := d.hasFreshReport(e, now)
	if !sameBoot {
		e.previousBootID, e.bootID = e.bootID, report.BootID
	}
	if !sameBoot || e.reportedState != StateLeaving {
		e.reportedState = report.State
	}
	e.reportedAt = now
	if known && unchanged && wasFresh {
		return
	}
	d.publish(now)
}

// Refresh removes targets that are neither in the list nor freshly reported. The
// caller should call it about once per second.
func (d *Directory) Refresh(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish(now)
}

// Targets returns all known targets, ordered by VM ID. The slice is shared and
// must not be modified.
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

func (d *Directory) hasFreshReport(e *entry, now time.Time) bool {
	return e.bootID != 0 && now.Sub(e.reportedAt) <= d.reportTTL
}

// publish removes entries in StateGone and replaces the readers' snapshot.
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

// state derives a target's state from the list and the agent's report. Leaving
// from either source takes precedence. A stale "down" is ignored, since the next
// probe determines the current state.
func (d *Directory) state(e *entry, now time.Time) State {
	fresh := d.hasFreshReport(e, now)
	switch {
	case !e.listed && !fresh:
		return StateGone
	case e.listedLeaving || (e.bootID != 0 && e.reportedState == StateLeaving):
		return StateLeaving
	case fresh && e.reportedState == StateDown:
		return StateDown
	default:
		return StateLive
	}
}
