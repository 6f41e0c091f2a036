// Package ratelimit keeps the token buckets of client accounts, each split into
// a few parts that live in different slots. It is pure bookkeeping: it knows no
// transport and takes time as an argument, as an offset on the process's
// monotonic clock.
//
// Over all parts together, the tokens used by the requests admitted in any
// window of length t are at most burst + rate*t. docs/design/limits.md has the
// proof and the conditions.
package ratelimit

import (
	"math/bits"
	"time"
)

// Bounds of a part.
const (
	// LoanHold is how long a giver counts lent tokens against its own capacity.
	LoanHold = 500 * time.Millisecond
	// PullTimeout is how long a taker may use tokens after it began to ask. It is
	// below LoanHold, so that clocks of slightly different speed do no harm.
	PullTimeout = 400 * time.Millisecond
	// MaxHold is the longest time that a reservation stays open.
	MaxHold = time.Hour
	// RepeatMemory is how long a settled reservation stays known for repeats.
	RepeatMemory = 30 * time.Second
	// MaxReservations is the most reservations that a part remembers.
	MaxReservations = 16_384
	// MaxTransfers is the most transfers and pulls that a part remembers, each.
	MaxTransfers = 1024
)

// Limit is a rate and a burst, of a whole bucket or of a part.
type Limit struct {
	RateTokensPerSecond int64
	BurstTokens         int64
}

// Share returns the limit of one of the parts, index from 0. The parts' limits
// add up to exactly the whole.
func (l Limit) Share(index, parts int) Limit {
	share := func(whole int64) int64 {
		each, rest := whole/int64(parts), whole%int64(parts)
		if int64(index) < rest {
			each++
		}
		return each
	}
	return Limit{share(l.RateTokensPerSecond), share(l.BurstTokens)}
}

// TimeFor returns how long the rate takes to accrue tokens, rounded up.
func (l Limit) TimeFor(tokens int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if l.RateTokensPerSecond <= 0 {
		return MaxHold
	}
	high, low := bits.Mul64(uint64(tokens), uint64(time.Second))
	rate := uint64(l.RateTokensPerSecond)
	if high >= rate {
		return MaxHold
	}
	wait, rest := bits.Div64(high, low, rate)
	if rest > 0 {
		wait++
	}
	return time.Duration(min(wait, uint64(MaxHold)))
}

// accrue returns the whole tokens that the rate yields in a time, at most room,
// and the rest in token-nanoseconds. The rest is 0 when room is used up.
func (l Limit) accrue(elapsed time.Duration, carry uint64, room int64) (tokens int64, rest uint64) {
	high, low := bits.Mul64(uint64(l.RateTokensPerSecond), uint64(elapsed))
	low, overflow := bits.Add64(low, carry, 0)
	high += overflow
	if high >= uint64(time.Second) {
		return room, 0
	}
	whole, rest := bits.Div64(high, low, uint64(time.Second))
	if whole >= uint64(room) {
		return room, 0
	}
	return int64(whole), rest
}
