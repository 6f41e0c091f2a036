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
func (r *Router) Complete(ctx context.Context, request caller.Completion, sink caller.Sink) *outcome.Refusal {
	started := time.Now()
	p, refusal := r.plan(request)
	if refusal != nil {
		r.refused(request.RequestID, "", "", started, refusal)
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.route.Timeout))
	defer cancel()
	reservation, refusal := r.Admission.Reserve(ctx, admission.Request{
		RequestID: request.RequestID,
		Account:   p.owner.Account,
		Tokens:    p.reservationTokens(),
		Hold:      time.Duration(p.route.Timeout),
	})
	if refusal != nil {
		r.refused(request.RequestID, p.owner.Account, p.route.Name, started, refusal)
		return refusal
	}
	r.retries.OnRequest(started)
	c := newCompletion(r, p, sink, started)
	refusal = c.run(ctx)
	reservation.Settle(c.usedTokens(refusal))
	c.observe(refusal)
	return refusal
}

// completion is one request on its way through its dispatches.
type completion struct {
	router  *Router
	plan    *plan
	query   *schedule.Query
	sink    caller.Sink
	started time.Time

	// dispatches counts the attempts; it numbers them.
	dispatches int
	// answer is the text delivered so far, with its token count.
	answer       []byte
	answerTokens int
	firstTokenAt time.Time
	usage        caller.Usage
	servedBy     string
	// ran is the strongest word so far on whether the request ran.
	ran outcome.Ran
}

func newCompletion(r *Router, p *plan, sink caller.Sink, started time.Time) *completion {
	return &completion{router: r, plan: p, query: p.query(), sink: sink, started: started}
}

// run dispatches the request until it is answered whole or given up.
func (c *completion) run(ctx context.Context) *outcome.Refusal {
	last := outcome.NotRunRetryAfter(outcome.CodeNoTarget, noTargetRetryAfter, "no target can serve the request")
	for c.dispatches < c.router.Options.MaxDispatches {
		decision := c.decideRepeatedly(ctx)
		if len(decision.Choices) == 0 {
			final := c.giveUp(ctx, last)
			c.router.Log.Log(eventlog.RoutingRefused, append(decision.LogFields(0),
				"code", final.Code, "retry_after_ms", final.RetryAfter.Milliseconds())...)
			return final
		}
		for try := range decision.Choices {
			choice, _ := decision.Choice(try)
			refusal := c.dispatch(ctx, choice)
			if refusal == nil {
				return nil
			}
			last = refusal
			if !c.mayRetry(ctx, refusal) {
				return c.giveUp(ctx, last)
			}
			c.router.Log.Log(eventlog.RoutingRetried, "request_id", c.plan.request.RequestID,
				"try", c.dispatches, "target", choice.Candidate.Target.VMID, "code", refusal.Code)
			if c.dispatches >= c.router.Options.MaxDispatches || c.answerTokens > 0 {
				// Once an answer has run, the picture has changed.
				break
			}
		}
	}
	return c.giveUp(ctx, last)
}

// Bounds of repeated decisions.
const (
	maxDecisions  = 3
	decisionPause = 10 * time.Millisecond
)

// decideRepeatedly decides again when targets are known but none that may serve
// has answered in time: those that are stopping answer first, and the others'
// answers may be a moment late.
func (c *completion) decideRepeatedly(ctx context.Context) schedule.Decision {
	decision := c.decide(ctx)
	for again := 1; again < maxDecisions && c.undecided(&decision); again++ {
		if !c.router.retries.TryRetry(time.Now()) || !clock.Sleep(ctx, time.Duration(again)*decisionPause) {
			break
		}
		decision = c.decide(ctx)
	}
	return decision
}

// undecided says whether a decision without a choice left out a target only for
// its missing answer.
func (c *completion) undecided(decision *schedule.Decision) bool {
	return len(decision.Choices) == 0 && slices.ContainsFunc(decision.Others, func(other schedule.ScoredCandidate) bool {
		return other.Rejection == schedule.RejectNoAnswer || other.Rejection == schedule.RejectState
	})
}

// noTargetRetryAfter is when a request may come back after no target served it.
const noTargetRetryAfter = time.Second

// mayRetry says whether another target may get the request.
func (c *completion) mayRetry(ctx context.Context, refusal *outcome.Refusal) bool {
	if ctx.Err() != nil || refusal.Code == outcome.CodeCancelled || refusal.Code == outcome.CodeUnauthorized {
		return false
	}
	if refusal.Code == outcome.CodeLeaving {
		// A planned stop must fail no request, and leaving is said once for
		// each boot of a target, so that no storm can come of it.
		return true
	}
	if c.router.retries.TryRetry(time.Now()) {
		return true
	}
	c.router.Log.Log(eventlog.RetryBudgetSpent, "request_id", c.plan.request.RequestID,
		"try", c.dispatches, "code", refusal.Code)
	return false
}

// giveUp makes the final refusal: what the request as a whole has come to.
func (c *completion) giveUp(ctx context.Context, last *outcome.Refusal) *outcome.Refusal {
	final := *last
	if c.ran > final.Ran || c.ran == outcome.RanYes {
		final.Ran = c.ran
	}
	if ctx.Err() != nil {
		final.Code, final.Message = contextOutcome(ctx)
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

func contextOutcome(ctx context.Context) (outcome.Code, string) {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.CodeTimeout, "the request's time is over"
	}
	return outcome.CodeCancelled, "the caller left"
}

// usedTokens is what the request is charged. Without the target's own count,
// a request that may have run is charged whole.
func (c *completion) usedTokens(refusal *outcome.Refusal) int {
	switch {
	case refusal == nil:
		return c.usage.PromptTokens + c.usage.CompletionTokens
	case refusal.Ran == outcome.RanNo:
		return 0
	default:
		return c.plan.reservationTokens()
	}
}
