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
	// peers holds the other processes that share the limits, or groups of them,
	// by name.
	peers map[string]*peerState
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
	// changedAt is the time at which admitted last changed.
	changedAt time.Duration
	// groupAdmitted is the number of tokens that the peers of this process's
	// group have admitted since its start, according to their reports.
	groupAdmitted float64
	// levelKnown reports whether the level is valid, because the bucket started
	// full or a peer has reported the level at adoptedAt.
	levelKnown bool
	adoptedAt  time.Duration
}

// Peer describes another process that shares the limits, or a group of them.
type Peer struct {
	// Processes is the number of processes that the peer stands for.
	Processes int
	// ReportTimeout is the time without a report after which these processes are
	// assumed to use their equal shares.
	ReportTimeout time.Duration
	// SameGroup reports whether the peer is a process of this process's group.
	SameGroup bool
}

type peerState struct {
	Peer
	joinedAt time.Duration
	// source and boot identify the run of the process that compiled the latest
	// report.
	source, boot string
	reportedAt   time.Duration
	reported     bool
	// reachable is the number of processes that the latest report covers.
	reachable int
	// admitted is the number of tokens admitted by the peer for each account,
	// as of its latest report.
	admitted map[string]float64
}

// Report is a peer's report of the tokens that it has admitted.
type Report struct {
	Peer string
	// Source and Boot identify the run of the process that compiled the report.
	// Counts of different sources are not comparable.
	Source, Boot string
	// Processes is the number of processes that the report covers.
	Processes int
	Accounts  map[string]Usage
	// ChangesWithin, if not 0, marks a report that holds only the accounts whose usage
	// has changed within that time, without their levels.
	ChangesWithin time.Duration
}

// maxReportJitter is by how much the intervals between reports may differ between
// their sender and their receiver.
const maxReportJitter = 200 * time.Millisecond

// continues reports whether a report that holds only recent changes misses none since
// the peer's previous report. Otherwise the next complete report has to be awaited.
func (p *peerState) continues(now time.Duration, report *Report) bool {
	return p.reported && p.source == report.Source && p.boot == report.Boot &&
		now-p.reportedAt <= report.ChangesWithin-maxReportJitter
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
	return &Limiter{buckets: map[string]*bucket{}, peers: map[string]*peerState{}, startFull: startFull}
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
	// A request larger than the reachable part of the burst is admitted when
	// this part is full.
	share := l.reachableShare(now)
	required := min(tokens, b.burst*share)
	if b.level < required {
		wait := (required - b.level) / (b.rate * share)
		return Decision{Level: b.level, RetryAfter: time.Duration(math.Ceil(wait*1000)) * time.Millisecond}
	}
	b.level -= tokens
	b.admitted += tokens
	b.changedAt = now
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
	b.changedAt = now
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
	total, reachable := 1, 1
	for _, p := range l.peers {
		total += p.Processes
		if p.reported && now-p.reportedAt <= p.ReportTimeout {
			reachable += min(p.Processes, p.reachable)
		}
	}
	return float64(reachable) / float64(total)
}

// SetPeers sets the peers that share the limits, by name.
func (l *Limiter) SetPeers(now time.Duration, specs map[string]Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	peers := make(map[string]*peerState, len(specs))
	for name, spec := range specs {
		p, ok := l.peers[name]
		if !ok {
			p = &peerState{joinedAt: now, admitted: map[string]float64{}}
		}
		p.Peer = spec
		peers[name] = p
	}
	l.peers = peers
}

// ApplyReport applies a peer's report. It creates buckets for reported accounts
// that have none yet, so that their first request finds a valid level.
func (l *Limiter) ApplyReport(now time.Duration, report Report, lookup func(string) (*fleet.Account, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.peers[report.Peer]
	if !ok || (report.ChangesWithin > 0 && !p.continues(now, &report)) {
		return
	}
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	sameSource := p.source == report.Source
	if !sameSource || p.boot != report.Boot {
		p.admitted = map[string]float64{}
	}
	firstReport := !p.reported
	p.source, p.boot, p.reportedAt, p.reported, p.reachable = report.Source, report.Boot, now, true, report.Processes
	for accountName, usage := range report.Accounts {
		account, known := lookup(accountName)
		if !known || account.TokensPerSecond <= 0 {
			continue
		}
		b := l.bucket(now, account)
		fromZero := sameSource || (firstReport && l.unaccounted(b, p))
		if report.ChangesWithin > 0 && !b.levelKnown {
			// The next complete report holds the level that these tokens are part of.
			p.admitted[accountName] = usage.Admitted
			continue
		}
		l.applyUsage(now, b, p, accountName, usage, fromZero)
	}
}

// unaccounted reports whether a bucket's level doesn't account for what a peer
// has admitted before its first report: the bucket started full together with
// the fleet, or the peer has joined after the level was adopted.
func (l *Limiter) unaccounted(b *bucket, p *peerState) bool {
	return l.startFull || p.joinedAt > b.adoptedAt+p.ReportTimeout
}

// applyUsage deducts from a bucket the tokens that a peer has admitted since
// its previous report. fromZero reports whether the level accounts for nothing
// of an account that the peer has not reported before; otherwise the first
// report of the account is only the basis of the next one. If the bucket has no
// valid level yet, it uses the peer's level instead.
func (l *Limiter) applyUsage(now time.Duration, b *bucket, p *peerState, name string, usage Usage, fromZero bool) {
	previous, reportedBefore := p.admitted[name]
	p.admitted[name] = usage.Admitted
	if !reportedBefore && !fromZero {
		previous = usage.Admitted
	}
	if p.SameGroup {
		b.groupAdmitted += usage.Admitted - previous
	}
	if !b.levelKnown {
		b.levelKnown, b.adoptedAt = true, now
		b.level = min(b.burst, max(b.level, usage.Level-b.admitted))
		return
	}
	b.level -= usage.Admitted - previous
}

// Usage returns the usage of the active accounts, to be reported to the peers.
func (l *Limiter) Usage(now time.Duration) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage(now, func(b *bucket) float64 { return b.admitted })
}

// RecentUsage returns the usage of the accounts of which this process has admitted
// tokens, or got some back, within the given time, without their levels.
func (l *Limiter) RecentUsage(now, within time.Duration) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	accounts := map[string]Usage{}
	for name, b := range l.buckets {
		if b.admitted != 0 && now-b.changedAt <= within {
			accounts[name] = Usage{Admitted: math.Round(b.admitted)}
		}
	}
	return accounts
}

// GroupUsage returns the usage of the active accounts by this process and the
// peers of its group, to be reported to other groups.
func (l *Limiter) GroupUsage(now time.Duration) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.usage(now, func(b *bucket) float64 { return b.admitted + b.groupAdmitted })
}

func (l *Limiter) usage(now time.Duration, admitted func(*bucket) float64) map[string]Usage {
	accounts := make(map[string]Usage, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(now, b)
		if tokens := admitted(b); tokens != 0 {
			accounts[name] = Usage{Admitted: math.Round(tokens), Level: math.Round(b.level)}
		}
	}
	return accounts
}
