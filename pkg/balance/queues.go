package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// meanWorkHalfLife is the half-life of the sums of a meanWork, and initialMeanTokens its
	// value before any request.
	meanWorkHalfLife  = 5 * time.Second
	initialMeanTokens = 1000.0
	// transitTime is the time that a peer's report takes to this process.
	transitTime = 10 * time.Millisecond
	// tieJitter is the scale of the random part of a score that decides among targets
	// whose queues are expected to be equally long.
	tieJitter = 2 * time.Millisecond
	// maxTieJitter bounds that part, which is irrelevant for targets with longer queues.
	maxTieJitter = 10 * time.Millisecond
)

// meanWork estimates the number of prompt tokens of a request that targets have to process.
type meanWork struct {
	// tokens and requests are decayed sums over the requests that this process dispatched.
	tokens, requests float64
	at               time.Duration
}

func (m *meanWork) add(now time.Duration, tokens float64) {
	factor := decayFactor(now-m.at, meanWorkHalfLife)
	m.tokens = m.tokens*factor + tokens
	m.requests = m.requests*factor + 1
	m.at = now
}

func (m *meanWork) mean() float64 { return (m.tokens + initialMeanTokens) / (m.requests + 1) }

// reportAge returns the mean age of the peers' reports.
func (b *Balancer) reportAge(now time.Duration) time.Duration {
	total := time.Duration(0)
	for _, report := range b.peerLoads {
		total += min(now-report.receivedAt, peerNewsTTL) + transitTime
	}
	return total / time.Duration(max(1, len(b.peerLoads)))
}

// slope is a cost in milliseconds that rises with the tokens queued at a target.
type slope struct {
	start float64
	// tokensPerMS is the number of tokens that raise the cost by a millisecond.
	tokensPerMS float64
}

// fillLevel returns the cost up to which tokens raise the lowest costs if each token goes
// to a target whose cost is the lowest.
func fillLevel(slopes []slope, tokens float64) float64 {
	sorted := slices.SortedFunc(slices.Values(slopes), func(x, y slope) int { return cmp.Compare(x.start, y.start) })
	level, tokensPerMS := sorted[0].start, 0.0
	for i := range sorted {
		if step := (sorted[i].start - level) * tokensPerMS; i == 0 || step < tokens {
			tokens -= step
			level = sorted[i].start
			tokensPerMS += sorted[i].tokensPerMS
		}
	}
	return level + max(0, tokens)/tokensPerMS
}

// queueEstimate is what a candidate's queue is expected to be, if learned delays apply.
type queueEstimate struct {
	// usualRate is the target's drain rate in tokens per millisecond, and rate the one now.
	usualRate, rate float64
	// own and peers are the tokens that this process and its peers know to be queued, and
	// drained those of the peers that the target has processed since their reports.
	own, peers, drained float64
	// unseen is the number of tokens that the peers are expected to have sent since their
	// reports, and unseenShare its relation to the largest of all candidates, up to 1.
	unseen, unseenShare float64
	// meanTokens is the mean number of tokens of a request, and meanRate the mean rate of
	// all candidates.
	meanTokens, meanRate float64
}

// tokens returns the expected number of queued tokens.
func (q *queueEstimate) tokens() float64 { return q.own + max(0, q.peers+q.unseen-q.drained) }

// reportedTime returns the time that the known work still takes.
func (q *queueEstimate) reportedTime() float64 {
	return (q.own + max(0, q.peers-q.drained)) / q.rate
}

// filledTime returns the time in milliseconds that the known work and the unseen work take.
// Unlike that of tokens, the result is the same for all targets that peers probably choose.
func (q *queueEstimate) filledTime() float64 { return q.reportedTime() + q.unseen/q.rate }

// workCost returns the time in milliseconds that a request's own tokens cost in the score.
// Only requests of the mean size take a target's rate into account in full. Otherwise all
// short prompts would go to the few targets that are slow.
func (q *queueEstimate) workCost(tokens float64) float64 {
	return q.meanTokens/q.rate + (tokens-q.meanTokens)/q.meanRate
}

// estimateQueue estimates a target's queue, given the mean age of the peers' reports.
func (s *targetState) estimateQueue(now, age time.Duration, serviceRate float64, fixedDelay time.Duration) queueEstimate {
	q := queueEstimate{usualRate: s.drainRate(now, serviceRate), peers: s.fleet.peers.Backlog}
	q.rate = q.usualRate / s.fleet.pace.current(now)
	q.own = s.pendingBacklog(now, q.rate, fixedDelay)
	q.drained = q.rate * milliseconds(age) * (q.peers + 1) / (q.own + q.peers + 1)
	return q
}

// estimateQueues estimates the rates and the queues of the candidates. Since their reports
// the peers' requests have been processed in part, and the peers have sent others, to the
// targets that they expected to be the fastest.
func (b *Balancer) estimateQueues(now time.Duration, stats *serviceStats, candidates []candidate) {
	age, serviceRate := b.reportAge(now), stats.drainRate(now)
	fixedMS, _ := stats.streamDelays.coefficients()
	meanTokens, rates, inFlight := stats.meanWork.mean(), 0.0, 0
	slopes := make([]slope, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		c.queue = c.state.estimateQueue(now, age, serviceRate, fromMilliseconds(fixedMS))
		rates += c.queue.rate
		inFlight += c.state.fleet.peers.InFlight
		slopes[i] = slope{
			start:       (1+queueExtraWeight)*c.queue.reportedTime() + meanTokens/c.queue.rate,
			tokensPerMS: c.queue.rate / (1 + queueExtraWeight),
		}
	}
	// By Little's law, the peers dispatch as many requests during their mean time in flight
	// as they have in flight.
	unseen := meanTokens * float64(inFlight) * float64(age) / float64(stats.serviceTime)
	setUnseen(candidates, slopes, fillLevel(slopes, min(unseen, rates*milliseconds(age))))
	for i := range candidates {
		q := &candidates[i].queue
		q.meanTokens, q.meanRate = meanTokens, rates/float64(len(candidates))
	}
}

// setUnseen sets the unseen work of the candidates, given the level up to which it raises
// their costs.
func setUnseen(candidates []candidate, slopes []slope, level float64) {
	most := 0.0
	for i := range candidates {
		q := &candidates[i].queue
		q.unseen = max(0, level-slopes[i].start) * slopes[i].tokensPerMS
		most = max(most, q.unseen+1)
	}
	for i := range candidates {
		q := &candidates[i].queue
		q.unseenShare = (q.unseen + 1) / most
	}
}

// tieBreak returns the random part of a candidate's score. Among targets that are expected
// to be equally fast, it makes the choice of each as likely as its share of the tokens that
// the peers have sent meanwhile, so that processes don't all choose the same.
func (b *Balancer) tieBreak(c *candidate) time.Duration {
	return min(maxTieJitter, time.Duration(b.random.ExpFloat64()/c.queue.unseenShare*float64(tieJitter)))
}
