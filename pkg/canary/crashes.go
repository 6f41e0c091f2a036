package canary

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// crashWindow is the time within which crashes count as one, because they probably have the
	// same cause.
	crashWindow = time.Second
	// minCrashes is the number of crashes of the new version alone that make it faulty. One or two
	// happen to sound versions.
	minCrashes = 3
	// maxCrashes bounds the memory for crashes.
	maxCrashes = 64
)

// RunState is what is known of a run that has seemed to crash.
type RunState int

// States of such a run.
const (
	// MayHaveEnded is the state of a run that refuses connections, or has refused one.
	MayHaveEnded RunState = iota
	// HasEnded is the state of a run that is known to have crashed.
	HasEnded
	// IsRunning is the state of a run that is known to go on.
	IsRunning
)

// crashes holds the runs of targets that have crashed, or seem to have. One crash breaks off many
// requests, so that those are not counted as failures.
type crashes struct {
	old, new []crash
}

// crash is that of a run, at a time.
type crash struct {
	run   fleet.Boot
	at    time.Duration
	ended bool
}

// record records that a run has seemed to crash.
func (c *crashes) record(now time.Duration, run fleet.Boot, isNew bool) {
	list := &c.old
	if isNew {
		list = &c.new
	}
	isKnown := slices.ContainsFunc(*list, func(known crash) bool { return known.run == run })
	if !isKnown && len(*list) < maxCrashes {
		*list = append(*list, crash{run: run, at: now})
	}
}

// settle applies what is known of the runs by now.
func (c *crashes) settle(state func(run fleet.Boot) RunState) {
	for _, list := range []*[]crash{&c.old, &c.new} {
		*list = slices.DeleteFunc(*list, func(known crash) bool { return state(known.run) == IsRunning })
		for i := range *list {
			(*list)[i].ended = state((*list)[i].run) == HasEnded
		}
	}
}

// isFaulty reports whether the new version crashes more often than the old one, apart from crashes
// that both had at the same time. Only runs that have ended speak against it; those of the old
// version that may have ended speak for it.
func (c *crashes) isFaulty() bool {
	isHeld := func(known crash) bool { return known.ended && !c.oldCrashedAt(known.at) }
	alone := countMoments(c.new, isHeld)
	return alone >= minCrashes && alone > 2*countMoments(c.old, func(crash) bool { return true })
}

// countMoments returns the number of moments, at least crashWindow apart, of the crashes that count.
func countMoments(list []crash, counts func(crash) bool) int {
	moments := 0
	latest := time.Duration(0)
	for _, known := range slices.SortedFunc(slices.Values(list), func(a, b crash) int { return cmp.Compare(a.at, b.at) }) {
		if !counts(known) || moments > 0 && known.at-latest < crashWindow {
			continue
		}
		moments++
		latest = known.at
	}
	return moments
}

func (c *crashes) oldCrashedAt(at time.Duration) bool {
	return slices.ContainsFunc(c.old, func(old crash) bool { return (old.at - at).Abs() < 2*crashWindow })
}
