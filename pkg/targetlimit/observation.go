package targetlimit

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// endedTTL is the time for which processes tell each other that a limit has ended.
	endedTTL = 5 * time.Second
	// maxObservers bounds the runs of processes whose latest observations of a target are
	// remembered.
	maxObservers = 1024
	// renamingMargin is the time after the end of a limit within which a peer's
	// observation may be older than that end.
	renamingMargin = 200 * time.Millisecond
)

// Observation is what a response of a target showed of its limit.
type Observation struct {
	Target fleet.Boot
	// Observer identifies the run of the process that received the response, and
	// Sequence the observation among its own.
	Observer uint64
	Sequence uint64
	// Named is set if the response named a limit of PerSecond requests. Otherwise the
	// limit has ended.
	Named     bool
	PerSecond float64
	// Age is the time since the response.
	Age time.Duration
}

// Change is what an observation has changed.
type Change struct {
	Target fleet.Boot
	// Limited and PerSecond are the present limit.
	Limited   bool
	PerSecond float64
	// Share is the part of the limit that this process may use.
	Share float64
}

// RecordResponse records a response of a target to a request that this process sent at
// sentAt. It returns what that changes, if anything.
func (t *Table) RecordResponse(now time.Duration, target fleet.Boot, sentAt time.Duration, named bool, perSecond float64) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, known := t.states[target]
	if !named {
		// A response to an earlier request may have been on its way already when the
		// target named its limit.
		if !known || !s.newest.Named || sentAt <= s.observedAt {
			return Change{}, false
		}
	}
	t.sequence++
	return t.apply(now, now, Observation{Target: target, Observer: t.observer, Sequence: t.sequence, Named: named, PerSecond: perSecond})
}

// Merge applies a peer's newest observations and returns what they change.
func (t *Table) Merge(now time.Duration, observations []Observation) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, o := range observations {
		if change, ok := t.merge(now, o); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

func (t *Table) merge(now time.Duration, o Observation) (Change, bool) {
	observedAt := now - max(0, o.Age)
	s, known := t.states[o.Target]
	switch {
	case !known && !o.Named:
		return Change{}, false
	case !known:
	case !s.markSeen(&o), observedAt <= s.observedAt:
		return Change{}, false
	case o.Named && !s.newest.Named && observedAt <= s.observedAt+renamingMargin:
		return Change{}, false
	}
	return t.apply(now, observedAt, o)
}

// apply makes an observation the newest one of its target and returns what it changes.
func (t *Table) apply(now, observedAt time.Duration, o Observation) (Change, bool) {
	s, known := t.states[o.Target]
	if !known {
		s = &state{tokensAt: now, seen: map[uint64]uint64{}}
		t.states[o.Target] = s
	}
	s.markSeen(&o)
	before := s.newest
	s.newest, s.observedAt = o, observedAt
	if before.Named == o.Named && before.PerSecond == o.PerSecond {
		return Change{}, false
	}
	t.setShare(now, o.Target, s)
	if o.Named && (!before.Named || o.PerSecond < before.PerSecond) {
		s.tokens = 0
		s.tokensAt = now + t.pause(now, &o)
	}
	return Change{Target: o.Target, Limited: o.Named, PerSecond: o.PerSecond, Share: s.share}, true
}

// markSeen records an observation as seen, and reports whether it was not.
func (s *state) markSeen(o *Observation) bool {
	if s.seen[o.Observer] >= o.Sequence {
		return false
	}
	if len(s.seen) >= maxObservers {
		clear(s.seen)
	}
	s.seen[o.Observer] = o.Sequence
	return true
}

// Newest returns the newest observations of the targets that name a limit, and of those
// whose limit has ended within endedTTL, for the other processes.
func (t *Table) Newest(now time.Duration) []Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	var observations []Observation
	for _, s := range t.states {
		o := s.newest
		o.Age = now - s.observedAt
		if o.Named || o.Age <= endedTTL {
			observations = append(observations, o)
		}
	}
	return observations
}
