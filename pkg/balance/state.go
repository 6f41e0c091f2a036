package balance

import (
	"math"
	"time"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// failureHalfLife is how fast failures and successes of a target fade.
	failureHalfLife = 3 * time.Second
	// suspectMin and suspectMax bound how long a target is left out after
	// failed connections.
	suspectMin = 250 * time.Millisecond
	suspectMax = 2 * time.Second
	// silentMin is suspectMin for a target that left a request without a byte.
	silentMin = time.Second
	// initialPrefillRate is used until a service's own rate is known, in prompt
	// tokens a millisecond.
	initialPrefillRate = 80.0
	// prefillSampleTokens is the least prompt that tells the prefill rate.
	prefillSampleTokens = 3000
	// initialServiceTime is used until a service's own time is known.
	initialServiceTime = 50 * time.Millisecond
	// rateWeight is the weight of a new sample in a running mean. A prefill
	// rate below the mean weighs less: other work may have slowed it.
	rateWeight     = 0.1
	slowRateWeight = 0.01
	// minPrefillRate bounds the rate from below.
	minPrefillRate = 20.0
)

// state is what is known of one boot of a target.
type state struct {
	service string
	// running counts this process's requests at the target, unstarted those
	// without a first byte, and unstartedWork their prompt tokens to read.
	running       int
	unstarted     int
	unstartedWork float64
	// queued is the part of unstartedWork that was left at queuedAt.
	queued   float64
	queuedAt time.Duration
	// quietSince is when the target last gave a sign while it had work.
	quietSince time.Duration

	load   call.Load
	loadAt time.Duration

	failed, ended float64
	fadedAt       time.Duration
	suspectUntil  time.Duration
	suspectFor    time.Duration

	// versions are newer than those in the target's entry.
	versions map[string]int64
	// loadingUntil is when a change of weights should be over.
	loadingUntil time.Duration
	// nextUntil is how long the target is kept free for a change of weights.
	nextUntil time.Duration
}

// serviceStats are running means over a service's targets.
type serviceStats struct {
	prefillRate float64
	serviceTime time.Duration
}

func (s *serviceStats) samplePrefill(rate float64) {
	weight := rateWeight
	if rate < s.prefillRate {
		weight = slowRateWeight
	}
	s.prefillRate = max(minPrefillRate, s.prefillRate+weight*(rate-s.prefillRate))
}

func (b *Balancer) state(boot fleet.Boot) *state {
	s, ok := b.states[boot]
	if !ok {
		s = &state{loadAt: -1}
		b.states[boot] = s
	}
	return s
}

func (b *Balancer) service(name string) *serviceStats {
	s, ok := b.services[name]
	if !ok {
		s = &serviceStats{prefillRate: initialPrefillRate, serviceTime: initialServiceTime}
		b.services[name] = s
	}
	return s
}

// weights returns the newest version known: the listed one or one learned since.
func (s *state) weights(model string, listed int64) int64 {
	return max(listed, s.versions[model])
}

// backlog is the work in front of the target that this process sent and that is
// not read yet, when the target reads at a rate in tokens a millisecond.
func (s *state) backlog(now time.Duration, rate float64) float64 {
	read := rate * float64(now-s.queuedAt) / float64(time.Millisecond)
	s.queued = max(0, s.queued-read)
	s.queuedAt = now
	if s.unstarted == 0 {
		s.queued = 0
	}
	return s.queued
}

func (s *state) healthy(now time.Duration) bool {
	if now < s.suspectUntil {
		return false
	}
	return s.unstarted == 0 || now-s.quietSince < silenceLimit
}

func (s *state) fade(now time.Duration) {
	factor := math.Exp2(-float64(now-s.fadedAt) / float64(failureHalfLife))
	s.failed *= factor
	s.ended *= factor
	s.fadedAt = now
}

// suspect leaves the target out for at least a time, and longer each time until
// it serves a request.
func (s *state) suspect(now, least time.Duration) {
	s.suspectFor = min(suspectMax, max(least, 2*s.suspectFor))
	s.suspectUntil = now + s.suspectFor
}

// failureShare estimates the share of requests that fail, with a prior of few.
func (s *state) failureShare(now time.Duration) float64 {
	const prior = 4
	s.fade(now)
	return s.failed / (s.ended + prior)
}

// TrackedRequest is one request at a target, from its sending to its end.
type TrackedRequest struct {
	b       *Balancer
	state   *state
	service string
	started bool
	ended   bool
	at      time.Duration
	work    float64
	alone   bool
}

// Begin notes that a request goes to the chosen target.
func (b *Balancer) Begin(now time.Duration, req *Request, choice *Choice) *TrackedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(choice.Target.Boot())
	s.backlog(now, b.service(req.Service).prefillRate)
	if s.unstarted == 0 {
		s.quietSince = now
	}
	f := &TrackedRequest{b: b, state: s, service: req.Service, at: now, work: choice.PrefillTokens}
	f.alone = s.unstarted == 0 && b.peerShare(choice.Target.ID).Pending == 0
	s.service = req.Service
	s.running++
	s.unstarted++
	s.unstartedWork += choice.PrefillTokens
	s.queued += choice.PrefillTokens
	if len(req.SharedParts) > 0 {
		b.hold(now, choice.CacheSalt, req.sharedID(), choice.Target.Boot(), choice.SaveToStore)
	}
	return f
}

// hold notes that a target reads a shared part and may save it.
func (b *Balancer) hold(now time.Duration, salt, id string, boot fleet.Boot, save bool) {
	key := chainKey(salt, id)
	c, ok := b.chains.Get(key)
	if !ok {
		c = &chain{savedAt: -saveMemory, since: now}
		b.chains.Add(key, c)
	}
	if save {
		c.savedAt = now
	}
	for i := range c.holders {
		if c.holders[i].boot == boot {
			c.holders[i].at = now
			return
		}
	}
	if len(c.holders) == maxHolders {
		c.holders = append(c.holders[:0], c.holders[1:]...)
	}
	c.holders = append(c.holders, holder{boot: boot, since: now, at: now})
}

// RecordFirstByte notes the first byte of the answer.
func (f *TrackedRequest) RecordFirstByte(now time.Duration) {
	f.b.mu.Lock()
	defer f.b.mu.Unlock()
	first := !f.started
	f.start(now)
	if first && f.alone && f.work >= prefillSampleTokens {
		took := float64(now-f.at-firstByteBase) / float64(time.Millisecond)
		f.b.service(f.service).samplePrefill(f.work / max(1, took))
	}
}

func (f *TrackedRequest) start(now time.Duration) {
	if f.started {
		return
	}
	f.started = true
	f.state.quietSince = now
	f.state.unstarted--
	f.state.unstartedWork -= f.work
	f.state.queued = min(f.state.queued, f.state.unstartedWork)
	if f.state.unstarted == 0 {
		f.b.tellEmptied(now, f.state)
	}
}

// tellEmptied reports that a target waits for less of this process's work.
func (b *Balancer) tellEmptied(now time.Duration, s *state) {
	if b.emptied != nil && (now < s.nextUntil || now < s.loadingUntil) {
		b.emptied()
	}
}

// Result is how a request at a target ended.
type Result int

// Results.
const (
	Succeeded Result = iota
	// Failed requests were answered with an error, spoiled or broken off.
	Failed
	// Refused requests were not run.
	Refused
	// Unreachable targets took no connection.
	Unreachable
	// Replaced targets have left their address to another one.
	Replaced
	// Cancelled requests were ended by their caller or its deadline.
	Cancelled
)

// End notes the end of the request.
func (f *TrackedRequest) End(now time.Duration, result Result) {
	f.b.mu.Lock()
	defer f.b.mu.Unlock()
	if f.ended {
		return
	}
	f.ended = true
	spoke := f.started
	quietSince := f.state.quietSince
	f.start(now)
	f.state.running--
	if f.state.running == 0 {
		f.b.tellEmptied(now, f.state)
	}
	f.state.fade(now)
	switch result {
	case Succeeded:
		f.state.ended++
		f.state.suspectFor = 0
		stats := f.b.service(f.service)
		stats.serviceTime += time.Duration(rateWeight * float64(now-f.at-stats.serviceTime))
	case Failed, Refused:
		f.state.ended++
		f.state.failed++
		if result == Failed && !spoke && now-quietSince >= silenceLimit {
			f.state.suspect(now, silentMin)
		}
	case Unreachable:
		f.state.suspect(now, suspectMin)
	case Replaced:
		f.state.suspect(now, suspectMax)
	case Cancelled:
		if !spoke && now-quietSince >= silenceLimit {
			f.state.suspect(now, silentMin)
		}
	}
}

// RecordLoad notes a target's own report of its load.
func (b *Balancer) RecordLoad(now time.Duration, boot fleet.Boot, load call.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(boot)
	s.load, s.loadAt = load, now
}

// RecordVersion notes that a target has a weights version.
func (b *Balancer) RecordVersion(boot fleet.Boot, model string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(boot)
	if version <= s.versions[model] {
		return
	}
	if s.versions == nil {
		s.versions = map[string]int64{}
	}
	s.versions[model] = version
	s.loadingUntil = 0
	s.nextUntil = 0
}

// Cordon keeps new requests from a target whose weights change next.
func (b *Balancer) Cordon(boot fleet.Boot, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(boot).nextUntil = until
}

// SetLoading notes that a target changes its weights until about the given time.
func (b *Balancer) SetLoading(boot fleet.Boot, until time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state(boot).loadingUntil = until
}

// Version returns the weights version that a target is believed to have.
func (b *Balancer) Version(target *fleet.Target, model string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state(target.Boot()).weights(model, target.Models[model])
}

// mismatchPause is how long a target that refused a version it was believed to
// have, without naming its own, is left alone.
const mismatchPause = 300 * time.Millisecond

// RecordMismatch notes that a target refused a request because its weights differ
// from the expected version. actual is 0 when the target didn't say.
func (b *Balancer) RecordMismatch(now time.Duration, boot fleet.Boot, model string, expected, actual int64) {
	if actual > 0 {
		b.RecordVersion(boot, model, actual)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(boot)
	named := b.history(model).Newest()
	if named > expected {
		if s.versions == nil {
			s.versions = map[string]int64{}
		}
		s.versions[model] = named
		return
	}
	s.loadingUntil = now + mismatchPause
}
