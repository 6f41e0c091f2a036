package admission

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
)

// limiterRetryAfter is the retry delay advertised to callers whose request was
// not decided by any part.
const limiterRetryAfter = time.Second

// newOwnerWait is the minimum time that a request waits for tokens after its
// wait in the account's queue. It exceeds the time for which a part's new owner
// grants nothing.
const newOwnerWait = ratelimit.LoanHold + 100*time.Millisecond

// admissionAttempt is the state of one request's admission by the parts of its
// account's bucket.
type admissionAttempt struct {
	remote  *Remote
	request Request
	// deadline bounds all waits, tokenDeadline only waits for tokens. A call
	// that starts before a deadline may end after it, at its own timeout.
	deadline      time.Time
	tokenDeadline time.Time
	calls         int
	// unansweredSlots holds the slots whose owner may have granted a
	// reservation in a reply that was lost.
	unansweredSlots map[uint32]bool
	// tableRefreshed is set once the slot table was requested in this round.
	tableRefreshed bool
}

// roundResult is the result of one round of calls to the parts.
type roundResult struct {
	granted bool
	slot    uint32
	// refusal is the CodeRateLimited refusal that ended the round, if any.
	refusal *outcome.Refusal
}

// run calls the parts until one grants the request, the wait would be too long
// or ctx ends. It returns the slot of the part that granted the request.
func (a *admissionAttempt) run(ctx context.Context) (uint32, *outcome.Refusal) {
	if !a.remote.queues.hasWaiting(a.request.Account) {
		result := a.tryParts(ctx)
		switch {
		case result.granted:
			return result.slot, nil
		case result.refusal != nil && !a.canWait(result.refusal, result.refusal.RetryAfter):
			return 0, result.refusal
		}
	}
	select {
	case a.remote.waitingRequests <- struct{}{}:
		defer func() { <-a.remote.waitingRequests }()
	default:
		return 0, outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, limiterRetryAfter, "too many requests wait for admission")
	}
	defer a.remote.queues.acquire(ctx, a.request.Account, a.tokenDeadline)()
	// Requests ahead in the queue may have waited for a part's new owner, which
	// grants nothing at first.
	a.tokenDeadline = laterOf(a.tokenDeadline, time.Now().Add(newOwnerWait))
	return a.runQueued(ctx)
}

// runQueued calls the parts for a request that is at the head of its account's
// queue or whose wait in the queue has timed out.
func (a *admissionAttempt) runQueued(ctx context.Context) (uint32, *outcome.Refusal) {
	var last *outcome.Refusal
	for {
		result := a.tryParts(ctx)
		if result.granted {
			return result.slot, nil
		}
		wait := a.remote.Options.UnansweredRetryDelay
		if result.refusal == nil {
			// A part that gets a new owner meanwhile may start at level zero.
			a.tokenDeadline = time.Now().Add(a.remote.Options.MaxTokenWait)
		} else {
			last, wait = result.refusal, max(result.refusal.RetryAfter, a.remote.Options.MinRetryDelay)
		}
		if !a.canWait(result.refusal, wait) || !clock.Sleep(ctx, wait) {
			return 0, a.finalRefusal(ctx, last)
		}
	}
}

func laterOf(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// canWait reports whether a retry after wait may succeed before the deadline.
func (a *admissionAttempt) canWait(refusal *outcome.Refusal, wait time.Duration) bool {
	if refusal != nil && refusal.RetryAfter == 0 {
		return false
	}
	if refusal != nil {
		return time.Until(a.tokenDeadline) > wait
	}
	return time.Until(a.deadline) > wait
}

// finalRefusal returns the refusal for a request that no part has granted. last
// is the last refusal by a part, if any.
func (a *admissionAttempt) finalRefusal(ctx context.Context, last *outcome.Refusal) *outcome.Refusal {
	if ctx.Err() != nil {
		return outcome.NotRun(outcome.CodeCancelled, "the caller left before the request was admitted")
	}
	if last != nil {
		return last
	}
	a.remote.Log.Log(eventlog.PartsUnreachable, "request_id", a.request.RequestID, "account", a.request.Account, "tries", a.calls)
	return outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, limiterRetryAfter, "no part of the client account's bucket answers")
}

// tryParts calls the parts in turn until one grants the request or refuses it
// with CodeRateLimited. Such a refusal ends the round, because that part has
// already requested tokens from its sibling parts.
func (a *admissionAttempt) tryParts(ctx context.Context) roundResult {
	a.tableRefreshed = false
	for _, candidate := range a.remote.orderParts(a.request) {
		if ctx.Err() != nil {
			break
		}
		refusal := a.callOwner(ctx, candidate.Slot)
		if refusal != nil && refusal.Code == outcome.CodeNotOwner && a.refreshSlotTable(ctx, candidate.Slot) {
			refusal = a.callOwner(ctx, candidate.Slot)
		}
		switch {
		case refusal == nil:
			return roundResult{granted: true, slot: candidate.Slot}
		case refusal.Code == outcome.CodeRateLimited:
			return roundResult{refusal: refusal}
		}
		a.remote.recordFailure(candidate.Slot)
	}
	return roundResult{}
}

// callOwner requests the reservation from the slot's owner in the slot table.
func (a *admissionAttempt) callOwner(ctx context.Context, slot uint32) *outcome.Refusal {
	owner, ok := a.remote.Slots.Table.Owner(slot)
	if !ok {
		return outcome.NotRun(outcome.CodeNotOwner, "the slot has no known owner")
	}
	a.calls++
	callCtx, cancel := context.WithTimeout(ctx, a.remote.Options.CallTimeout)
	defer cancel()
	reply, err := a.remote.Peers.Agent(callCtx, owner.Address).Admit(callCtx, &peerpb.AdmitRequest{
		Origin:    a.remote.Origin(),
		RequestId: a.request.RequestID,
		Account:   a.request.Account,
		Slot:      slot,
		Epoch:     owner.Epoch,
		Tokens:    uint64(max(a.request.Tokens, 0)),
		HoldMs:    uint32(a.request.ReservationTimeout.Milliseconds()),
		AllowPull: true,
	})
	if err != nil {
		a.handleCallError(ctx, slot, owner.Address, err)
		return outcome.NotRun(outcome.CodeLimiterUnavailable, "the part's owner did not answer")
	}
	a.remote.OnReply(reply.Origin, owner.Address)
	refusal := peer.FromRefusal(reply.Refusal)
	if refusal == nil || refusal.Code == outcome.CodeRateLimited {
		a.remote.recordLevel(a.request.Account, slot, int64(reply.LevelTokens))
	}
	return refusal
}

// handleCallError marks the slot as unanswered, unless the owner refused the
// connection and so cannot have granted a reservation.
func (a *admissionAttempt) handleCallError(ctx context.Context, slot uint32, address string, err error) {
	if peer.IsConnectionRefused(err) {
		return
	}
	a.unansweredSlots[slot] = true
	if ctx.Err() == nil {
		a.remote.Peers.DiscardConnections(address)
	}
}

// refreshSlotTable requests the slot table from the agent that no longer owns
// the slot, or from another agent if that fails, at most once per round. It
// reports whether the slot's owner or epoch has changed.
func (a *admissionAttempt) refreshSlotTable(ctx context.Context, slot uint32) bool {
	before, known := a.remote.Slots.Table.Owner(slot)
	if a.tableRefreshed {
		return false
	}
	a.tableRefreshed = true
	callCtx, cancel := context.WithTimeout(ctx, a.remote.Options.CallTimeout)
	defer cancel()
	if !known || a.remote.Slots.SyncFromAgent(callCtx, before.Address) != nil {
		a.remote.Slots.SyncFromAnyAgent(callCtx)
	}
	after, found := a.remote.Slots.Table.Owner(slot)
	return found && after != before
}

// releaseUnanswered settles, with no used tokens, the reservations that the
// owners may have granted to unanswered calls.
func (a *admissionAttempt) releaseUnanswered(grantedSlot uint32, admitted bool) {
	for slot := range a.unansweredSlots {
		if !admitted || slot != grantedSlot {
			a.remote.enqueueSettlement(settlement{account: a.request.Account, requestID: a.request.RequestID, slot: slot})
		}
	}
}
