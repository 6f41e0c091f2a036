package router

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// probeResult is what became of one probe.
type probeResult struct {
	candidate schedule.Candidate
	reply     *peerpb.ProbeReply
	err       error
}

// decide probes the query's candidates and lets the policy choose.
func (c *completion) decide(ctx context.Context) schedule.Decision {
	r := c.router
	start := time.Now()
	asked := r.Policy.Candidates(c.query, start)
	answers, asked := r.probeAll(ctx, c.plan, c.query, asked)
	decision := r.Policy.Decide(c.query, asked, answers, time.Now())
	r.Observer.ObserveDecision(DecisionObservation{Decision: decision, Took: time.Since(start)})
	return decision
}

// probeAll asks all candidates at once and returns when the window closes. A
// probe that is still out goes on; its answer is not waited for.
func (r *Router) probeAll(ctx context.Context, p *plan, q *schedule.Query, asked []schedule.Candidate) ([]schedule.Answer, []schedule.Candidate) {
	const hintRoom = 4
	results := make(chan probeResult, len(asked)+hintRoom)
	request := r.probeRequest(p)
	for _, candidate := range asked {
		go r.probe(ctx, request, candidate, results)
	}
	window := schedule.NewProbeWindow(r.Options.ProbeWindow, len(asked), time.Now())
	var answers []schedule.Answer
	timer := time.NewTimer(time.Until(window.Deadline()))
	defer timer.Stop()
	for !window.Closed(time.Now()) {
		timer.Reset(time.Until(window.Deadline()))
		select {
		case result := <-results:
			if result.err != nil {
				window.RecordFailure()
				continue
			}
			window.RecordAnswer(time.Now())
			answer := answerOf(result)
			answers = append(answers, answer)
			hinted := r.Policy.HintedCandidates(q, asked, &answer, time.Now())
			if len(hinted) > cap(results)-len(asked) {
				hinted = hinted[:cap(results)-len(asked)]
			}
			for _, candidate := range hinted {
				go r.probe(ctx, request, candidate, results)
			}
			window.AddProbes(len(hinted))
			asked = append(asked, hinted...)
		case <-timer.C:
		case <-ctx.Done():
			return answers, asked
		}
	}
	return answers, asked
}

func (r *Router) probeRequest(p *plan) *peerpb.ProbeRequest {
	return &peerpb.ProbeRequest{
		Origin:         r.origin(),
		Account:        p.owner.Account,
		Model:          p.model.Name,
		WeightsVersion: p.version.WeightsVersion,
		Adapter:        p.adapter,
		BlockHashes:    p.chain,
		PromptTokens:   uint32(p.promptTokens),
		BlockTokens:    uint32(p.model.BlockTokens),
		WantHints:      true,
	}
}

// probe asks one agent and delivers the result to the buffered channel.
func (r *Router) probe(ctx context.Context, request *peerpb.ProbeRequest, candidate schedule.Candidate, results chan<- probeResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Options.ProbeWindow.NoAnswerTimeout)
	defer cancel()
	address := candidate.Target.Address
	reply, err := r.Peers.Agent(ctx, address).Probe(ctx, request)
	if err == nil {
		r.heard(reply.Origin, stateOf(reply.State))
	} else {
		r.Policy.RecordFailure(candidate.Target.VMID, time.Now())
		if !peer.IsRefused(err) {
			r.Peers.Abandon(address)
		}
	}
	results <- probeResult{candidate: candidate, reply: reply, err: err}
}

// heard takes in an agent's own word.
func (r *Router) heard(origin *peerpb.Origin, state schedule.State) {
	r.Directory.ApplyReport(schedule.AgentReport{VMID: origin.VmId, BootID: origin.BootId, State: state}, time.Now())
}

func stateOf(state peerpb.TargetState) schedule.State {
	switch state {
	case peerpb.TargetState_TARGET_STATE_READY:
		return schedule.StateLive
	case peerpb.TargetState_TARGET_STATE_LEAVING:
		return schedule.StateLeaving
	default:
		return schedule.StateDown
	}
}

func answerOf(result probeResult) schedule.Answer {
	reply := result.reply
	return schedule.Answer{
		VMID:                 result.candidate.Target.VMID,
		State:                stateOf(reply.State),
		EngineBoot:           reply.EngineBoot,
		MatchedBlocks:        int(reply.MatchedBlocks),
		Wait:                 time.Duration(reply.ExpectedWaitUs) * time.Microsecond,
		PrefillPerKtoken:     time.Duration(reply.PrefillUsPerKtoken) * time.Microsecond,
		EvictionPPMPerSecond: reply.EvictionPpmPerS,
		ServesModel:          reply.ServesModel,
		HintVMIDs:            reply.HintVmIds,
		Queued:               int(reply.QueuedRequests),
	}
}
