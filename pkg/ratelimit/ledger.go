package ratelimit

import (
	"sync"
	"time"
)

// PartPosition says which part of every account's bucket a slot holds.
type PartPosition struct {
	// Index is the part's number, from 0 to Parts-1.
	Index int
	Parts int
}

// InitialState says with what levels a ledger begins.
type InitialState struct {
	// FirstEpoch is true only for a slot that has never had an owner: its
	// buckets start full. Otherwise they start with Levels, else at zero.
	FirstEpoch bool
	// Levels were handed over by the owner before, which had stopped.
	Levels map[string]int64
}

// Totals counts what a ledger has seen since it began.
type Totals struct {
	Granted uint64
	// NotGranted counts answers other than Granted, also those before a pull.
	NotGranted        uint64
	ReservedTokens    int64
	RefundedTokens    int64
	OvershootTokens   int64
	LentTokens        int64
	UnmatchedSettles  uint64
	OpenReservations  int
	MaximumDebtTokens int64
}

// Ledger holds one slot's bucket parts of all accounts, for one epoch of
// ownership. It is safe for concurrent use. Its holder checks ownership before
// each call; a new epoch needs a new Ledger.
type Ledger struct {
	place PartPosition

	mu      sync.Mutex
	start   InitialState
	parts   map[string]*part
	stopped bool
	totals  Totals
}

// NewLedger returns a ledger without accounts; SetLimits brings them.
func NewLedger(place PartPosition, start InitialState) *Ledger {
	return &Ledger{place: place, start: start, parts: map[string]*part{}}
}

// SetLimits takes the accounts of a bundle over: new accounts start as Start
// says, at zero after the first call; accounts that are gone lose their part.
func (l *Ledger) SetLimits(now time.Duration, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for account := range l.parts {
		if _, kept := limits[account]; !kept {
			delete(l.parts, account)
		}
	}
	siblings := l.place.Parts - 1
	for account, whole := range limits {
		own := whole.Share(l.place.Index, l.place.Parts)
		switch known := l.parts[account]; {
		case known != nil && known.whole == whole:
		case known != nil:
			known.advance(now)
			known.setLimit(whole, own)
		case l.start.FirstEpoch:
			l.parts[account] = newFullPart(whole, own, siblings, now)
		default:
			l.parts[account] = newPart(whole, own, siblings, l.start.Levels[account], now)
		}
	}
	l.start = InitialState{}
}

// Reserve takes tokens from an account's part. A repeated request is answered
// alike while its reservation is remembered.
func (l *Ledger) Reserve(now time.Duration, account string, request Request) Answer {
	return l.with(account, func(p *part) Answer { return p.reserve(now, request) })
}

// StartTransfer returns how many tokens to ask a sibling for after a Short answer, under
// a transfer identifier that was never used before; 0 when there is no need.
func (l *Ledger) StartTransfer(now time.Duration, account string, request Request, transferID string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.parts[account]; p != nil && !l.stopped {
		return p.ask(now, request, transferID)
	}
	return 0
}

// FinishTransfer takes a sibling's answer to an Ask; Granted admits the request.
func (l *Ledger) FinishTransfer(now time.Duration, account string, request Request, transferID string, tokens int64) Answer {
	return l.with(account, func(p *part) Answer { return p.receive(now, request, transferID, tokens) })
}

// FinishPull ends the asking and gives the final answer.
func (l *Ledger) FinishPull(now time.Duration, account string, request Request) Answer {
	return l.with(account, func(p *part) Answer { return p.giveUp(now, request) })
}

// Lend debits tokens for a sibling part. A repeated transfer is answered alike.
func (l *Ledger) Lend(now time.Duration, account, transferID string, tokens int64) Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[account]
	if p == nil || l.stopped {
		return Loan{}
	}
	before := p.lent
	loan := p.lend(now, transferID, tokens)
	l.totals.LentTokens += max(p.lent-before, 0)
	return loan
}

// Settle closes a reservation with what the request used and refunds the rest,
// as far as the rate invariant allows.
func (l *Ledger) Settle(now time.Duration, account, requestID string, used int64) Settlement {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.parts[account]
	if p == nil || l.stopped {
		l.totals.UnmatchedSettles++
		return Settlement{}
	}
	settled := p.settle(now, requestID, used)
	if !settled.Found {
		l.totals.UnmatchedSettles++
	}
	l.totals.RefundedTokens += settled.Refunded
	l.totals.OvershootTokens += settled.Overshoot
	l.totals.MaximumDebtTokens = max(l.totals.MaximumDebtTokens, -settled.Level)
	return settled
}

// Level returns the level of an account's part; false for an unknown account.
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

// Stop ends the ledger for good and returns the levels for the next owner.
// Open reservations end without refund.
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

// Totals returns the counts since the ledger began.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	totals := l.totals
	for _, p := range l.parts {
		totals.OpenReservations += len(p.reservations.byID)
	}
	return totals
}

func (l *Ledger) with(account string, decide func(*part) Answer) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return Answer{Outcome: Stopped}
	}
	p := l.parts[account]
	if p == nil {
		return Answer{Outcome: UnknownAccount}
	}
	known := len(p.reservations.byID)
	answer := decide(p)
	switch {
	case answer.Outcome != Granted:
		l.totals.NotGranted++
	case len(p.reservations.byID) > known:
		l.totals.Granted++
		l.totals.ReservedTokens += answer.Tokens
	}
	return answer
}

// Credit adds levels that the owner before handed over. They count only while
// the part doesn't accrue yet: later they could come on top of what the rate
// has yielded since. It returns the tokens taken.
func (l *Ledger) Credit(now time.Duration, levels map[string]int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var taken int64
	if l.stopped {
		return 0
	}
	for account, level := range levels {
		p := l.parts[account]
		if p == nil || now >= p.quietUntil {
			continue
		}
		p.advance(now)
		before := p.level
		p.deposit(max(level, 0))
		taken += p.level - before
	}
	return taken
}
