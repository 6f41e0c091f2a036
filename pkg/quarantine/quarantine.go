// Package quarantine finds the part of prompts that crashes targets, and tells which
// requests must not be sent to any target because of it.
//
// Processes report the crash of a target for each part of the requests whose responses
// it had not begun to write, or had just begun. A completed response clears the parts
// of its request, since a part that crashes targets never gets one. What processes know
// is a set of facts that only grows (a crash of a run of a target under a part, and that
// it is cleared), so that the states of processes can be merged in any order and any
// number of times.
//
// The package is independent of the transport and of the store.
package quarantine

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// minCrashes is the number of runs of targets that must have crashed under a part
	// before it is quarantined.
	minCrashes = 3
	// minSeparateCrashes is the number of crashes under one of two parts alone that
	// tell it apart from the other one.
	minSeparateCrashes = 2
	// provenTTL is the time after a completed response for which its parts are not
	// suspected.
	provenTTL = 15 * time.Second
	// crashTTL is the time for which a crash counts. It is also the duration of a
	// quarantine without further crashes.
	crashTTL = 30 * time.Minute
	// maxParts and maxCrashesPerPart bound the crashes that are remembered.
	maxParts          = 1024
	maxCrashesPerPart = 32
	// maxSuspects bounds the parts that are compared with each other, in order to
	// bound the time of an update.
	maxSuspects = 64
	// maxPartBytes is the length above which a part's identifier is replaced by a hash.
	maxPartBytes = 64
	// maxProvenParts bounds the parts whose completed responses are remembered.
	maxProvenParts = 20_000
	// maxStoredParts bounds the records that Snapshot returns.
	maxStoredParts = 256
	// newsTTL is the time for which News returns what this process has observed.
	newsTTL = 500 * time.Millisecond
	// minStoredCrashes is the number of open crashes from which a part's crashes must
	// be in the store.
	minStoredCrashes = 2
	// maxNewsCrashes bounds the crashes in the records that News returns.
	maxNewsCrashes = 100
)

// Transition is the begin or the end of a quarantine.
type Transition struct {
	Part string
	// Quarantined is false if the quarantine has ended.
	Quarantined bool
	// Crashes is the number of crashes that are not cleared.
	Crashes int
	// Companions holds the parts that can't be told apart from Part yet. Only requests
	// that contain all of them are refused.
	Companions []string
}

// Table holds what a process knows of crashes. It is safe for concurrent use.
type Table struct {
	mu    sync.Mutex
	parts map[string]*partState
	// provenAt holds the times of the latest completed responses by part.
	provenAt *lru.Cache[string, time.Time]
	// quarantined holds the quarantined parts with their companions.
	quarantined map[string][]string
	transitions []Transition
}

// New returns an empty Table.
func New() *Table {
	provenAt, err := lru.New[string, time.Time](maxProvenParts)
	if err != nil {
		panic(err)
	}
	return &Table{parts: map[string]*partState{}, provenAt: provenAt, quarantined: map[string][]string{}}
}

// RecordCrash records that a run of a target crashed under a request with the given
// parts. It returns the parts that are suspected: all but those that have recently been
// part of a completed response.
func (t *Table) RecordCrash(now time.Time, target fleet.Boot, parts []string) (suspected []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range keys(parts) {
		if t.proven(now, part) {
			continue
		}
		crash := Crash{Target: target, UnixMS: now.UnixMilli()}
		if t.add(now, part, crash) {
			suspected = append(suspected, part)
			t.parts[part].observedAt = now
		}
	}
	if len(suspected) > 0 {
		t.update(now)
	}
	return suspected
}

// RecordCompleted records that a target completed a response to a request with the
// given parts, which clears them. It returns the parts that were suspected.
func (t *Table) RecordCompleted(now time.Time, parts []string) (cleared []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range keys(parts) {
		t.provenAt.Add(part, now)
		state, ok := t.parts[part]
		if ok && state.clear() {
			state.observedAt = now
			cleared = append(cleared, part)
		}
	}
	if len(cleared) > 0 {
		t.update(now)
	}
	return cleared
}

// Merge adds what another process or the store knows. It reports whether anything was
// new.
func (t *Table) Merge(now time.Time, records []Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range records {
		for _, crash := range records[i].Crashes {
			changed = t.add(now, records[i].Part, crash) || changed
		}
	}
	if changed {
		t.update(now)
	}
	return changed
}

// add adds a crash, or clears a known one, and reports whether that changed anything.
// The caller must hold t.mu and call update.
func (t *Table) add(now time.Time, part string, crash Crash) bool {
	// The clock of the process that reported the crash may be ahead.
	crash.UnixMS = min(crash.UnixMS, now.UnixMilli())
	if part == "" || crash.UnixMS < now.Add(-crashTTL).UnixMilli() {
		return false
	}
	state, ok := t.parts[part]
	if !ok {
		state = &partState{crashes: map[fleet.Boot]*Crash{}}
		t.parts[part] = state
	}
	known, ok := state.crashes[crash.Target]
	switch {
	case !ok:
		if !crash.Cleared && t.proven(now, part) {
			crash.Cleared = true
			state.observedAt = now
		}
		state.crashes[crash.Target] = &crash
	case crash.Cleared && !known.Cleared:
		known.Cleared = true
	default:
		return false
	}
	return true
}

// proven reports whether a part has recently been in a completed response. The caller
// must hold t.mu.
func (t *Table) proven(now time.Time, part string) bool {
	at, ok := t.provenAt.Peek(part)
	return ok && now.Sub(at) <= provenTTL
}

// Expire drops crashes that no longer count.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(now)
}

// update drops what exceeds the bounds and derives the quarantined parts. The caller
// must hold t.mu.
func (t *Table) update(now time.Time) {
	for part, state := range t.parts {
		state.expire(now.Add(-crashTTL).UnixMilli())
		if len(state.crashes) == 0 {
			delete(t.parts, part)
		}
	}
	t.evict()
	previous := t.quarantined
	t.quarantined = t.derive()
	t.recordTransitions(previous)
}

// evict drops the parts with the fewest open crashes, the oldest first, above maxParts.
func (t *Table) evict() {
	excess := len(t.parts) - maxParts
	if excess <= 0 {
		return
	}
	records := t.records()
	slices.SortFunc(records, compareRelevance)
	for i := range records[maxParts:] {
		delete(t.parts, records[maxParts+i].Part)
	}
}

func (t *Table) records() []Record {
	records := make([]Record, 0, len(t.parts))
	for part, state := range t.parts {
		records = append(records, state.record(part))
	}
	return records
}

func (t *Table) recordTransitions(previous map[string][]string) {
	for part, companions := range t.quarantined {
		before, ok := previous[part]
		if !ok || !slices.Equal(before, companions) {
			t.transitions = append(t.transitions, Transition{Part: part, Quarantined: true, Crashes: len(t.parts[part].open()), Companions: companions})
		}
	}
	for part := range previous {
		if _, ok := t.quarantined[part]; !ok {
			t.transitions = append(t.transitions, Transition{Part: part})
		}
	}
}

// TakeTransitions returns the transitions since the last call.
func (t *Table) TakeTransitions() []Transition {
	t.mu.Lock()
	defer t.mu.Unlock()
	transitions := t.transitions
	t.transitions = nil
	return transitions
}

// QuarantinedParts returns the number of quarantined parts.
func (t *Table) QuarantinedParts() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.quarantined)
}

// News returns the quarantined parts and those of which this process has observed
// something within newsTTL, for the other processes. What it learned from others is not
// passed on, which bounds the messages. The most relevant parts come first.
func (t *Table) News(now time.Time) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news []Record
	for part, state := range t.parts {
		_, quarantined := t.quarantined[part]
		if quarantined || now.Sub(state.observedAt) <= newsTTL {
			news = append(news, state.record(part))
		}
	}
	slices.SortFunc(news, compareRelevance)
	crashes := 0
	for i := range news {
		crashes += len(news[i].Crashes)
		if crashes > maxNewsCrashes {
			return news[:i]
		}
	}
	return news
}

// Snapshot returns the records that must outlast the processes, the most relevant ones
// first.
func (t *Table) Snapshot() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.records()
	slices.SortFunc(records, compareRelevance)
	return records[:min(maxStoredParts, len(records))]
}

// Missing reports whether the given records, merged into this table before, lack any
// fact of Snapshot that matters to a process that knows nothing else: an open crash of a
// part with minStoredCrashes of them, or that an open one of a part that has as many in
// the records is cleared.
func (t *Table) Missing(records []Record) bool {
	held := make(map[string]map[fleet.Boot]bool, len(records))
	heldOpen := make(map[string]int, len(records))
	for i := range records {
		heldOpen[records[i].Part] = records[i].openCrashes()
		held[records[i].Part] = make(map[fleet.Boot]bool, len(records[i].Crashes))
		for _, crash := range records[i].Crashes {
			held[records[i].Part][crash.Target] = crash.Cleared
		}
	}
	for _, record := range t.Snapshot() {
		isSuspected := record.openCrashes() >= minStoredCrashes
		isStored := heldOpen[record.Part] >= minStoredCrashes
		for _, crash := range record.Crashes {
			cleared, ok := held[record.Part][crash.Target]
			if (isSuspected && !ok && !crash.Cleared) || (isStored && ok && crash.Cleared && !cleared) {
				return true
			}
		}
	}
	return false
}
