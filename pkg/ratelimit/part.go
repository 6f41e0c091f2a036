package ratelimit

import "time"

// part is one part of an account's bucket. Its invariant is
//
//	level + carry + refundable + lent <= capacity
//
// where refundable is the sum over open reservations of what may still be
// refunded, and lent is what sibling parts may still be about to use.
type part struct {
	whole Limit
	own   Limit
	// siblings is the number of the bucket's other parts; each may hold back a
	// fraction of a token.
	siblings int64
	// level may be negative, when requests used more than they had reserved.
	level      int64
	refundable int64
	lent       int64
	// carry is the fraction of a token accrued, in token-nanoseconds.
	carry uint64
	at    time.Duration
	// Nothing accrues before quietUntil.
	quietUntil time.Duration

	reservations reservationList
	transfers    transferList
	pulls        map[string]*pull
}

// newPart returns a part with a level. Until LoanHold has passed nothing
// accrues, since an earlier owner may have lent tokens that are still under way.
func newPart(whole, own Limit, siblings int, level int64, now time.Duration) *part {
	return &part{whole: whole, own: own, siblings: int64(siblings), level: min(level, own.BurstTokens), at: now, quietUntil: now + LoanHold}
}

// newFullPart returns the part of a bucket that nobody has ever drawn from.
func newFullPart(whole, own Limit, siblings int, now time.Duration) *part {
	return &part{whole: whole, own: own, siblings: int64(siblings), level: own.BurstTokens, at: now, quietUntil: now}
}

// advance brings the part to a time. Time that goes backwards is ignored.
func (p *part) advance(now time.Duration) {
	for first := p.transfers.first(); first != nil && first.expires <= now; first = p.transfers.first() {
		p.accrueUntil(first.expires)
		p.lent -= first.tokens
		p.transfers.dropFirst()
	}
	p.accrueUntil(now)
	for first := p.reservations.first; first != nil && first.expires <= now; first = p.reservations.first {
		p.refundable -= first.refundable
		p.reservations.dropFirst()
	}
	p.reservations.forgetSettled(now)
	for id, pending := range p.pulls {
		if pending.deadline <= now {
			delete(p.pulls, id)
		}
	}
}

func (p *part) accrueUntil(now time.Duration) {
	start := max(p.at, p.quietUntil)
	p.at = max(p.at, now)
	if now <= start {
		return
	}
	room := p.own.BurstTokens - p.lent - p.level
	if room <= 0 {
		p.carry = 0
		return
	}
	gained, carry := p.own.accrue(now-start, p.carry, room)
	p.level += gained
	p.carry = carry
	p.clampRefundable()
}

// clampRefundable restores the invariant by giving up refunds, oldest
// reservation first. A fraction counts as a whole token; it is dropped when no
// refund is left to give up for it.
func (p *part) clampRefundable() {
	excess := p.level + p.refundable + p.lent - p.own.BurstTokens
	if p.carry > 0 {
		excess++
	}
	if excess <= 0 {
		return
	}
	given := p.reservations.giveUp(excess)
	p.refundable -= given
	if given < excess {
		p.carry = 0
	}
}

// setLimit takes new limits over. The level is never raised.
func (p *part) setLimit(whole, own Limit) {
	p.whole, p.own = whole, own
	p.level = min(p.level, max(own.BurstTokens-p.lent, 0))
	p.carry = 0
	p.clampRefundable()
}

// deposit adds pulled tokens that no request can use any more, as far as the
// capacity allows; the rest is lost.
func (p *part) deposit(tokens int64) {
	room := p.own.BurstTokens - p.lent - p.level
	p.level += max(min(tokens, room), 0)
	p.clampRefundable()
}
