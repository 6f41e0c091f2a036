package balance

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// progressTimeout is the time without any bytes from a target, to any process, after
	// which a target with pending requests is treated as stalled.
	progressTimeout = 700 * time.Millisecond
	// unconfirmedWaitFactor is the multiple of a request's expected time to the first byte that a
	// process without news from its peers allows for, since it can't see the bytes that
	// they receive. Estimates may be too low by a factor of two under load.
	unconfirmedWaitFactor = 3
	// peerNewsTTL is the time for which a peer counts as heard after its latest message.
	// It covers the loss of a message from another group, which sends every 0.3 s.
	peerNewsTTL = 700 * time.Millisecond
	// silenceTTL is the time for which requests that ended without any bytes still count
	// as a silence of their target. Without it, a target that never responds to requests
	// that are cancelled before progressTimeout would not be detected.
	silenceTTL = 2 * time.Second
	// maxReportedProgressAge bounds the ages that are reported to peers. Older bytes show
	// nothing that progressTimeout doesn't.
	maxReportedProgressAge = 1200 * time.Millisecond
	// idleProgressReportTTL is the time for which the progress of a target without
	// requests in flight is reported, so that each peer receives it at least once.
	idleProgressReportTTL = 400 * time.Millisecond
	// pauseThreshold is the time between two reports to peers from which a process
	// assumes that it was paused. Reports are due every 0.1 s.
	pauseThreshold = 600 * time.Millisecond
)

// fleetTarget is what this process knows of a target from its own requests and from
// its peers.
type fleetTarget struct {
	// startUnixMS is the start of the target's latest run that this process knows.
	startUnixMS int64
	// peers is the sum of the loads that the peers report.
	peers TargetLoad
	// peerDrain is the sum of the peers' samples of the target's drain rate.
	peerDrain decayedSums
	// pace is the target's latest figure that any process is known to have received.
	pace observedPace
	// ownPending is the number of this process's requests without a first byte.
	ownPending int
	// progressAt is the time of the latest bytes that any process is known to have
	// received from the target.
	progressAt time.Duration
	// isWaiting is set while requests of any process are pending, since waitingSince.
	isWaiting    bool
	waitingSince time.Duration
	// waited is the length of the latest silence, which ended at waitEndedAt when the
	// last pending request ended without any bytes.
	waited      time.Duration
	waitEndedAt time.Duration
}

// recordProgress records that a process received bytes from the target.
func (f *fleetTarget) recordProgress(at time.Duration) {
	f.progressAt = max(f.progressAt, at)
	if at >= f.waitEndedAt {
		f.waited = 0
	}
}

// updateWaiting records a change of the number of pending requests. isGivenUp is set
// if a request of this process ended without any bytes.
func (f *fleetTarget) updateWaiting(now time.Duration, isGivenUp bool) {
	isWaiting := f.ownPending+f.peers.Pending > 0
	switch {
	case isWaiting && !f.isWaiting:
		f.waitingSince = now
		if now-f.waitEndedAt < silenceTTL {
			f.waitingSince -= f.waited
		}
	case !isWaiting && f.isWaiting:
		f.waited, f.waitEndedAt = 0, now
		if isGivenUp {
			f.waited = f.silence(now)
		}
	}
	f.isWaiting = isWaiting
}

// silence returns the time for which requests have been pending at the target without
// any bytes to any process.
func (f *fleetTarget) silence(now time.Duration) time.Duration {
	if !f.isWaiting {
		return 0
	}
	return now - max(f.waitingSince, f.progressAt)
}

// fleetTarget returns the record of the target with the given key.
func (b *Balancer) fleetTarget(key TargetKey) *fleetTarget {
	f, ok := b.fleetTargets[key]
	if !ok {
		f = &fleetTarget{progressAt: -time.Hour, waitEndedAt: -time.Hour}
		b.fleetTargets[key] = f
	}
	return f
}

// beginRun drops what is known of the speed of a target's earlier run.
func (b *Balancer) beginRun(boot fleet.Boot) {
	key := KeyOf(boot.ID)
	f := b.fleetTarget(key)
	if boot.StartUnixMS <= f.startUnixMS {
		return
	}
	if f.startUnixMS > 0 {
		f.peerDrain, f.pace = decayedSums{}, observedPace{}
		for _, report := range b.peerLoads {
			delete(report.drains, key)
		}
	}
	f.startUnixMS = boot.StartUnixMS
}

// recordReport records that this process reports its loads to its peers, which it does
// at short intervals unless it is paused.
func (b *Balancer) recordReport(now time.Duration) {
	if b.lastReportAt > 0 && now-b.lastReportAt > pauseThreshold {
		b.resumedAt = now
	}
	b.updateMeanBacklogs(now, now-b.lastReportAt)
	b.lastReportAt = now
	b.reportCount++
}

// isResuming reports whether the process has peers and was paused until now, so that it
// has not read yet what it received meanwhile.
func (b *Balancer) isResuming(now time.Duration) bool {
	return len(b.peerLoads) > 0 && b.lastReportAt > 0 && now-b.lastReportAt > pauseThreshold
}

// hearsPeers reports whether messages arrive from at least half of the peers.
func (b *Balancer) hearsPeers(now time.Duration) bool {
	heard := 0
	for _, report := range b.peerLoads {
		if now-report.receivedAt < peerNewsTTL {
			heard++
		}
	}
	return heard > 0 && 2*heard >= len(b.peerLoads)
}

// stallRule decides which targets are stalled. It holds what is the same for all
// targets at one time.
type stallRule struct {
	now        time.Duration
	resumedAt  time.Duration
	isResuming bool
	hearsPeers bool
}

func (b *Balancer) stallRule(now time.Duration) stallRule {
	return stallRule{now: now, resumedAt: b.resumedAt, isResuming: b.isResuming(now), hearsPeers: b.hearsPeers(now)}
}

// isStalled reports whether work is pending at the target and no process has received
// anything from it for too long.
func (r stallRule) isStalled(s *targetState) bool {
	if r.isResuming {
		return false
	}
	timeout := progressTimeout
	if !r.hearsPeers && len(s.pendingRequests) > 0 {
		timeout = max(timeout, unconfirmedWaitFactor*s.pendingRequests[0].expectedTTFB)
	}
	return min(s.fleet.silence(r.now), r.now-r.resumedAt) >= timeout
}

// RecordProgress records that bytes of a response have arrived from the target.
func (t *TrackedRequest) RecordProgress(now time.Duration) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.state.recordProgress(now)
}

func (s *targetState) recordProgress(now time.Duration) {
	s.heardAt = now
	s.fleet.recordProgress(now)
}

// progressAge returns the age of the latest bytes that this process received from the
// target, as reported to peers; 0 if there are none that are worth reporting.
func (s *targetState) progressAge(now time.Duration) time.Duration {
	age := now - s.heardAt
	if s.heardAt < 0 || age > maxReportedProgressAge || (s.inFlight == 0 && age > idleProgressReportTTL) {
		return 0
	}
	return max(age, time.Millisecond)
}
