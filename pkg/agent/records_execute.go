package agent

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/idempotency/store"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

const (
	// maxOnceTargets bounds the targets that one call is offered to.
	maxOnceTargets = 3
	// notOpenRetryAfter is when a slot whose records load may be asked again.
	notOpenRetryAfter = 100 * time.Millisecond
)

// Execute implements the peer protocol: it runs a call at most once for its
// client account, route and idempotency key.
func (a *Agent) Execute(ctx context.Context, req *peerpb.ExecuteRequest) (*peerpb.ExecuteReply, error) {
	reply := &peerpb.ExecuteReply{Origin: a.origin()}
	select {
	case a.records.calls <- struct{}{}:
		defer func() { <-a.records.calls }()
	default:
		reply.Refusal = peer.ToRefusal(outcome.NotRunRetryAfter(outcome.CodeOverloaded, serviceRetryAfter,
			"the slot's owner is busy"))
		return reply, nil
	}
	slot, window, refusal := a.admitOnce(req)
	if refusal != nil {
		reply.Refusal = peer.ToRefusal(refusal)
		return reply, nil
	}
	send := &onceSend{agent: a, req: req}
	result := slot.Execute(ctx, store.Call{
		RequestID:      req.Call.RequestId,
		Account:        req.Call.Account,
		Route:          req.Call.Route,
		IdempotencyKey: req.IdempotencyKey,
		RequestHash:    idempotency.RequestHash(req.Call.Method, req.Call.Path, req.Call.Body),
		Window:         window,
		Timeout:        time.Duration(req.Call.TimeoutMs) * time.Millisecond,
	}, send.run)
	reply.Refusal = peer.ToRefusal(result.Refusal)
	if result.Refusal == nil {
		reply.Answer = answerMessage(result.Answer)
		reply.Replayed = result.Replayed
		reply.TargetVmId = send.targetVM
	}
	return reply, nil
}

// admitOnce checks a call before anything is kept of it. All its refusals are
// of this attempt, which was not sent.
func (a *Agent) admitOnce(req *peerpb.ExecuteRequest) (*store.Slot, time.Duration, *outcome.Refusal) {
	call := req.GetCall()
	if call == nil || req.IdempotencyKey == "" {
		return nil, 0, outcome.NotRun(outcome.CodeInvalidRequest, "the call has no idempotency key")
	}
	// The place among the calls is taken before the look at the stop, so that
	// a drain that begins in between waits for this call.
	if a.leaving.Load() {
		return nil, 0, outcome.NotRunRetryAfter(outcome.CodeNotOwner, notOpenRetryAfter, "the slot's owner is leaving")
	}
	count := uint32(a.ledgers.slotCount)
	hash := idempotency.KeyHash(call.Account, call.Route, req.IdempotencyKey)
	if count == 0 || idempotency.SlotOf(hash, count) != req.Slot {
		return nil, 0, outcome.NotRun(outcome.CodeNotOwner, "the key does not belong to the slot")
	}
	route, refusal := a.onceRoute(call)
	if refusal != nil {
		return nil, 0, refusal
	}
	epoch, held := a.holds(req.Slot)
	if !held || req.Epoch > epoch {
		return nil, 0, outcome.NotRunRetryAfter(outcome.CodeNotOwner, notOpenRetryAfter, "another agent owns the call's slot")
	}
	slot := a.records.find(req.Slot, epoch)
	if slot == nil {
		return nil, 0, outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, notOpenRetryAfter,
			"the slot's idempotency records are being loaded")
	}
	return slot, time.Duration(route.IdempotencyWindow), nil
}

// onceRoute returns the call's route in the bundle in force and checks that
// the caller's key is still granted.
func (a *Agent) onceRoute(call *peerpb.ServiceCall) (*bundle.Route, *outcome.Refusal) {
	snapshot := a.bundles.Current()
	if snapshot == nil {
		return nil, outcome.NotRunRetryAfter(outcome.CodeNotReady, notOpenRetryAfter, "no bundle is in force yet")
	}
	route := snapshot.Index.Route(call.Route)
	if route == nil || route.Mode != bundle.RouteModeOnce {
		return nil, outcome.NotRun(outcome.CodeUnknownRoute, "no at-most-once route has this name")
	}
	owner := bundle.KeyOwner{Account: call.Account, KeyID: call.KeyId}
	if (owner != bundle.KeyOwner{} || !route.Open) && !snapshot.Index.KeyActive(owner) {
		return nil, outcome.NotRun(outcome.CodeUnauthorized, "the key was withdrawn")
	}
	if !snapshot.Index.Allowed(route, owner.Account) {
		return nil, outcome.NotRun(outcome.CodeForbidden, "the client account may not use this route")
	}
	return route, nil
}

// onceSend offers one call to its targets. It is used by one attempt.
type onceSend struct {
	agent    *Agent
	req      *peerpb.ExecuteRequest
	targetVM string
}

// run implements store.Send: the next target is asked only after the one
// before has said that it has not run the call and never will.
func (s *onceSend) run(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.agent.work, cancel)()
	last := outcome.NotRunRetryAfter(outcome.CodeNoTarget, serviceRetryAfter, "no target serves the route")
	for i, vm := range s.req.TargetVmIds {
		if i == maxOnceTargets || i >= len(s.req.TargetAddresses) || ctx.Err() != nil {
			break
		}
		answer, refusal := s.call(ctx, vm, s.req.TargetAddresses[i])
		if refusal == nil {
			s.targetVM = vm
			return recordAnswer(answer), outcome.RanYes, nil
		}
		if refusal.Ran != outcome.RanNo {
			return idempotency.Answer{}, refusal.Ran, refusal
		}
		last = refusal
	}
	return idempotency.Answer{}, outcome.RanNo, last
}

// call sends the call to one target. A lost connection leaves the outcome
// unknown, unless the connection was refused before anything was sent.
func (s *onceSend) call(ctx context.Context, vm, address string) (*peerpb.ServiceAnswer, *outcome.Refusal) {
	message := s.message(ctx)
	if vm == s.agent.identity.VM {
		return s.agent.callService(ctx, message)
	}
	peers := s.agent.peers
	reply, err := peers.Agent(ctx, address).CallTarget(ctx, &peerpb.CallTargetRequest{
		Origin: s.agent.origin(), Call: message, Once: true,
	})
	switch {
	case err == nil && reply.Refusal != nil:
		return nil, peer.FromRefusal(reply.Refusal)
	case err == nil && reply.Answer != nil:
		return reply.Answer, nil
	case peer.IsRefused(err):
		return nil, outcome.NotRunRetryAfter(outcome.CodeNoTarget, serviceRetryAfter, "the target's agent can't be reached")
	default:
		peers.Abandon(address)
		return nil, &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown,
			Message: "the target's answer was lost; the call may have run"}
	}
}

// message returns the call with the time that is left.
func (s *onceSend) message(ctx context.Context) *peerpb.ServiceCall {
	call := s.req.Call
	timeoutMs := call.TimeoutMs
	if deadline, ok := ctx.Deadline(); ok {
		timeoutMs = uint32(max(time.Until(deadline), time.Millisecond).Milliseconds())
	}
	return &peerpb.ServiceCall{
		RequestId: call.RequestId, Account: call.Account, KeyId: call.KeyId, Route: call.Route,
		Method: call.Method, Path: call.Path, Headers: call.Headers, Body: call.Body, TimeoutMs: timeoutMs,
	}
}

// recordAnswer converts an answer for the record.
func recordAnswer(answer *peerpb.ServiceAnswer) idempotency.Answer {
	kept := idempotency.Answer{Status: int(answer.Status), Body: answer.Body}
	for _, header := range answer.Headers {
		kept.Headers = append(kept.Headers, idempotency.Header{Name: header.Name, Value: header.Value})
	}
	return kept
}

// answerMessage converts a recorded answer for the wire.
func answerMessage(answer idempotency.Answer) *peerpb.ServiceAnswer {
	message := &peerpb.ServiceAnswer{Status: uint32(answer.Status), Body: answer.Body}
	for _, header := range answer.Headers {
		message.Headers = append(message.Headers, &peerpb.Header{Name: header.Name, Value: header.Value})
	}
	return message
}
