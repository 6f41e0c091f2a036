package balance

import "time"

// SetAdaptive sets whether queue estimates use the learned drain rate of each target and
// the learned delays. Without it, they do for the services with targets that report how
// long work takes.
func (b *Balancer) SetAdaptive(isAdaptive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.adaptive = isAdaptive
}

// isAdaptive reports whether learned rates and delays apply to a service.
func (b *Balancer) isAdaptive(stats *serviceStats) bool { return b.adaptive || stats.reportsPace }

// delays returns the model for requests whose responses are, or are not, forwarded as
// they arrive.
func (s *serviceStats) delays(isBuffered bool) *delayModel {
	if isBuffered {
		return &s.bufferedDelays
	}
	return &s.streamDelays
}

// localBacklog returns the number of prompt tokens that this process sent to the target
// and that the target has not processed yet.
func (b *Balancer) localBacklog(now time.Duration, s *targetState, stats *serviceStats) float64 {
	if !b.isAdaptive(stats) {
		return s.backlog(now, stats.prefillRate, s.fleet.peers.Backlog)
	}
	fixedMS, _ := stats.streamDelays.coefficients()
	rate := s.drainRate(now, stats.drainRate(now)) / s.fleet.pace.current(now)
	return s.pendingBacklog(now, rate, fromMilliseconds(fixedMS))
}

// estimate is the expected delay of a request at a target.
type estimate struct {
	// queuedTokens are the tokens ahead of the request.
	queuedTokens float64
	// rate is the target's drain rate in tokens per millisecond.
	rate float64
	// pace is the factor by which the target's work takes longer than usual.
	pace float64
	// workMS is the time that the queued work and the request's own take at that rate.
	// It is 0 if the wait for a slot is longer, so that the delay shows nothing of the rate.
	workMS float64
	// delay is the expected time to the first byte without imports and warm-up.
	delay time.Duration
	// cost is the delay with the additional weight of the queue, for the score.
	cost time.Duration
}

// estimateDelay returns the expected delay of a prompt that adds work tokens to a target's
// queue.
func (b *Balancer) estimateDelay(c *candidate, stats *serviceStats, isBuffered bool, work float64) estimate {
	e := estimate{rate: c.queue.rate, queuedTokens: c.queue.tokens(), pace: c.queue.usualRate / c.queue.rate}
	fixedMS, factor := stats.delays(isBuffered).coefficients()
	workMS := (e.queuedTokens + work) / e.rate
	delayMS := fixedMS + factor*workMS
	// Requests that wait for a slot are processed one after the other meanwhile.
	slotMS := milliseconds(stats.slotWait(c)) + fixedMS + factor*work/e.rate
	e.delay = fromMilliseconds(max(slotMS, delayMS))
	if slotMS <= delayMS {
		e.workMS = workMS
	}
	e.cost = max(fromMilliseconds(slotMS), fromMilliseconds(fixedMS+(1+queueExtraWeight)*c.queue.filledTime()+c.queue.workCost(work)))
	return e
}

// slotWait returns the expected time until a slot is free for a request, given the time
// for which a request holds one.
func (s *serviceStats) slotWait(c *candidate) time.Duration {
	slots := float64(max(1, c.target.Slots))
	excess := float64(c.state.inFlight+c.state.fleet.peers.InFlight) + 1 - slots
	return time.Duration(max(0, excess) / slots * float64(s.holdTime))
}

// learnDelay learns from the time to a request's first byte, or from the time after
// which it was cancelled without one. Work on a machine that is slow at either end of it
// shows nothing of the usual rate.
func (t *TrackedRequest) learnDelay(now time.Duration) {
	if t.workMS <= 0 || max(t.pace, t.state.fleet.pace.current(now)) >= minReportedPace {
		return
	}
	stats := t.balancer.serviceStats(t.service)
	delayMS := milliseconds(now - t.startedAt - t.otherDelay)
	model := stats.delays(t.isBuffered)
	model.add(now, t.workMS, delayMS, milliseconds(t.expectedTTFB-t.otherDelay))
	fixedMS, _ := model.coefficients()
	sample := DrainSums{Tokens: t.drainTokens, MS: delayMS - fixedMS}
	t.state.drain.add(now, sample)
	stats.drain.add(now, sample)
}

// learnHoldTime learns the time for which a request holds a slot, from one that has
// ended.
func (t *TrackedRequest) learnHoldTime(now time.Duration) {
	if !t.isPrompt || t.isBuffered {
		return
	}
	stats := t.balancer.serviceStats(t.service)
	held := now - t.firstByteAt + fromMilliseconds(t.prefillTokens/t.state.drainRate(now, stats.drainRate(now)))
	stats.holdTime += time.Duration(sampleWeight * float64(held-stats.holdTime))
}
