package router

import (
	"context"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/admission"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// Complete implements caller.Backend.
func (r *Router) Complete(ctx context.Context, request caller.CompletionRequest, sink caller.Sink) *outcome.Refusal {
	started := time.Now()
	p, refusal := r.plan(request)
	if refusal != nil {
		r.reportRefused(request.RequestID, "", "", started, refusal)
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.route.Timeout))
	defer cancel()
	reservation, refusal := r.Admission.Reserve(ctx, admission.Request{
		RequestID:          request.RequestID,
		Account:            p.owner.Account,
		Tokens:             p.reservationTokens(),
		ReservationTimeout: time.Duration(p.route.Timeout),
	})
	if refusal != nil {
		r.reportRefused(request.RequestID, p.owner.Account, p.route.Name, started, refusal)
		return refusal
	}
	r.retries.OnRequest(started)
	c := newCompletion(r, p, sink, started)
	refusal = c.run(ctx)
	reservation.Settle(c.chargedTokens(refusal))
	c.reportFinished(refusal)
	return refusal
}

// completion is one completion request in progress, over all its dispatches.
type completion struct {
	router  *Router
	plan    *plan
	query   *schedule.Query
	sink    caller.Sink
	started time.Time

	// dispatches is the number of attempts so far, and the number of the
	// current one.
	dispatches int
	// answer is the text delivered to the caller so far; answerTokens is its
	// token count.
	answer       []byte
	answerTokens int
	firstTokenAt time.Time
	usage        caller.Usage
	servedBy     string
	// ran is the combined result of the attempts so far: RanYes outweighs
	// RanUnknown, which outweighs RanNo.
	ran outcome.Ran
}

func newCompletion(r *Router, p *plan, sink caller.Sink, started time.Time) *completion {
	return &completion{router: r, plan: p, query: p.query(), sink: sink, started: started}
}

// run dispatches the request until it is answered in full or no further attempt
// is allowed.
func (c *completion) run(ctx context.Context) *outcome.Refusal {
	lastRefusal := outcome.NotRunRetryAfter(outcome.CodeNoTarget, noTargetRetryAfter, "no target can serve the request")
	for c.dispatches < c.router.Options.MaxDispatches {
		decision := c.decideWithRetries(ctx)
		if len(decision.Choices) == 0 {
			final := c.finalRefusal(ctx, lastRefusal)
			c.router.Log.Log(eventlog.RoutingRefused, append(decision.LogFields(0),
				"code", final.Code, "retry_after_ms", final.RetryAfter.Milliseconds())...)
			return final
		}
		for choiceIndex := range decision.Choices {
			choice, _ := decision.Choice(choiceIndex)
			refusal := c.dispatch(ctx, choice)
			if refusal == nil {
				return nil
			}
			lastRefusal = refusal
			if !c.mayRetry(ctx, refusal) {
				return c.finalRefusal(ctx, lastRefusal)
			}
			c.router.Log.Log(eventlog.RoutingRetried, "request_id", c.plan.request.RequestID,
				"try", c.dispatches, "target", choice.Candidate.Target.VMID, "code", refusal.Code)
			if c.dispatches >= c.router.Options.MaxDispatches || c.answerTokens > 0 {
				// Part of the answer has been generated, so the remaining choices,
				// which depend on the earlier probe results, are out of date.
				break
			}
		}
	}
	return c.finalRefusal(ctx, lastRefusal)
}

// Limits on repeated routing decisions for one dispatch.
const (
	maxDecisions       = 3
	decisionRetryDelay = 10 * time.Millisecond
)

// decideWithRetries makes a routing decision and repeats it while it is
// inconclusive: stopping targets answer their probes first, so the probe window
// can close just before the answer of a target that can serve the request.
func (c *completion) decideWithRetries(ctx context.Context) schedule.Decision {
	decision := c.decide(ctx)
	for retry := 1; retry < maxDecisions && c.isInconclusive(&decision); retry++ {
		if !c.router.retries.TryRetry(time.Now()) || !clock.Sleep(ctx, time.Duration(retry)*decisionRetryDelay) {
			break
		}
		decision = c.decide(ctx)
	}
	return decision
}

// isInconclusive reports whether the decision has no choice but excluded at least
// one target only for its state or because its probe went unanswered.
func (c *completion) isInconclusive(decision *schedule.Decision) bool {
	return len(decision.Choices) == 0 && slices.ContainsFunc(decision.Others, func(other schedule.ScoredCandidate) bool {
		return other.Rejection == schedule.RejectNoAnswer || other.Rejection == schedule.RejectState
	})
}

// noTargetRetryAfter is the Retry-After time of a request that no target served.
const noTargetRetryAfter = time.Second

// mayRetry reports whether the request may be sent to another target.
func (c *completion) mayRetry(ctx context.Context, refusal *outcome.Refusal) bool {
	if ctx.Err() != nil || refusal.Code == outcome.CodeCancelled || refusal.Code == outcome.CodeUnauthorized {
		return false
	}
	if refusal.Code == outcome.CodeLeaving {
		// A planned stop must not fail any request. These retries bypass the
		// retry budget: the directory records that the target is leaving, which
		// is final for its boot, so they can't build up to a retry storm.
		return true
	}
	if c.router.retries.TryRetry(time.Now()) {
		return true
	}
	c.router.Log.Log(eventlog.RetryBudgetSpent, "request_id", c.plan.request.RequestID,
		"try", c.dispatches, "code", refusal.Code)
	return false
}

// finalRefusal returns the outcome of the request as a whole, given the refusal
// of its last attempt.
func (c *completion) finalRefusal(ctx context.Context, lastRefusal *outcome.Refusal) *outcome.Refusal {
	final := *lastRefusal
	if c.ran > final.Ran || c.ran == outcome.RanYes {
		final.Ran = c.ran
	}
	if ctx.Err() != nil {
		final.Code, final.Message = contextRefusal(ctx)
	}
	if final.RetryAfter == 0 && final.Ran == outcome.RanNo {
		final.RetryAfter = noTargetRetryAfter
	}
	if c.answerTokens > 0 {
		c.router.Log.Log(eventlog.AnswerBroken, "request_id", c.plan.request.RequestID,
			"code", final.Code, "message", final.Message)
	}
	return &final
}

func contextRefusal(ctx context.Context) (outcome.Code, string) {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.CodeTimeout, "the request's time is over"
	}
	return outcome.CodeCancelled, "the caller left"
}

// chargedTokens returns the number of tokens that the request is charged. A failed
// request that may have run is charged its full reservation, since the target
// reported no usage for it.
func (c *completion) chargedTokens(refusal *outcome.Refusal) int {
	switch {
	case refusal == nil:
		return c.usage.PromptTokens + c.usage.CompletionTokens
	case refusal.Ran == outcome.RanNo:
		return 0
	default:
		return c.plan.reservationTokens()
	}
}
