package router

import (
	"context"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// cancelTimeout bounds the call that cancels an attempt at an agent.
const cancelTimeout = time.Second

// dispatch sends the request to one target and relays its answer. The refusal is
// the outcome of this attempt only.
func (c *completion) dispatch(ctx context.Context, choice schedule.ScoredCandidate) *outcome.Refusal {
	c.dispatches++
	target := choice.Candidate.Target
	if c.answerTokens > 0 {
		c.router.Log.Log(eventlog.AnswerContinued, "request_id", c.plan.request.RequestID,
			"attempt", c.dispatches, "failed_vm", c.servedBy, "answer_tokens", c.answerTokens)
	}
	c.router.Policy.RecordDispatch(c.query, target.VMID, time.Now())
	attempt := &attempt{
		completion: c,
		target:     target,
		request:    c.dispatchRequest(ctx, choice),
		nextSeq:    1,
	}
	refusal := attempt.run(ctx)
	c.recordResult(target.VMID, refusal)
	return refusal
}

// recordResult updates the routing state of the target and the state of the
// request after an attempt.
func (c *completion) recordResult(vmID string, refusal *outcome.Refusal) {
	now := time.Now()
	if refusal == nil {
		c.router.Policy.RecordSuccess(vmID)
		return
	}
	c.query.Excluded = append(c.query.Excluded, vmID)
	if refusal.Ran == outcome.RanYes || (refusal.Ran == outcome.RanUnknown && c.ran == outcome.RanNo) {
		c.ran = refusal.Ran
	}
	switch refusal.Code {
	case outcome.CodeTargetFailed, outcome.CodeNoTarget:
		c.router.Policy.RecordFailure(vmID, now)
	case outcome.CodeLeaving:
		if target, ok := c.router.Directory.Lookup(vmID); ok {
			c.router.Directory.ApplyReport(schedule.AgentReport{VMID: vmID, BootID: target.BootID, State: schedule.StateLeaving}, now)
		}
	}
}

func (c *completion) dispatchRequest(ctx context.Context, choice schedule.ScoredCandidate) *peerpb.DispatchRequest {
	p := c.plan
	return &peerpb.DispatchRequest{
		Origin:              c.router.origin(),
		RequestId:           p.request.RequestID,
		Attempt:             uint32(c.dispatches),
		Account:             p.owner.Account,
		KeyId:               p.owner.KeyID,
		Route:               p.route.Name,
		Model:               p.model.Name,
		WeightsVersion:      p.version.WeightsVersion,
		Adapter:             p.adapter,
		CacheSalt:           p.cacheSalt,
		BlockHashes:         p.blockHashes,
		BlockTokens:         uint32(p.model.BlockTokens),
		Prompt:              p.request.Prompt,
		PromptTokens:        uint32(p.promptTokens),
		MaxTokens:           uint32(p.maxTokens),
		Priority:            int32(p.route.Priority),
		AnswerPrefix:        string(c.answer),
		AnswerPrefixTokens:  uint32(c.answerTokens),
		FirstTokenTimeoutMs: uint32(c.remainingFirstTokenTime(ctx).Milliseconds()),
		EngineBoot:          choice.Answer.EngineBoot,
		ImportFromVmId:      choice.ImportFromVMID,
		ImportBlocks:        uint32(choice.ImportBlocks),
	}
}

// remainingFirstTokenTime returns the time left for the first token. Routes without
// a first-token timeout and continued answers use the route's overall timeout.
func (c *completion) remainingFirstTokenTime(ctx context.Context) time.Duration {
	timeout := time.Duration(c.plan.route.FirstTokenTimeout)
	if timeout <= 0 || c.answerTokens > 0 {
		timeout = time.Duration(c.plan.route.Timeout)
	}
	remaining := timeout - time.Since(c.started)
	if deadline, ok := ctx.Deadline(); ok {
		remaining = min(remaining, time.Until(deadline))
	}
	return max(remaining, time.Millisecond)
}

// attempt is one dispatch to one agent, over one or more connections.
type attempt struct {
	completion *completion
	target     schedule.Target
	request    *peerpb.DispatchRequest
	// nextSeq is the sequence number of the next frame expected from the agent.
	nextSeq uint64
	// sinkFailed is set once a write to the caller has failed.
	sinkFailed bool
}

// Limits on resuming one answer stream.
const (
	// resumeDelay is the delay before a resume if the preceding resume
	// received no new frame.
	resumeDelay = 50 * time.Millisecond
	// maxUnansweredResumes bounds the resumes before the first frame arrives, so
	// that the prompt is soon dispatched to another target if there is one.
	maxUnansweredResumes = 1
)

// run relays the answer. When the connection breaks, it resumes the answer over a
// new one.
func (a *attempt) run(ctx context.Context) *outcome.Refusal {
	r := a.completion.router
	refusal, err := a.readFrames(ctx, a.openDispatch)
	if peer.IsConnectionRefused(err) {
		return outcome.NotRun(outcome.CodeNoTarget, "the target's agent can't be reached")
	}
	resumeDeadline := time.Now().Add(r.Options.ResumeTimeout)
	for resumesWithoutProgress := 0; err != nil; resumesWithoutProgress++ {
		if resumesWithoutProgress > 0 {
			clock.Sleep(ctx, resumeDelay)
		}
		if ctx.Err() != nil {
			go a.cancel()
			return &outcome.Refusal{Code: outcome.CodeCancelled, Ran: a.ranAfterConnectionLoss(), Message: "the caller left"}
		}
		unanswered := a.nextSeq == 1 && resumesWithoutProgress >= maxUnansweredResumes && a.completion.hasAlternative(a.target.VMID)
		if peer.IsConnectionRefused(err) || unanswered || time.Now().After(resumeDeadline) {
			go a.cancel()
			return &outcome.Refusal{Code: outcome.CodeTargetFailed, Ran: a.ranAfterConnectionLoss(),
				Message: "the connection to the target was lost"}
		}
		r.Peers.DiscardConnections(a.target.Address)
		r.Log.Log(eventlog.PeerStreamResumed, "request_id", a.request.RequestId, "attempt", a.request.Attempt,
			"vm", a.target.VMID, "from_frame", a.nextSeq)
		previousSeq := a.nextSeq
		refusal, err = a.readFrames(ctx, a.openResume)
		if a.nextSeq > previousSeq {
			resumesWithoutProgress = -1
			resumeDeadline = time.Now().Add(r.Options.ResumeTimeout)
		}
	}
	if a.sinkFailed {
		go a.cancel()
	}
	return refusal
}

// hasAlternative reports whether the request may be dispatched to another target
// than the one with the given VM.
func (c *completion) hasAlternative(vmID string) bool {
	if c.dispatches >= c.router.Options.MaxDispatches || c.router.retries.Level(time.Now()) < 1 {
		return false
	}
	return slices.ContainsFunc(c.router.Directory.Targets(), func(target schedule.Target) bool {
		return target.VMID != vmID && target.Pool == c.query.Pool && target.State == schedule.StateLive && !slices.Contains(c.query.Excluded, target.VMID)
	})
}

// ranAfterConnectionLoss returns the Ran value of an attempt whose connection was
// lost: RanYes if a frame was received, and RanUnknown otherwise.
func (a *attempt) ranAfterConnectionLoss() outcome.Ran {
	if a.nextSeq > 1 {
		return outcome.RanYes
	}
	return outcome.RanUnknown
}

// frameStream is an open stream of answer frames.
type frameStream interface {
	Recv() (*peerpb.Frame, error)
	Close() error
}

func (a *attempt) openDispatch(ctx context.Context) (frameStream, error) {
	return a.completion.router.Peers.Agent(ctx, a.target.Address).Dispatch(ctx, a.request)
}

func (a *attempt) openResume(ctx context.Context) (frameStream, error) {
	return a.completion.router.Peers.Agent(ctx, a.target.Address).Resume(ctx, &peerpb.ResumeRequest{
		Origin:    a.completion.router.origin(),
		RequestId: a.request.RequestId,
		Attempt:   a.request.Attempt,
		FromSeq:   a.nextSeq,
	})
}

// cancel releases the attempt's resources at the target. It runs in the
// background, since an agent whose stream has failed may not respond to the call
// either.
func (a *attempt) cancel() {
	r := a.completion.router
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// The error is ignored: if the call fails, the agent cancels the answer after
	// it has been without a reader for the agent's OrphanTimeout.
	_, _ = r.Peers.Agent(ctx, a.target.Address).Cancel(ctx, &peerpb.CancelRequest{
		Origin:    r.origin(),
		RequestId: a.request.RequestId,
		Attempt:   a.request.Attempt,
	})
}

// deliverFrame passes one new frame to the caller. done reports whether it ends
// the attempt.
func (a *attempt) deliverFrame(frame *peerpb.Frame) (done bool, refusal *outcome.Refusal) {
	c := a.completion
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Accepted:
		c.servedBy = a.target.VMID
		if err := c.sink.Begin(a.target.VMID); err != nil {
			return true, a.callerDisconnected()
		}
	case *peerpb.Frame_Delta:
		return a.deliverText(body.Delta)
	case *peerpb.Frame_Done:
		c.usage = answerUsage(body.Done, int(a.request.AnswerPrefixTokens))
		if err := c.sink.Finish(body.Done.FinishReason, c.usage); err != nil {
			return true, a.callerDisconnected()
		}
		return true, nil
	case *peerpb.Frame_Refusal:
		return true, peer.FromRefusal(body.Refusal)
	}
	return false, nil
}

// answerUsage returns the usage of the full answer. Its first prefixTokens tokens
// came from earlier engines; the last engine counted them as part of its prompt.
func answerUsage(done *peerpb.Done, prefixTokens int) caller.Usage {
	return caller.Usage{
		PromptTokens:     max(int(done.PromptTokens)-prefixTokens, 0),
		CachedTokens:     int(done.CachedTokens),
		CompletionTokens: int(done.CompletionTokens) + prefixTokens,
	}
}

func (a *attempt) deliverText(delta *peerpb.Delta) (bool, *outcome.Refusal) {
	c := a.completion
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = time.Now()
	}
	c.answer = append(c.answer, delta.Text...)
	c.answerTokens += int(delta.Tokens)
	if err := c.sink.WriteText(delta.Text); err != nil {
		return true, a.callerDisconnected()
	}
	return false, nil
}

func (a *attempt) callerDisconnected() *outcome.Refusal {
	a.sinkFailed = true
	return &outcome.Refusal{Code: outcome.CodeCancelled, Ran: outcome.RanYes, Message: "the caller left"}
}
