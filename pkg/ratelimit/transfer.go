package ratelimit

import "time"

// Loan is the answer of a giving part.
type Loan struct {
	Tokens int64
	// Level is what the giver has left.
	Level int64
}

// transfer is one loan that the taker may still be about to use.
type transfer struct {
	id      string
	tokens  int64
	expires time.Duration
}

// transferList holds the loans of the last LoanHold, oldest first.
type transferList struct {
	entries []transfer
}

func (l *transferList) first() *transfer {
	if len(l.entries) == 0 {
		return nil
	}
	return &l.entries[0]
}

func (l *transferList) dropFirst() {
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

// lend debits tokens for a sibling. A repeated transfer is answered alike.
func (p *part) lend(now time.Duration, transferID string, tokens int64) Loan {
	p.advance(now)
	if known := p.transfers.find(transferID); known != nil {
		return Loan{Tokens: known.tokens, Level: p.level}
	}
	if len(p.transfers.entries) >= MaxTransfers {
		return Loan{Level: p.level}
	}
	given := max(min(tokens, p.level), 0)
	p.level -= given
	p.lent += given
	p.transfers.entries = append(p.transfers.entries, transfer{transferID, given, p.at + LoanHold})
	return Loan{Tokens: given, Level: p.level}
}

// pull gathers tokens from siblings for one waiting request.
type pull struct {
	request  Request
	deadline time.Duration
	held     int64
	// asked are the transfers not answered yet.
	asked map[string]bool
}

// ask registers a transfer for a waiting request and returns how many tokens
// to ask a sibling for; 0 when nothing is missing or there is no room.
func (p *part) ask(now time.Duration, request Request, transferID string) int64 {
	p.advance(now)
	pending := p.pulls[request.ID]
	if pending == nil {
		if len(p.pulls) >= MaxTransfers {
			return 0
		}
		pending = &pull{request: request, deadline: p.at + PullTimeout, asked: map[string]bool{}}
	}
	missing := request.Tokens - p.level - pending.held
	if missing <= 0 || p.reservations.byID[request.ID] != nil || request.Tokens > p.whole.BurstTokens {
		return 0
	}
	if p.pulls == nil {
		p.pulls = make(map[string]*pull)
	}
	p.pulls[request.ID] = pending
	pending.asked[transferID] = true
	return missing
}

// receive takes a sibling's answer. Tokens that come twice, unasked or after
// the deadline are lost.
func (p *part) receive(now time.Duration, request Request, transferID string, tokens int64) Answer {
	p.advance(now)
	pending := p.pulls[request.ID]
	if pending == nil || !pending.asked[transferID] {
		return p.decide(now, request, 0)
	}
	delete(pending.asked, transferID)
	pending.held += max(tokens, 0)
	answer := p.decide(now, pending.request, pending.held)
	if answer.Outcome != InsufficientTokens {
		delete(p.pulls, request.ID)
	}
	return answer
}

// giveUp ends a pull. What it gathered stays in the part as far as it fits.
func (p *part) giveUp(now time.Duration, request Request) Answer {
	p.advance(now)
	pending := p.pulls[request.ID]
	if pending == nil {
		return p.decide(now, request, 0)
	}
	delete(p.pulls, request.ID)
	answer := p.decide(now, pending.request, pending.held)
	if answer.Outcome != Granted {
		p.deposit(pending.held)
	}
	return answer
}
