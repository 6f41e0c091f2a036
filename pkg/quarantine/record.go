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
	// UnixMS is the earliest time at which a response of the run broke off, on the clock of
	// the process that observed it.
	UnixMS int64 `json:"unix_ms"`
	// RunningUnixMS is the latest time at which the run is known to have been running; 0 if
	// none is known.
	RunningUnixMS int64 `json:"running_unix_ms,omitempty"`
	// Coincided is set once it is known that another run crashed at the same moment.
	Coincided bool `json:"coincided,omitempty"`
	// Cleared is set once a target has completed a response to a request with the
	// suspect: it did not cause the crash.
	Cleared bool `json:"cleared,omitempty"`
	// Withdrawn is set, with Cleared, once the run is known to have been running later: its
	// responses broke off for another reason. Occasion is the number of times that this had
	// happened to the run before.
	Withdrawn bool `json:"withdrawn,omitempty"`
	Occasion  int  `json:"occasion,omitempty"`
	// isContradicted is set if another run crashed at the same moment without the suspect.
	isContradicted bool
}

// end identifies what seemed to be the end of a run of a target.
type end struct {
	run      fleet.Boot
	occasion int
}

func (c *Crash) end() end { return end{run: c.Target, occasion: c.Occasion} }

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
	known := make(map[end]*Crash, len(stored.Crashes))
	for i := range stored.Crashes {
		known[stored.Crashes[i].end()] = &stored.Crashes[i]
	}
	for i := range r.Crashes {
		crash := &r.Crashes[i]
		held, ok := known[crash.end()]
		switch {
		case !ok && isSuspected && !crash.Cleared:
			return true
		case ok && isStored && crash.Cleared && !held.Cleared:
			return true
		case ok && isSuspected && crash.Coincided && !held.Coincided:
			return true
		}
	}
	isMissing := func(trial Trial) bool {
		return !slices.ContainsFunc(stored.Trials, func(other Trial) bool {
			return other.ID == trial.ID && (other.Unused || !trial.Unused) && (other.Answered || !trial.Answered)
		})
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
	crashes map[end]*Crash
	// openCount is the number of crashes that are not cleared.
	openCount int
	// ordered holds these crashes, the earliest first; nil if that is not known.
	ordered []*Crash
	// observedAt is the time at which this process itself last observed a crash, or
	// that the suspect did not cause the crashes.
	observedAt time.Time
	// trials holds the trials by ID.
	trials map[string]Trial
	// answeredBy holds the runs that have answered the request with an error, and gone on, since this
	// process learned of the latest open crash.
	answeredBy map[fleet.Boot]bool
}

// add adds a crash that isn't known.
func (s *suspectState) add(crash Crash) {
	s.crashes[crash.end()] = &crash
	s.ordered = nil
	if !crash.Cleared {
		s.openCount++
		s.answeredBy = nil
	}
}

// clear marks a known crash as cleared.
func (s *suspectState) clear(crash *Crash) {
	if !crash.Cleared {
		crash.Cleared = true
		s.openCount--
		s.ordered = nil
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

func (s *suspectState) remove(crash end) {
	if !s.crashes[crash].Cleared {
		s.openCount--
	}
	s.ordered = nil
	delete(s.crashes, crash)
}

// withdraw marks a known crash that was none.
func (s *suspectState) withdraw(crash *Crash) {
	s.clear(crash)
	crash.Withdrawn = true
}

// isOpen reports whether a crash is known and not cleared.
func (s *suspectState) isOpen(crash end) bool {
	known, ok := s.crashes[crash]
	return ok && !known.Cleared
}

// record returns the state as a Record, with the most recent crashes first.
func (s *suspectState) record(suspect Suspect) Record {
	r := Record{Suspect: suspect, Crashes: make([]Crash, 0, len(s.crashes))}
	for _, crash := range s.crashes {
		r.Crashes = append(r.Crashes, *crash)
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.UnixMS, a.UnixMS), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartUnixMS, b.Target.StartUnixMS), cmp.Compare(b.Occasion, a.Occasion))
	})
	r.Trials = s.sortedTrials()
	return r
}

// sortedTrials returns the trials, the earliest first.
func (s *suspectState) sortedTrials() []Trial {
	return slices.SortedFunc(maps.Values(s.trials), func(a, b Trial) int {
		return cmp.Or(cmp.Compare(a.UnixMS, b.UnixMS), cmp.Compare(a.ID, b.ID))
	})
}

// mergeTrial adds a trial, or that a known one is unused or was answered, and reports whether that
// is new.
func (s *suspectState) mergeTrial(trial Trial) bool {
	known, ok := s.trials[trial.ID]
	if ok {
		isNew := trial.Unused && !known.Unused || trial.Answered && !known.Answered
		trial.Unused, trial.Answered = trial.Unused || known.Unused, trial.Answered || known.Answered
		trial.UnixMS = min(trial.UnixMS, known.UnixMS)
		if !isNew {
			return false
		}
	}
	s.trials[trial.ID] = trial
	return true
}

// latestUnixMS returns the time of the latest crash or trial.
func (s *suspectState) latestUnixMS() int64 {
	latest := int64(0)
	for _, crash := range s.crashes {
		latest = max(latest, crash.UnixMS)
	}
	for _, trial := range s.trials {
		latest = max(latest, trial.UnixMS)
	}
	return latest
}

// expire drops the crashes and trials from before the given time.
func (s *suspectState) expire(beforeUnixMS int64) {
	maps.DeleteFunc(s.trials, func(_ string, trial Trial) bool { return trial.UnixMS < beforeUnixMS })
	for id, crash := range s.crashes {
		if crash.UnixMS < beforeUnixMS {
			s.remove(id)
		}
	}
}

// limit drops the oldest crashes above maxCrashesPerSuspect, cleared ones first, then those that
// coincided with others.
func (s *suspectState) limit() {
	for len(s.crashes) > maxCrashesPerSuspect {
		s.remove(s.leastRelevant())
	}
}

func (s *suspectState) leastRelevant() end {
	var least *Crash
	for _, crash := range s.crashes {
		if least == nil || lessRelevant(crash, least) {
			least = crash
		}
	}
	return least.end()
}

func lessRelevant(a, b *Crash) bool {
	if a.Cleared != b.Cleared {
		return a.Cleared
	}
	if a.Coincided != b.Coincided {
		return a.Coincided
	}
	return a.UnixMS < b.UnixMS
}
