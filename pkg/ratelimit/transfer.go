package ratelimit

import "time"

// Loan is a lending part's answer to a request for a transfer.
type Loan struct {
	// Tokens is the number of tokens lent.
	Tokens int64
	// Level is the number of tokens left in the lending part.
	Level int64
}

// transfer is a loan whose tokens the borrower may not have used yet.
type transfer struct {
	id        string
	tokens    int64
	expiresAt time.Duration
}

// transferList holds the loans made within the last LoanHold, oldest first.
type transferList struct {
	entries []transfer
}

func (l *transferList) first() *transfer {
	if len(l.entries) == 0 {
		return nil
	}
	return &l.entries[0]
}

func (l *transferList) removeFirst() {
	l.entries = l.entries[1:]
	if len(l.entries) == 0 {
		l.entries = nil
	}
}

func (l *transferList) find(id string) *transfer {
	for i := range l.entries {
		if l.entries[i].id == id {
			return &l.entries[i]
		}
	}
	return nil
}

// lend debits up to the given number of tokens for a sibling. A repeated transfer
// ID gets the same tokens without another debit.
func (p *part) lend(now time.Duration, transferID string, tokens int64) Loan {
	p.advance(now)
	if existing := p.transfers.find(transferID); existing != nil {
		return Loan{Tokens: existing.tokens, Level: p.level}
	}
	if len(p.transfers.entries) >= MaxTransfers {
		return Loan{Level: p.level}
	}
	granted := max(min(tokens, p.level), 0)
	p.level -= granted
	p.lent += granted
	p.transfers.entries = append(p.transfers.entries, transfer{transferID, granted, p.updatedAt + LoanHold})
	return Loan{Tokens: granted, Level: p.level}
}

// pull collects tokens from siblings for one waiting request.
type pull struct {
	request  Request
	deadline time.Duration
	received int64
	// outstanding holds the IDs of the transfers not answered yet.
	outstanding map[string]bool
}

// startTransfer registers a transfer for a waiting request and returns the number
// of tokens to borrow from a sibling. It returns 0 if no tokens are missing, the
// request already has a reservation or can never be granted, or the part already
// has MaxTransfers pulls.
func (p *part) startTransfer(now time.Duration, request Request, transferID string) int64 {
	p.advance(now)
	pending := p.pulls[request.ID]
	if pending == nil {
		if len(p.pulls) >= MaxTransfers {
			return 0
		}
		pending = &pull{request: request, deadline: p.updatedAt + PullTimeout, outstanding: map[string]bool{}}
	}
	missing := request.Tokens - p.level - pending.received
	if missing <= 0 || p.reservations.byID[request.ID] != nil || request.Tokens > p.bucketLimit.BurstTokens {
		return 0
	}
	if p.pulls == nil {
		p.pulls = make(map[string]*pull)
	}
	p.pulls[request.ID] = pending
	pending.outstanding[transferID] = true
	return missing
}

// finishTransfer applies a sibling's answer. Tokens of a repeated or unrequested
// answer, or of one after the deadline, are dropped.
func (p *part) finishTransfer(now time.Duration, request Request, transferID string, tokens int64) Answer {
	p.advance(now)
	pending := p.pulls[request.ID]
	if pending == nil || !pending.outstanding[transferID] {
		return p.tryReserve(now, request, 0)
	}
	delete(pending.outstanding, transferID)
	pending.received += max(tokens, 0)
	answer := p.tryReserve(now, pending.request, pending.received)
	if answer.Outcome != InsufficientTokens {
		delete(p.pulls, request.ID)
	}
	return answer
}

// finishPull decides a waiting request with the tokens received so far. If the
// request isn't granted, the tokens received stay in the part as far as its
// capacity allows.
func (p *part) finishPull(now time.Duration, request Request) Answer {
	p.advance(now)
	pending := p.pulls[request.ID]
	if pending == nil {
		return p.tryReserve(now, request, 0)
	}
	delete(p.pulls, request.ID)
	answer := p.tryReserve(now, pending.request, pending.received)
	if answer.Outcome != Granted {
		p.deposit(pending.received)
	}
	return answer
}
