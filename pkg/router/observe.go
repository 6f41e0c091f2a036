package router

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// RequestObservation holds the figures of one finished request.
type RequestObservation struct {
	RequestID string
	Account   string
	Route     string
	TargetVM  string
	// FirstToken is the time from the request's arrival to its first token; 0
	// when there was none.
	FirstToken time.Duration
	Total      time.Duration
	Dispatches int
	Usage      caller.Usage
	// Refusal is nil for a whole answer.
	Refusal *outcome.Refusal
}

func (c *completion) observe(refusal *outcome.Refusal) {
	observation := RequestObservation{
		RequestID:  c.plan.request.RequestID,
		Account:    c.plan.owner.Account,
		Route:      c.plan.route.Name,
		TargetVM:   c.servedBy,
		Total:      time.Since(c.started),
		Dispatches: c.dispatches,
		Usage:      c.usage,
		Refusal:    refusal,
	}
	if !c.firstTokenAt.IsZero() {
		observation.FirstToken = c.firstTokenAt.Sub(c.started)
	}
	c.router.Observer.ObserveRequest(observation)
}

// refused tells of a request that no target was asked for.
func (r *Router) refused(requestID, account, route string, started time.Time, refusal *outcome.Refusal) {
	r.Observer.ObserveRequest(RequestObservation{
		RequestID: requestID, Account: account, Route: route, Total: time.Since(started), Refusal: refusal,
	})
}

// DecisionObservation is one routing decision.
type DecisionObservation struct {
	Decision schedule.Decision
	// Took is the time from the first probe to the decision.
	Took time.Duration
}

// Observer takes decisions and the figures of finished requests. It must not
// block.
type Observer interface {
	ObserveDecision(DecisionObservation)
	ObserveRequest(RequestObservation)
}

// noObserver is told and does nothing.
type noObserver struct{}

func (noObserver) Decided(DecisionObservation) {}

func (noObserver) Finished(RequestObservation) {}
