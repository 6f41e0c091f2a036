package agent

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
)

// limiterRetryAfter is the retry delay for a request that no bucket part could
// decide.
const limiterRetryAfter = time.Second

// Admit implements the peer protocol. It reserves tokens from the client
// account's bucket part in one slot.
func (a *Agent) Admit(ctx context.Context, req *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	answer, refusal := a.admit(ctx, req)
	reply := &peerpb.AdmitReply{
		Origin:      a.origin(),
		Refusal:     peer.ToRefusal(refusal),
		LevelTokens: uint64(max(answer.Level, 0)),
	}
	if refusal == nil {
		reply.GrantedTokens = uint64(answer.Tokens)
	}
	return reply, nil
}

func (a *Agent) admit(ctx context.Context, req *peerpb.AdmitRequest) (ratelimit.Answer, *outcome.Refusal) {
	ledger := a.ownedLedger(req.Slot, req.Epoch)
	if ledger == nil {
		return ratelimit.Answer{}, notOwner()
	}
	request := ratelimit.Request{
		ID: req.RequestId, Tokens: int64(req.Tokens), Timeout: time.Duration(req.HoldMs) * time.Millisecond,
	}
	answer := ledger.Reserve(a.ledgers.now(), req.Account, request)
	if answer.Outcome == ratelimit.InsufficientTokens && req.AllowPull {
		answer = a.pull(ctx, ledger, req, request)
	}
	// Only if the slot is still held at the same epoch was it held at the time of
	// the grant.
	if epoch, held := a.holds(req.Slot); !held || epoch != req.Epoch {
		return ratelimit.Answer{}, notOwner()
	}
	if answer.Outcome == ratelimit.Granted {
		return answer, nil
	}
	refusal := rateRefusal(answer)
	a.log.Log(eventlog.RateRefused, "request_id", req.RequestId, "account", req.Account, "slot", req.Slot,
		"tokens", req.Tokens, "level", answer.Level, "retry_after_ms", refusal.RetryAfter.Milliseconds())
	return answer, refusal
}

// ownedLedger returns the ledger of a slot, or nil if the agent does not hold
// the slot at the given epoch.
func (a *Agent) ownedLedger(slot uint32, epoch uint64) *ratelimit.Ledger {
	if heldEpoch, ok := a.holds(slot); !ok || heldEpoch != epoch {
		return nil
	}
	return a.ledgers.get(slot, epoch)
}

func notOwner() *outcome.Refusal {
	return outcome.NotRunRetryAfter(outcome.CodeNotOwner, limiterRetryAfter, "the agent does not hold the slot")
}

func rateRefusal(answer ratelimit.Answer) *outcome.Refusal {
	switch {
	case answer.Outcome == ratelimit.InsufficientTokens && answer.AccrualPaused:
		return outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, answer.RetryAfter, "the bucket part's new owner can't decide yet")
	case answer.Outcome == ratelimit.InsufficientTokens:
		return outcome.NotRunRetryAfter(outcome.CodeRateLimited, answer.RetryAfter, "the client account is above its rate")
	case answer.Outcome == ratelimit.TooLarge:
		return outcome.NotRun(outcome.CodeRateLimited, "the request is larger than the client account's burst")
	case answer.Outcome == ratelimit.Stopped:
		return notOwner()
	default:
		// The part is busy, or the account comes from a bundle that this agent has
		// not received yet.
		return outcome.NotRunRetryAfter(outcome.CodeLimiterUnavailable, limiterRetryAfter, "the bucket part can't decide now")
	}
}

// Settle implements the peer protocol. It ignores settlements for slots that the
// agent no longer holds, so their refunds are lost.
func (a *Agent) Settle(_ context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	for _, settlement := range req.Settlements {
		a.settle(settlement)
	}
	return &peerpb.SettleReply{Origin: a.origin()}, nil
}

func (a *Agent) settle(s *peerpb.Settlement) {
	epoch, held := a.holds(s.Slot)
	if !held {
		return
	}
	ledger := a.ledgers.get(s.Slot, epoch)
	if ledger == nil {
		return
	}
	settled := ledger.Settle(a.ledgers.now(), s.Account, s.RequestId, int64(s.UsedTokens))
	switch {
	case !settled.Found:
		a.log.Log(eventlog.ReservationExpired, "request_id", s.RequestId, "account", s.Account, "slot", s.Slot)
	case settled.Overshoot > 0:
		a.log.Log(eventlog.RateOvershoot, "request_id", s.RequestId, "account", s.Account, "slot", s.Slot,
			"reserved", int64(s.UsedTokens)-settled.Overshoot, "used", s.UsedTokens, "level", settled.Level)
	}
}

// Lend implements the peer protocol. It lends tokens of one bucket part to a
// sibling part.
func (a *Agent) Lend(_ context.Context, req *peerpb.LendRequest) (*peerpb.LendReply, error) {
	loan := a.lend(req)
	return &peerpb.LendReply{
		Origin: a.origin(), Tokens: uint64(loan.Tokens), LevelTokens: uint64(max(loan.Level, 0)),
	}, nil
}

// lend returns an empty loan unless the agent holds the slot at the time of the
// debit. If the slot is lost during the debit, neither part gets the tokens.
func (a *Agent) lend(req *peerpb.LendRequest) ratelimit.Loan {
	epoch, held := a.holds(req.FromSlot)
	if !held {
		return ratelimit.Loan{}
	}
	ledger := a.ledgers.get(req.FromSlot, epoch)
	if ledger == nil {
		return ratelimit.Loan{}
	}
	loan := ledger.Lend(a.ledgers.now(), req.Account, req.TransferId, int64(req.Tokens))
	if current, ok := a.holds(req.FromSlot); !ok || current != epoch {
		return ratelimit.Loan{}
	}
	if loan.Tokens > 0 {
		a.log.Log(eventlog.TokensLent, "transfer", req.TransferId, "account", req.Account, "from_slot", req.FromSlot,
			"to_slot", req.ToSlot, "tokens", loan.Tokens, "level", loan.Level)
	}
	return loan
}
