package streamorigin

import (
	"maps"
	"sync"
	"time"
)

// retireDelay is the time after which a version without a registered target is retired, if its
// service has targets of another one.
const retireDelay = 5 * time.Second

// Software is a software version of a service's targets.
type Software struct {
	Service, Version string
}

// Versions holds what a process knows of the software versions of targets: the record in the
// store and the registered targets. It decides which versions may begin streams and what the
// record should say. It is safe for concurrent use. Times are offsets on the process's
// monotonic clock.
//
// That a process has not heard of a version proves nothing, since it may have started after
// the version was used or may be cut off. So a version is removed from the record only by a
// process that has seen it retired and unregistered for the whole retention, and a record
// from which a restore of the store may have removed one is complete only when a process has
// seen it in the new era for as long.
type Versions struct {
	mu sync.Mutex
	// firstStart is set if the deployment has never run before this process was started, so
	// that a missing record is known to be empty.
	firstStart bool
	startedAt  time.Duration
	// isRead is set once the record has been read, and isListed once the registry has been.
	isRead, isListed bool
	// stored is the record in the store as last read or written, at a revision of its key.
	stored   Record
	revision uint64
	// era is the era of the store in which it was read, first at eraSince.
	era      uint64
	eraSince time.Duration
	// remembered holds the versions of a record that the store has lost until it has them again.
	remembered map[Software]State
	// listed holds the versions of registered targets.
	listed map[Software]bool
	// unlistedSince, retiredSince and usedAt hold the times since which a version has had no
	// registered target and has been retired, and at which it last began a stream here.
	unlistedSince, retiredSince, usedAt map[Software]time.Duration
	// active holds the versions that may begin streams, by service, and several the services
	// that have several versions. The former is replaced, never changed.
	active  map[string]map[string]bool
	several map[string]bool
}

// NewVersions returns the Versions of a process that starts.
func NewVersions(now time.Duration, firstStart bool) *Versions {
	return &Versions{
		firstStart: firstStart, startedAt: now, remembered: map[Software]State{}, listed: map[Software]bool{},
		unlistedSince: map[Software]time.Duration{}, retiredSince: map[Software]time.Duration{}, usedAt: map[Software]time.Duration{},
	}
}

// SetStored records what the store holds: the record, read or written in an era of the store,
// and the revision of its key. The record is nil if it can't be read, and the revision is 0 if
// the key does not exist. A record that is older than the known one is ignored.
func (v *Versions) SetStored(now time.Duration, record *Record, revision, era uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isRead && (era < v.era || era == v.era && revision != 0 && revision < v.revision) {
		return
	}
	v.firstStart = v.firstStart && revision == 0
	if v.isRead && (era > v.era || record == nil) {
		v.rememberStored(now)
	}
	v.stored, v.revision, v.era, v.isRead = Record{}, revision, era, true
	if record != nil {
		v.stored = *record
	}
	v.forgetRestored()
	v.trackRetired(now)
	v.updateActive()
	v.updateSeveral()
}

// rememberStored keeps the stored record over a restore of the store.
func (v *Versions) rememberStored(now time.Duration) {
	maps.Copy(v.remembered, v.stored.software())
	v.eraSince = now
}

// forgetRestored ends the memory of versions once the store has them again.
func (v *Versions) forgetRestored() {
	for software := range v.remembered {
		if v.stored.state(software) == "" {
			return
		}
	}
	clear(v.remembered)
}

func (v *Versions) trackRetired(now time.Duration) {
	states := v.stored.software()
	maps.DeleteFunc(v.retiredSince, func(software Software, _ time.Duration) bool { return states[software] != Retired })
	for software, state := range states {
		if _, known := v.retiredSince[software]; state == Retired && !known {
			v.retiredSince[software] = now
		}
	}
}

func (v *Versions) updateActive() {
	v.active = map[string]map[string]bool{}
	states := maps.Clone(v.remembered)
	maps.Copy(states, v.stored.software())
	for software, state := range states {
		if state != Active {
			continue
		}
		if v.active[software.Service] == nil {
			v.active[software.Service] = map[string]bool{}
		}
		v.active[software.Service][software.Version] = true
	}
}

// SetListed records the versions of all registered targets.
func (v *Versions) SetListed(now time.Duration, listed map[Software]bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for software := range v.listed {
		if !listed[software] {
			v.unlistedSince[software] = now
		}
	}
	for software := range listed {
		delete(v.unlistedSince, software)
	}
	v.listed, v.isListed = listed, true
	v.updateSeveral()
}

// RecordUse records that a target of a version begins a stream.
func (v *Versions) RecordUse(now time.Duration, software Software) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.usedAt[software] = now
}

// Active returns the versions of a service that may begin streams. The map is shared and must
// not be modified; it is not nil.
func (v *Versions) Active(service string) map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if active := v.active[service]; active != nil {
		return active
	}
	return map[string]bool{}
}

// NeedsWitnesses reports whether the witnesses of a service's streams have to be told of them,
// since the record alone doesn't prove where a stream began: the service has several versions,
// or the record may not be complete.
func (v *Versions) NeedsWitnesses(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.stored.IsComplete(v.era) || v.several[service]
}

// Services returns the services of all versions that this process knows.
func (v *Versions) Services() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	services := map[string]bool{}
	for _, known := range v.sources() {
		for software := range known {
			services[software.Service] = true
		}
	}
	return services
}

// sources returns the versions that this process knows, by where it knows them from.
func (v *Versions) sources() []map[Software]bool {
	return []map[Software]bool{v.listed, keySet(v.stored.software()), keySet(v.remembered)}
}

func (v *Versions) updateSeveral() {
	first := map[string]string{}
	v.several = map[string]bool{}
	for _, known := range v.sources() {
		for software := range known {
			version, found := first[software.Service]
			if found && version != software.Version {
				v.several[software.Service] = true
			}
			first[software.Service] = software.Version
		}
	}
}

// IsBlocking reports whether a service has registered targets, of which none may begin a stream
// because their versions are not active, or if that isn't known yet.
func (v *Versions) IsBlocking() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isRead || !v.isListed {
		return true
	}
	open := map[string]bool{}
	for software := range v.listed {
		open[software.Service] = open[software.Service] || v.active[software.Service][software.Version]
	}
	for _, isOpen := range open {
		if !isOpen {
			return true
		}
	}
	return false
}

func keySet(states map[Software]State) map[Software]bool {
	set := make(map[Software]bool, len(states))
	for software := range states {
		set[software] = true
	}
	return set
}

// Stored returns the record in the store as this process knows it, and the revision of its key.
func (v *Versions) Stored() (record Record, revision uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.stored, v.revision
}

// Next returns the record that the store should hold, and whether that differs from the one
// that it holds. retention is the time for which callers may hold a stream that a retired
// version began.
func (v *Versions) Next(now, retention time.Duration) (next Record, differs bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.isRead || !v.isListed {
		return Record{}, false
	}
	next = Record{Complete: v.stored.Complete, Era: v.stored.Era, Services: map[string]map[string]State{}}
	if !v.stored.IsComplete(v.era) {
		next.Complete, next.Era = v.isCompleteByNow(now, retention), v.era
	}
	for software := range v.known(now, retention) {
		if state := v.nextState(now, retention, software); state != "" {
			next.set(software, state)
		}
	}
	return next, !next.equal(&v.stored)
}

// isCompleteByNow reports whether all versions that may have begun streams are known to this
// process or in the record.
func (v *Versions) isCompleteByNow(now, retention time.Duration) bool {
	return v.firstStart || now-max(v.startedAt, v.eraSince) >= retention
}

// known returns the versions that the record may have to hold.
func (v *Versions) known(now, retention time.Duration) map[Software]bool {
	all := map[Software]bool{}
	for _, source := range v.sources() {
		maps.Copy(all, source)
	}
	maps.DeleteFunc(v.usedAt, func(_ Software, at time.Duration) bool { return now-at > retention })
	for software := range v.usedAt {
		all[software] = true
	}
	return all
}

// nextState returns the state that a version should have in the record; "" if it should not be
// there.
func (v *Versions) nextState(now, retention time.Duration, software Software) State {
	if v.listed[software] {
		return Active
	}
	unlisted := now - v.unlistedFrom(software)
	if v.stored.state(software) != Retired {
		if unlisted >= retireDelay && v.hasTargets(software.Service) {
			return Retired
		}
		return Active
	}
	_, used := v.usedAt[software]
	if !used && unlisted >= retention && now-v.retiredSince[software] >= retention {
		return ""
	}
	return Retired
}

// hasTargets reports whether a service has registered targets.
func (v *Versions) hasTargets(service string) bool {
	for software := range v.listed {
		if software.Service == service {
			return true
		}
	}
	return false
}

// unlistedFrom returns the time since which a version has had no registered target, as far as
// this process knows. Before its start it knows nothing.
func (v *Versions) unlistedFrom(software Software) time.Duration {
	return max(v.startedAt, v.unlistedSince[software])
}
