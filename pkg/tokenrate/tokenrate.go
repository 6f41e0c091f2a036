// Package tokenrate keeps client accounts to their rate and burst over all
// entry processes. Each process holds a copy of every account's bucket, takes
// its own admissions from it at once, and those of its peers as they report
// them. A peer that isn't heard is taken to use its even share, and a process
// that hears nobody keeps to its own even share, so that both sides of a cut
// together stay within the limit.
//
// The package knows no transport; times are offsets on the process's monotonic
// clock.
package tokenrate

import (
	"math"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Limiter holds the buckets of all accounts. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// members are the peers that share the limits, this process left out.
	members map[string]*member
	// silentAfter is how long a peer may say nothing before its use is assumed.
	silentAfter time.Duration
	// trusted says that new buckets start full: nobody has used any yet.
	trusted bool
}

type bucket struct {
	rate, burst float64
	level       float64
	at          time.Duration
	// admitted is what this process has admitted since it started.
	admitted float64
	// adopted says that the level is known from the start or from a peer.
	adopted bool
}

type member struct {
	boot    string
	heardAt time.Duration
	heard   bool
	// admitted is the peer's own count for each account as last reported.
	admitted map[string]float64
}

// Usage is one account's use at one process.
type Usage struct {
	// Admitted counts up from the process's start.
	Admitted float64
	// Level is the process's view of the bucket.
	Level float64
}

// New returns a Limiter. full says that the deployment starts for the first
// time, so that buckets start full; otherwise they start empty until a peer
// tells their level.
func New(full bool) *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, members: map[string]*member{}, trusted: full}
}

// Decision is the answer to one request for tokens.
type Decision struct {
	Admitted bool
	// Level is what the bucket has left.
	Level float64
	// RetryAfter is when the bucket should hold the tokens.
	RetryAfter time.Duration
}

// Admit asks for a request's tokens of an account.
func (l *Limiter) Admit(now time.Duration, account *fleet.Account, tokens float64) Decision {
	if account.TokensPerSecond <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, account)
	l.advance(now, b)
	// A request above the burst passes once the bucket is full.
	need := min(tokens, b.burst)
	if b.level < need {
		wait := (need - b.level) / b.rate
		return Decision{Level: b.level, RetryAfter: time.Duration(math.Ceil(wait*1000)) * time.Millisecond}
	}
	b.level -= tokens
	b.admitted += tokens
	return Decision{Admitted: true, Level: b.level}
}

// Refund returns the tokens of a request that has not run.
func (l *Limiter) Refund(now time.Duration, account *fleet.Account, tokens float64) {
	if account.TokensPerSecond <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, account)
	b.level = min(b.burst, b.level+tokens)
	b.admitted -= tokens
}

func (l *Limiter) bucket(now time.Duration, account *fleet.Account) *bucket {
	b, ok := l.buckets[account.Name]
	if !ok {
		b = &bucket{rate: account.TokensPerSecond, burst: account.Burst, at: now, adopted: l.trusted}
		if l.trusted {
			b.level = account.Burst
		}
		l.buckets[account.Name] = b
	}
	if b.rate != account.TokensPerSecond || b.burst != account.Burst {
		l.advance(now, b)
		b.rate, b.burst = account.TokensPerSecond, account.Burst
		b.level = min(b.level, b.burst)
	}
	return b
}

// advance accrues the rate since the last call, less what silent peers may use.
func (l *Limiter) advance(now time.Duration, b *bucket) {
	share := l.ownShare(now)
	elapsed := (now - b.at).Seconds()
	b.at = now
	b.level = min(b.burst*share, b.level+elapsed*b.rate*share)
}

// ownShare is the part of the limits that this process and the peers it hears
// may use.
func (l *Limiter) ownShare(now time.Duration) float64 {
	silent := 0
	for _, m := range l.members {
		if !m.heard || now-m.heardAt > l.silentAfter {
			silent++
		}
	}
	all := len(l.members) + 1
	return float64(all-silent) / float64(all)
}

// SetPeers sets the peers that share the limits, and how long one may say
// nothing before its use is assumed.
func (l *Limiter) SetPeers(now time.Duration, names []string, silentAfter time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.advance(now, b)
	}
	l.silentAfter = silentAfter
	next := make(map[string]*member, len(names))
	for _, name := range names {
		m, ok := l.members[name]
		if !ok {
			m = &member{admitted: map[string]float64{}}
		}
		next[name] = m
	}
	l.members = next
}

// ApplyReport takes a peer's report. Accounts that are not in use here are kept for
// their first request.
func (l *Limiter) ApplyReport(now time.Duration, name, boot string, accounts map[string]Usage, account func(string) (*fleet.Account, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, ok := l.members[name]
	if !ok {
		return
	}
	for _, b := range l.buckets {
		l.advance(now, b)
	}
	if m.boot != boot {
		m.boot, m.admitted = boot, map[string]float64{}
	}
	m.heard, m.heardAt = true, now
	for accountName, usage := range accounts {
		a, known := account(accountName)
		if !known || a.TokensPerSecond <= 0 {
			continue
		}
		b := l.bucket(now, a)
		l.apply(b, m, accountName, usage)
	}
}

// apply takes what a peer has admitted since its last report from a bucket, or
// adopts the peer's level when this process has none of its own yet.
func (l *Limiter) apply(b *bucket, m *member, name string, usage Usage) {
	last, known := m.admitted[name]
	m.admitted[name] = usage.Admitted
	if !b.adopted {
		b.adopted = true
		b.level = min(b.burst, max(b.level, usage.Level-b.admitted))
		return
	}
	if !known && last == 0 && usage.Admitted > b.burst {
		// A long-running peer that is heard for the first time: its past use
		// is in the level already.
		return
	}
	b.level -= usage.Admitted - last
}

// Usage returns what to tell the peers: the accounts in use.
func (l *Limiter) Usage(now time.Duration) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	accounts := make(map[string]Usage, len(l.buckets))
	for name, b := range l.buckets {
		l.advance(now, b)
		if b.admitted != 0 {
			accounts[name] = Usage{Admitted: math.Round(b.admitted), Level: math.Round(b.level)}
		}
	}
	return accounts
}
