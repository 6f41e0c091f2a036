package ratelimit

import "time"

// Request is a request for tokens.
type Request struct {
	// ID identifies the request and makes repeated calls idempotent.
	ID     string
	Tokens int64
	// Timeout is the time after which an open reservation expires, at most
	// MaxReservationTimeout.
	Timeout time.Duration
}

// Outcome is the result of a request for tokens.
type Outcome int

// Outcomes of a request for tokens.
const (
	// Granted means that the request holds a reservation, from this call or an
	// earlier one.
	Granted Outcome = iota
	// InsufficientTokens means that the part lacks tokens, which siblings may be
	// able to lend.
	InsufficientTokens
	// TooLarge means that the request exceeds the burst of the account's whole
	// bucket and can never be granted.
	TooLarge
	// TooManyReservations means that the part holds MaxReservations reservations.
	TooManyReservations
	// UnknownAccount means that the ledger has no part for the account.
	UnknownAccount
	// Stopped means that the ledger has been stopped by Ledger.Stop.
	Stopped
)

// Answer is a part's answer to a request for tokens.
type Answer struct {
	Outcome Outcome
	// Tokens is the number of tokens granted.
	Tokens int64
	// Level is the number of tokens left in the part. It is negative if
	// requests used more than they had reserved.
	Level int64
	// MissingTokens is the number of tokens that the part lacks for the request.
	MissingTokens int64
	// RetryAfter is the time in which the whole bucket accrues the missing tokens,
	// and at least the time until a new owner's part starts to accrue. It is one
	// second if the part holds too many reservations.
	RetryAfter time.Duration
	// AccrualPaused is true if the part lacks tokens and doesn't accrue yet because
	// its owner is new. The account isn't necessarily above its rate then.
	AccrualPaused bool
}

// Settlement is the result of settling a reservation.
type Settlement struct {
	// Found is false for unknown, settled and expired reservations.
	Found bool
	// Refunded is the number of tokens returned to the part.
	Refunded int64
	// Overshoot is the number of tokens used beyond the reservation.
	Overshoot int64
	// Level is the number of tokens left in the part. It is negative if
	// requests used more than they had reserved.
	Level int64
}

// reservation is one admitted request. It is kept for SettledRetention after its
// settlement, so that a late retry of the request doesn't reserve tokens again.
type reservation struct {
	id        string
	tokens    int64
	expiresAt time.Duration
	// refundable is the number of tokens that may still be refunded.
	refundable int64
	settled    bool
	prev, next *reservation
}

// settledEntry is the ID of a settled reservation and the time at which it is
// removed.
type settledEntry struct {
	id        string
	expiresAt time.Duration
}

// reservationList holds the open reservations in the order of admission and the
// reservations settled within the last SettledRetention.
type reservationList struct {
	byID        map[string]*reservation
	first, last *reservation
	// firstRefundable is the oldest open reservation that may have refundable
	// tokens.
	firstRefundable *reservation
	settled         []settledEntry
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
	if l.firstRefundable == nil {
		l.firstRefundable = r
	}
}

// unlink removes a reservation from the list of open ones.
func (l *reservationList) unlink(r *reservation) {
	if l.firstRefundable == r {
		l.firstRefundable = r.next
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

// removeFirst removes the oldest open reservation.
func (l *reservationList) removeFirst() {
	oldest := l.first
	l.unlink(oldest)
	l.remove(oldest.id)
}

// settle closes a reservation and keeps it for SettledRetention.
func (l *reservationList) settle(r *reservation, now time.Duration) {
	l.unlink(r)
	r.settled = true
	r.refundable = 0
	l.settled = append(l.settled, settledEntry{r.id, now + SettledRetention})
}

// removeExpiredSettled removes the reservations settled at least
// SettledRetention ago.
func (l *reservationList) removeExpiredSettled(now time.Duration) {
	for len(l.settled) > 0 && l.settled[0].expiresAt <= now {
		l.remove(l.settled[0].id)
		l.settled = l.settled[1:]
	}
	if len(l.settled) == 0 {
		l.settled = nil
	}
}

func (l *reservationList) remove(id string) {
	delete(l.byID, id)
	if len(l.byID) == 0 {
		l.byID = nil
	}
}

// cancelRefunds makes up to the given number of reserved tokens non-refundable,
// starting with the oldest reservation, and returns their number.
func (l *reservationList) cancelRefunds(tokens int64) int64 {
	remaining := tokens
	for l.firstRefundable != nil && remaining > 0 {
		cancelled := min(l.firstRefundable.refundable, remaining)
		l.firstRefundable.refundable -= cancelled
		remaining -= cancelled
		if l.firstRefundable.refundable == 0 {
			l.firstRefundable = l.firstRefundable.next
		}
	}
	return tokens - remaining
}

func (p *part) reserve(now time.Duration, request Request) Answer {
	p.advance(now)
	return p.tryReserve(now, request, 0)
}

// tryReserve grants a request if the level and the tokens pulled for it suffice.
func (p *part) tryReserve(now time.Duration, request Request, pulled int64) Answer {
	if existing := p.reservations.byID[request.ID]; existing != nil {
		p.deposit(pulled)
		return Answer{Outcome: Granted, Tokens: existing.tokens, Level: p.level}
	}
	tokens := max(request.Tokens, 0)
	missing := tokens - p.level - pulled
	switch {
	case tokens > p.bucketLimit.BurstTokens:
		return Answer{Outcome: TooLarge, Level: p.level}
	case len(p.reservations.byID) >= MaxReservations:
		return Answer{Outcome: TooManyReservations, Level: p.level, RetryAfter: time.Second}
	case missing > 0:
		untilAccrual := p.accruesFrom - now
		return Answer{
			Outcome: InsufficientTokens, Level: p.level, MissingTokens: missing,
			RetryAfter: max(p.bucketLimit.AccrualTime(missing+p.siblings), untilAccrual), AccrualPaused: untilAccrual > 0,
		}
	}
	timeout := min(max(request.Timeout, 0), MaxReservationTimeout)
	p.reservations.add(&reservation{id: request.ID, tokens: tokens, expiresAt: now + timeout, refundable: tokens})
	p.refundable += tokens
	p.level += pulled - tokens
	// The level may have risen since the pull started, so that the sum exceeds the
	// capacity.
	p.level = min(p.level, p.partLimit.BurstTokens-p.lent)
	p.clampRefundable()
	return Answer{Outcome: Granted, Tokens: tokens, Level: p.level}
}

func (p *part) settle(now time.Duration, id string, used int64) Settlement {
	p.advance(now)
	existing := p.reservations.byID[id]
	if existing == nil || existing.settled || existing.expiresAt <= now {
		return Settlement{Level: p.level}
	}
	used = max(used, 0)
	overshoot := max(used-existing.tokens, 0)
	refund := min(max(existing.tokens-used, 0), existing.refundable)
	p.refundable -= existing.refundable
	p.reservations.settle(existing, p.updatedAt)
	p.level += refund - overshoot
	return Settlement{Found: true, Refunded: refund, Overshoot: overshoot, Level: p.level}
}
