package loadshed

import (
	"math"
	"time"
)

const (
	// paceInterval is the time between two changes of a pace. The load that other processes have
	// sent is known after about this time.
	paceInterval = 300 * time.Millisecond
	// paceIncrease and paceDecrease are the factors by which a pace changes. All processes see the
	// same room at the same time; small steps keep them from filling it several times over.
	paceIncrease = 1.1
	paceDecrease = 0.75
	// paceRecovery replaces paceIncrease while the waits show that the engines have much room, for
	// example after an overload.
	paceRecovery = 1.2
	// maxPaceRatio bounds the pace by the rate of the answers. The answers show what the engines
	// do for this process before their waits show that it is too much.
	maxPaceRatio = 1.2
	// minPace is the smallest pace in requests a second. It is enough to learn whether the engines
	// have room again.
	minPace = 1.0
	// paceBurst is the time for which an unused pace accumulates.
	paceBurst = 100 * time.Millisecond
	// paceIdle is the time without a request that had to wait for the pace after which it ends.
	paceIdle = 2 * time.Second
	// lateRatio is the mean ratio of the waits at the engines to the limit of the class from which
	// the pace falls. It is above 1 because urgent requests that arrive later are processed first.
	// Below growRatio, the pace rises; the gap between them keeps it from swinging.
	lateRatio = 1.2
	growRatio = 0.7
	// lateRatioWithoutQueues replaces lateRatio while the estimates show no queues at the engines. First
	// bytes may be late for other reasons then, for example engines that load weights, but the
	// estimates may also be wrong.
	lateRatioWithoutQueues = 2.0
	// maxRatio bounds the ratio of one request, so that one slow or silent engine among several
	// doesn't count as overload.
	maxRatio = 3.0
	// ratioWindow is the time constant of that mean. The first bytes of some requests a second
	// have to be enough.
	ratioWindow = time.Second
	// minAnswers is the number of first bytes, decayed, from which the mean is used.
	minAnswers = 2.0
)

// pace bounds the rate at which a process sends the requests of a class. The estimates of the
// engines' queues are some 0.1 s old, so that all processes together may send more than the
// engines have room for. The pace follows from what the process observes itself: it falls while
// the waits at the engines exceed the limit of the class, and rises while they are shorter.
type pace struct {
	// limited is unset while the engines keep up, when there is no bound.
	limited bool
	// rate is the bound in requests a second.
	rate      float64
	budget    float64
	updatedAt time.Duration
	changedAt time.Duration
	// neededAt is the time at which a request had to wait for the pace.
	neededAt time.Duration
	// queuesSeenUntil is the time until which the estimates count as showing queues at the engines.
	queuesSeenUntil time.Duration

	// loweredAt is the time at which late first bytes lowered the pace.
	loweredAt time.Duration

	// answered measures the first bytes. ratios is the decayed sum of the ratios of answers of them.
	answered        meter
	ratios, answers float64
	observedAt      time.Duration
}

// allow reports whether one more request may be sent.
func (p *pace) allow(now time.Duration) bool {
	if p.limited && now-p.neededAt > paceIdle {
		p.limited = false
	}
	if !p.limited {
		return true
	}
	if now-p.changedAt >= paceInterval && now-p.neededAt < paceInterval {
		p.raise(now)
	}
	p.refill(now)
	if p.budget >= 1 {
		return true
	}
	p.neededAt = now
	return false
}

// raise raises the pace if the waits are short: quickly if they are so short that the engines have
// much room, otherwise no further than the answers show that the engines keep up.
func (p *pace) raise(now time.Duration) {
	switch ratio := p.ratio(now); {
	case ratio >= growRatio:
		return
	case ratio < growRatio/2:
		p.rate *= paceRecovery
	default:
		p.rate = max(p.rate, min(paceIncrease*p.rate, maxPaceRatio*p.answered.rate(now)+minPace))
	}
	p.changedAt = now
}

func (p *pace) refill(now time.Duration) {
	p.budget = min(max(1, p.rate*paceBurst.Seconds()), p.budget+p.rate*(now-p.updatedAt).Seconds())
	p.updatedAt = now
}

// take uses the pace for a request that is sent. One sent under the minimum share may use it in
// advance.
func (p *pace) take(now time.Duration) {
	if p.limited {
		p.refill(now)
		p.budget = max(-1, p.budget-1)
	}
}

// begin bounds the pace at the rate at which the process has lately sent requests of the class.
func (p *pace) begin(now time.Duration, sent float64) {
	if !p.limited {
		p.limited, p.rate, p.budget = true, max(minPace, sent), 0
		p.updatedAt, p.neededAt, p.changedAt = now, now, now
	}
}

// recordQueues records that the estimates show queues at all engines that are longer than the limit.
func (p *pace) recordQueues(now time.Duration) { p.queuesSeenUntil = now + paceIdle }

// recordAnswer records the first byte of a response.
func (p *pace) recordAnswer(now time.Duration) { p.answered.add(now, 1) }

// observe records the ratio of the wait at an engine to the limit of the class, for a request that
// was sent at a time. Requests sent before the pace was last lowered say nothing about its present
// value.
func (p *pace) observe(now, sentAt time.Duration, ratio float64) {
	if sentAt < p.loweredAt {
		return
	}
	p.decay(now)
	p.answers++
	p.ratios += max(0, min(maxRatio, ratio))
	if ratio := p.ratio(now); ratio < lateRatio || (ratio < lateRatioWithoutQueues && now > p.queuesSeenUntil) {
		return
	}
	answered := p.answered.rate(now)
	p.begin(now, answered)
	p.rate = max(minPace, paceDecrease*min(p.rate, answered))
	p.changedAt, p.loweredAt = now, now
	p.ratios, p.answers = 0, 0
}

// ratio returns the mean ratio of the latest requests; one at which the pace rises slowly if there
// are too few.
func (p *pace) ratio(now time.Duration) float64 {
	p.decay(now)
	if p.answers < minAnswers {
		return growRatio / 2
	}
	return p.ratios / p.answers
}

func (p *pace) decay(now time.Duration) {
	decay := math.Exp(-float64(now-p.observedAt) / float64(ratioWindow))
	p.ratios, p.answers, p.observedAt = p.ratios*decay, p.answers*decay, now
}
