// Package tokenrate enforces the rate and burst limits of client accounts across
// all entry processes. Each process holds a copy of every account's token
// bucket. It deducts its own admissions immediately and those of its peers
// when they report them. A peer without recent reports is assumed to use an
// equal share of the limits, and a process without reports from any peer uses
// only its own equal share. During a network partition, both sides together
// therefore stay within the limits.
//
// The package is independent of the transport. Times are offsets on the
// process's monotonic clock.
package tokenrate

import (
	"math"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// Limiter holds the token buckets of all accounts. It is safe for concurrent
// use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// peers holds the other processes that share the limits, by name.
	peers map[string]*peer
	// reportTimeout is the time without a report after which a peer is
	// assumed to use its equal share.
	reportTimeout time.Duration
	// startFull makes new buckets start full, since no tokens have been used
	// yet.
	startFull bool
}

type bucket struct {
	rate, burst float64
	level       float64
	updatedAt   time.Duration
	// admitted is the number of tokens that this process has admitted since
	// its start.
	admitted float64
	// levelKnown reports whether the level is valid, because the bucket started
	// full or a peer has reported the level.
	levelKnown bool
}

type peer struct {
	boot       string
	reportedAt time.Duration
	reported   bool
	// admitted is the number of tokens admitted by the peer for each account,
	// as of its latest report.
	admitted map[string]float64
}

// Usage is the token usage of one account at one process.
type Usage struct {
	// Admitted is the number of tokens admitted since the start of the
	// process.
	Admitted float64
	// Level is the level of the process's copy of the bucket.
	Level float64
}

// New returns a Limiter. startFull is set on the first start of a deployment
// and makes buckets start full. Otherwise they start empty until a peer
// reports their level.
func New(startFull bool) *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, peers: map[string]*peer{}, startFull: startFull}
}

// Decision is the result of an admission check.
type Decision struct {
	Admitted bool
	// Level is the number of tokens that remain in the bucket.
	Level float64
	// RetryAfter is the time after which the bucket should hold enough
	// tokens.
	RetryAfter time.Duration
}

// Admit deducts a request's tokens from the account's bucket if the bucket
// holds enough of them.
func (l *Limiter) Admit(now time.Duration, account *fleet.Account, tokens float64) Decision {
	if account.TokensPerSecond <= 0 {
		return Decision{Admitted: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(now, account)
	l.refill(now, b)
	// A request larger than the burst is admitted when the bucket is full.
	required := min(tokens, b.burst)
	if b.level < required {
		wait := (required - b.level) / b.rate
		return Decision{Level: b.level, RetryAfter: time.Duration(math.Ceil(wait*1000)) * time.Millisecond}
	}
	b.level -= tokens
	b.admitted += tokens
	return Decision{Admitted: true, Level: b.level}
}

// Refund returns the tokens of a request that did not run.
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
		b = &bucket{rate: account.TokensPerSecond, burst: account.Burst, updatedAt: now, levelKnown: l.startFull}
		if l.startFull {
			b.level = account.Burst
		}
		l.buckets[account.Name] = b
	}
	if b.rate != account.TokensPerSecond || b.burst != account.Burst {
		l.refill(now, b)
		b.rate, b.burst = account.TokensPerSecond, account.Burst
		b.level = min(b.level, b.burst)
	}
	return b
}

// refill adds the tokens that have accrued since the last call, excluding the
// shares of peers without recent reports.
func (l *Limiter) refill(now time.Duration, b *bucket) {
	share := l.reachableShare(now)
	elapsed := (now - b.updatedAt).Seconds()
	b.updatedAt = now
	b.level = min(b.burst*share, b.level+elapsed*b.rate*share)
}

// reachableShare returns the fraction of the limits that is available to this
// process and the peers with recent reports.
func (l *Limiter) reachableShare(now time.Duration) float64 {
	silentPeers := 0
	for _, p := range l.peers {
		if !p.reported || now-p.reportedAt > l.reportTimeout {
			silentPeers++
		}
	}
	total := len(l.peers) + 1
	return float64(total-silentPeers) / float64(total)
}

// SetPeers sets the peers that share the limits, and the time without a
// report after which a peer is assumed to use its equal share.
func (l *Limiter) SetPeers(now time.Duration, names []string, reportTimeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	l.reportTimeout = reportTimeout
	peers := make(map[string]*peer, len(names))
	for _, name := range names {
		p, ok := l.peers[name]
		if !ok {
			p = &peer{admitted: map[string]float64{}}
		}
		peers[name] = p
	}
	l.peers = peers
}

// ApplyReport applies a peer's report. It creates buckets for reported accounts
// that have none yet, so that their first request finds a valid level.
func (l *Limiter) ApplyReport(now time.Duration, name, boot string, accounts map[string]Usage, lookup func(string) (*fleet.Account, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[name]
	if !ok {
		return
	}
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	if p.boot != boot {
		p.boot, p.admitted = boot, map[string]float64{}
	}
	p.reported, p.reportedAt = true, now
	for accountName, usage := range accounts {
		account, known := lookup(accountName)
		if !known || account.TokensPerSecond <= 0 {
			continue
		}
		b := l.bucket(now, account)
		l.applyUsage(b, p, accountName, usage)
	}
}

// applyUsage deducts from a bucket the tokens that a peer has admitted since
// its previous report. If the bucket has no valid level yet, it uses the
// peer's level instead.
func (l *Limiter) applyUsage(b *bucket, p *peer, name string, usage Usage) {
	previous, reportedBefore := p.admitted[name]
	p.admitted[name] = usage.Admitted
	if !b.levelKnown {
		b.levelKnown = true
		b.level = min(b.burst, max(b.level, usage.Level-b.admitted))
		return
	}
	if !reportedBefore && previous == 0 && usage.Admitted > b.burst {
		// This is the first report of a peer that has been running for some
		// time. The level already accounts for its earlier usage.
		return
	}
	b.level -= usage.Admitted - previous
}

// Usage returns the usage of the active accounts, to be reported to the peers.
func (l *Limiter) Usage(now time.Duration) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	accounts := make(map[string]Usage, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(now, b)
		if b.admitted != 0 {
			accounts[name] = Usage{Admitted: math.Round(b.admitted), Level: math.Round(b.level)}
		}
	}
	return accounts
}
