package ratelimit

import (
	"sync"
	"time"
)

// PartPosition identifies which part of its accounts' buckets a slot holds.
type PartPosition struct {
	// Index is the part's number, from 0 to Parts-1.
	Index int
	// Parts is the number of parts of the bucket.
	Parts int
}

// InitialState defines the initial levels of a Ledger.
type InitialState struct {
	// FirstEpoch is true only for a slot that has never had an owner; its parts
	// start full. Otherwise a part starts with its level in Levels, or at zero if
	// it has none.
	FirstEpoch bool
	// Levels holds the levels by account that the previous owner handed over after
	// it had stopped its ledger.
	Levels map[string]int64
}

// Totals holds the counts of a Ledger since its creation.
type Totals struct {
	// Granted counts reservations.
	Granted uint64
	// Denied counts answers other than Granted, including those that precede a
	// pull.
	Denied          uint64
	ReservedTokens  int64
	RefundedTokens  int64
	OvershootTokens int64
	LentTokens      int64
	// UnmatchedSettlements counts settlements without an open reservation.
	UnmatchedSettlements uint64
	// OpenReservations is the number of reservations kept, settled ones included.
	OpenReservations int
	// MaxDebtTokens is the highest debt of any part after a settlement.
	MaxDebtTokens int64
}

// Ledger holds the bucket parts of one slot for one ownership epoch. It is safe
// for concurrent use. The caller must check that it owns the slot before each
// call and create a new Ledger for each epoch.
type Ledger struct {
	position PartPosition

	mu      sync.Mutex
	initial InitialState
	parts   map[string]*part
	stopped bool
	totals  Totals
}

// NewLedger returns a ledger without accounts, which SetLimits adds.
func NewLedger(position PartPosition, initial InitialState) *Ledger {
	return &Ledger{position: position, initial: initial, parts: map[string]*part{}}
}

// SetLimits applies the account limits of a bundle. In the first call, parts start
// with the ledger's initial levels; parts added by later calls start at zero. The
// parts of accounts missing from limits are removed.
func (l *Ledger) SetLimits(now time.Duration, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for account := range l.parts {
		if _, kept := limits[account]; !kept {
			delete(l.parts, account)
		}
	}
	siblings := l.position.Parts - 1
	for account, bucketLimit := range limits {
		partLimit := bucketLimit.Share(l.position.Index, l.position.Parts)
		switch current := l.parts[account]; {
		case current != nil && current.bucketLimit == bucketLimit:
		case current != nil:
			current.advance(now)
			current.setLimits(bucketLimit, partLimit)
		case l.initial.FirstEpoch:
			l.parts[account] = newFullPart(bucketLimit, partLimit, siblings, now)
		default:
			l.parts[account] = newPart(bucketLimit, partLimit, siblings, l.initial.Levels[account], now)
		}
	}
	l.initial = InitialState{}
}

// Reserve takes tokens from an account's part for a request. Reserving again with
// the same request ID has no effect and is granted while the reservation is kept.
func (l *Ledger) Reserve(now time.Duration, account string, request Request) Answer {
	return l.withPart(account, func(p *part) Answer { return p.reserve(now, request) })
}

// StartTransfer registers a transfer for a request that lacks tokens and returns
// the number of tokens to borrow from a sibling, or 0 if none should be borrowed.
// The transfer ID must never have been used before.
func (l *Ledger) StartTransfer(now time.Duration, account string, request Request, transferID string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.parts[account]; p != nil && !l.stopped {
		return p.startTransfer(now, request, transferID)
	}
	return 0
}

// FinishTransfer applies a sibling's answer to a transfer registered by
// Ledger.StartTransfer. The request is admitted if the answer is Granted.
func (l *Ledger) FinishTransfer(now time.Duration, account string, request Request, transferID string, tokens int64) Answer {
	return l.withPart(account, func(p *part) Answer { return p.finishTransfer(now, request, transferID, tokens) })
}

// FinishPull ends the pull for a request and returns the final answer.
func (l *Ledger) FinishPull(now time.Duration, account string, request Request) Answer {
	return l.withPart(account, func(p *part) Answer { return p.finishPull(now, request) })
}

// Lend debits tokens for a sibling part. A repeated transfer ID gets the same
// tokens without another debit.
func (l *Ledger) Lend(now time.Duration, account, transferID string, tokens int64) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[account]
	if p == nil || l.stopped {
		return Loan{}
	}
	lentBefore := p.lent
	loan := p.lend(now, transferID, tokens)
	l.totals.LentTokens += max(p.lent-lentBefore, 0)
	return loan
}

// Settle closes a reservation with the number of tokens that the request used and
// refunds the rest as far as the rate invariant allows.
func (l *Ledger) Settle(now time.Duration, account, requestID string, used int64) Settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[account]
	if p == nil || l.stopped {
		l.totals.UnmatchedSettlements++
		return Settlement{}
	}
	settlement := p.settle(now, requestID, used)
	if !settlement.Found {
		l.totals.UnmatchedSettlements++
	}
	l.totals.RefundedTokens += settlement.Refunded
	l.totals.OvershootTokens += settlement.Overshoot
	l.totals.MaxDebtTokens = max(l.totals.MaxDebtTokens, -settlement.Level)
	return settlement
}

// Level returns the level of an account's part, and false for an unknown account.
func (l *Ledger) Level(now time.Duration, account string) (int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[account]
	if p == nil {
		return 0, false
	}
	p.advance(now)
	return p.level, true
}

// Stop permanently stops the ledger and returns the levels by account for the
// next owner. Open reservations end without a refund.
func (l *Ledger) Stop(now time.Duration) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	levels := make(map[string]int64, len(l.parts))
	for account, p := range l.parts {
		p.advance(now)
		levels[account] = p.level
	}
	return levels
}

// Totals returns the counts since the ledger's creation.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := l.totals
	for _, p := range l.parts {
		totals.OpenReservations += len(p.reservations.byID)
	}
	return totals
}

// withPart calls handle with the account's part and counts its answer.
func (l *Ledger) withPart(account string, handle func(*part) Answer) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return Answer{Outcome: Stopped}
	}
	p := l.parts[account]
	if p == nil {
		return Answer{Outcome: UnknownAccount}
	}
	before := len(p.reservations.byID)
	answer := handle(p)
	switch {
	case answer.Outcome != Granted:
		l.totals.Denied++
	case len(p.reservations.byID) > before:
		l.totals.Granted++
		l.totals.ReservedTokens += answer.Tokens
	}
	return answer
}

// Credit adds levels that the previous owner handed over late and returns the
// number of tokens added. It skips parts that already accrue, where the tokens
// could come on top of those accrued since.
func (l *Ledger) Credit(now time.Duration, levels map[string]int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var credited int64
	if l.stopped {
		return 0
	}
	for account, level := range levels {
		p := l.parts[account]
		if p == nil || now >= p.accruesFrom {
			continue
		}
		p.advance(now)
		levelBefore := p.level
		p.deposit(max(level, 0))
		credited += p.level - levelBefore
	}
	return credited
}
