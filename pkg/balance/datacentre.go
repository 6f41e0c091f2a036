package balance

import (
	"math"
	"time"
)

const (
	// meanBacklogTime is the time constant of a target's mean backlog. It is longer than
	// the age of reports, so that processes don't move to other data centres and back
	// together.
	meanBacklogTime = time.Second
	// minQueueExcess is the time by which the near targets' mean queues exceed the others'
	// before requests go to other data centres, and queueExcessRange the further time over
	// which all of them come to prefer those.
	minQueueExcess   = crossDataCentrePenalty
	queueExcessRange = 40 * time.Millisecond
)

// updateMeanBacklogs updates the mean backlogs of all targets after a time.
func (b *Balancer) updateMeanBacklogs(now, elapsed time.Duration) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(meanBacklogTime))
	for _, s := range b.targetStates {
		if b.isAdaptive(b.serviceStats(s.service)) {
			backlog := s.fleet.peers.Backlog + b.reportedBacklog(now, s)
			s.meanBacklog += weight * (backlog - s.meanBacklog)
		}
	}
}

// remotePenalty returns the penalty of targets in other data centres for one request. It is
// the lower, the longer the near targets' mean queues are in comparison. Short queues are
// not known exactly, so that the current ones don't tell a data centre with more callers than
// engines from others. The random part keeps either none or all requests from going there.
func (b *Balancer) remotePenalty(candidates []candidate) time.Duration {
	near, remote, nearCount := 0.0, 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		if c.target.DataCentre == b.dataCentre {
			near += c.state.meanBacklog / c.queue.rate
			nearCount++
		} else {
			remote += c.state.meanBacklog / c.queue.rate
		}
	}
	if nearCount == 0 || nearCount == len(candidates) {
		return crossDataCentrePenalty
	}
	excess := fromMilliseconds(near/float64(nearCount) - remote/float64(len(candidates)-nearCount))
	threshold := minQueueExcess + time.Duration(b.random.Int64N(int64(queueExcessRange)))
	return min(max(threshold-excess, -crossDataCentrePenalty), crossDataCentrePenalty)
}
