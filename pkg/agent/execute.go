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
	// maxOnceTargets limits the number of targets tried for one call.
	maxOnceTargets = 3
	// slotRetryAfter is the retry delay for a call whose slot changes owners, whose
	// records are being loaded, or that arrives before the first bundle.
	slotRetryAfter = 100 * time.Millisecond
)

// Execute implements the peer protocol. It runs a call at most once for its client
// account, route and idempotency key.
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
	sender := &onceSender{agent: a, req: req}
	result := slot.Execute(ctx, store.Call{
		RequestID:      req.Call.RequestId,
		Account:        req.Call.Account,
		Route:          req.Call.Route,
		IdempotencyKey: req.IdempotencyKey,
		RequestHash:    idempotency.RequestHash(req.Call.Method, req.Call.Path, req.Call.Body),
		Window:         window,
		Timeout:        time.Duration(req.Call.TimeoutMs) * time.Millisecond,
	}, sender.run)
	reply.Refusal = peer.ToRefusal(result.Refusal)
	if result.Refusal == nil {
		reply.Answer = toServiceAnswerMessage(result.Answer)
		reply.Replayed = result.Replayed
		reply.TargetVmId = sender.targetVM
	}
	return reply, nil
}

// admitOnce validates a call before any record of it is written. Its refusals
// concern only this attempt, which has not been sent.
func (a *Agent) admitOnce(req *peerpb.ExecuteRequest) (*store.Slot, time.Duration, *outcome.Refusal) {
	call := req.GetCall()
	if call == nil || req.IdempotencyKey == "" {
		return nil, 0, outcome.NotRun(outcome.CodeInvalidRequest, "the call has no idempotency key")
	}
	// The semaphore is acquired before leaving is checked, so that a drain that
	// starts in between waits for this call.
	if a.leaving.Load() {
		return nil, 0, outcome.NotRunRetryAfter(outcome.CodeNotOwner, slotRetryAfter, "the slot's owner is leaving")
	}
	slotCount := uint32(a.ledgers.slotCount)
	hash := idempotency.KeyHash(call.Account, call.Route, req.IdempotencyKey)
	if slotCount == 0 || idempotency.SlotOf(hash, slotCount) != req.Slot {
		return nil, 0, outcome.NotRun(outcome.CodeNotOwner, "the key does not belong to the slot")
	}
	route, refusal := a.onceRoute(call)
	if refusal != nil {
		return nil, 0, refusal
	}
	epoch, held := a.holds(req.Slot)
	if !held || req.Epoch > epoch {
		return nil, 0, outcome.NotRunRetryAfter(outcome.CodeNotOwner, slotRetryAfter, "another agent owns the call's slot")
	}
	slot := a.records.lookup(req.Slot, epoch)
	if slot == nil {
		return nil, 0, outcome.NotRunRetryAfter(outcome.CodeRecordUnavailable, slotRetryAfter,
			"the slot's idempotency records are being loaded")
	}
	return slot, time.Duration(route.IdempotencyWindow), nil
}

// onceRoute returns the call's route in the current bundle. It checks that the
// caller's API key is still active and may use the route.
func (a *Agent) onceRoute(call *peerpb.ServiceCall) (*bundle.Route, *outcome.Refusal) {
	snapshot := a.bundles.Current()
	if snapshot == nil {
		return nil, outcome.NotRunRetryAfter(outcome.CodeNotReady, slotRetryAfter, "no bundle is in force yet")
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

// onceSender sends one call to its targets. Each attempt has its own onceSender.
type onceSender struct {
	agent    *Agent
	req      *peerpb.ExecuteRequest
	targetVM string
}

// run implements store.Send. It tries the next target only after the previous one
// has confirmed that it has not run the call and never will.
func (s *onceSender) run(ctx context.Context) (idempotency.Answer, outcome.Ran, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.agent.workCtx, cancel)()
	lastRefusal := outcome.NotRunRetryAfter(outcome.CodeNoTarget, serviceRetryAfter, "no target serves the route")
	for i, vm := range s.req.TargetVmIds {
		if i == maxOnceTargets || i >= len(s.req.TargetAddresses) || ctx.Err() != nil {
			break
		}
		answer, refusal := s.call(ctx, vm, s.req.TargetAddresses[i])
		if refusal == nil {
			s.targetVM = vm
			return toRecordAnswer(answer), outcome.RanYes, nil
		}
		if refusal.Ran != outcome.RanNo {
			return idempotency.Answer{}, refusal.Ran, refusal
		}
		lastRefusal = refusal
	}
	return idempotency.Answer{}, outcome.RanNo, lastRefusal
}

// call sends the call to one target. The outcome is unknown after a lost
// connection, unless the connection was refused before anything was sent.
func (s *onceSender) call(ctx context.Context, vm, address string) (*peerpb.ServiceAnswer, *outcome.Refusal) {
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
	case peer.IsConnectionRefused(err):
		return nil, outcome.NotRunRetryAfter(outcome.CodeNoTarget, serviceRetryAfter, "the target's agent can't be reached")
	default:
		peers.DiscardConnections(address)
		return nil, &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown,
			Message: "the target's answer was lost; the call may have run"}
	}
}

// message returns the call with its remaining time as the timeout.
func (s *onceSender) message(ctx context.Context) *peerpb.ServiceCall {
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

// toRecordAnswer converts a wire answer to the form stored in records.
func toRecordAnswer(answer *peerpb.ServiceAnswer) idempotency.Answer {
	record := idempotency.Answer{Status: int(answer.Status), Body: answer.Body}
	for _, header := range answer.Headers {
		record.Headers = append(record.Headers, idempotency.Header{Name: header.Name, Value: header.Value})
	}
	return record
}

// toServiceAnswerMessage converts a recorded answer to the wire format.
func toServiceAnswerMessage(answer idempotency.Answer) *peerpb.ServiceAnswer {
	message := &peerpb.ServiceAnswer{Status: uint32(answer.Status), Body: answer.Body}
	for _, header := range answer.Headers {
		message.Headers = append(message.Headers, &peerpb.Header{Name: header.Name, Value: header.Value})
	}
	return message
}
