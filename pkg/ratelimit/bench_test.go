package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"
)

func manyLimits(accounts int) map[string]Limit {
	limits := make(map[string]Limit, accounts)
	for i := range accounts {
		limits[fmt.Sprintf("account-%04d", i)] = Limit{1000, 60_000}
	}
	return limits
}

// BenchmarkReserveSettle reserves and settles in a ledger of 1,200 accounts.
func BenchmarkReserveSettle(b *testing.B) {
	ledger := NewLedger(PartPosition{0, 3}, InitialState{FirstEpoch: true})
	ledger.SetLimits(0, manyLimits(1200))
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

// BenchmarkAccountBytes reports the heap of one idle account and of one open
// reservation.
func BenchmarkAccountBytes(b *testing.B) {
	const accounts, open = 1200, 20
	limits := manyLimits(accounts)
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
		busy := heapBytes()
		b.ReportMetric(float64(idle-before)/accounts, "B/account")
		b.ReportMetric(float64(busy-idle)/(accounts*open), "B/reservation")
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

// BenchmarkFullBurstSource reports the share refused of a source that conforms
// to the whole rate and burst and takes all of it, over three parts.
func BenchmarkFullBurstSource(b *testing.B) {
	limit := Limit{1000, 60_000}
	for _, largest := range []int64{2000, 20_000, 60_000} {
		for _, wait := range []time.Duration{0, 250 * time.Millisecond, time.Second, 4 * time.Second} {
			b.Run(fmt.Sprintf("largest=%d/wait=%v", largest, wait), func(b *testing.B) {
				refused, requests := 0, 0
				for seed := range b.N {
					r, n := fullBurstRun(limit, largest, true, wait, uint64(seed))
					refused, requests = refused+r, requests+n
				}
				b.ReportMetric(100*float64(refused)/float64(requests), "%refused")
			})
		}
	}
}

func fullBurstRun(limit Limit, largest int64, useChooser bool, wait time.Duration, seed uint64) (refused, requests int) {
	random := rand.New(rand.NewPCG(seed, 1))
	ledgers := newLedgers(limit, 3, InitialState{FirstEpoch: true})
	chooser := NewPartSelector("a")
	candidates := make([]Candidate, 3)
	for i := range candidates {
		candidates[i] = Candidate{uint32(i), string(rune('a' + i)), limit.Share(i, 3)}
	}
	source := newFullPart(limit, limit, 0, 0)
	now := time.Duration(0)
	for ; requests < 2000; requests++ {
		tokens := 1 + random.Int64N(largest)
		source.advance(now)
		if idle := limit.TimeFor(tokens - source.level); idle > 0 {
			now += idle
			source.advance(now)
		}
		if random.IntN(50) == 0 {
			now += time.Duration(random.Int64N(int64(2 * time.Minute)))
			source.advance(now)
		}
		source.level -= tokens
		part := random.IntN(3)
		if useChooser {
			part = int(chooser.Rank(now, random, account, tokens, candidates, 1)[0].Slot)
		}
		answer := offer(ledgers, part, now, Request{ID: strconv.Itoa(requests), Tokens: tokens, Timeout: time.Minute})
		chooser.RecordLevel(now, account, uint32(part), answer.Level)
		for left := wait; answer.Outcome == InsufficientTokens && answer.RetryAfter <= left; {
			left -= answer.RetryAfter
			now += answer.RetryAfter
			source.advance(now)
			answer = offer(ledgers, part, now, Request{ID: strconv.Itoa(requests), Tokens: tokens, Timeout: time.Minute})
		}
		if answer.Outcome != Granted {
			refused++
		}
	}
	return refused, requests
}
