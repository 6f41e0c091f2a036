package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// finalResponseLead is how long before the end of the caller's wait the final
	// response is written, so that it still arrives.
	finalResponseLead = 25 * time.Millisecond
	// finalResponseLeadDivisor limits that lead to a tenth of the caller's wait.
	finalResponseLeadDivisor = 10
)

// dispatcher runs the attempts of one request. Only the goroutine of the request's
// handler uses it.
//
// At most two attempts run at a time: the active one, whose response goes to the
// caller, and a standby, which begins when the active one's target is silent, or
// earlier as a hedge when its response is later than it should be. A silent target may be healthy, so its attempt is cancelled only when the standby has
// a response. If the active attempt's response continues first, the standby is
// cancelled. The target of the cancelled attempt is then the spare target: it counts
// against the route's attempts already, so that it may receive the request again.
type dispatcher struct {
	q   *request
	ctx context.Context
	// excluded holds the IDs of the targets that may not be chosen again.
	excluded map[string]bool
	// countedAttempts is the number of attempts that have ended and count against
	// the route's attempts.
	countedAttempts int
	uncounted       uncountedAttempts
	// active is nil once the request has its final response.
	active  *attempt
	standby *attempt
	// runs holds how often each target may have run the request, by the IDs of those that count
	// against the route's attempts. The request may be sent to them again.
	runs map[string]int
	// continuations is the number of times that a begun stream was sent once more to one of them,
	// after the route's attempts.
	continuations int
	// allowed, if not nil, holds the IDs of the only targets that may be chosen next.
	allowed map[string]bool
	// spareTarget is the target of the latest attempt that was cancelled because the
	// other one had a response first, or of a standby that failed or was rejected.
	spareTarget string
	// silence fires when the active attempt's target has been silent for too long.
	silence *time.Timer
	hedge   hedgeState
	// callerLeaves fires shortly before the caller stops waiting.
	callerLeaves *time.Timer
	controller   *http.ResponseController
}

// sendWithRetries sends the request until an attempt yields the final response
// or no further attempt is allowed.
func (q *request) sendWithRetries(ctx context.Context) {
	q.relay.Retries.RecordRequest(q.service, q.relay.Processes())
	q.relay.Hedges.RecordRequest(q.relay.Now(), q.service, q.relay.Processes())
	d := &dispatcher{
		q: q, ctx: ctx, excluded: map[string]bool{}, runs: map[string]int{},
		silence: time.NewTimer(time.Hour), hedge: newHedgeState(), callerLeaves: time.NewTimer(q.untilCallerLeaves()),
		controller: http.NewResponseController(q.w),
	}
	// A handler that can't complete a response panics, so deferred calls end the
	// attempts and release their buffers.
	defer q.releaseBuffers()
	defer q.returnTrial()
	defer d.close()
	d.silence.Stop()
	d.begin()
	for d.active != nil {
		d.next()
	}
}

// next handles the next event of the request's attempts.
func (d *dispatcher) next() {
	var standbyEvents <-chan []byte
	if d.standby != nil {
		standbyEvents = d.standby.events
	}
	select {
	case events, ok := <-d.active.events:
		if ok {
			d.relayEvents(events)
			return
		}
		d.handleEnd()
	case events, ok := <-standbyEvents:
		if ok {
			d.promoteStandby()
			d.relayEvents(events)
			return
		}
		d.handleStandbyEnd()
	case <-d.silence.C:
		d.handleSilence()
	case <-d.hedge.timer.C:
		d.beginHedge()
	case <-d.callerLeaves.C:
		d.answerBeforeCallerLeaves()
	}
}

// untilCallerLeaves returns the time until the final response has to be written for
// a caller that stops waiting at its own deadline.
func (q *request) untilCallerLeaves() time.Duration {
	wait := q.meta.Deadline
	if wait <= 0 {
		return q.remaining() + 2*deadlineGrace
	}
	return q.startedAt + wait - min(finalResponseLead, wait/finalResponseLeadDivisor) - q.relay.Now()
}

// answerBeforeCallerLeaves ends a request whose response has not begun. A begun
// stream goes on, since nothing else can be written to its caller.
func (d *dispatcher) answerBeforeCallerLeaves() {
	if d.q.wroteHeader {
		return
	}
	d.dropStandby()
	a := d.active
	a.abandon(errDeadlineExceeded)
	switch result := d.conclude(a); {
	case result == callerDisconnected:
		d.q.handleDisconnect(a)
	case result == completed && d.q.route.Kind != fleet.Stream:
		d.deliver(a)
	case result == notRun, result == targetError:
		d.finish(a, result)
	default:
		d.finish(a, deadlineExceeded)
	}
}

// close ends the attempts that are still running.
func (d *dispatcher) close() {
	d.silence.Stop()
	d.hedge.timer.Stop()
	d.callerLeaves.Stop()
	for _, a := range []*attempt{d.active, d.standby} {
		if a == nil {
			continue
		}
		a.abandon(errSuperseded)
		d.q.endTracked(a, balance.Cancelled)
		d.q.endVersion(a, canary.NoEvidence)
	}
}

// begin starts the next attempt, or refuses the request if no target can be chosen.
func (d *dispatcher) begin() {
	q := d.q
	d.active = nil
	if q.callerConnClosed() {
		q.handleDisconnect(&attempt{})
	}
	if q.isTooLate() {
		q.refuse(*stoppingRefusal())
		return
	}
	choice, refusal := q.chooseWithCapacity(d.ctx, d.excluded, d.allowed)
	for refusal != nil && !refusal.permanent && d.mayChooseLater() && q.waitForTarget(d.ctx) {
		// A target that failed before may continue the stream now.
		clear(d.excluded)
		if d.allowed != nil {
			d.allowed = d.repeatTargets()
		}
		choice, refusal = q.chooseTarget(d.excluded, d.allowed)
	}
	if refusal != nil {
		q.refuse(*refusal)
		return
	}
	d.active = q.beginAttempt(d.ctx, choice)
	d.watchSilence()
	d.watchHedge()
}

// relayEvents writes complete events of the active attempt to the caller. The
// standby is no longer needed then.
func (d *dispatcher) relayEvents(events []byte) {
	d.dropStandby()
	a := d.active
	if !a.hasEvents {
		a.hasEvents, a.firstEventAt = true, d.q.relay.Now()
		d.recordFirstEvent(a)
	}
	a.silences = 0
	if !d.q.writeEvents(a, d.controller, events) {
		d.disconnect(a)
	}
	d.watchSilence()
}

// conclude records how an attempt has ended and returns its outcome.
func (d *dispatcher) conclude(a *attempt) outcome {
	q := d.q
	if a.panicErr != nil {
		q.endTracked(a, balance.Failed)
		q.endVersion(a, canary.NoEvidence)
		panic(a.panicErr)
	}
	a.endedBy = q.endReason(a.ctx)
	result := a.result
	if result != completed {
		result = q.classifyOutcome(d.ctx, a, result)
		q.logFailure(a, result)
	}
	q.reportCrashEvidence(a, result)
	q.recordTime(a, result)
	a.cancel(nil)
	q.endTracked(a, balanceResult(result))
	q.endVersion(a, q.versionResult(a, result))
	q.lastTarget = a.choice.Target.ID
	q.mayHaveRun = q.mayHaveRun || result.mayHaveRun(a)
	return result
}

// countAttempt records an ended attempt. One that did not reach its target doesn't
// count against the route's attempts.
func (d *dispatcher) countAttempt(a *attempt, result outcome) {
	target := a.choice.Target.ID
	switch {
	case result == staleWeights:
		// The target becomes a candidate again, since the next attempt can expect the
		// version that it has.
		delete(d.excluded, target)
		d.uncounted.record(result)
	case result == notSent, result == addressReused:
		d.excluded[target] = true
		d.uncounted.record(result)
	case result == superseded && !a.sent:
		// The connection to the target had not been established.
	default:
		d.countedAttempts++
		d.recordRun(target, result)
		d.excluded[target] = true
	}
}

// handleEnd handles the end of the active attempt.
func (d *dispatcher) handleEnd() {
	a := d.active
	result := d.conclude(a)
	switch {
	case result == completed:
		d.dropStandby()
		d.deliver(a)
	case result == callerDisconnected:
		d.dropStandby()
		d.q.handleDisconnect(a)
	case result == deadlineExceeded:
		d.dropStandby()
		d.finish(a, result)
	case d.standby != nil:
		d.countAttempt(a, result)
		d.endHedge(d.standby, hedgeTookOver)
		d.active, d.standby = d.standby, nil
		d.watchSilence()
	default:
		d.retryOrFinish(a, result)
	}
}

// retryOrFinish starts another attempt after a failed one, or ends the request.
func (d *dispatcher) retryOrFinish(a *attempt, result outcome) {
	q := d.q
	d.countAttempt(a, result)
	reason, unreached := unreachedReasons[result]
	switch {
	case q.isFinal:
		d.finish(a, result)
	case unreached && d.uncounted.allowNext(result, q.tryRetry):
		d.begin()
	case unreached && q.waitForTarget(d.ctx) && (result == notSent || q.takeRetry(d.ctx)):
		// The caller of a begun stream can't be told to come back.
		d.uncounted = uncountedAttempts{}
		clear(d.excluded)
		d.begin()
	case unreached:
		d.active = nil
		q.refuse(q.notRunRefusal(reason))
	case q.takeResend(d.ctx, result, d.countedAttempts):
		d.begin()
	case d.repeatTargets()[d.spareTarget] && q.takeRepeat(d.ctx):
		d.allowed = map[string]bool{d.spareTarget: true}
		d.spareTarget = ""
		d.begin()
	case q.waitToAskAgain(d.ctx, result):
		d.allowed = map[string]bool{a.choice.Target.ID: true}
		d.begin()
	case len(d.repeatTargets()) > 0 && q.waitToContinue(d.ctx, d.continuations):
		d.continuations++
		d.allowed = d.repeatTargets()
		d.begin()
	default:
		d.finish(a, result)
	}
}

// finish ends the request after its last attempt.
func (d *dispatcher) finish(a *attempt, result outcome) {
	d.active = nil
	d.q.finish(a, result)
}

// deliver writes the rest of a complete response to the caller.
func (d *dispatcher) deliver(a *attempt) {
	q := d.q
	if q.route.Kind != fleet.Stream {
		q.firstByte = q.relay.Now()
		q.writeBuffered(a, a.body)
	} else if !q.finishStream(a, d.controller) {
		d.disconnect(a)
	}
	d.active = nil
}

// disconnect ends the request of a caller that can't be written to.
func (d *dispatcher) disconnect(a *attempt) {
	q := d.q
	a.abandon(errCallerLeft)
	a.endedBy = errCallerLeft
	q.mayHaveRun = true
	q.logFailure(a, callerDisconnected)
	q.endTracked(a, balance.Cancelled)
	q.endVersion(a, canary.NoEvidence)
	q.handleDisconnect(a)
}
