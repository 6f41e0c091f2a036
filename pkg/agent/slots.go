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

// slotTenant is a part of the agent that keeps state for owned slots.
type slotTenant interface {
	// started is called once the slot is held at an epoch.
	started(slot ownership.SlotID, epoch uint64)
	// stopped is called once the slot is no longer held at the epoch.
	stopped(slot ownership.SlotID, epoch uint64)
}

// slotHolder passes changes of ownership on to the tenants. It implements
// runner.SlotHandler.
type slotHolder struct {
	agent *Agent
}

var _ runner.SlotHandler = slotHolder{}

// SlotAcquired implements runner.SlotHandler.
func (h slotHolder) SlotAcquired(slot ownership.SlotID, epoch uint64) {
	for _, tenant := range h.agent.tenants() {
		tenant.started(slot, epoch)
	}
}

// SlotLost implements runner.SlotHandler.
func (h slotHolder) SlotLost(slot ownership.SlotID, epoch uint64) {
	for _, tenant := range h.agent.tenants() {
		tenant.stopped(slot, epoch)
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

// SlotHolder returns the user of the agent's slots.
func (a *Agent) SlotHolder() runner.SlotHandler {
	return slotHolder{agent: a}
}

// SetSlotRunner sets the runner that owns the agent's slots. It is called once,
// before the agent serves.
func (a *Agent) SetSlotRunner(slots *runner.Runner) {
	a.slots = slots
}

func (a *Agent) tenants() []slotTenant {
	return []slotTenant{a.ledgers, a.records}
}

// holds says whether the agent may use the slot now, and the epoch.
func (a *Agent) holds(slot uint32) (uint64, bool) {
	if a.slots == nil {
		return 0, false
	}
	return a.slots.Holds(ownership.SlotID(slot))
}

// Promise implements the peer protocol.
func (a *Agent) Promise(ctx context.Context, req *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	duration := time.Duration(req.DurationMs) * time.Millisecond
	reply := a.slots.HandlePromiseRequest(ctx, req.GetOrigin().GetVmId(), ownership.SlotID(req.Slot), req.Epoch, duration)
	answer := &peerpb.PromiseReply{
		Origin:         a.origin(),
		Granted:        reply.Granted,
		KvContactAgeMs: uint32(reply.ContactAge.Milliseconds()),
	}
	if reply.NewerRecord.Revision > 0 {
		answer.Newer = peer.ToSlotRecord(reply.NewerRecord)
	}
	return answer, nil
}

// RelayRenewal implements the peer protocol.
func (a *Agent) RelayRenewal(ctx context.Context, req *peerpb.RelayRenewalRequest) (*peerpb.RelayRenewalReply, error) {
	err := a.slots.RelayRenewal(ctx, kv.LeaseID(req.Lease))
	if err != nil && !errors.Is(err, kv.ErrLeaseExpired) {
		return nil, errors.Trace(err)
	}
	return &peerpb.RelayRenewalReply{Origin: a.origin(), Renewed: err == nil, Expired: err != nil}, nil
}

// HandOver implements the peer protocol.
func (a *Agent) HandOver(ctx context.Context, req *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	handed := make([]runner.HandedOverSlot, 0, len(req.Slots))
	for _, slot := range req.Slots {
		one := runner.HandedOverSlot{Record: peer.FromSlotRecord(slot.Record)}
		for _, level := range slot.Levels {
			one.Levels = append(one.Levels, runner.BucketLevel{Account: level.Account, Tokens: level.LevelTokens})
		}
		handed = append(handed, one)
	}
	reply := &peerpb.HandOverReply{Origin: a.origin()}
	for _, slot := range a.slots.AcceptHandOver(ctx, handed) {
		reply.AcceptedSlots = append(reply.AcceptedSlots, uint32(slot))
	}
	return reply, nil
}

// slotRecords returns the slots' records newer than a revision for the wire.
func (a *Agent) slotRecords(after uint64) []*peerpb.SlotRecord {
	if a.slots == nil {
		return nil
	}
	table, _ := a.slots.Records()
	records := make([]*peerpb.SlotRecord, 0, len(table))
	for _, record := range table {
		if record.Revision > after {
			records = append(records, peer.ToSlotRecord(record))
		}
	}
	return records
}
