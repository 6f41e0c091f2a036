package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"
)

func sameLimits(accounts int) map[string]Limit {
	limits := make(map[string]Limit, accounts)
	for i := range accounts {
		limits[fmt.Sprintf("account-%04d", i)] = Limit{1000, 60_000}
	}
	return limits
}

// BenchmarkReserveSettle measures a reservation and its settlement in a ledger of
// 1,200 accounts.
func BenchmarkReserveSettle(b *testing.B) {
	ledger := NewLedger(PartPosition{0, 3}, InitialState{FirstEpoch: true})
	ledger.SetLimits(0, sameLimits(1200))
	names := make([]string, 1200)
	for i := range names {
		names[i] = fmt.Sprintf("account-%04d", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		id := strconv.Itoa(i)
		ledger.Reserve(now, names[i%1200], Request{ID: id, Tokens: 500, Timeout: time.Minute})
		ledger.Settle(now, names[i%1200], id, 400)
	}
}

// BenchmarkAccountBytes reports the heap bytes per idle account and per open
// reservation.
func BenchmarkAccountBytes(b *testing.B) {
	const accounts, open = 1200, 20
	limits := sameLimits(accounts)
	for range b.N {
		before := heapBytes()
		ledger := NewLedger(PartPosition{0, 3}, InitialState{FirstEpoch: true})
		ledger.SetLimits(0, limits)
		idle := heapBytes()
		for account := range limits {
			for i := range open {
				ledger.Reserve(0, account, Request{ID: account + strconv.Itoa(i), Tokens: 1, Timeout: time.Minute})
			}
		}
		withReservations := heapBytes()
		b.ReportMetric(float64(idle-before)/accounts, "B/account")
		b.ReportMetric(float64(withReservations-idle)/(accounts*open), "B/reservation")
		runtime.KeepAlive(ledger)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkFullBurstSource reports the share of denied requests for a source that
// uses the bucket's full rate and burst, spread over three parts.
func BenchmarkFullBurstSource(b *testing.B) {
	limit := Limit{1000, 60_000}
	for _, largest := range []int64{2000, 20_000, 60_000} {
		for _, wait := range []time.Duration{0, 250 * time.Millisecond, time.Second, 4 * time.Second} {
			b.Run(fmt.Sprintf("largest=%d/wait=%v", largest, wait), func(b *testing.B) {
				denied, requests := 0, 0
				for seed := range b.N {
					r, n := runFullBurstSource(limit, largest, true, wait, uint64(seed))
					denied, requests = denied+r, requests+n
				}
				b.ReportMetric(100*float64(denied)/float64(requests), "%refused")
			})
		}
	}
}

func runFullBurstSource(limit Limit, largest int64, useSelector bool, wait time.Duration, seed uint64) (denied, requests int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	ledgers := newLedgers(limit, 3, InitialState{FirstEpoch: true})
	selector := NewPartSelector("a")
	candidates := make([]Candidate, 3)
	for i := range candidates {
		candidates[i] = Candidate{uint32(i), string(rune('a' + i)), limit.Share(i, 3)}
	}
	source := newFullPart(limit, limit, 0, 0)
	now := time.Duration(0)
	for ; requests < 2000; requests++ {
		tokens := 1 + rng.Int64N(largest)
		source.advance(now)
		if idle := limit.AccrualTime(tokens - source.level); idle > 0 {
			now += idle
			source.advance(now)
		}
		if rng.IntN(50) == 0 {
			now += time.Duration(rng.Int64N(int64(2 * time.Minute)))
			source.advance(now)
		}
		source.level -= tokens
		part := rng.IntN(3)
		if useSelector {
			part = int(selector.Rank(now, rng, account, tokens, candidates, 1)[0].Slot)
		}
		answer := reserveWithPulls(ledgers, part, now, Request{ID: strconv.Itoa(requests), Tokens: tokens, Timeout: time.Minute})
		selector.RecordLevel(now, account, uint32(part), answer.Level)
		for remainingWait := wait; answer.Outcome == InsufficientTokens && answer.RetryAfter <= remainingWait; {
			remainingWait -= answer.RetryAfter
			now += answer.RetryAfter
			source.advance(now)
			answer = reserveWithPulls(ledgers, part, now, Request{ID: strconv.Itoa(requests), Tokens: tokens, Timeout: time.Minute})
		}
		if answer.Outcome != Granted {
			denied++
		}
	}
	return denied, requests
}
