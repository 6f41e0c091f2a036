package agent

import (
	"context"
	"math"
	"time"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// Probe implements the peer protocol. It returns the state of the target and
// estimates for a prompt.
func (a *Agent) Probe(_ context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	reply := &peerpb.ProbeReply{Origin: a.origin(), State: peerpb.TargetState_TARGET_STATE_READY}
	if a.leaving.Load() {
		reply.State = peerpb.TargetState_TARGET_STATE_LEAVING
	}
	if a.target == nil {
		return reply, nil
	}
	a.target.fillProbeReply(req, reply, time.Now())
	return reply, nil
}

// fillProbeReply sets the matched blocks and the estimated wait of a prompt. Blocks
// that the view can't confirm count as missing, and blocks of prompts that this
// agent has dispatched count as cached.
func (t *Target) fillProbeReply(req *peerpb.ProbeRequest, reply *peerpb.ProbeReply, now time.Time) {
	report, ok := t.report(now)
	boot := t.view.Boot()
	if !ok || boot == 0 || report.BootID != boot {
		reply.State = peerpb.TargetState_TARGET_STATE_DOWN
		return
	}
	matched := t.view.ExpectedPrefix(now, req.BlockHashes, req.WeightsVersion)
	missing := max(1, int64(req.PromptTokens)-int64(matched)*int64(req.BlockTokens))
	estimate := t.queue.estimateWait(req.Account, t.weight(req.Account), missing, now)
	reply.EngineBoot = boot
	reply.ServesModel = serves(report, req.Model, req.WeightsVersion, req.Adapter)
	reply.MatchedBlocks = uint32(matched)
	reply.ExpectedWaitUs = microseconds(estimate.wait)
	reply.PrefillUsPerKtoken = microseconds(estimate.prefillPerKtoken)
	reply.QueuedRequests = uint32(estimate.queued)
	if report.TotalBlocks > 0 {
		const million = 1e6
		reply.EvictionPpmPerS = uint32(min(t.view.EvictionRate(now)/float64(report.TotalBlocks)*million, math.MaxUint32))
	}
}

func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}
