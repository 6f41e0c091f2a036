package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/service"
)

// serviceRetryAfter is the retry delay for a refused service call.
const serviceRetryAfter = time.Second

// CallTarget implements the peer protocol. It sends a call to the agent's own
// target at most once.
func (a *Agent) CallTarget(ctx context.Context, req *peerpb.CallTargetRequest) (*peerpb.CallTargetReply, error) {
	answer, refusal := a.callService(ctx, req.Call)
	return &peerpb.CallTargetReply{
		Origin:  a.origin(),
		Refusal: peer.ToRefusal(refusal),
		Answer:  answer,
	}, nil
}

func (a *Agent) callService(ctx context.Context, call *peerpb.ServiceCall) (*peerpb.ServiceAnswer, *outcome.Refusal) {
	if a.service == nil {
		return nil, outcome.NotRun(outcome.CodeNoTarget, "the target is no plain service")
	}
	select {
	case a.serviceCalls <- struct{}{}:
		defer func() { <-a.serviceCalls }()
	default:
		return nil, outcome.NotRunRetryAfter(outcome.CodeOverloaded, serviceRetryAfter, "the service is busy")
	}
	// The semaphore is acquired before leaving is checked, so that a drain that
	// starts in between waits for this call.
	if a.leaving.Load() {
		return nil, outcome.NotRun(outcome.CodeLeaving, "the target is leaving")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.TimeoutMs)*time.Millisecond)
	defer cancel()
	answer, err := a.service.Call(ctx, toServiceCall(call))
	if err != nil {
		return nil, serviceRefusal(err)
	}
	return toAnswerMessage(answer), nil
}

func serviceRefusal(err error) *outcome.Refusal {
	if errors.Is(err, service.ErrNotSent) {
		return outcome.NotRunRetryAfter(outcome.CodeNoTarget, serviceRetryAfter, "the service can't be reached")
	}
	return &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown,
		Message: "the service's answer was lost; the call may have run"}
}

func toServiceCall(call *peerpb.ServiceCall) service.Call {
	return service.Call{
		RequestID: call.RequestId,
		Method:    call.Method,
		Path:      call.Path,
		Header:    peer.FromHeaders(call.Headers),
		Body:      call.Body,
	}
}

func toAnswerMessage(answer service.Response) *peerpb.ServiceAnswer {
	return &peerpb.ServiceAnswer{
		Status:  uint32(answer.Status),
		Headers: peer.ToHeaders(answer.Header, forwardedHeaders),
		Body:    answer.Body,
	}
}

// forwardedHeaders lists the headers of a service's answer that are passed on to
// callers.
var forwardedHeaders = []string{"Content-Type", "Content-Language", "Etag", "Last-Modified", "Location"}
