// Package hedge decides when a second copy of a request that may be repeated is sent to another
// target, because the first response is later than it should be.
//
// The package does no I/O. Times are offsets on the process's monotonic clock.
package hedge

import (
	"sync"
	"time"
)

const (
	// idleTTL is the time after which the state of a route or service without requests is dropped.
	idleTTL = 10 * time.Minute
	// nearDeadlineFactor is the multiple of a copy's typical time that has to be left until the
	// request's deadline.
	nearDeadlineFactor = 2
)

// Reasons for which a copy is not sent.
const (
	ReasonOverload     = "overload"
	ReasonNearDeadline = "near_deadline"
	ReasonNoGain       = "no_gain"
	ReasonRareWins     = "rare_wins"
	ReasonBudget       = "hedge_budget"
	ReasonRetryBudget  = "retry_budget"
)

// Policy decides on the hedges of a process. It is safe for concurrent use. A nil Policy allows none.
type Policy struct {
	share float64

	mu       sync.Mutex
	routes   map[string]*routeTimes
	services map[string]*serviceState
	prunedAt time.Duration
}

// serviceState is the state of one service.
type serviceState struct {
	budget budget
	load   serviceLoad
	usedAt time.Duration
}

// New returns a Policy that allows hedges for the given share of each service's requests; 0 allows
// none.
func New(share float64) *Policy {
	return &Policy{share: share, routes: map[string]*routeTimes{}, services: map[string]*serviceState{}}
}

// Enabled reports whether the policy allows hedges at all.
func (p *Policy) Enabled() bool { return p != nil && p.share > 0 }

// RecordRequest credits the service's budget for a request. processes is the number of processes
// that share the budget.
func (p *Policy) RecordRequest(now time.Duration, service string, processes int) {
	if !p.Enabled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prune(now)
	p.service(now, service).budget.gain(p.share, processes)
}

// RecordTime records the time of the first attempt of a request, and its expected time to the
// first byte. The time is that until the response was complete, or until a stream's first event.
func (p *Policy) RecordTime(now time.Duration, route string, took, expected time.Duration) {
	if !p.Enabled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route(route).add(now, took, expected)
}

// RecordAtLeast records that a first attempt was cancelled after a time without a response. It is
// counted only if that time is slow already, when the unknown rest of it can't change the quantile
// that hedges wait for. Without it, that quantile would fall with each hedge that succeeds.
func (p *Policy) RecordAtLeast(now time.Duration, route string, waited, expected time.Duration) {
	if !p.Enabled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.route(route); r.isSlow(waited, expected, p.quantile()) {
		r.add(now, waited, expected)
	}
}

// RecordReport records what a response says of the load of its service.
func (p *Policy) RecordReport(now time.Duration, service string, report Report) {
	if !p.Enabled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service(now, service).load.observe(now, report)
}

// Timing returns the timing of a request with the given expected time to the first byte. It reports
// false if the route's requests aren't hedged, since too little is known of their times.
func (p *Policy) Timing(now time.Duration, route string, objective, expected time.Duration) (Timing, bool) {
	if !p.Enabled() {
		return Timing{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.route(route).timing(now, p.quantile(), objective, expected)
}

// quantile returns the quantile after which a request counts as slow. The requests above it are
// the share that the budget covers.
func (p *Policy) quantile() float64 { return min(maxQuantile, max(minQuantile, 1-p.share)) }

// Copy describes a copy of a request that may be sent.
type Copy struct {
	// Waited is the time for which the first attempt has had no response, and Remaining the time
	// until the request's deadline.
	Waited, Remaining time.Duration
	// Expected is the expected time to the first byte at the copy's target.
	Expected time.Duration
	// RecomputedShare is the share of the copy's work that another target has done already.
	RecomputedShare float64
}

// Refusal returns why a copy would not be worth its cost; empty if it would. A request that takes
// longer than expected is assumed to take as long again, since the times of slow requests spread
// over orders of magnitude. The copy has to end before that, and the time that its target spends on
// work already done counts twice, since other requests wait for it.
func (t *Timing) Refusal(c *Copy) string {
	typical := t.Typical(c.Expected)
	cost := typical + time.Duration(c.RecomputedShare*float64(typical))
	switch {
	case c.Remaining < nearDeadlineFactor*typical:
		return ReasonNearDeadline
	case cost >= c.Waited:
		return ReasonNoGain
	default:
		return ""
	}
}

// IsOverloaded reports whether the service's targets have queues, reject requests, name limits or
// have requested a pause.
func (p *Policy) IsOverloaded(now time.Duration, service string) bool {
	if !p.Enabled() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(now, service).load.isOverloaded(now)
}

// Take consumes a hedge of the service's budget and one retry, and returns why there is none;
// empty if the copy may be sent. isLast is set after the request's LastDelay. takeRetry consumes one
// retry of the service's retry budget.
func (p *Policy) Take(now time.Duration, route, service string, isLast bool, takeRetry func() bool) string {
	if !p.Enabled() {
		return ReasonBudget
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	hedges := &p.service(now, service).budget
	switch {
	case !isLast && !p.route(route).wins.isEnough(now):
		return ReasonRareWins
	case !hedges.allows(isLast):
		return ReasonBudget
	case !takeRetry():
		return ReasonRetryBudget
	}
	hedges.level--
	return ""
}

// MayComeLater reports whether a copy that was refused for a reason may be sent after the request's
// LastDelay.
func MayComeLater(reason string) bool {
	return reason == ReasonRareWins || reason == ReasonBudget || reason == ReasonNoGain
}

// RecordEnd records whether a hedge won: its response came first, or the first attempt failed.
func (p *Policy) RecordEnd(now time.Duration, route string, won bool) {
	if !p.Enabled() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.route(route).wins.add(now, won)
}

func (p *Policy) route(name string) *routeTimes {
	r, ok := p.routes[name]
	if !ok {
		r = &routeTimes{}
		p.routes[name] = r
	}
	return r
}

func (p *Policy) service(now time.Duration, name string) *serviceState {
	s, ok := p.services[name]
	if !ok {
		s = &serviceState{}
		p.services[name] = s
	}
	s.usedAt = now
	return s
}

// prune drops the state of routes and services without requests, such as those of older
// configurations.
func (p *Policy) prune(now time.Duration) {
	if now-p.prunedAt < idleTTL {
		return
	}
	p.prunedAt = now
	for name, r := range p.routes {
		if now-r.usedAt > idleTTL {
			delete(p.routes, name)
		}
	}
	for name, s := range p.services {
		if now-s.usedAt > idleTTL {
			delete(p.services, name)
		}
	}
}
