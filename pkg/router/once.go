package router

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/baobabhub/baobabhub/pkg/caller"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/idempotency/store"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

const (
	// maxIdempotencyKeyBytes bounds a caller's idempotency key.
	maxIdempotencyKeyBytes = 255
	// maxOnceAsks bounds the questions to slot owners for one call.
	maxOnceAsks = 24
	// onceAskTimeout is the longest wait for one answer; the next question
	// joins the attempt that the earlier one started.
	onceAskTimeout = 1500 * time.Millisecond
	// firstOnceWait and maxOnceWait bound the waits between questions, which
	// double.
	firstOnceWait = 20 * time.Millisecond
	maxOnceWait   = 250 * time.Millisecond
	// maxOnceTargets bounds the targets that the owner is told of.
	maxOnceTargets = 3
	// slotRefreshInterval is the least time between two questions of the
	// router for the owners of slots.
	slotRefreshInterval = 50 * time.Millisecond
	// slotRefreshTimeout bounds one such question.
	slotRefreshTimeout = 250 * time.Millisecond
)

// onceCall is one at-most-once call on its way. Each question about it has the
// same key, so that the key's record decides whether it still may be sent.
type onceCall struct {
	*serviceCall
	slot uint32
	key  string
	// lost says that an answer was lost: from then on no refusal proves that
	// the call has not run and never will.
	lost bool
	// unanswered says that the last question got no answer.
	unanswered bool
}

// runOnce sends a call that may run at most once to the owner of its slot.
func (s *serviceCall) runOnce(ctx context.Context) (caller.ServiceAnswer, *outcome.Refusal) {
	if len(s.key) > maxIdempotencyKeyBytes {
		return caller.ServiceAnswer{}, outcome.NotRun(outcome.CodeInvalidRequest, "the idempotency key is too long")
	}
	if s.router.Slots == nil {
		return caller.ServiceAnswer{}, noOwner()
	}
	key := s.key
	if key == "" {
		key = store.RandomKey()
	}
	hash := idempotency.KeyHash(s.owner.Account, s.route.Name, key)
	call := &onceCall{
		serviceCall: s, key: key, slot: idempotency.SlotOf(hash, uint32(s.router.Slots.Count())),
	}
	return call.run(ctx)
}

// run asks until a question is answered for good, or the deadline or the
// bound on questions is reached.
func (c *onceCall) run(ctx context.Context) (caller.ServiceAnswer, *outcome.Refusal) {
	wait := firstOnceWait
	refusal := noOwner()
	for range maxOnceAsks {
		reply, refused := c.ask(ctx)
		if refused == nil {
			return serviceAnswer(reply.Answer, reply.TargetVmId, reply.Replayed), nil
		}
		refusal = refused
		if !c.mayAskAgain(refusal) || ctx.Err() != nil {
			break
		}
		jittered := wait/2 + rand.N(wait/2)
		if !clock.Sleep(ctx, jittered) {
			break
		}
		wait = min(2*wait, maxOnceWait)
		c.router.refreshSlots(ctx)
	}
	return caller.ServiceAnswer{}, c.final(ctx, refusal)
}

// ask puts the call once to the owner of its slot.
func (c *onceCall) ask(ctx context.Context) (*peerpb.ExecuteReply, *outcome.Refusal) {
	c.unanswered = false
	owner, known := c.router.Slots.Owner(c.slot)
	if !known {
		return nil, noOwner()
	}
	request := c.request(ctx, owner.Epoch)
	ctx, cancel := context.WithTimeout(ctx, onceAskTimeout)
	defer cancel()
	reply, err := c.router.Peers.Agent(ctx, owner.Address).Execute(ctx, request)
	switch {
	case err == nil && reply.Refusal != nil:
		return nil, peer.FromRefusal(reply.Refusal)
	case err == nil && reply.Answer != nil:
		return reply, nil
	case peer.IsRefused(err):
		return nil, noOwner()
	}
	c.lost, c.unanswered = true, true
	c.router.Peers.Abandon(owner.Address)
	return nil, lostOnce()
}

// request is the question with the time that is left.
func (c *onceCall) request(ctx context.Context, epoch uint64) *peerpb.ExecuteRequest {
	if deadline, ok := ctx.Deadline(); ok {
		c.message.TimeoutMs = uint32(max(time.Until(deadline), time.Millisecond).Milliseconds())
	}
	request := &peerpb.ExecuteRequest{
		Origin: c.router.origin(), Call: c.message, IdempotencyKey: c.key, Slot: c.slot, Epoch: epoch,
	}
	for i, target := range c.targets() {
		if i == maxOnceTargets {
			break
		}
		request.TargetVmIds = append(request.TargetVmIds, target.VMID)
		request.TargetAddresses = append(request.TargetAddresses, target.Address)
	}
	return request
}

// mayAskAgain says whether a later question may be answered better. It is
// always safe to ask, since the key's record decides.
func (c *onceCall) mayAskAgain(refusal *outcome.Refusal) bool {
	if c.unanswered {
		return true
	}
	switch refusal.Code {
	case outcome.CodeNotOwner, outcome.CodeNotReady, outcome.CodeLeaving, outcome.CodeCancelled:
		return true
	case outcome.CodeRecordUnavailable, outcome.CodeNoTarget:
		return c.lost || refusal.RetryAfter <= maxOnceWait
	default:
		return false
	}
}

// final is the outcome that the caller is told. "Not run" is said only if no
// answer was lost: an earlier question may otherwise still be under way.
func (c *onceCall) final(ctx context.Context, refusal *outcome.Refusal) *outcome.Refusal {
	if c.lost && refusal.Ran == outcome.RanNo && refusal.Code != outcome.CodeKeyReused {
		return lostOnce()
	}
	if ctx.Err() != nil && refusal.Ran == outcome.RanNo {
		return outcome.NotRunRetryAfter(outcome.CodeTimeout, noTargetRetryAfter, "the deadline passed before the call was sent")
	}
	return refusal
}

func noOwner() *outcome.Refusal {
	return outcome.NotRunRetryAfter(outcome.CodeNotOwner, noTargetRetryAfter, "no owner of the call's slot can be reached")
}

func lostOnce() *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown, RetryAfter: noTargetRetryAfter,
		Message: "the answer was lost; the call may have run; ask again with the same idempotency key"}
}

// slotRefresh spaces the router's questions for the owners of slots.
type slotRefresh struct {
	// next is the earliest time of the next question, in Unix nanoseconds.
	next atomic.Int64
}

// due says whether the caller is to ask now.
func (s *slotRefresh) due(now time.Time) bool {
	next := s.next.Load()
	return now.UnixNano() >= next && s.next.CompareAndSwap(next, now.Add(slotRefreshInterval).UnixNano())
}

// refreshSlots takes the slots that one random agent knows of, beside the
// watch that keeps the table.
func (r *Router) refreshSlots(ctx context.Context) {
	targets := r.Directory.Targets()
	if len(targets) == 0 || !r.refresh.due(time.Now()) {
		return
	}
	address := targets[rand.IntN(len(targets))].Address
	ctx, cancel := context.WithTimeout(ctx, slotRefreshTimeout)
	defer cancel()
	reply, err := r.Peers.Agent(ctx, address).Exchange(ctx, &peerpb.ExchangeRequest{Origin: r.origin(), WantSlots: true})
	if err != nil {
		return
	}
	for _, record := range reply.Slots {
		r.Slots.Update(peer.FromSlotRecord(record))
	}
}
