package canary

import "time"

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

// crashes holds the moments at which targets crashed. One crash breaks off many requests, so that those
// are not counted as failures.
type crashes struct {
	old, new []time.Duration
}

// record records the crash of a target.
func (c *crashes) record(now time.Duration, isNew bool) {
	moments := &c.old
	if isNew {
		moments = &c.new
	}
	last := len(*moments) - 1
	if (last >= 0 && now-(*moments)[last] < crashWindow) || len(*moments) >= maxCrashes {
		return
	}
	*moments = append(*moments, now)
}

// isFaulty reports whether the new version crashes more often than the old one, apart from crashes
// that both had at the same time.
func (c *crashes) isFaulty() bool {
	alone := 0
	for _, at := range c.new {
		if !c.oldCrashedAt(at) {
			alone++
		}
	}
	return alone >= minCrashes && alone > 2*len(c.old)
}

func (c *crashes) oldCrashedAt(at time.Duration) bool {
	for _, old := range c.old {
		if (old - at).Abs() < 2*crashWindow {
			return true
		}
	}
	return false
}
