// Package ratelimit implements the token buckets of client accounts. Each bucket
// is split into a few parts, which are held by different slots. The package does
// no I/O and takes the time as an argument: an offset on the process's monotonic
// clock.
//
// Over all parts of a bucket, the requests admitted in any window of length t
// use at most burst + rate*t tokens. docs/design/limits.md states the conditions
// and the proof.
package ratelimit

import (
	"math/bits"
	"time"
)

// Time and size limits of a part.
const (
	// LoanHold is the time for which a lender counts lent tokens against its own
	// capacity.
	LoanHold = 500 * time.Millisecond
	// PullTimeout is the time from the start of a pull within which the borrower
	// may use lent tokens. It is below LoanHold to tolerate clocks that run at
	// slightly different rates.
	PullTimeout = 400 * time.Millisecond
	// MaxReservationTimeout is the maximum time that a reservation stays open.
	MaxReservationTimeout = time.Hour
	// SettledRetention is the time for which a settled reservation is kept to
	// detect repeated requests.
	SettledRetention = 30 * time.Second
	// MaxReservations is the maximum number of open and settled reservations that a
	// part keeps.
	MaxReservations = 16_384
	// MaxTransfers is the maximum number of loans that a part keeps, and likewise
	// of pulls.
	MaxTransfers = 1024
)

// Limit is the rate and the burst of a bucket or of one of its parts.
type Limit struct {
	RateTokensPerSecond int64
	BurstTokens         int64
}

// Share returns the share of one part, with index counted from 0. The shares of
// all parts add up to exactly the bucket's limit.
func (l Limit) Share(index, parts int) Limit {
	share := func(total int64) int64 {
		quotient, remainder := total/int64(parts), total%int64(parts)
		if int64(index) < remainder {
			quotient++
		}
		return quotient
	}
	return Limit{share(l.RateTokensPerSecond), share(l.BurstTokens)}
}

// AccrualTime returns the time in which the rate accrues tokens, rounded up to a
// nanosecond and capped at MaxReservationTimeout.
func (l Limit) AccrualTime(tokens int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if l.RateTokensPerSecond <= 0 {
		return MaxReservationTimeout
	}
	high, low := bits.Mul64(uint64(tokens), uint64(time.Second))
	rate := uint64(l.RateTokensPerSecond)
	if high >= rate {
		return MaxReservationTimeout
	}
	wait, remainder := bits.Div64(high, low, rate)
	if remainder > 0 {
		wait++
	}
	return time.Duration(min(wait, uint64(MaxReservationTimeout)))
}

// accrue returns the whole tokens accrued in the elapsed time, at most room, and
// the remaining fraction in token-nanoseconds. carry is the fraction left from
// before. The remainder is 0 if the tokens fill the room.
func (l Limit) accrue(elapsed time.Duration, carry uint64, room int64) (tokens int64, remainder uint64) {
	high, low := bits.Mul64(uint64(l.RateTokensPerSecond), uint64(elapsed))
	low, overflow := bits.Add64(low, carry, 0)
	high += overflow
	if high >= uint64(time.Second) {
		return room, 0
	}
	quotient, remainder := bits.Div64(high, low, uint64(time.Second))
	if quotient >= uint64(room) {
		return room, 0
	}
	return int64(quotient), remainder
}
