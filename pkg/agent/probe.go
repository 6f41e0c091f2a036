package agent

import (
	"context"
	"math"
	"time"

	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// Probe implements the peer protocol.
func (a *Agent) Probe(_ context.Context, req *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	reply := &peerpb.ProbeReply{Origin: a.origin(), State: peerpb.TargetState_TARGET_STATE_READY}
	if a.leaving.Load() {
		reply.State = peerpb.TargetState_TARGET_STATE_LEAVING
	}
	if a.target == nil {
		return reply, nil
	}
	a.target.answerProbe(req, reply, time.Now())
	return reply, nil
}

// answerProbe fills in what a prompt would find here. What the view can't vouch
// for counts as missing; own dispatches count as done.
func (t *Target) answerProbe(req *peerpb.ProbeRequest, reply *peerpb.ProbeReply, now time.Time) {
	report, ok := t.report(now)
	boot := t.view.Boot()
	if !ok || boot == 0 || report.Boot != boot {
		reply.State = peerpb.TargetState_TARGET_STATE_DOWN
		return
	}
	matched := t.view.ExpectedPrefix(now, req.BlockHashes, req.WeightsVersion)
	missing := max(1, int64(req.PromptTokens)-int64(matched)*int64(req.BlockTokens))
	expected := t.gate.expect(req.Account, t.weight(req.Account), missing, now)
	reply.EngineBoot = boot
	reply.ServesModel = serves(report, req.Model, req.WeightsVersion, req.Adapter)
	reply.MatchedBlocks = uint32(matched)
	reply.ExpectedWaitUs = microseconds(expected.wait)
	reply.PrefillUsPerKtoken = microseconds(expected.perKtoken)
	reply.QueuedRequests = uint32(expected.queued)
	if report.TotalBlocks > 0 {
		const million = 1e6
		reply.EvictionPpmPerS = uint32(min(t.view.EvictionRate(now)/float64(report.TotalBlocks)*million, math.MaxUint32))
	}
}

func microseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Microseconds(), 0), math.MaxUint32))
}
