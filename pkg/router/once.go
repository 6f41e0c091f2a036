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
	// maxExecuteAttempts bounds the Execute requests to slot owners for one
	// call.
	maxExecuteAttempts = 24
	// executeTimeout bounds one Execute request. A request after a timeout
	// joins the attempt that the earlier one started at the owner.
	executeTimeout = 1500 * time.Millisecond
	// minExecuteBackoff and maxExecuteBackoff bound the exponential delay
	// between Execute requests.
	minExecuteBackoff = 20 * time.Millisecond
	maxExecuteBackoff = 250 * time.Millisecond
	// maxExecuteTargets bounds the candidate targets in an Execute request.
	maxExecuteTargets = 3
	// slotRefreshInterval is the minimum time between two requests of the
	// router for the table of slot owners.
	slotRefreshInterval = 50 * time.Millisecond
	// slotRefreshTimeout bounds one such request.
	slotRefreshTimeout = 250 * time.Millisecond
)

// atMostOnceCall is one at-most-once call in progress. All its Execute requests
// carry the same key, so that the key's idempotency record decides whether the
// call may still be sent to a target.
type atMostOnceCall struct {
	*serviceCall
	slot uint32
	key  string
	// answerLost is set once any Execute request got no reply. From then on no
	// refusal proves that the call has not run and will not run.
	answerLost bool
	// lastUnanswered reports whether the latest Execute request got no reply.
	lastUnanswered bool
}

// runAtMostOnce sends an at-most-once call to the owner of its slot.
func (s *serviceCall) runAtMostOnce(ctx context.Context) (caller.ServiceAnswer, *outcome.Refusal) {
	if len(s.idempotencyKey) > maxIdempotencyKeyBytes {
		return caller.ServiceAnswer{}, outcome.NotRun(outcome.CodeInvalidRequest, "the idempotency key is too long")
	}
	if s.router.Slots == nil {
		return caller.ServiceAnswer{}, noOwnerRefusal()
	}
	key := s.idempotencyKey
	if key == "" {
		key = store.RandomKey()
	}
	hash := idempotency.KeyHash(s.owner.Account, s.route.Name, key)
	call := &atMostOnceCall{
		serviceCall: s, key: key, slot: idempotency.SlotOf(hash, uint32(s.router.Slots.Count())),
	}
	return call.run(ctx)
}

// run sends Execute requests until one returns a final result, the deadline
// passes or the limit on requests is reached.
func (c *atMostOnceCall) run(ctx context.Context) (caller.ServiceAnswer, *outcome.Refusal) {
	backoff := minExecuteBackoff
	refusal := noOwnerRefusal()
	for range maxExecuteAttempts {
		reply, executeRefusal := c.execute(ctx)
		if executeRefusal == nil {
			return newServiceAnswer(reply.Answer, reply.TargetVmId, reply.Replayed), nil
		}
		refusal = executeRefusal
		if !c.mayRetry(refusal) || ctx.Err() != nil {
			break
		}
		delay := backoff/2 + rand.N(backoff/2)
		if !clock.Sleep(ctx, delay) {
			break
		}
		backoff = min(2*backoff, maxExecuteBackoff)
		c.router.refreshSlots(ctx)
	}
	return caller.ServiceAnswer{}, c.finalRefusal(ctx, refusal)
}

// execute sends one Execute request to the owner of the call's slot.
func (c *atMostOnceCall) execute(ctx context.Context) (*peerpb.ExecuteReply, *outcome.Refusal) {
	c.lastUnanswered = false
	owner, known := c.router.Slots.Owner(c.slot)
	if !known {
		return nil, noOwnerRefusal()
	}
	request := c.executeRequest(ctx, owner.Epoch)
	ctx, cancel := context.WithTimeout(ctx, executeTimeout)
	defer cancel()
	reply, err := c.router.Peers.Agent(ctx, owner.Address).Execute(ctx, request)
	switch {
	case err == nil && reply.Refusal != nil:
		return nil, peer.FromRefusal(reply.Refusal)
	case err == nil && reply.Answer != nil:
		return reply, nil
	case peer.IsConnectionRefused(err):
		return nil, noOwnerRefusal()
	}
	c.answerLost, c.lastUnanswered = true, true
	c.router.Peers.DiscardConnections(owner.Address)
	return nil, answerLostRefusal()
}

// executeRequest builds an Execute request with the time remaining until the
// deadline.
func (c *atMostOnceCall) executeRequest(ctx context.Context, epoch uint64) *peerpb.ExecuteRequest {
	if deadline, ok := ctx.Deadline(); ok {
		c.message.TimeoutMs = uint32(max(time.Until(deadline), time.Millisecond).Milliseconds())
	}
	request := &peerpb.ExecuteRequest{
		Origin: c.router.origin(), Call: c.message, IdempotencyKey: c.key, Slot: c.slot, Epoch: epoch,
	}
	for i, target := range c.targets() {
		if i == maxExecuteTargets {
			break
		}
		request.TargetVmIds = append(request.TargetVmIds, target.VMID)
		request.TargetAddresses = append(request.TargetAddresses, target.Address)
	}
	return request
}

// mayRetry reports whether another Execute request may have a better result. A
// retry is always safe, since the key's record decides whether the call may run.
func (c *atMostOnceCall) mayRetry(refusal *outcome.Refusal) bool {
	if c.lastUnanswered {
		return true
	}
	switch refusal.Code {
	case outcome.CodeNotOwner, outcome.CodeNotReady, outcome.CodeLeaving, outcome.CodeCancelled:
		return true
	case outcome.CodeRecordUnavailable, outcome.CodeNoTarget:
		return c.answerLost || refusal.RetryAfter <= maxExecuteBackoff
	default:
		return false
	}
}

// finalRefusal returns the outcome that the caller receives. It reports the call
// as not run only if no reply was lost, because an Execute request whose reply was
// lost may still be in progress.
func (c *atMostOnceCall) finalRefusal(ctx context.Context, refusal *outcome.Refusal) *outcome.Refusal {
	if c.answerLost && refusal.Ran == outcome.RanNo && refusal.Code != outcome.CodeKeyReused {
		return answerLostRefusal()
	}
	if ctx.Err() != nil && refusal.Ran == outcome.RanNo {
		return outcome.NotRunRetryAfter(outcome.CodeTimeout, noTargetRetryAfter, "the deadline passed before the call was sent")
	}
	return refusal
}

func noOwnerRefusal() *outcome.Refusal {
	return outcome.NotRunRetryAfter(outcome.CodeNotOwner, noTargetRetryAfter, "no owner of the call's slot can be reached")
}

func answerLostRefusal() *outcome.Refusal {
	return &outcome.Refusal{Code: outcome.CodeOutcomeUnknown, Ran: outcome.RanUnknown, RetryAfter: noTargetRetryAfter,
		Message: "the answer was lost; the call may have run; ask again with the same idempotency key"}
}

// slotRefreshLimiter limits the rate of the router's requests for slot owners.
type slotRefreshLimiter struct {
	// next is the earliest time of the next request, in Unix nanoseconds.
	next atomic.Int64
}

// allow reports whether a request may be sent now. If so, it starts the next
// interval.
func (l *slotRefreshLimiter) allow(now time.Time) bool {
	next := l.next.Load()
	return now.UnixNano() >= next && l.next.CompareAndSwap(next, now.Add(slotRefreshInterval).UnixNano())
}

// refreshSlots updates the slot table from a random agent, in addition to the
// watch that keeps the table up to date.
func (r *Router) refreshSlots(ctx context.Context) {
	targets := r.Directory.Targets()
	if len(targets) == 0 || !r.slotRefreshes.allow(time.Now()) {
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
