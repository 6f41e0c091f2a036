package balance

import (
	"math"
	"time"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// failureHalfLife is the half-life of the counts of failed and completed
	// requests of a target.
	failureHalfLife = 3 * time.Second
	// minAvoidDuration and maxAvoidDuration bound the time for which a target
	// is avoided after failed connections.
	minAvoidDuration = 250 * time.Millisecond
	maxAvoidDuration = 2 * time.Second
	// minStalledAvoidDuration is the minimum time for which a target is
	// avoided after a request to it ended without a first byte.
	minStalledAvoidDuration = time.Second
	// initialPrefillRate is the prefill rate, in prompt tokens per
	// millisecond, that is assumed until a service's rate has been measured.
	initialPrefillRate = 80.0
	// minPrefillSampleTokens is the smallest prompt whose processing time is
	// used as a sample of the prefill rate.
	minPrefillSampleTokens = 3000
	// initialServiceTime is the service time that is assumed until a
	// service's own has been measured.
	initialServiceTime = 50 * time.Millisecond
	// sampleWeight is the weight of a new sample in a moving average. Prefill
	// rates below the average have the lower weight slowSampleWeight, since
	// concurrent work may have slowed them.
	sampleWeight     = 0.1
	slowSampleWeight = 0.01
	// minPrefillRate is the lower bound of the estimated prefill rate.
	minPrefillRate = 20.0
)

// targetState is the state of one run of a target.
type targetState struct {
	service string
	// inFlight is the number of this process's requests in flight at the
	// target. pending is the number of those without a first byte, and
	// pendingTokens the number of their prompt tokens.
	inFlight      int
	pending       int
	pendingTokens float64
	// queuedTokens is the part of pendingTokens that was not yet processed at
	// the time queuedTokensAt.
	queuedTokens   float64
	queuedTokensAt time.Duration
	// pendingRequests holds the pending requests, the oldest first.
	pendingRequests []*TrackedRequest
	// heardAt is the time at which this process last received bytes from the target;
	// negative if it has received none.
	heardAt time.Duration
	fleet   *fleetTarget
	// drain holds this process's samples of the target's drain rate, and speedClass the
	// class of the rate among the targets of its service.
	drain      decayedSums
	speedClass int
	// meanBacklog is a moving average of the backlog of all processes.
	meanBacklog float64
	// ownPace is the latest figure of how long work takes that this process received.
	ownPace observedPace

	load           call.Load
	loadReportedAt time.Duration

	failedCount, endedCount float64
	decayedAt               time.Duration
	avoidUntil              time.Duration
	// unreachableAt is the time at which this process last failed to reach the
	// target; unreachable is set until it reaches it again.
	unreachableAt time.Duration
	unreachable   bool
	// peersAvoidUntil is the time until which the target is avoided because peers
	// failed to reach it.
	peersAvoidUntil time.Duration
	// pausedUntil is the time until which the target wants no requests from this
	// process.
	pausedUntil   time.Duration
	avoidDuration time.Duration

	// observedVersions holds weights versions that are newer than those in
	// the target's registry entry.
	observedVersions map[string]int64
	// loadingUntil is the time at which a load of weights is expected to be
	// complete.
	loadingUntil time.Duration
	// cordonedUntil is the time until which new requests avoid the target
	// because its weights are about to change.
	cordonedUntil time.Duration
}

// serviceStats holds moving averages over the targets of a service.
type serviceStats struct {
	prefillRate float64
	serviceTime time.Duration
	// drain holds this process's samples of the drain rates of all targets.
	drain decayedSums
	// streamDelays and bufferedDelays estimate the times to the first byte.
	streamDelays, bufferedDelays delayModel
	meanWork                     meanWork
	// holdTime is the time for which a prompt holds a slot of an engine.
	holdTime time.Duration
	// reportsPace is set once a target of the service has reported how long work takes.
	reportsPace bool
}

func (s *serviceStats) addPrefillSample(rate float64) {
	weight := sampleWeight
	if rate < s.prefillRate {
		weight = slowSampleWeight
	}
	s.prefillRate = max(minPrefillRate, s.prefillRate+weight*(rate-s.prefillRate))
}

func (b *Balancer) targetState(boot fleet.Boot) *targetState {
	s, ok := b.targetStates[boot]
	if !ok {
		b.beginRun(boot)
		s = &targetState{loadReportedAt: -1, heardAt: -1, fleet: b.fleetTarget(KeyOf(boot.ID))}
		b.targetStates[boot] = s
	}
	return s
}

func (b *Balancer) serviceStats(name string) *serviceStats {
	s, ok := b.statsByService[name]
	if !ok {
		s = &serviceStats{prefillRate: initialPrefillRate, serviceTime: initialServiceTime, holdTime: initialServiceTime}
		b.statsByService[name] = s
	}
	return s
}

// newestVersion returns the newest known weights version: the listed one, or a
// newer one observed since.
func (s *targetState) newestVersion(model string, listed int64) int64 {
	return max(listed, s.observedVersions[model])
}

// backlog returns the number of prompt tokens that this process sent to the
// target and that the target has not processed yet, assuming that it processes
// rate tokens per millisecond. Beside the peers' backlog, only a proportional
// part of that rate is available to this process's requests.
func (s *targetState) backlog(now time.Duration, rate, peersBacklog float64) float64 {
	processed := rate * float64(now-s.queuedTokensAt) / float64(time.Millisecond)
	if s.queuedTokens > 0 {
		processed *= s.queuedTokens / (s.queuedTokens + peersBacklog)
	}
	s.queuedTokens = max(0, s.queuedTokens-processed)
	s.queuedTokensAt = now
	if s.pending == 0 {
		s.queuedTokens = 0
	}
	return s.queuedTokens
}

// isAvoided reports whether new requests avoid the target after failures.
func (s *targetState) isAvoided(now time.Duration) bool {
	return now < s.avoidUntil || now < s.peersAvoidUntil
}

// changing reports whether the target is about to change its weights or is
// changing them.
func (s *targetState) changing(now time.Duration) bool {
	return now < s.cordonedUntil || now < s.loadingUntil
}

func (s *targetState) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-s.decayedAt) / float64(failureHalfLife))
	s.failedCount *= factor
	s.endedCount *= factor
	s.decayedAt = now
}

// avoid makes new requests avoid the target for at least minDuration. The
// duration doubles, up to maxAvoidDuration, until the target serves a request.
func (s *targetState) avoid(now, minDuration time.Duration) {
	s.avoidDuration = min(maxAvoidDuration, max(minDuration, 2*s.avoidDuration))
	s.avoidUntil = now + s.avoidDuration
}

// failureRate returns the estimated fraction of requests that fail, with a
// prior towards a low rate.
func (s *targetState) failureRate(now time.Duration) float64 {
	const prior = 4
	s.decay(now)
	return s.failedCount / (s.endedCount + prior)
}

// RecordLoad records a target's own load report.
func (b *Balancer) RecordLoad(now time.Duration, boot fleet.Boot, load call.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(boot)
	s.load, s.loadReportedAt = load, now
	if load.WorkPercent > 0 {
		s.ownPace.record(now, load.WorkPercent/100)
		s.fleet.pace.record(now, load.WorkPercent/100)
		b.serviceStats(s.service).reportsPace = true
	}
}

// RecordVersion records that a target serves a weights version.
func (b *Balancer) RecordVersion(boot fleet.Boot, model string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(boot)
	if version <= s.observedVersions[model] {
		return
	}
	if s.observedVersions == nil {
		s.observedVersions = map[string]int64{}
	}
	s.observedVersions[model] = version
	s.loadingUntil = 0
	s.cordonedUntil = 0
}

// Pause keeps this process from sending requests to a target until the given
// time, as the target has requested.
func (b *Balancer) Pause(boot fleet.Boot, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(boot)
	s.pausedUntil = max(s.pausedUntil, until)
}

// Cordon makes new requests avoid a target until the given time because its
// weights are about to change.
func (b *Balancer) Cordon(boot fleet.Boot, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targetState(boot).cordonedUntil = until
}

// SetLoading records that a target is loading weights, and the time at which
// the load is expected to be complete.
func (b *Balancer) SetLoading(boot fleet.Boot, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targetState(boot).loadingUntil = until
}

// Version returns the weights version that a target is assumed to serve.
func (b *Balancer) Version(target *fleet.Target, model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targetState(target.Boot()).newestVersion(model, target.Models[model])
}

// mismatchRetryDelay is the time for which a target gets no requests after it
// rejected the expected weights version without returning its own.
const mismatchRetryDelay = 300 * time.Millisecond

// RecordMismatch records that a target rejected a request because its weights
// differ from the expected version. actual is the version that the target
// returned, or 0 if it returned none.
func (b *Balancer) RecordMismatch(now time.Duration, boot fleet.Boot, model string, expected, actual int64) {
	if actual > 0 {
		b.RecordVersion(boot, model, actual)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(boot)
	newest := b.versionHistory(model).Newest()
	if newest > expected {
		if s.observedVersions == nil {
			s.observedVersions = map[string]int64{}
		}
		s.observedVersions[model] = newest
		return
	}
	s.loadingUntil = now + mismatchRetryDelay
}
