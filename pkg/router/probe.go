package router

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/schedule"
)

// probeResult is the result of one probe: a reply or an error.
type probeResult struct {
	candidate schedule.Candidate
	reply     *peerpb.ProbeReply
	err       error
}

// decide probes the policy's candidates and returns the policy's decision.
func (c *completion) decide(ctx context.Context) schedule.Decision {
	r := c.router
	start := time.Now()
	candidates := r.Policy.Candidates(c.query, start)
	answers, candidates := r.probeAll(ctx, c.plan, c.query, candidates)
	decision := r.Policy.Decide(c.query, candidates, answers, time.Now())
	r.Observer.ObserveDecision(DecisionObservation{Decision: decision, Took: time.Since(start)})
	return decision
}

// probeAll probes all candidates concurrently, and the targets that their answers
// hint at. It returns the answers received and all targets probed when the probe
// window closes; later answers still update the directory.
func (r *Router) probeAll(ctx context.Context, p *plan, query *schedule.Query, candidates []schedule.Candidate) ([]schedule.Answer, []schedule.Candidate) {
	const hintCapacity = 4
	results := make(chan probeResult, len(candidates)+hintCapacity)
	request := r.probeRequest(p)
	for _, candidate := range candidates {
		go r.probe(ctx, request, candidate, results)
	}
	window := schedule.NewProbeWindow(r.Options.ProbeWindow, len(candidates), time.Now())
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
			answer := probeAnswer(result)
			answers = append(answers, answer)
			hinted := r.Policy.HintedCandidates(query, candidates, &answer, time.Now())
			if len(hinted) > cap(results)-len(candidates) {
				hinted = hinted[:cap(results)-len(candidates)]
			}
			for _, candidate := range hinted {
				go r.probe(ctx, request, candidate, results)
			}
			window.AddProbes(len(hinted))
			candidates = append(candidates, hinted...)
		case <-timer.C:
		case <-ctx.Done():
			return answers, candidates
		}
	}
	return answers, candidates
}

func (r *Router) probeRequest(p *plan) *peerpb.ProbeRequest {
	return &peerpb.ProbeRequest{
		Origin:         r.origin(),
		Account:        p.owner.Account,
		Model:          p.model.Name,
		WeightsVersion: p.version.WeightsVersion,
		Adapter:        p.adapter,
		BlockHashes:    p.blockHashes,
		PromptTokens:   uint32(p.promptTokens),
		BlockTokens:    uint32(p.model.BlockTokens),
		WantHints:      true,
	}
}

// probe probes one agent and sends the result to results, whose buffer must have
// room for it. It isn't cancelled with ctx, so that late answers still update the
// directory.
func (r *Router) probe(ctx context.Context, request *peerpb.ProbeRequest, candidate schedule.Candidate, results chan<- probeResult) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.Options.ProbeWindow.NoAnswerTimeout)
	defer cancel()
	address := candidate.Target.Address
	reply, err := r.Peers.Agent(ctx, address).Probe(ctx, request)
	if err == nil {
		r.updateTargetState(reply.Origin, targetState(reply.State))
	} else {
		r.Policy.RecordFailure(candidate.Target.VMID, time.Now())
		if !peer.IsConnectionRefused(err) {
			r.Peers.DiscardConnections(address)
		}
	}
	results <- probeResult{candidate: candidate, reply: reply, err: err}
}

// updateTargetState records the state that an agent reports of itself.
func (r *Router) updateTargetState(origin *peerpb.Origin, state schedule.State) {
	r.Directory.ApplyReport(schedule.AgentReport{VMID: origin.VmId, BootID: origin.BootId, State: state}, time.Now())
}

func targetState(state peerpb.TargetState) schedule.State {
	switch state {
	case peerpb.TargetState_TARGET_STATE_READY:
		return schedule.StateLive
	case peerpb.TargetState_TARGET_STATE_LEAVING:
		return schedule.StateLeaving
	default:
		return schedule.StateDown
	}
}

func probeAnswer(result probeResult) schedule.Answer {
	reply := result.reply
	return schedule.Answer{
		VMID:                 result.candidate.Target.VMID,
		State:                targetState(reply.State),
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
