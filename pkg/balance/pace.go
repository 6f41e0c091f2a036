package balance

import (
	"math"
	"time"
)

const (
	// paceFreshTime is the time for which a target's figure of how long work takes counts in
	// full, and paceHalfLife the half-life of its excess afterwards. Machines are slow for
	// about half a second.
	paceFreshTime = 200 * time.Millisecond
	paceHalfLife  = 150 * time.Millisecond
	// maxReportedPaceAge is the age from which a figure is no longer reported to peers.
	maxReportedPaceAge = 600 * time.Millisecond
	// minReportedPace is the smallest figure that is reported to peers, and maxPace the
	// largest one that is believed.
	minReportedPace = 1.15
	maxPace         = 10.0
)

// Pace is a target's report of how long work takes on its machine, relative to the usual
// time, and the age of the report.
type Pace struct {
	Factor float64
	Age    time.Duration
}

// observedPace is the latest known figure of a target.
type observedPace struct {
	factor float64
	at     time.Duration
}

// record records a figure unless a newer one is known.
func (p *observedPace) record(at time.Duration, factor float64) {
	if p.factor == 0 || at >= p.at {
		p.factor, p.at = min(factor, maxPace), at
	}
}

// current returns the factor by which the target's work is expected to take longer than
// usual, at least 1. A target that is faster than usual gets no preference, as all processes
// would choose it at the same time.
func (p *observedPace) current(now time.Duration) float64 {
	if p.factor <= 1 {
		return 1
	}
	faded := max(0, now-p.at-paceFreshTime)
	return 1 + (p.factor-1)*math.Exp2(-float64(faded)/float64(paceHalfLife))
}

// reported returns the figure as reported to peers; zero if the target is not slow.
func (p *observedPace) reported(now time.Duration) Pace {
	age := now - p.at
	if p.factor < minReportedPace || age > maxReportedPaceAge {
		return Pace{}
	}
	return Pace{Factor: p.factor, Age: max(age, time.Millisecond)}
}

// younger returns the younger of two figures. The other one was reported some time ago.
func (p Pace) younger(other Pace, reportAge time.Duration) Pace {
	other.Age += reportAge
	if other.Factor == 0 || other.Age > maxReportedPaceAge || (p.Factor > 0 && p.Age <= other.Age) {
		return p
	}
	return other
}
