package balance

import (
	"math"
	"time"
)

const (
	// drainHalfLife is the half-life of the sums from which a target's drain rate is
	// estimated. Rates of targets differ persistently, so that it may exceed the length of
	// a burst.
	drainHalfLife = 10 * time.Second
	// drainPriorMS is the weight, in milliseconds of work, of the service's rate in the
	// estimate of a target's rate.
	drainPriorMS = 200.0
	// serviceDrainPriorMS is the weight of initialPrefillRate in the service's rate.
	serviceDrainPriorMS = 100.0
	// maxRateRatio bounds a target's rate relative to its service's rate.
	maxRateRatio = 4.0
	// drainReportCycle is the number of reports to peers in which each target's sums are
	// sent once. The rates change slowly compared with the reports.
	drainReportCycle = 4
	// minReportedTokens and minReportedMS are the smallest sums that are reported to peers.
	minReportedTokens = 1000
	minReportedMS     = 20
	// minBacklogFraction is the part of a prompt that is assumed to be unprocessed when
	// its first byte is overdue. It may be anything from none to all of it.
	minBacklogFraction = 0.5
)

// DrainSums are decayed sums over requests at a target: the prompt tokens that it had to
// process until the first byte, and the milliseconds that this took without the delay
// that doesn't depend on them.
type DrainSums struct {
	Tokens float64
	MS     float64
}

// isZero reports whether the sums are too small to be reported.
func (d DrainSums) isZero() bool { return d.Tokens < minReportedTokens || d.MS < minReportedMS }

// scaled returns the sums multiplied by a factor.
func (d DrainSums) scaled(factor float64) DrainSums {
	return DrainSums{Tokens: d.Tokens * factor, MS: d.MS * factor}
}

func (d DrainSums) plus(other DrainSums) DrainSums {
	return DrainSums{Tokens: d.Tokens + other.Tokens, MS: d.MS + other.MS}
}

// rate returns the drain rate in tokens per millisecond. prior is the rate that is assumed
// for priorMS milliseconds of work.
func (d DrainSums) rate(prior, priorMS float64) float64 {
	rate := (max(0, d.Tokens) + prior*priorMS) / (max(0, d.MS) + priorMS)
	return min(max(rate, prior/maxRateRatio), prior*maxRateRatio)
}

// decayedSums are sums at the time at. They halve every drainHalfLife.
type decayedSums struct {
	sums DrainSums
	at   time.Duration
}

func (d *decayedSums) current(now time.Duration) DrainSums {
	return d.sums.scaled(decayFactor(now-d.at, drainHalfLife))
}

func (d *decayedSums) add(now time.Duration, sample DrainSums) {
	d.sums, d.at = d.current(now).plus(sample), now
}

// decayFactor returns the factor by which a sum with a half-life has decayed after a time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, elapsed)) / float64(halfLife))
}

// drainRate returns the estimated drain rate of a target in tokens per millisecond, from
// the samples of all processes. serviceRate is assumed before any.
func (s *targetState) drainRate(now time.Duration, serviceRate float64) float64 {
	return s.drain.current(now).plus(s.fleet.peerDrain.current(now)).rate(serviceRate, drainPriorMS)
}

// drainRate returns the average drain rate of a service's targets.
func (s *serviceStats) drainRate(now time.Duration) float64 {
	return max(minPrefillRate, s.drain.current(now).rate(initialPrefillRate, serviceDrainPriorMS))
}

// pendingBacklog returns the number of prompt tokens that this process sent to the target
// and that the target has probably not processed yet, if it drains rate tokens per
// millisecond and responds a fixed delay later.
func (s *targetState) pendingBacklog(now time.Duration, rate float64, fixedDelay time.Duration) float64 {
	tokens := 0.0
	for _, t := range s.pendingRequests {
		tokens += t.unprocessedTokens(now, rate, fixedDelay)
	}
	return tokens
}

// unprocessedTokens returns the number of the request's prompt tokens that the target has
// probably not processed yet. It processes them at the end of the expected wait.
func (t *TrackedRequest) unprocessedTokens(now time.Duration, rate float64, fixedDelay time.Duration) float64 {
	elapsed, own := now-t.startedAt, prefillTime(t.prefillTokens, rate)
	begin := max(0, t.expectedTTFB-fixedDelay-own)
	if elapsed > begin+own+fixedDelay {
		return minBacklogFraction * t.prefillTokens
	}
	return max(0, t.prefillTokens-rate*milliseconds(max(0, elapsed-begin)))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// setPeerDrain replaces the sums that a peer reported for a target. Sums that a report
// leaves out stay and decay.
func (f *fleetTarget) setPeerDrain(now time.Duration, previous decayedSums, next DrainSums) {
	f.peerDrain.add(now, next.plus(previous.current(now).scaled(-1)))
}
