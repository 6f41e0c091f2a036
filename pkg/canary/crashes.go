package canary

import "time"

const (
	// crashMoment is the time within which crashes have one cause.
	crashMoment = time.Second
	// minCrashMoments is the number of moments at which only targets of the new version crashed that
	// makes it faulty. One or two happen to sound versions.
	minCrashMoments = 3
	// maxCrashMoments bounds the memory for crashes.
	maxCrashMoments = 64
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
	if (last >= 0 && now-(*moments)[last] < crashMoment) || len(*moments) >= maxCrashMoments {
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
	return alone >= minCrashMoments && alone > 2*len(c.old)
}

func (c *crashes) oldCrashedAt(at time.Duration) bool {
	for _, old := range c.old {
		if (old - at).Abs() < 2*crashMoment {
			return true
		}
	}
	return false
}
