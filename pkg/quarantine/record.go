package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Crash is the crash of a target under a request with a certain part.
type Crash struct {
	// Target is the run of the target that crashed.
	Target fleet.Boot `json:"target"`
	// UnixMS is the time at which a process learned of the crash, on its clock.
	UnixMS int64 `json:"unix_ms"`
	// Cleared is set once a target has completed a response to a request with the
	// part: the part did not cause the crash.
	Cleared bool `json:"cleared,omitempty"`
}

// Record holds what is known of a part of prompts.
type Record struct {
	Part    string  `json:"part"`
	Crashes []Crash `json:"crashes"`
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

// compareRelevance orders records with more open crashes first, then those with the
// most recent crash.
func compareRelevance(a, b Record) int {
	return cmp.Or(cmp.Compare(b.openCrashes(), a.openCrashes()), cmp.Compare(b.latestUnixMS(), a.latestUnixMS()), cmp.Compare(a.Part, b.Part))
}

func (r *Record) latestUnixMS() int64 {
	latest := int64(0)
	for i := range r.Crashes {
		latest = max(latest, r.Crashes[i].UnixMS)
	}
	return latest
}

// partState is the state of a part with crashes.
type partState struct {
	crashes map[fleet.Boot]*Crash
	// observedAt is the time at which this process itself last observed a crash, or
	// that the part did not cause the crashes.
	observedAt time.Time
}

// open returns the runs of targets whose crashes are not cleared.
func (s *partState) open() []fleet.Boot {
	var runs []fleet.Boot
	for run, crash := range s.crashes {
		if !crash.Cleared {
			runs = append(runs, run)
		}
	}
	return runs
}

// record returns the state as a Record, with the most recent crashes first.
func (s *partState) record(part string) Record {
	r := Record{Part: part, Crashes: make([]Crash, 0, len(s.crashes))}
	for _, crash := range s.crashes {
		r.Crashes = append(r.Crashes, *crash)
	}
	slices.SortFunc(r.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.UnixMS, a.UnixMS), cmp.Compare(a.Target.ID, b.Target.ID), cmp.Compare(a.Target.StartUnixMS, b.Target.StartUnixMS))
	})
	return r
}

// clear marks all crashes as cleared and reports whether any was open.
func (s *partState) clear() bool {
	changed := false
	for _, crash := range s.crashes {
		changed = changed || !crash.Cleared
		crash.Cleared = true
	}
	return changed
}

// expire drops the crashes from before the given time, and the oldest ones above
// maxCrashesPerPart, cleared ones first.
func (s *partState) expire(beforeUnixMS int64) bool {
	changed := false
	for run, crash := range s.crashes {
		if crash.UnixMS < beforeUnixMS {
			delete(s.crashes, run)
			changed = true
		}
	}
	for len(s.crashes) > maxCrashesPerPart {
		delete(s.crashes, s.leastRelevant())
		changed = true
	}
	return changed
}

func (s *partState) leastRelevant() fleet.Boot {
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
