package ratelimit

import "time"

// part is one part of an account's bucket. Its invariant is
//
//	level + carry + refundable + lent <= capacity
//
// where refundable is the number of tokens of open reservations that may still
// be refunded, lent is the number of lent tokens that sibling parts may not have
// used yet, and capacity is the burst of partLimit.
type part struct {
	bucketLimit Limit
	partLimit   Limit
	// siblings is the number of the bucket's other parts. Each may hold a
	// fraction of a token that can't be lent.
	siblings int64
	// level is negative if requests used more than they had reserved.
	level      int64
	refundable int64
	lent       int64
	// carry is the accrued fraction of a token, in token-nanoseconds.
	carry     uint64
	updatedAt time.Duration
	// accruesFrom is the time before which nothing accrues.
	accruesFrom time.Duration

	reservations reservationList
	transfers    transferList
	pulls        map[string]*pull
}

// newPart returns a part with the given level. Nothing accrues until LoanHold has
// passed, since tokens lent by an earlier owner may not have been used yet.
func newPart(bucketLimit, partLimit Limit, siblings int, level int64, now time.Duration) *part {
	return &part{bucketLimit: bucketLimit, partLimit: partLimit, siblings: int64(siblings), level: min(level, partLimit.BurstTokens), updatedAt: now, accruesFrom: now + LoanHold}
}

// newFullPart returns a full part, for a bucket that has never been used.
func newFullPart(bucketLimit, partLimit Limit, siblings int, now time.Duration) *part {
	return &part{bucketLimit: bucketLimit, partLimit: partLimit, siblings: int64(siblings), level: partLimit.BurstTokens, updatedAt: now, accruesFrom: now}
}

// advance updates the part to the given time: it accrues tokens and removes
// expired loans, reservations and pulls. The time never moves backwards.
func (p *part) advance(now time.Duration) {
	for oldest := p.transfers.first(); oldest != nil && oldest.expiresAt <= now; oldest = p.transfers.first() {
		p.accrueUntil(oldest.expiresAt)
		p.lent -= oldest.tokens
		p.transfers.removeFirst()
	}
	p.accrueUntil(now)
	for oldest := p.reservations.first; oldest != nil && oldest.expiresAt <= now; oldest = p.reservations.first {
		p.refundable -= oldest.refundable
		p.reservations.removeFirst()
	}
	p.reservations.removeExpiredSettled(now)
	for id, pending := range p.pulls {
		if pending.deadline <= now {
			delete(p.pulls, id)
		}
	}
}

func (p *part) accrueUntil(now time.Duration) {
	start := max(p.updatedAt, p.accruesFrom)
	p.updatedAt = max(p.updatedAt, now)
	if now <= start {
		return
	}
	room := p.partLimit.BurstTokens - p.lent - p.level
	if room <= 0 {
		p.carry = 0
		return
	}
	tokens, carry := p.partLimit.accrue(now-start, p.carry, room)
	p.level += tokens
	p.carry = carry
	p.clampRefundable()
}

// clampRefundable restores the invariant by cancelling refunds, from the oldest
// reservation on. The fraction in carry counts as a whole token; it is dropped if
// too few refunds are left to cancel.
func (p *part) clampRefundable() {
	excess := p.level + p.refundable + p.lent - p.partLimit.BurstTokens
	if p.carry > 0 {
		excess++
	}
	if excess <= 0 {
		return
	}
	cancelled := p.reservations.cancelRefunds(excess)
	p.refundable -= cancelled
	if cancelled < excess {
		p.carry = 0
	}
}

// setLimits applies new limits. It never raises the level.
func (p *part) setLimits(bucketLimit, partLimit Limit) {
	p.bucketLimit, p.partLimit = bucketLimit, partLimit
	p.level = min(p.level, max(partLimit.BurstTokens-p.lent, 0))
	p.carry = 0
	p.clampRefundable()
}

// deposit adds tokens to the level as far as the capacity allows and drops the
// rest.
func (p *part) deposit(tokens int64) {
	room := p.partLimit.BurstTokens - p.lent - p.level
	p.level += max(min(tokens, room), 0)
	p.clampRefundable()
}
