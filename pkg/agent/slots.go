package agent

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/ownership/runner"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// slotObserver is a component of the agent that keeps state for owned slots.
type slotObserver interface {
	// started is called after the agent has acquired the slot at an epoch.
	started(slot ownership.SlotID, epoch uint64)
	// stopped is called after the agent has lost the slot at the epoch.
	stopped(slot ownership.SlotID, epoch uint64)
}

// slotHolder forwards ownership changes to the slot observers.
type slotHolder struct {
	agent *Agent
}

var _ runner.SlotHandler = slotHolder{}

// SlotAcquired implements runner.SlotHandler.
func (h slotHolder) SlotAcquired(slot ownership.SlotID, epoch uint64) {
	for _, observer := range h.agent.slotObservers() {
		observer.started(slot, epoch)
	}
}

// SlotLost implements runner.SlotHandler.
func (h slotHolder) SlotLost(slot ownership.SlotID, epoch uint64) {
	for _, observer := range h.agent.slotObservers() {
		observer.stopped(slot, epoch)
	}
}

// ReleaseLevels implements runner.SlotHandler.
func (h slotHolder) ReleaseLevels(slot ownership.SlotID) []runner.BucketLevel {
	return h.agent.ledgers.release(slot)
}

// CreditLevels implements runner.SlotHandler.
func (h slotHolder) CreditLevels(slot ownership.SlotID, epoch uint64, levels []runner.BucketLevel) {
	h.agent.ledgers.credit(slot, epoch, levels)
}

// SlotHandler returns the agent's implementation of runner.SlotHandler.
func (a *Agent) SlotHandler() runner.SlotHandler {
	return slotHolder{agent: a}
}

// SetSlotRunner sets the runner that manages the ownership of the agent's slots. It
// must be called once, before the agent starts to serve.
func (a *Agent) SetSlotRunner(slots *runner.Runner) {
	a.slotRunner = slots
}

func (a *Agent) slotObservers() []slotObserver {
	return []slotObserver{a.ledgers, a.records}
}

// holds returns the epoch at which the agent holds the slot and whether the agent
// may use the slot now.
func (a *Agent) holds(slot uint32) (uint64, bool) {
	if a.slotRunner == nil {
		return 0, false
	}
	return a.slotRunner.Holds(ownership.SlotID(slot))
}

// Promise implements the peer protocol. It answers another agent's request for a
// promise not to take over a slot for some time.
func (a *Agent) Promise(ctx context.Context, req *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	duration := time.Duration(req.DurationMs) * time.Millisecond
	reply := a.slotRunner.HandlePromiseRequest(ctx, req.GetOrigin().GetVmId(), ownership.SlotID(req.Slot), req.Epoch, duration)
	message := &peerpb.PromiseReply{
		Origin:         a.origin(),
		Granted:        reply.Granted,
		KvContactAgeMs: uint32(reply.ContactAge.Milliseconds()),
	}
	if reply.NewerRecord.Revision > 0 {
		message.Newer = peer.ToSlotRecord(reply.NewerRecord)
	}
	return message, nil
}

// RelayRenewal implements the peer protocol. It renews a lease for another agent.
func (a *Agent) RelayRenewal(ctx context.Context, req *peerpb.RelayRenewalRequest) (*peerpb.RelayRenewalReply, error) {
	err := a.slotRunner.RelayRenewal(ctx, kv.LeaseID(req.Lease))
	if err != nil && !errors.Is(err, kv.ErrLeaseExpired) {
		return nil, errors.Trace(err)
	}
	return &peerpb.RelayRenewalReply{Origin: a.origin(), Renewed: err == nil, Expired: err != nil}, nil
}

// HandOver implements the peer protocol. It accepts slots and bucket levels from
// their previous owner.
func (a *Agent) HandOver(ctx context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	handedSlots := make([]runner.HandedOverSlot, 0, len(req.Slots))
	for _, slot := range req.Slots {
		handedSlot := runner.HandedOverSlot{Record: peer.FromSlotRecord(slot.Record)}
		for _, level := range slot.Levels {
			handedSlot.Levels = append(handedSlot.Levels, runner.BucketLevel{Account: level.Account, Tokens: level.LevelTokens})
		}
		handedSlots = append(handedSlots, handedSlot)
	}
	reply := &peerpb.HandOverReply{Origin: a.origin()}
	for _, slot := range a.slotRunner.AcceptHandOver(ctx, handedSlots) {
		reply.AcceptedSlots = append(reply.AcceptedSlots, uint32(slot))
	}
	return reply, nil
}

// ownershipRecords returns the ownership records newer than a revision in the wire
// format.
func (a *Agent) ownershipRecords(afterRevision uint64) []*peerpb.SlotRecord {
	if a.slotRunner == nil {
		return nil
	}
	table, _ := a.slotRunner.Records()
	records := make([]*peerpb.SlotRecord, 0, len(table))
	for _, record := range table {
		if record.Revision > afterRevision {
			records = append(records, peer.ToSlotRecord(record))
		}
	}
	return records
}
