package ratelimit

import "time"

// Request asks for tokens.
type Request struct {
	// ID makes repeated asks idempotent.
	ID     string
	Tokens int64
	// Timeout is the longest time that the reservation stays open.
	Timeout time.Duration
}

// Outcome says what became of a request.
type Outcome int

// Outcomes of a reservation.
const (
	// Granted requests hold a reservation, from this ask or an earlier one.
	Granted Outcome = iota
	// InsufficientTokens parts lack tokens; siblings may help.
	InsufficientTokens
	// TooLarge requests exceed the account's whole burst and never fit.
	TooLarge
	// TooManyReservations parts remember as many requests as they can.
	TooManyReservations
	// UnknownAccount is an account without a bucket here.
	UnknownAccount
	// Stopped ledgers have been handed over.
	Stopped
)

// Answer is the result of asking a part for tokens.
type Answer struct {
	Outcome Outcome
	// Tokens is what was granted.
	Tokens int64
	// Level is what the part has left; negative for debt.
	Level int64
	// MissingTokens is what a Short part lacks for the request.
	MissingTokens int64
	// RetryAfter is how long the account's whole rate takes to accrue Missing,
	// and at least the rest of a new owner's pause.
	RetryAfter time.Duration
	// AccrualPaused says that the part has a new owner and doesn't accrue yet: that it
	// is Short doesn't tell whether the account is above its rate.
	AccrualPaused bool
}

// Settlement is the result of settling a reservation.
type Settlement struct {
	// Found is false for unknown, settled and expired reservations.
	Found bool
	// Refunded tokens went back to the part.
	Refunded int64
	// Overshoot is by how much the request used more than it had reserved.
	Overshoot int64
	Level     int64
}

// reservation is one admitted request. It stays known for RepeatMemory after it
// was settled, so that late repeats don't reserve again.
type reservation struct {
	id      string
	tokens  int64
	expires time.Duration
	// refundable is the most that may be refunded, at most tokens.
	refundable int64
	settled    bool
	prev, next *reservation
}

// settledEntry says until when a settled reservation stays known.
type settledEntry struct {
	id      string
	expires time.Duration
}

// reservationList holds open reservations in the order of admission, and the
// ones settled of late.
type reservationList struct {
	byID        map[string]*reservation
	first, last *reservation
	// refunds is the oldest reservation that may have something refundable.
	refunds *reservation
	settled []settledEntry
}

func (l *reservationList) add(r *reservation) {
	if l.byID == nil {
		l.byID = make(map[string]*reservation)
	}
	l.byID[r.id] = r
	r.prev = l.last
	if l.last == nil {
		l.first = r
	} else {
		l.last.next = r
	}
	l.last = r
	if l.refunds == nil {
		l.refunds = r
	}
}

// unlink takes a reservation out of the open ones.
func (l *reservationList) unlink(r *reservation) {
	if l.refunds == r {
		l.refunds = r.next
	}
	if r.prev == nil {
		l.first = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.last = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}

// dropFirst forgets the oldest open reservation.
func (l *reservationList) dropFirst() {
	gone := l.first
	l.unlink(gone)
	l.forget(gone.id)
}

// settle closes a reservation and keeps it known for RepeatMemory.
func (l *reservationList) settle(r *reservation, now time.Duration) {
	l.unlink(r)
	r.settled = true
	r.refundable = 0
	l.settled = append(l.settled, settledEntry{r.id, now + RepeatMemory})
}

// forgetSettled drops what was settled long enough ago.
func (l *reservationList) forgetSettled(now time.Duration) {
	for len(l.settled) > 0 && l.settled[0].expires <= now {
		l.forget(l.settled[0].id)
		l.settled = l.settled[1:]
	}
	if len(l.settled) == 0 {
		l.settled = nil
	}
}

func (l *reservationList) forget(id string) {
	delete(l.byID, id)
	if len(l.byID) == 0 {
		l.byID = nil
	}
}

// giveUp takes refundable tokens from the oldest reservations and returns how
// many it found.
func (l *reservationList) giveUp(tokens int64) int64 {
	left := tokens
	for l.refunds != nil && left > 0 {
		taken := min(l.refunds.refundable, left)
		l.refunds.refundable -= taken
		left -= taken
		if l.refunds.refundable == 0 {
			l.refunds = l.refunds.next
		}
	}
	return tokens - left
}

func (p *part) reserve(now time.Duration, request Request) Answer {
	p.advance(now)
	return p.decide(now, request, 0)
}

// decide grants a request from the level and from tokens that were pulled for it.
func (p *part) decide(now time.Duration, request Request, pulled int64) Answer {
	if known := p.reservations.byID[request.ID]; known != nil {
		p.deposit(pulled)
		return Answer{Outcome: Granted, Tokens: known.tokens, Level: p.level}
	}
	tokens := max(request.Tokens, 0)
	missing := tokens - p.level - pulled
	switch {
	case tokens > p.whole.BurstTokens:
		return Answer{Outcome: TooLarge, Level: p.level}
	case len(p.reservations.byID) >= MaxReservations:
		return Answer{Outcome: TooManyReservations, Level: p.level, RetryAfter: time.Second}
	case missing > 0:
		pause := p.quietUntil - now
		return Answer{
			Outcome: InsufficientTokens, Level: p.level, MissingTokens: missing,
			RetryAfter: max(p.whole.TimeFor(missing+p.siblings), pause), AccrualPaused: pause > 0,
		}
	}
	hold := min(max(request.Timeout, 0), MaxHold)
	p.reservations.add(&reservation{id: request.ID, tokens: tokens, expires: now + hold, refundable: tokens})
	p.refundable += tokens
	p.level += pulled - tokens
	// More was pulled than needed when the level rose meanwhile.
	p.level = min(p.level, p.own.BurstTokens-p.lent)
	p.clampRefundable()
	return Answer{Outcome: Granted, Tokens: tokens, Level: p.level}
}

func (p *part) settle(now time.Duration, id string, used int64) Settlement {
	p.advance(now)
	known := p.reservations.byID[id]
	if known == nil || known.settled || known.expires <= now {
		return Settlement{Level: p.level}
	}
	used = max(used, 0)
	overshoot := max(used-known.tokens, 0)
	refund := min(max(known.tokens-used, 0), known.refundable)
	p.refundable -= known.refundable
	p.reservations.settle(known, p.at)
	p.level += refund - overshoot
	return Settlement{Found: true, Refunded: refund, Overshoot: overshoot, Level: p.level}
}
