// Package quarantine finds what crashes targets, and tells which requests must not be sent
// to any target because of it: repeated requests with the same content, or all
// requests whose prompts have a certain part.
//
// Processes report the crash of a target for each request whose response it had not begun
// to write, or had just begun, and for each shared part of the request's prompt. A completed
// response clears its request and the parts, since what crashes targets never gets one.
// What processes know is a set of facts that only grows (a crash of a run of a target under
// a suspect, and that it is cleared), so that the states of processes can be merged in any
// order and any number of times.
//
// The package is independent of the transport and of the store.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// minCrashes is the number of independent crashes under a suspect from which it is
	// quarantined.
	minCrashes = 3
	// minSeparateCrashes is the number of independent crashes under one of two suspects alone
	// that tell it apart from the other one.
	minSeparateCrashes = 2
	// provenTTL is the time after a completed response for which its request and parts
	// are not suspected.
	provenTTL = 15 * time.Second
	// crashTTL is the time for which a crash counts. It is also the duration of a
	// quarantine without further crashes.
	crashTTL = 30 * time.Minute
	// maxSuspects and maxCrashesPerSuspect bound the crashes that are remembered.
	maxSuspects          = 1024
	maxCrashesPerSuspect = 32
	// evictedSuspects is the number of suspects that are dropped at a time.
	evictedSuspects = maxSuspects / 16
	// maxRuns bounds the runs of targets of which it is remembered when they crashed, and
	// evictedRuns is the number that is dropped at a time.
	maxRuns     = 1024
	evictedRuns = maxRuns / 16
	// maxCompared bounds the requests and the parts that others are compared with, in
	// order to bound the time of an update.
	maxCompared = 64
	// maxProven bounds the requests and parts whose completed responses are remembered.
	maxProven = 20_000
)

// Transition is the begin or the end of a quarantine.
type Transition struct {
	Suspect
	// Quarantined is false if the quarantine has ended.
	Quarantined bool
	// Crashes is the number of crashes that are not cleared.
	Crashes int
	// Sure is set if neither a common cause of several crashes nor another suspect explains them.
	Sure bool
	// Companions holds the parts that can't be told apart from a part yet. Only requests
	// that contain all of them are refused.
	Companions []Suspect
}

// Table holds what a process knows of crashes. It is safe for concurrent use.
type Table struct {
	mu     sync.Mutex
	states map[Suspect]*suspectState
	// runs holds the crashes of runs of targets, whatever is suspected of them. All processes
	// that know the same states know the same runs.
	runs map[end]*Crash
	// provenAt holds the times of the latest completed responses, and errorAnswers the runs that have
	// answered requests with errors.
	provenAt     *lru.Cache[Suspect, time.Time]
	errorAnswers *lru.Cache[Suspect, []fleet.Boot]
	quarantined  map[Suspect]verdict
	// granted holds the trials that this process may make, or makes.
	granted     map[Suspect]grant
	transitions []Transition
	// hasEnded reports whether a run that crashed is known to have ended; nil if all are.
	hasEnded func(run fleet.Boot) bool
}

// New returns an empty Table for crashes of runs that are known to have ended.
func New() *Table { return NewUnconfirmed(nil) }

// NewUnconfirmed returns an empty Table for crashes of runs that have seemed to end. hasEnded
// reports whether it is known by now that a run has ended. It must not call the Table.
func NewUnconfirmed(hasEnded func(run fleet.Boot) bool) *Table {
	provenAt, err := lru.New[Suspect, time.Time](maxProven)
	if err != nil {
		panic(err)
	}
	errorAnswers, err := lru.New[Suspect, []fleet.Boot](maxErrorAnswers)
	if err != nil {
		panic(err)
	}
	return &Table{
		errorAnswers: errorAnswers,
		states:       map[Suspect]*suspectState{}, runs: map[end]*Crash{}, provenAt: provenAt,
		quarantined: map[Suspect]verdict{}, granted: map[Suspect]grant{}, hasEnded: hasEnded,
	}
}

// RecordCrash records that a run of a target crashed under a request. It returns what is
// suspected: the request and the parts of its prompt, without those that have recently
// been in a completed response, and without a request that the run had answered before.
func (t *Table) RecordCrash(now time.Time, crash Crash, request Request) (suspected []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crash.Occasion = t.occasion(crash.Target)
	for _, suspect := range request.suspects() {
		if t.isCleared(now, suspect, crash.Target) {
			continue
		}
		if t.add(now, suspect, crash) {
			suspected = append(suspected, suspect)
			t.states[suspect].observedAt = now
		}
	}
	if len(suspected) > 0 {
		t.update()
	}
	return suspected
}

// RecordCompleted records that a target completed a response to a request, which clears
// the request and the parts of its prompt. It returns what was suspected.
func (t *Table) RecordCompleted(now time.Time, request Request) (cleared []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, suspect := range request.suspects() {
		t.provenAt.Add(suspect, now)
		state, ok := t.states[suspect]
		if ok && state.clearAll() {
			state.observedAt = now
			cleared = append(cleared, suspect)
		}
	}
	if len(cleared) > 0 {
		t.update()
	}
	return cleared
}

// RecordRunning records that a run of a target is running, which seemed to have crashed: its
// responses broke off for another reason. It returns what was suspected because of that.
func (t *Table) RecordRunning(now time.Time, run fleet.Boot) (cleared []Suspect) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cleared = t.withdraw(end{run: run, occasion: t.occasion(run)})
	for _, suspect := range cleared {
		t.states[suspect].observedAt = now
	}
	if len(cleared) > 0 {
		t.update()
	}
	slices.SortFunc(cleared, compareSuspects)
	return cleared
}

// withdraw marks a crash that was none, and returns what was suspected because of it. The caller
// must hold t.mu and call update.
func (t *Table) withdraw(crash end) (cleared []Suspect) {
	if known, ok := t.runs[crash]; ok {
		known.Withdrawn = true
	}
	for suspect, state := range t.states {
		if under, ok := state.crashes[crash]; ok && !under.Withdrawn {
			state.withdraw(under)
			cleared = append(cleared, suspect)
		}
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
			changed = t.add(now, records[i].Suspect, crash) || changed
		}
		changed = t.mergeTrials(now, &records[i]) || changed
	}
	if changed {
		t.update()
	}
	return changed
}

// add adds a crash, or clears a known one, and reports whether that changed anything.
// The caller must hold t.mu and call update.
func (t *Table) add(now time.Time, suspect Suspect, crash Crash) bool {
	// The clock of the process that reported the crash may be ahead.
	crash.UnixMS = min(crash.UnixMS, now.UnixMilli())
	if !suspect.isValid() || crash.UnixMS < now.Add(-crashTTL).UnixMilli() {
		return false
	}
	state, ok := t.states[suspect]
	if !ok {
		state = &suspectState{crashes: map[end]*Crash{}, trials: map[string]Trial{}}
		t.states[suspect] = state
	}
	run := t.addRun(crash)
	changed := crash.Withdrawn && len(t.withdraw(crash.end())) > 0
	known, ok := state.crashes[crash.end()]
	if !ok {
		if !crash.Cleared && (t.isCleared(now, suspect, crash.Target) || run.Withdrawn) {
			crash.Cleared, crash.Withdrawn = true, run.Withdrawn
			state.observedAt = now
		}
		state.add(crash)
		state.limit()
		return true
	}
	if run.Withdrawn && !known.Withdrawn {
		state.withdraw(known)
		changed = true
	}
	if known.observe(&crash) {
		state.ordered = nil
		changed = true
	}
	if crash.Cleared && !known.Cleared {
		state.clear(known)
		changed = true
	}
	return changed
}

// mergeTrials adds the trials of a suspect whose crashes are known, and reports whether any
// was new. The caller must hold t.mu.
func (t *Table) mergeTrials(now time.Time, record *Record) bool {
	state, ok := t.states[record.Suspect]
	if !ok {
		return false
	}
	changed := false
	for _, trial := range record.Trials {
		trial.UnixMS = min(trial.UnixMS, now.UnixMilli())
		changed = state.mergeTrial(trial) || changed
	}
	return changed
}

// proven reports whether a suspect has recently been in a completed response. The caller
// must hold t.mu.
func (t *Table) proven(now time.Time, suspect Suspect) bool {
	at, ok := t.provenAt.Peek(suspect)
	return ok && now.Sub(at) <= provenTTL
}

// Expire drops crashes that no longer count.
func (t *Table) Expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireGrants(now)
	for suspect, state := range t.states {
		state.expire(now.Add(-crashTTL).UnixMilli())
		if len(state.crashes) == 0 {
			delete(t.states, suspect)
		}
	}
	maps.DeleteFunc(t.runs, func(_ end, crash *Crash) bool { return crash.UnixMS < now.Add(-crashTTL).UnixMilli() })
	t.update()
}

// Reconsider derives the quarantined suspects again, since it may be known of other runs whether
// they have ended.
func (t *Table) Reconsider() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.quarantined) > 0 {
		t.update()
	}
}

// update drops what exceeds the bounds and derives the quarantined suspects. The caller
// must hold t.mu.
func (t *Table) update() {
	t.evict()
	t.compareMoments()
	previous := t.quarantined
	t.quarantined = t.derive()
	t.recordTransitions(previous)
}

// evict drops the suspects with the fewest open crashes, the oldest first, once there are
// more than maxSuspects.
func (t *Table) evict() {
	if len(t.states) <= maxSuspects {
		return
	}
	records := t.records()
	slices.SortFunc(records, compareRelevance)
	for i := range records[maxSuspects-evictedSuspects:] {
		delete(t.states, records[maxSuspects-evictedSuspects+i].Suspect)
	}
}

func (t *Table) records() []Record {
	records := make([]Record, 0, len(t.states))
	for suspect, state := range t.states {
		records = append(records, state.record(suspect))
	}
	return records
}

func (t *Table) recordTransitions(previous map[Suspect]verdict) {
	for suspect, current := range t.quarantined {
		before, ok := previous[suspect]
		if !ok || !before.equal(current) {
			t.transitions = append(t.transitions, Transition{
				Suspect: suspect, Quarantined: true, Crashes: t.states[suspect].openCount, Sure: current.sure, Companions: current.companions,
			})
		}
	}
	for suspect := range previous {
		if _, ok := t.quarantined[suspect]; !ok {
			t.transitions = append(t.transitions, Transition{Suspect: suspect})
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

// Quarantined returns the numbers of quarantined requests and parts.
func (t *Table) Quarantined() (requests, parts int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for suspect := range t.quarantined {
		if suspect.Request != "" {
			requests++
		}
	}
	return requests, len(t.quarantined) - requests
}
