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

// SlotPeers carries the calls of slot ownership to other agents. It implements
// runner.Peers.
type SlotPeers struct {
	Client *Client
	// Address returns the peer address of a VM.
	Address func(vm string) (string, bool)
	Origin  func() *peerpb.Origin
}

var _ runner.Peers = (*SlotPeers)(nil)

// errUnknownVM means that the VM's address is not known.
const errUnknownVM = errors.ConstError("address of the VM not known")

// errNotTaken means that the new owner does not hold the slots yet.
const errNotTaken = errors.ConstError("levels not taken")

// BootID implements runner.Peers. It always uses a new connection, since a
// refusal proves something only now.
func (s *SlotPeers) BootID(ctx context.Context, _, address string) (uint64, error) {
	s.Client.DiscardConnections(address)
	reply, err := s.Client.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: s.Origin()})
	if err != nil {
		return 0, slotError(err)
	}
	return reply.GetOrigin().GetBootId(), nil
}

// RequestPromise implements runner.Peers.
func (s *SlotPeers) RequestPromise(ctx context.Context, ask ownership.RequestPromise) (ownership.PromiseReply, error) {
	agent, err := s.agent(ctx, ask.VM)
	if err != nil {
		return ownership.PromiseReply{}, err
	}
	reply, err := agent.Promise(ctx, &peerpb.PromiseRequest{
		Origin:     s.Origin(),
		Slot:       uint32(ask.Slot),
		Epoch:      ask.Epoch,
		DurationMs: uint32(ask.Duration.Milliseconds()),
	})
	if err != nil {
		return ownership.PromiseReply{}, s.failed(ask.VM, err)
	}
	answer := ownership.PromiseReply{
		Granted:    reply.Granted,
		ContactAge: time.Duration(reply.KvContactAgeMs) * time.Millisecond,
	}
	if reply.Newer != nil {
		answer.NewerRecord = FromSlotRecord(reply.Newer)
	}
	return answer, nil
}

// RelayRenewal implements runner.Peers.
func (s *SlotPeers) RelayRenewal(ctx context.Context, vm string, lease kv.LeaseID) error {
	agent, err := s.agent(ctx, vm)
	if err != nil {
		return err
	}
	reply, err := agent.RelayRenewal(ctx, &peerpb.RelayRenewalRequest{Origin: s.Origin(), Lease: string(lease)})
	switch {
	case err != nil:
		return s.failed(vm, err)
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
	agent, err := s.agent(ctx, vm)
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
		return s.failed(vm, err)
	}
	if len(reply.AcceptedSlots) < len(slots) {
		return errors.Annotatef(errNotTaken, "%d of %d slots", len(slots)-len(reply.AcceptedSlots), len(slots))
	}
	return nil
}

func (s *SlotPeers) agent(ctx context.Context, vm string) (peerpb.DRPCAgentClient, error) {
	address, ok := s.Address(vm)
	if !ok {
		return nil, errors.Annotate(errUnknownVM, vm)
	}
	return s.Client.Agent(ctx, address), nil
}

// failed abandons the connections to a VM that did not answer.
func (s *SlotPeers) failed(vm string, err error) error {
	if address, ok := s.Address(vm); ok && !IsConnectionRefused(err) {
		s.Client.DiscardConnections(address)
	}
	return slotError(err)
}

func slotError(err error) error {
	if IsConnectionRefused(err) {
		return errors.WithType(err, runner.ErrRefused)
	}
	return errors.Trace(err)
}
