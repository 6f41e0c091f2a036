package relay

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// firstByteSilenceFactor is the time without a first byte after which a second
	// attempt of a repeatable request begins, as a multiple of the route's objective.
	firstByteSilenceFactor = 3
	// minFirstByteSilence is the lower bound of that time.
	minFirstByteSilence = 500 * time.Millisecond
	// streamSilence is the time without an event of a resumable stream after which a
	// second attempt begins.
	streamSilence = 1500 * time.Millisecond
	// rejectedStandbyDelay is the delay before another standby begins after a target
	// has rejected one.
	rejectedStandbyDelay = 500 * time.Millisecond
	// silencesBeforeSpare is the number of consecutive silence timeouts of the active
	// attempt after which the spare target is used. The spare target was silent or
	// slower itself, so it is tried later than a new one.
	silencesBeforeSpare = 2
)

// watchSilence restarts the timer for the next bytes of the active attempt. Only
// repeatable requests may have a second attempt, unless their response can't be continued.
func (d *dispatcher) watchSilence() {
	route := &d.q.route
	switch {
	case !route.Retryable(), d.q.isFinal:
		return
	case d.active.hasEvents:
		d.silence.Reset(streamSilence)
	default:
		d.silence.Reset(firstByteSilence(route))
	}
}

// firstByteSilence returns the time without a first byte after which a second attempt begins.
func firstByteSilence(route *fleet.Route) time.Duration {
	return max(minFirstByteSilence, firstByteSilenceFactor*route.FirstByteObjective)
}

// handleSilence handles the silence timeout of the active attempt. A hedge that is running is its
// second attempt already.
func (d *dispatcher) handleSilence() {
	if d.standby == nil {
		d.beginStandby(false)
		return
	}
	d.active.silences++
	d.logSilence(d.standby.choice.Target.ID, "hedged")
}

// beginStandby starts a second attempt at another target, if one is allowed. The
// active attempt goes on. hasRetry is set if a retry of the budget has been consumed
// for it.
func (d *dispatcher) beginStandby(hasRetry bool) {
	q := d.q
	d.active.silences++
	if q.isSuspected() {
		d.logSilence("", "suspected_of_crashes")
		return
	}
	mayBegin, allowed := d.standbyTargets()
	if !mayBegin {
		d.logSilence("", "no_attempts_left")
		return
	}
	if allowed != nil && d.active.silences < silencesBeforeSpare {
		d.watchSilence()
		return
	}
	d.excluded[d.active.choice.Target.ID] = true
	choice, refusal := q.chooseTarget(d.excluded, allowed)
	switch {
	case refusal != nil:
		d.logSilence("", refusal.reason)
		d.watchSilence()
	case !hasRetry && !q.tryRetry():
		d.logSilence("", "retry_budget")
		d.watchSilence()
	default:
		d.logSilence(choice.Target.ID, "")
		d.spareTarget = ""
		d.standby = q.beginAttempt(d.ctx, choice)
	}
}

// standbyTargets reports whether a standby may begin. Once the route's attempts are
// used, it may begin only at the spare target, which allowed then holds.
func (d *dispatcher) standbyTargets() (mayBegin bool, allowed map[string]bool) {
	switch {
	case d.q.remaining() <= 0:
		return false, nil
	case d.countedAttempts+1 < d.q.route.MaxAttempts:
		return true, nil
	case d.spareTarget == "":
		return false, nil
	default:
		return true, map[string]bool{d.spareTarget: true}
	}
}

// logSilence logs that the active attempt's target is silent, and the target of the
// second attempt or the reason why there is none.
func (d *dispatcher) logSilence(standbyTarget, reason string) {
	q := d.q
	q.relay.Log.Log(eventlog.ResponseSilent, "request_id", q.meta.ID, "try", d.active.number, "target", d.active.choice.Target.ID,
		"events", q.eventCount, "took_ms", (q.relay.Now() - d.active.startedAt).Milliseconds(),
		"standby", standbyTarget, "reason", reason, "left_ms", q.remaining().Milliseconds())
}

// dropStandby cancels the standby, since the active attempt's response continues.
func (d *dispatcher) dropStandby() {
	if d.standby == nil {
		return
	}
	a := d.standby
	d.standby = nil
	d.endHedge(a, hedgeLost)
	a.abandon(errSuperseded)
	d.countAttempt(a, d.conclude(a))
	d.keepSpare(a)
}

// promoteStandby makes the standby the active attempt and cancels the silent one.
func (d *dispatcher) promoteStandby() {
	silent := d.active
	d.active, d.standby = d.standby, nil
	d.endHedge(d.active, hedgeWon)
	silent.abandon(silent.replacedReason())
	d.countAttempt(silent, d.conclude(silent))
	d.keepSpare(silent)
}

// keepSpare makes the target of an ended attempt the spare target.
func (d *dispatcher) keepSpare(a *attempt) {
	if a.sent {
		d.spareTarget = a.choice.Target.ID
	}
}

// handleStandbyEnd handles the end of the standby before its first event.
func (d *dispatcher) handleStandbyEnd() {
	a := d.standby
	d.standby = nil
	result := d.conclude(a)
	switch result {
	case completed:
		silent := d.active
		d.active = a
		d.endHedge(a, hedgeWon)
		silent.abandon(silent.replacedReason())
		d.conclude(silent)
		d.deliver(a)
	case callerDisconnected, deadlineExceeded:
		// The active attempt ends for the same reason.
		d.endHedge(a, hedgeEnded)
	case notRun:
		d.endHedge(a, hedgeFailed)
		d.countAttempt(a, result)
		d.keepSpare(a)
		if d.active.silences == 0 {
			return
		}
		// Its target is the spare one now, and may be used at the next timeout.
		d.active.silences = silencesBeforeSpare
		d.silence.Reset(rejectedStandbyDelay)
	default:
		d.endHedge(a, hedgeFailed)
		d.countAttempt(a, result)
		if d.active.silences == 0 {
			// The target isn't silent yet: a failed hedge waits for that like any request.
			d.keepSpare(a)
			return
		}
		d.replaceStandby(a, result)
	}
}

// replaceStandby begins another standby after a failed one, or waits for the next
// silence timeout.
func (d *dispatcher) replaceStandby(a *attempt, result outcome) {
	_, unreached := unreachedReasons[result]
	switch {
	case unreached && d.uncounted.allowNext(result, d.q.tryRetry):
		// The retry of an attempt that reached no target is left for the next one.
		d.beginStandby(true)
	case !unreached && d.countedAttempts+1 < d.q.route.MaxAttempts:
		d.beginStandby(false)
	default:
		d.keepSpare(a)
		d.watchSilence()
	}
}
