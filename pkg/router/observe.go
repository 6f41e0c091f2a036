package router

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// RequestObservation is the record of one finished request.
type RequestObservation struct {
	RequestID string
	Account   string
	Route     string
	TargetVM  string
	// FirstToken is the time from the request's arrival to its first token, or
	// 0 when there was none.
	FirstToken time.Duration
	Total      time.Duration
	Dispatches int
	Usage      caller.Usage
	// Refusal is nil when the answer was delivered in full.
	Refusal *outcome.Refusal
}

func (c *completion) reportFinished(refusal *outcome.Refusal) {
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

// reportRefused reports a request that was refused before any target was
// selected.
func (r *Router) reportRefused(requestID, account, route string, started time.Time, refusal *outcome.Refusal) {
	r.Observer.ObserveRequest(RequestObservation{
		RequestID: requestID, Account: account, Route: route, Total: time.Since(started), Refusal: refusal,
	})
}

// DecisionObservation is the record of one routing decision.
type DecisionObservation struct {
	Decision schedule.Decision
	// Took is the time from the first probe to the decision.
	Took time.Duration
}

// Observer receives routing decisions and finished requests. Its methods must not
// block.
type Observer interface {
	// ObserveDecision is called after each routing decision.
	ObserveDecision(DecisionObservation)
	// ObserveRequest is called at the end of each request, including refused ones.
	ObserveRequest(RequestObservation)
}

// nopObserver is an Observer that does nothing.
type nopObserver struct{}

func (nopObserver) ObserveDecision(DecisionObservation) {}

func (nopObserver) ObserveRequest(RequestObservation) {}
