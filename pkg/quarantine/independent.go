package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// coincidenceWindow is the time within which processes notice crashes of several targets that
// have happened at the same moment.
const coincidenceWindow = 500 * time.Millisecond

// isIndependent reports whether a crash can't have the same momentary cause as an earlier
// one, such as a power failure: it was noticed later than such a cause explains, or its
// target was still running after the earlier crash.
func (c *Crash) isIndependent(earlier *Crash) bool {
	return c.RunningUnixMS >= earlier.UnixMS || c.UnixMS > earlier.UnixMS+coincidenceWindow.Milliseconds()
}

// coincides reports whether two crashes may have the same momentary cause.
func (c *Crash) coincides(other *Crash) bool {
	if other.UnixMS < c.UnixMS {
		return !c.isIndependent(other)
	}
	return !other.isIndependent(c)
}

// observe combines two observations of one crash and reports whether that changed c.
func (c *Crash) observe(other *Crash) bool {
	before := *c
	c.UnixMS = min(c.UnixMS, other.UnixMS)
	c.RunningUnixMS = max(c.RunningUnixMS, other.RunningUnixMS)
	c.Coincided = c.Coincided || other.Coincided
	c.Withdrawn = c.Withdrawn || other.Withdrawn
	return *c != before
}

func compareCrashTimes(a, b *Crash) int {
	return cmp.Or(cmp.Compare(a.UnixMS, b.UnixMS), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartUnixMS, b.Target.StartUnixMS), cmp.Compare(a.Occasion, b.Occasion))
}

// open returns the crashes that are not cleared, the earliest first.
func (s *suspectState) open() []*Crash {
	if s.ordered == nil {
		for _, crash := range s.crashes {
			if !crash.Cleared {
				s.ordered = append(s.ordered, crash)
			}
		}
		slices.SortFunc(s.ordered, compareCrashTimes)
	}
	return s.ordered
}

// strength returns how many crashes of targets speak against the suspect: the number of open
// ones of which each is independent of the one before it. Crashes with one momentary cause count
// once, however many there are. Moments at which other targets crashed without the suspect are counted
// apart from the others, so that a common cause and another suspect together don't make a third one.
func (s *suspectState) strength() int {
	return s.strengthWithout(nil)
}

// strengthWithout is like strength, without the open crashes of another suspect.
func (s *suspectState) strengthWithout(other *suspectState) int {
	var supported, contradicted series
	for _, crash := range s.open() {
		switch {
		case other != nil && other.isOpen(crash.end()):
		case crash.isContradicted:
			contradicted.add(crash)
		default:
			supported.add(crash)
		}
	}
	return max(supported.count, contradicted.count)
}

// series counts crashes, in the order of their times, of which each is independent of the one
// before it.
type series struct {
	count  int
	latest *Crash
}

func (s *series) add(crash *Crash) {
	if s.latest == nil || crash.isIndependent(s.latest) {
		s.count++
		s.latest = crash
	}
}

// addRun records the crash of a run, whatever is suspected of it, and returns what is known of it
// by now.
func (t *Table) addRun(crash Crash) *Crash {
	known, ok := t.runs[crash.end()]
	if !ok {
		known = &crash
		t.runs[crash.end()] = known
		t.limitRuns()
		return known
	}
	known.observe(&crash)
	return known
}

// occasion returns how often a run has turned out to be running after it had seemed to crash.
func (t *Table) occasion(run fleet.Boot) int {
	occasion := 0
	for {
		known, ok := t.runs[end{run: run, occasion: occasion}]
		if !ok || !known.Withdrawn {
			return occasion
		}
		occasion++
	}
}

// limitRuns drops the oldest runs once there are more than maxRuns.
func (t *Table) limitRuns() {
	if len(t.runs) <= maxRuns {
		return
	}
	runs := make([]*Crash, 0, len(t.runs))
	for _, crash := range t.runs {
		runs = append(runs, crash)
	}
	slices.SortFunc(runs, compareCrashTimes)
	for _, crash := range runs[:evictedRuns] {
		delete(t.runs, crash.end())
	}
}

// compareMoments marks the open crashes of suspects at whose moments other runs crashed, with or
// without the suspect.
func (t *Table) compareMoments() {
	for _, state := range t.states {
		if state.openCount < minStoredCrashes {
			continue
		}
		for _, crash := range state.open() {
			crash.isContradicted = false
			t.compareMoment(state, crash)
		}
	}
}

func (t *Table) compareMoment(state *suspectState, crash *Crash) {
	for id, other := range t.runs {
		if id.run == crash.Target || other.Withdrawn || !crash.coincides(other) {
			continue
		}
		crash.Coincided = true
		if !state.mayHave(id) {
			crash.isContradicted = true
			return
		}
	}
}

// mayHave reports whether a run crashed under the suspect, as far as that is remembered.
func (s *suspectState) mayHave(crash end) bool {
	_, ok := s.crashes[crash]
	return ok || len(s.crashes) >= maxCrashesPerSuspect
}

// isSure reports whether neither a common cause of several crashes nor one of the other suspects explains
// the given crashes of a suspect, which were each alone, or whether a trial has failed. Where the suspect has
// companions, they are not among the others, since only requests with all of them are refused.
func (t *Table) isSure(suspect Suspect, alone []*Crash, others []Suspect) bool {
	explains := func(other Suspect) bool { return other != suspect && t.states[other].explains(alone) }
	if len(alone) >= minCrashes && !slices.ContainsFunc(others, explains) {
		return true
	}
	return slices.ContainsFunc(alone, func(crash *Crash) bool {
		isUnder := func(other Suspect) bool { return other != suspect && t.states[other].isOpen(crash.end()) }
		return t.states[suspect].hasTrialBefore(crash) && !slices.ContainsFunc(others, isUnder)
	})
}

// alone returns the open crashes at whose moments no other run crashed.
func (s *suspectState) alone() []*Crash {
	return slices.DeleteFunc(slices.Clone(s.open()), func(crash *Crash) bool { return crash.Coincided })
}

// explains reports whether fewer than minSeparateCrashes of some crashes are without the suspect, and at
// least one is under it.
func (s *suspectState) explains(crashes []*Crash) bool {
	without := 0
	for _, crash := range crashes {
		if !s.isOpen(crash.end()) {
			without++
		}
	}
	return without < minSeparateCrashes && without < len(crashes)
}
