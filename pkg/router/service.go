package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/baobabhub/baobabhub/pkg/admission"
	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// maxServiceAttempts bounds the number of targets that one idempotent call is sent
// to.
const maxServiceAttempts = 3

// forwardedHeaders lists the request headers that are forwarded to plain
// services. The caller's API key is not forwarded.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type", "If-Match", "If-None-Match"}

// Call implements caller.Backend.
func (r *Router) Call(ctx context.Context, call caller.ServiceCall) (caller.ServiceAnswer, *outcome.Refusal) {
	started := time.Now()
	route, owner, refusal := r.serviceRoute(call)
	if refusal != nil {
		r.reportRefused(call.RequestID, "", "", started, refusal)
		return caller.ServiceAnswer{}, refusal
	}
	answer, refusal := r.admitAndCall(ctx, call, route, owner)
	r.Observer.ObserveRequest(RequestObservation{
		RequestID: call.RequestID, Account: owner.Account, Route: route.Name, TargetVM: answer.TargetVM,
		Total: time.Since(started), Refusal: refusal,
	})
	return answer, refusal
}

// serviceRoute returns a call's route and the owner of its key.
func (r *Router) serviceRoute(call caller.ServiceCall) (*bundle.Route, bundle.KeyOwner, *outcome.Refusal) {
	snapshot := r.Bundles.Current()
	if snapshot == nil {
		return nil, bundle.KeyOwner{}, notReadyRefusal()
	}
	route := snapshot.Index.RouteByPath(stripQuery(call.Path))
	if route == nil {
		return nil, bundle.KeyOwner{}, outcome.NotRun(outcome.CodeUnknownRoute, "no route has this path")
	}
	owner, refusal := authorize(snapshot.Index, call.APIKey, route)
	return route, owner, refusal
}

func (r *Router) admitAndCall(ctx context.Context, call caller.ServiceCall, route *bundle.Route, owner bundle.KeyOwner) (caller.ServiceAnswer, *outcome.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(route.Timeout))
	defer cancel()
	reservation, refusal := r.Admission.Reserve(ctx, admission.Request{
		RequestID:          call.RequestID,
		Account:            owner.Account,
		Tokens:             int(route.CostTokens),
		ReservationTimeout: time.Duration(route.Timeout),
	})
	if refusal != nil {
		return caller.ServiceAnswer{}, refusal
	}
	s := &serviceCall{router: r, route: route, owner: owner, message: newServiceMessage(call, owner, route), idempotencyKey: call.IdempotencyKey}
	answer, refusal := s.run(ctx)
	if refusal != nil && refusal.Ran == outcome.RanNo {
		reservation.Settle(0)
	} else {
		reservation.Settle(int(route.CostTokens))
	}
	return answer, refusal
}

// stripQuery returns the path without its query string.
func stripQuery(path string) string {
	for i := range len(path) {
		if path[i] == '?' {
			return path[:i]
		}
	}
	return path
}

func newServiceMessage(call caller.ServiceCall, owner bundle.KeyOwner, route *bundle.Route) *peerpb.ServiceCall {
	return &peerpb.ServiceCall{
		RequestId: call.RequestID,
		Account:   owner.Account,
		KeyId:     owner.KeyID,
		Route:     route.Name,
		Method:    call.Method,
		Path:      call.Path,
		Headers:   peer.ToHeaders(call.Header, forwardedHeaders),
		Body:      call.Body,
		TimeoutMs: uint32(time.Duration(route.Timeout).Milliseconds()),
	}
}

// serviceCall is one call to a plain service in progress.
type serviceCall struct {
	router         *Router
	route          *bundle.Route
	owner          bundle.KeyOwner
	message        *peerpb.ServiceCall
	idempotencyKey string
}

func (s *serviceCall) run(ctx context.Context) (caller.ServiceAnswer, *outcome.Refusal) {
	if s.route.Mode == bundle.RouteModeOnce {
		return s.runAtMostOnce(ctx)
	}
	targets := s.targets()
	if len(targets) == 0 {
		return caller.ServiceAnswer{}, outcome.NotRunRetryAfter(outcome.CodeNoTarget, noTargetRetryAfter,
			"no target serves the route")
	}
	return s.runIdempotent(ctx, targets)
}

// targets returns the live targets of the route's pool, in random order.
func (s *serviceCall) targets() []schedule.Target {
	var targets []schedule.Target
	for _, target := range s.router.Directory.Targets() {
		if target.Pool == s.route.Pool && target.State == schedule.StateLive {
			targets = append(targets, target)
		}
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return targets
}

// runIdempotent tries the targets in order until one answers, within the limit on
// attempts and the retry budget.
func (s *serviceCall) runIdempotent(ctx context.Context, targets []schedule.Target) (caller.ServiceAnswer, *outcome.Refusal) {
	var lastRefusal *outcome.Refusal
	ran := outcome.RanNo
	for attempt, target := range targets[:min(len(targets), maxServiceAttempts)] {
		if attempt > 0 && !s.router.retries.TryRetry(time.Now()) {
			break
		}
		answer, refusal := s.callTarget(ctx, target)
		if refusal == nil {
			return answer, nil
		}
		lastRefusal = refusal
		ran = max(ran, refusal.Ran)
		if ctx.Err() != nil {
			break
		}
	}
	final := *lastRefusal
	final.Ran = ran
	return caller.ServiceAnswer{}, &final
}

func (s *serviceCall) callTarget(ctx context.Context, target schedule.Target) (caller.ServiceAnswer, *outcome.Refusal) {
	reply, err := s.router.Peers.Agent(ctx, target.Address).CallTarget(ctx, &peerpb.CallTargetRequest{
		Origin: s.router.origin(),
		Call:   s.message,
	})
	if err != nil {
		return caller.ServiceAnswer{}, callErrorRefusal(err)
	}
	if reply.Refusal != nil {
		return caller.ServiceAnswer{}, peer.FromRefusal(reply.Refusal)
	}
	return newServiceAnswer(reply.Answer, target.VMID, false), nil
}

// callErrorRefusal returns the refusal for a call that failed without a reply from
// the agent.
func callErrorRefusal(err error) *outcome.Refusal {
	if peer.IsConnectionRefused(err) {
		return outcome.NotRunRetryAfter(outcome.CodeNoTarget, noTargetRetryAfter, "the agent can't be reached")
	}
	return &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown,
		Message: "the answer was lost; the call may have run"}
}

func newServiceAnswer(answer *peerpb.ServiceAnswer, targetVM string, replayed bool) caller.ServiceAnswer {
	return caller.ServiceAnswer{
		Status:   int(answer.Status),
		Header:   peer.FromHeaders(answer.Headers),
		Body:     answer.Body,
		TargetVM: targetVM,
		Replayed: replayed,
	}
}
