package router

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// cancelTimeout bounds telling an agent that an answer is no longer wanted.
const cancelTimeout = time.Second

// dispatch sends the request to one target and relays its answer. A refusal
// says what became of this attempt.
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
		next:       1,
	}
	refusal := attempt.run(ctx)
	c.learn(target.VMID, refusal)
	return refusal
}

// learn keeps what an attempt's end tells about its target and the request.
func (c *completion) learn(vmID string, refusal *outcome.Refusal) {
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
		CacheSalt:           p.salt,
		BlockHashes:         p.chain,
		BlockTokens:         uint32(p.model.BlockTokens),
		Prompt:              p.request.Prompt,
		PromptTokens:        uint32(p.promptTokens),
		MaxTokens:           uint32(p.maxTokens),
		Priority:            int32(p.route.Priority),
		AnswerPrefix:        string(c.answer),
		AnswerPrefixTokens:  uint32(c.answerTokens),
		FirstTokenTimeoutMs: uint32(c.firstTokenTimeLeft(ctx).Milliseconds()),
		EngineBoot:          choice.Answer.EngineBoot,
		ImportFromVmId:      choice.ImportFromVMID,
		ImportBlocks:        uint32(choice.ImportBlocks),
	}
}

// firstTokenTimeLeft is what remains of the route's bound on the first token.
func (c *completion) firstTokenTimeLeft(ctx context.Context) time.Duration {
	limit := time.Duration(c.plan.route.FirstTokenTimeout)
	if limit <= 0 || c.answerTokens > 0 {
		limit = time.Duration(c.plan.route.Timeout)
	}
	left := limit - time.Since(c.started)
	if deadline, ok := ctx.Deadline(); ok {
		left = min(left, time.Until(deadline))
	}
	return max(left, time.Millisecond)
}

// attempt is one dispatch at one agent, over one or more connections.
type attempt struct {
	completion *completion
	target     schedule.Target
	request    *peerpb.DispatchRequest
	// next is the number of the frame expected from the agent.
	next uint64
	// callerLeft says that the caller takes no more of the answer.
	callerLeft bool
}

// Bounds of resuming one answer stream.
const (
	// resumePause is the time between attempts without progress.
	resumePause = 50 * time.Millisecond
	// maxUnansweredResumes bounds the attempts while no frame at all has come,
	// so that another target can start the prompt.
	maxUnansweredResumes = 1
)

// run relays the answer, resuming it over new connections when one breaks.
func (a *attempt) run(ctx context.Context) *outcome.Refusal {
	r := a.completion.router
	refusal, err := a.read(ctx, a.openDispatch)
	if peer.IsRefused(err) {
		return outcome.NotRun(outcome.CodeNoTarget, "the target's agent can't be reached")
	}
	resumeUntil := time.Now().Add(r.Options.ResumeTimeout)
	for fruitless := 0; err != nil; fruitless++ {
		if fruitless > 0 {
			clock.Sleep(ctx, resumePause)
		}
		if ctx.Err() != nil {
			go a.cancel()
			return &outcome.Refusal{Code: outcome.CodeCancelled, Ran: a.ranAfterLoss(), Message: "the caller left"}
		}
		unanswered := a.next == 1 && fruitless >= maxUnansweredResumes
		if peer.IsRefused(err) || unanswered || time.Now().After(resumeUntil) {
			go a.cancel()
			return &outcome.Refusal{Code: outcome.CodeTargetFailed, Ran: a.ranAfterLoss(),
				Message: "the connection to the target was lost"}
		}
		r.Peers.Abandon(a.target.Address)
		r.Log.Log(eventlog.PeerStreamResumed, "request_id", a.request.RequestId, "attempt", a.request.Attempt,
			"vm", a.target.VMID, "from_frame", a.next)
		before := a.next
		refusal, err = a.read(ctx, a.openResume)
		if a.next > before {
			fruitless = -1
			resumeUntil = time.Now().Add(r.Options.ResumeTimeout)
		}
	}
	if a.callerLeft {
		go a.cancel()
	}
	return refusal
}

// ranAfterLoss is what is known of the run once the agent is out of reach.
func (a *attempt) ranAfterLoss() outcome.Ran {
	if a.next > 1 {
		return outcome.RanYes
	}
	return outcome.RanUnknown
}

// frameSource is an open stream of frames.
type frameSource interface {
	Recv() (*peerpb.Frame, error)
	Close() error
}

func (a *attempt) openDispatch(ctx context.Context) (frameSource, error) {
	return a.completion.router.Peers.Agent(ctx, a.target.Address).Dispatch(ctx, a.request)
}

func (a *attempt) openResume(ctx context.Context) (frameSource, error) {
	return a.completion.router.Peers.Agent(ctx, a.target.Address).Resume(ctx, &peerpb.ResumeRequest{
		Origin:    a.completion.router.origin(),
		RequestId: a.request.RequestId,
		Attempt:   a.request.Attempt,
		FromSeq:   a.next,
	})
}

// cancel frees the request's place at the target. Nobody waits for it: the
// agent may be as silent as its stream.
func (a *attempt) cancel() {
	r := a.completion.router
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// An agent that can't be told ends the answer as orphaned.
	_, _ = r.Peers.Agent(ctx, a.target.Address).Cancel(ctx, &peerpb.CancelRequest{
		Origin:    r.origin(),
		RequestId: a.request.RequestId,
		Attempt:   a.request.Attempt,
	})
}

// deliver passes one new frame to the caller. done says that it is the last.
func (a *attempt) deliver(frame *peerpb.Frame) (done bool, refusal *outcome.Refusal) {
	c := a.completion
	switch body := frame.Body.(type) {
	case *peerpb.Frame_Accepted:
		c.servedBy = a.target.VMID
		if err := c.sink.Begin(a.target.VMID); err != nil {
			return true, a.callerGone()
		}
	case *peerpb.Frame_Delta:
		return a.deliverText(body.Delta)
	case *peerpb.Frame_Done:
		c.usage = usageOf(body.Done, int(a.request.AnswerPrefixTokens))
		if err := c.sink.Finish(body.Done.FinishReason, c.usage); err != nil {
			return true, a.callerGone()
		}
		return true, nil
	case *peerpb.Frame_Refusal:
		return true, peer.FromRefusal(body.Refusal)
	}
	return false, nil
}

// usageOf counts an answer whose first tokens, prefix of them, came from an
// earlier engine and were part of the last engine's prompt.
func usageOf(done *peerpb.Done, prefix int) caller.Usage {
	return caller.Usage{
		PromptTokens:     max(int(done.PromptTokens)-prefix, 0),
		CachedTokens:     int(done.CachedTokens),
		CompletionTokens: int(done.CompletionTokens) + prefix,
	}
}

func (a *attempt) deliverText(delta *peerpb.Delta) (bool, *outcome.Refusal) {
	c := a.completion
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = time.Now()
	}
	c.answer = append(c.answer, delta.Text...)
	c.answerTokens += int(delta.Tokens)
	if err := c.sink.Text(delta.Text); err != nil {
		return true, a.callerGone()
	}
	return false, nil
}

func (a *attempt) callerGone() *outcome.Refusal {
	a.callerLeft = true
	return &outcome.Refusal{Code: outcome.CodeCancelled, Ran: outcome.RanYes, Message: "the caller left"}
}
