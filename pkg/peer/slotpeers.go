package peer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/ownership/runner"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// SlotPeers implements runner.Peers by calling other agents.
type SlotPeers struct {
	Client *Client
	// Address returns the peer address of a VM, and false if it is unknown.
	Address func(vm string) (string, bool)
	// Origin returns the description of this process that is sent with each request.
	Origin func() *peerpb.Origin
}

var _ runner.Peers = (*SlotPeers)(nil)

// errUnknownAddress is returned when the VM's address is not known.
const errUnknownAddress = errors.ConstError("address of the VM is not known")

// errHandOverIncomplete is returned when the new owner has not accepted all slots.
const errHandOverIncomplete = errors.ConstError("hand-over not accepted")

// BootID implements runner.Peers. It always opens a new connection, since only a new
// connection shows whether a process listens at the address now.
func (s *SlotPeers) BootID(ctx context.Context, _, address string) (uint64, error) {
	s.Client.DiscardConnections(address)
	reply, err := s.Client.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: s.Origin()})
	if err != nil {
		return 0, classifyError(err)
	}
	return reply.GetOrigin().GetBootId(), nil
}

// RequestPromise implements runner.Peers.
func (s *SlotPeers) RequestPromise(ctx context.Context, request ownership.RequestPromise) (ownership.PromiseReply, error) {
	agent, err := s.agentClient(ctx, request.VM)
	if err != nil {
		return ownership.PromiseReply{}, err
	}
	reply, err := agent.Promise(ctx, &peerpb.PromiseRequest{
		Origin:     s.Origin(),
		Slot:       uint32(request.Slot),
		Epoch:      request.Epoch,
		DurationMs: uint32(request.Duration.Milliseconds()),
	})
	if err != nil {
		return ownership.PromiseReply{}, s.handleCallError(request.VM, err)
	}
	promise := ownership.PromiseReply{
		Granted:    reply.Granted,
		ContactAge: time.Duration(reply.KvContactAgeMs) * time.Millisecond,
	}
	if reply.Newer != nil {
		promise.NewerRecord = FromSlotRecord(reply.Newer)
	}
	return promise, nil
}

// RelayRenewal implements runner.Peers.
func (s *SlotPeers) RelayRenewal(ctx context.Context, vm string, lease kv.LeaseID) error {
	agent, err := s.agentClient(ctx, vm)
	if err != nil {
		return err
	}
	reply, err := agent.RelayRenewal(ctx, &peerpb.RelayRenewalRequest{Origin: s.Origin(), Lease: string(lease)})
	switch {
	case err != nil:
		return s.handleCallError(vm, err)
	case reply.Expired:
		return kv.ErrLeaseExpired
	case !reply.Renewed:
		return kv.ErrUnavailable
	default:
		return nil
	}
}

// HandOver implements runner.Peers.
func (s *SlotPeers) HandOver(ctx context.Context, vm string, slots []runner.HandedOverSlot) error {
	agent, err := s.agentClient(ctx, vm)
	if err != nil {
		return err
	}
	request := &peerpb.HandOverRequest{Origin: s.Origin()}
	for _, slot := range slots {
		message := &peerpb.SlotHandOver{Record: ToSlotRecord(slot.Record)}
		for _, level := range slot.Levels {
			message.Levels = append(message.Levels, &peerpb.PartLevel{Account: level.Account, LevelTokens: level.Tokens})
		}
		request.Slots = append(request.Slots, message)
	}
	reply, err := agent.HandOver(ctx, request)
	if err != nil {
		return s.handleCallError(vm, err)
	}
	if len(reply.AcceptedSlots) < len(slots) {
		return errors.Annotatef(errHandOverIncomplete, "%d of %d slots", len(slots)-len(reply.AcceptedSlots), len(slots))
	}
	return nil
}

// agentClient returns a client for the agent on a VM.
func (s *SlotPeers) agentClient(ctx context.Context, vm string) (peerpb.DRPCAgentClient, error) {
	address, ok := s.Address(vm)
	if !ok {
		return nil, errors.Annotate(errUnknownAddress, vm)
	}
	return s.Client.Agent(ctx, address), nil
}

// handleCallError stops the reuse of the connections to the VM, unless the VM refused
// the connection, and returns err as a runner.Peers error.
func (s *SlotPeers) handleCallError(vm string, err error) error {
	if address, ok := s.Address(vm); ok && !IsConnectionRefused(err) {
		s.Client.DiscardConnections(address)
	}
	return classifyError(err)
}

// classifyError marks the error of a refused connection with the corresponding error of
// package runner.
func classifyError(err error) error {
	if IsConnectionRefused(err) {
		return errors.WithType(err, runner.ErrRefused)
	}
	return errors.Trace(err)
}
