package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Crash is the crash of a target under a request with a certain suspect.
type Crash struct {
	// Target is the run of the target that crashed.
	Target fleet.Boot `json:"target"`
	// UnixMS is the time at which a process learned of the crash, on its clock.
	UnixMS int64 `json:"unix_ms"`
	// Cleared is set once a target has completed a response to a request with the
	// suspect: it did not cause the crash.
	Cleared bool `json:"cleared,omitempty"`
}

// Record holds what is known of a suspect.
type Record struct {
	Suspect
	Crashes []Crash `json:"crashes"`
	// Trials holds the trials since the first of the crashes.
	Trials []Trial `json:"trials,omitempty"`
}

// openCrashes returns the number of crashes that are not cleared.
func (r *Record) openCrashes() int {
	open := 0
	for i := range r.Crashes {
		if !r.Crashes[i].Cleared {
			open++
		}
	}
	return open
}

// hasMoreThan reports whether the record has facts that matter and that the stored record of
// the same suspect lacks.
func (r *Record) hasMoreThan(stored *Record) bool {
	isSuspected := r.openCrashes() >= minStoredCrashes
	isStored := stored.openCrashes() >= minStoredCrashes
	cleared := make(map[fleet.Boot]bool, len(stored.Crashes))
	for i := range stored.Crashes {
		cleared[stored.Crashes[i].Target] = stored.Crashes[i].Cleared
	}
	for i := range r.Crashes {
		crash := &r.Crashes[i]
		wasCleared, ok := cleared[crash.Target]
		if (isSuspected && !ok && !crash.Cleared) || (isStored && ok && crash.Cleared && !wasCleared) {
			return true
		}
	}
	isMissing := func(trial Trial) bool {
		return !slices.ContainsFunc(stored.Trials, func(other Trial) bool { return other.ID == trial.ID })
	}
	return isSuspected && slices.ContainsFunc(r.Trials, isMissing)
}

// compareRelevance orders records with more open crashes first, then those with the
// most recent crash.
func compareRelevance(a, b Record) int {
	return cmp.Or(cmp.Compare(b.openCrashes(), a.openCrashes()), cmp.Compare(b.latestUnixMS(), a.latestUnixMS()), compareSuspects(a.Suspect, b.Suspect))
}

func (r *Record) latestUnixMS() int64 {
	latest := int64(0)
	for i := range r.Crashes {
		latest = max(latest, r.Crashes[i].UnixMS)
	}
	return latest
}

// suspectState is the state of a suspect.
type suspectState struct {
	crashes map[fleet.Boot]*Crash
	// openCount is the number of crashes that are not cleared.
	openCount int
	// observedAt is the time at which this process itself last observed a crash, or
	// that the suspect did not cause the crashes.
	observedAt time.Time
	// trials holds the times of the trials by ID, in Unix milliseconds.
	trials map[string]int64
}

// add adds a crash that isn't known.
func (s *suspectState) add(crash Crash) {
	s.crashes[crash.Target] = &crash
	if !crash.Cleared {
		s.openCount++
	}
}

// clear marks a known crash as cleared.
func (s *suspectState) clear(crash *Crash) {
	if !crash.Cleared {
		crash.Cleared = true
		s.openCount--
	}
}

// clearAll marks all crashes as cleared and reports whether any was open.
func (s *suspectState) clearAll() bool {
	changed := s.openCount > 0
	for _, crash := range s.crashes {
		s.clear(crash)
	}
	return changed
}

func (s *suspectState) remove(run fleet.Boot) {
	if !s.crashes[run].Cleared {
		s.openCount--
	}
	delete(s.crashes, run)
}

// isOpen reports whether the crash of a run is known and not cleared.
func (s *suspectState) isOpen(run fleet.Boot) bool {
	crash, ok := s.crashes[run]
	return ok && !crash.Cleared
}

// countWithout returns the number of open crashes that are no open crashes of another
// suspect.
func (s *suspectState) countWithout(other *suspectState) int {
	count := 0
	for run, crash := range s.crashes {
		if !crash.Cleared && !other.isOpen(run) {
			count++
		}
	}
	return count
}

// record returns the state as a Record, with the most recent crashes first.
func (s *suspectState) record(suspect Suspect) Record {
	r := Record{Suspect: suspect, Crashes: make([]Crash, 0, len(s.crashes))}
	for _, crash := range s.crashes {
		r.Crashes = append(r.Crashes, *crash)
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.UnixMS, a.UnixMS), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartUnixMS, b.Target.StartUnixMS))
	})
	for id, unixMS := range s.trials {
		r.Trials = append(r.Trials, Trial{ID: id, UnixMS: unixMS})
	}
	slices.SortFunc(r.Trials, func(a, b Trial) int { return cmp.Or(cmp.Compare(a.UnixMS, b.UnixMS), cmp.Compare(a.ID, b.ID)) })
	return r
}

// latestUnixMS returns the time of the latest crash or trial.
func (s *suspectState) latestUnixMS() int64 {
	latest := int64(0)
	for _, crash := range s.crashes {
		latest = max(latest, crash.UnixMS)
	}
	for _, unixMS := range s.trials {
		latest = max(latest, unixMS)
	}
	return latest
}

// expire drops the crashes and trials from before the given time.
func (s *suspectState) expire(beforeUnixMS int64) {
	maps.DeleteFunc(s.trials, func(_ string, unixMS int64) bool { return unixMS < beforeUnixMS })
	for run, crash := range s.crashes {
		if crash.UnixMS < beforeUnixMS {
			s.remove(run)
		}
	}
}

// limit drops the oldest crashes above maxCrashesPerSuspect, cleared ones first.
func (s *suspectState) limit() {
	for len(s.crashes) > maxCrashesPerSuspect {
		s.remove(s.leastRelevant())
	}
}

func (s *suspectState) leastRelevant() fleet.Boot {
	var least *Crash
	for _, crash := range s.crashes {
		if least == nil || lessRelevant(crash, least) {
			least = crash
		}
	}
	return least.Target
}

func lessRelevant(a, b *Crash) bool {
	if a.Cleared != b.Cleared {
		return a.Cleared
	}
	return a.UnixMS < b.UnixMS
}
