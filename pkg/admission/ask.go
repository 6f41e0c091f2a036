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

// unavailableRetryAfter is when a request may come back that no part decided.
const unavailableRetryAfter = time.Second

// newOwnerWait is the time that a request waits for a part's new owner to grant
// anything, even after its wait in the account's line.
const newOwnerWait = ratelimit.LoanHold + 100*time.Millisecond

// ask is one request on its way over the parts of its account's bucket.
type ask struct {
	remote  *Remote
	request Request
	// deadline bounds the waits; an ask that begins before it is bounded by
	// itself. Waits for tokens end at tokenDeadline already.
	deadline      time.Time
	tokenDeadline time.Time
	tries         int
	// unanswered are the slots that may hold a reservation nobody heard of.
	unanswered map[uint32]bool
	// refreshed says that the slot table was asked for in this round.
	refreshed bool
}

// verdict is what one round over the parts came to.
type verdict struct {
	granted bool
	slot    uint32
	// refusal is nil when no part could decide.
	refusal *outcome.Refusal
}

// run asks until a part grants, the wait would be too long, or ctx ends. It
// returns the slot that granted.
func (a *ask) run(ctx context.Context) (uint32, *outcome.Refusal) {
	if !a.remote.lines.busy(a.request.Account) {
		v := a.round(ctx)
		switch {
		case v.granted:
			return v.slot, nil
		case v.refusal != nil && !a.mayWait(v.refusal, v.refusal.RetryAfter):
			return 0, v.refusal
		}
	}
	select {
	case a.remote.waiting <- struct{}{}:
		defer func() { <-a.remote.waiting }()
	default:
		return 0, outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, unavailableRetryAfter, "too many requests wait for admission")
	}
	defer a.remote.lines.enter(ctx, a.request.Account, a.tokenDeadline)()
	// Those before may have waited for a part's owner; its new one grants
	// nothing at first.
	a.tokenDeadline = latest(a.tokenDeadline, time.Now().Add(newOwnerWait))
	return a.runInLine(ctx)
}

// runInLine asks as the first of the account's line, or at the deadline.
func (a *ask) runInLine(ctx context.Context) (uint32, *outcome.Refusal) {
	var last *outcome.Refusal
	for {
		v := a.round(ctx)
		if v.granted {
			return v.slot, nil
		}
		wait := a.remote.Options.RoundPause
		if v.refusal == nil {
			// A part that finds an owner only now may start at level zero.
			a.tokenDeadline = time.Now().Add(a.remote.Options.MaxWait)
		} else {
			last, wait = v.refusal, max(v.refusal.RetryAfter, a.remote.Options.MinPause)
		}
		if !a.mayWait(v.refusal, wait) || !clock.Sleep(ctx, wait) {
			return 0, a.refusal(ctx, last)
		}
	}
}

func latest(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// mayWait says whether waiting may help within the deadline.
func (a *ask) mayWait(refusal *outcome.Refusal, wait time.Duration) bool {
	if refusal != nil && refusal.RetryAfter == 0 {
		return false
	}
	if refusal != nil {
		return time.Until(a.tokenDeadline) > wait
	}
	return time.Until(a.deadline) > wait
}

func (a *ask) refusal(ctx context.Context, last *outcome.Refusal) *outcome.Refusal {
	if ctx.Err() != nil {
		return outcome.NotRun(outcome.CodeCancelled, "the caller left before the request was admitted")
	}
	if last != nil {
		return last
	}
	a.remote.Log.Log(eventlog.PartsUnreachable, "request_id", a.request.RequestID, "account", a.request.Account, "tries", a.tries)
	return outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, unavailableRetryAfter, "no part of the client account's bucket answers")
}

// round asks the parts in turn until one decides. A part that is short has
// asked its siblings itself.
func (a *ask) round(ctx context.Context) verdict {
	a.refreshed = false
	for _, candidate := range a.remote.order(a.request) {
		if ctx.Err() != nil {
			break
		}
		refusal := a.askOwner(ctx, candidate.Slot)
		if refusal != nil && refusal.Code == outcome.CodeNotOwner && a.refresh(ctx, candidate.Slot) {
			refusal = a.askOwner(ctx, candidate.Slot)
		}
		switch {
		case refusal == nil:
			return verdict{granted: true, slot: candidate.Slot}
		case refusal.Code == outcome.CodeRateLimited:
			return verdict{refusal: refusal}
		}
		a.remote.noteFailed(candidate.Slot)
	}
	return verdict{}
}

// askOwner asks the slot's owner, as the table has it, for the reservation.
func (a *ask) askOwner(ctx context.Context, slot uint32) *outcome.Refusal {
	owner, ok := a.remote.Slots.Table.Owner(slot)
	if !ok {
		return outcome.NotRun(outcome.CodeNotOwner, "the slot has no known owner")
	}
	a.tries++
	callCtx, cancel := context.WithTimeout(ctx, a.remote.Options.AskTimeout)
	defer cancel()
	reply, err := a.remote.Peers.Agent(callCtx, owner.Address).Admit(callCtx, &peerpb.AdmitRequest{
		Origin:    a.remote.Origin(),
		RequestId: a.request.RequestID,
		Account:   a.request.Account,
		Slot:      slot,
		Epoch:     owner.Epoch,
		Tokens:    uint64(max(a.request.Tokens, 0)),
		HoldMs:    uint32(a.request.Hold.Milliseconds()),
		AllowPull: true,
	})
	if err != nil {
		a.noAnswer(ctx, slot, owner.Address, err)
		return outcome.NotRun(outcome.CodeLimiterUnavailable, "the part's owner did not answer")
	}
	a.remote.OnReply(reply.Origin, owner.Address)
	refusal := peer.FromRefusal(reply.Refusal)
	if refusal == nil || refusal.Code == outcome.CodeRateLimited {
		a.remote.noteLevel(a.request.Account, slot, int64(reply.LevelTokens))
	}
	return refusal
}

func (a *ask) noAnswer(ctx context.Context, slot uint32, address string, err error) {
	if peer.IsRefused(err) {
		return
	}
	a.unanswered[slot] = true
	if ctx.Err() == nil {
		a.remote.Peers.Abandon(address)
	}
}

// refresh asks the agent that disowned a slot, else another one, for the slot
// table, once in a round. It says whether the slot's owner or epoch changed.
func (a *ask) refresh(ctx context.Context, slot uint32) bool {
	before, known := a.remote.Slots.Table.Owner(slot)
	if a.refreshed {
		return false
	}
	a.refreshed = true
	callCtx, cancel := context.WithTimeout(ctx, a.remote.Options.AskTimeout)
	defer cancel()
	if !known || a.remote.Slots.SyncFromAgent(callCtx, before.Address) != nil {
		a.remote.Slots.SyncFromAnyAgent(callCtx)
	}
	after, found := a.remote.Slots.Table.Owner(slot)
	return found && after != before
}

// giveBack settles reservations that earlier asks may have left behind.
func (a *ask) giveBack(granted uint32, any bool) {
	for slot := range a.unanswered {
		if !any || slot != granted {
			a.remote.settle(settlement{account: a.request.Account, requestID: a.request.RequestID, slot: slot})
		}
	}
}
