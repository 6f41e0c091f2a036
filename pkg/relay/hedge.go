package relay

import (
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/hedge"
	"github.com/baobabhub/baobabhub/pkg/quarantine"
)

// hedgeOutcome is what came of a hedge, as the log and the metrics name it.
type hedgeOutcome string

const (
	hedgeWon      hedgeOutcome = "won"
	hedgeLost     hedgeOutcome = "lost"
	hedgeFailed   hedgeOutcome = "failed"
	hedgeTookOver hedgeOutcome = "took_over"
	hedgeEnded    hedgeOutcome = "ended"
)

// hedgeState is the state of the decision on a request's hedge. A hedge is a standby that begins
// before the active attempt's target counts as silent.
type hedgeState struct {
	timer  *time.Timer
	timing hedge.Timing
	// isLast is set once a hedge was refused that may come after the last delay.
	isLast bool
}

func newHedgeState() hedgeState {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return hedgeState{timer: timer}
}

// watchHedge starts the timer for the hedge of the request's first attempt.
func (d *dispatcher) watchHedge() {
	q := d.q
	if q.attempts != 1 || !q.route.Retryable() || q.route.MaxAttempts < 2 {
		return
	}
	timing, ok := q.relay.Hedges.Timing(q.relay.Now(), q.route.Name, q.route.FirstByteObjective, d.active.choice.ExpectedTTFB)
	if ok && timing.Delay < min(firstByteSilence(&q.route), q.remaining()) {
		d.hedge.timing = timing
		d.hedge.timer.Reset(timing.Delay)
	}
}

// beginHedge begins a hedge of the active attempt, if that is still the request's first one without
// a response, and a copy is worth its cost.
func (d *dispatcher) beginHedge() {
	q := d.q
	if d.standby != nil || d.active.number != 1 || d.active.hasEvents {
		return
	}
	waited := q.relay.Now() - d.active.startedAt
	choice, reason := d.chooseHedge(waited)
	d.logHedge(&choice, waited, reason)
	if reason != "" {
		q.relay.instruments.countHedgeRefusal(reason)
		d.watchLastHedge(waited, reason)
		return
	}
	q.relay.instruments.hedgesSent.Inc(1)
	d.standby = q.beginAttempt(d.ctx, choice)
	d.standby.hedgedAfter = waited
}

// watchLastHedge starts the timer for another decision on the hedge if one was refused for a reason
// that may pass.
func (d *dispatcher) watchLastHedge(waited time.Duration, reason string) {
	last := d.hedge.timing.LastDelay
	if d.hedge.isLast || !hedge.MayComeLater(reason) || last >= firstByteSilence(&d.q.route) {
		return
	}
	d.hedge.isLast = true
	d.hedge.timer.Reset(last - waited)
}

// chooseHedge chooses the target of a hedge and consumes a hedge of the budget, or returns why
// there is none.
func (d *dispatcher) chooseHedge(waited time.Duration) (choice balance.Choice, reason string) {
	q, policy := d.q, d.q.relay.Hedges
	switch {
	case q.r.Context().Err() != nil, q.callerConnClosed():
		return choice, "caller_left"
	case q.isSuspected(), q.trialOf != (quarantine.Suspect{}):
		return choice, "suspected_of_crashes"
	case policy.IsOverloaded(q.relay.Now(), q.service):
		return choice, hedge.ReasonOverload
	}
	d.excluded[d.active.choice.Target.ID] = true
	req := q.balanceRequest()
	req.Excluded, req.ExcludeLimited = d.excluded, true
	choice, refusal := q.chooseFor(req)
	switch {
	case refusal != nil && refusal.reason == balance.ReasonLimited:
		return choice, hedge.ReasonOverload
	case refusal != nil:
		return choice, refusal.reason
	}
	if reason = d.hedge.timing.Refusal(q.describeCopy(&choice, waited)); reason != "" {
		return choice, reason
	}
	return choice, policy.Take(q.relay.Now(), q.route.Name, q.service, d.hedge.isLast, func() bool {
		return q.relay.Retries.TryHedge(q.service, q.relay.Processes())
	})
}

func (q *request) describeCopy(choice *balance.Choice, waited time.Duration) *hedge.Copy {
	c := &hedge.Copy{Waited: waited, Remaining: q.remaining(), Expected: choice.ExpectedTTFB}
	if choice.PrefillTokens > 0 {
		c.RecomputedShare = min(1, float64(choice.RecomputedTokens)/choice.PrefillTokens)
	}
	return c
}

func (d *dispatcher) logHedge(choice *balance.Choice, waited time.Duration, reason string) {
	q, timing := d.q, &d.hedge.timing
	target := choice.Target.ID
	if reason != "" {
		target = ""
	}
	q.relay.Log.Log(eventlog.HedgeDecided, "request_id", q.meta.ID, "route", q.route.Name, "try", d.active.number,
		"target", d.active.choice.Target.ID, "hedge", target, "reason", reason, "waited_ms", waited.Milliseconds(),
		"delay_ms", timing.Delay.Milliseconds(), "last_delay_ms", timing.LastDelay.Milliseconds(), "last", d.hedge.isLast, "quantile", timing.Quantile, "by_expectation", timing.ByExpectation,
		"expected_ms", d.active.choice.ExpectedTTFB.Milliseconds(), "hedge_expected_ms", choice.ExpectedTTFB.Milliseconds(),
		"left_ms", q.remaining().Milliseconds())
}

// endHedge logs and counts what came of a standby that began as a hedge. Further calls for the same
// attempt have no effect.
func (d *dispatcher) endHedge(a *attempt, outcome hedgeOutcome) {
	if a.hedgedAfter == 0 {
		return
	}
	q, waited := d.q, a.hedgedAfter
	a.hedgedAfter = 0
	took := q.relay.Now() - a.startedAt
	saved := time.Duration(0)
	if outcome == hedgeWon {
		saved = max(0, min(2*waited, firstByteSilence(&q.route)+took)-waited-took)
		q.relay.instruments.hedgeSaved.RecordDuration(saved)
	}
	q.relay.instruments.hedges[outcome].Inc(1)
	if outcome != hedgeEnded {
		q.relay.Hedges.RecordEnd(q.relay.Now(), q.route.Name, outcome == hedgeWon || outcome == hedgeTookOver)
	}
	q.relay.Log.Log(eventlog.HedgeEnded, "request_id", q.meta.ID, "route", q.route.Name, "try", a.number, "target", a.choice.Target.ID,
		"outcome", string(outcome), "waited_ms", waited.Milliseconds(), "took_ms", took.Milliseconds(), "saved_ms", saved.Milliseconds())
}

// replacedReason returns why an attempt is cancelled whose standby responded first. It counts as a
// failure of the target only if the silence timeout had passed.
func (a *attempt) replacedReason() error {
	if a.silences == 0 {
		return errSuperseded
	}
	return errTargetSilent
}

// recordFirstEvent records the time to a stream's first event for the decisions on hedges.
func (d *dispatcher) recordFirstEvent(a *attempt) {
	if q := d.q; a.number == 1 {
		q.relay.Hedges.RecordTime(a.firstEventAt, q.route.Name, a.firstEventAt-a.startedAt, a.choice.ExpectedTTFB)
	}
}

// recordTime records the time of an ended attempt for the decisions on hedges. Only first attempts
// count: a later one that ended first says nothing of the others.
func (q *request) recordTime(a *attempt, result outcome) {
	if a.number != 1 || a.hasEvents || !q.route.Retryable() {
		return
	}
	now := q.relay.Now()
	replaced := result == superseded || errors.Is(a.endedBy, errTargetSilent)
	switch {
	case result == completed && q.route.Kind != fleet.Stream:
		q.relay.Hedges.RecordTime(now, q.route.Name, now-a.startedAt, a.choice.ExpectedTTFB)
	case replaced || result == deadlineExceeded:
		q.relay.Hedges.RecordAtLeast(now, q.route.Name, now-a.startedAt, a.choice.ExpectedTTFB)
	}
}

// reportLoad reports what a response says of its target's load to the decisions on hedges. A
// misdirected request was not refused for load.
func (q *request) reportLoad(a *attempt) {
	meta := &a.responseMeta
	if meta.InstanceMismatch {
		return
	}
	load := meta.Load
	q.relay.Hedges.RecordReport(q.relay.Now(), q.service, hedge.Report{
		Queued:   meta.HasLoad && (load.Waiting > 0 || load.Running > load.Slots),
		Rejected: meta.NotRun && a.exchange.Response.StatusCode != http.StatusMisdirectedRequest,
		Limited:  meta.Limit.Named || meta.Pause > 0,
	})
}
