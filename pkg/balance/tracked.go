package balance

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TrackedRequest tracks one request at a target from its dispatch to its end.
type TrackedRequest struct {
	balancer      *Balancer
	state         *targetState
	service       string
	firstByteSeen bool
	ended         bool
	startedAt     time.Duration
	prefillTokens float64
	onlyPending   bool
	// expectedTTFB is the time to the first byte that the choice was based on, and
	// importStore the cache store that the target imports from, if any.
	expectedTTFB time.Duration
	importStore  string
	isPrompt     bool
	isBuffered   bool
	firstByteAt  time.Duration
	// workMS and drainTokens are the work ahead of the first byte, in milliseconds and in
	// tokens, and pace the factor by which it takes longer than usual, as estimated at dispatch. otherDelay is the part of expectedTTFB that doesn't
	// depend on the target's queue.
	workMS      float64
	drainTokens float64
	pace        float64
	otherDelay  time.Duration
}

// Begin records that a request is sent to the chosen target.
func (b *Balancer) Begin(now time.Duration, req *Request, choice *Choice) *TrackedRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.targetState(choice.Target.Boot())
	s.backlog(now, b.serviceStats(req.Service).prefillRate, s.fleet.peers.Backlog)
	t := &TrackedRequest{balancer: b, state: s, service: req.Service, startedAt: now, prefillTokens: choice.PrefillTokens}
	t.expectedTTFB, t.isPrompt, t.isBuffered = choice.ExpectedTTFB, req.Model != "", req.IsBuffered
	t.workMS, t.drainTokens = choice.estimate.workMS, choice.estimate.queuedTokens+choice.PrefillTokens
	t.pace = choice.estimate.pace
	t.otherDelay = choice.ExpectedTTFB - choice.estimate.delay
	if choice.Import == ImportFromStore {
		t.importStore = choice.ImportAddress
	}
	t.onlyPending = s.pending == 0 && s.fleet.peers.Pending == 0
	s.service = req.Service
	if t.isPrompt {
		b.serviceStats(req.Service).meanWork.add(now, choice.PrefillTokens)
	}
	s.inFlight++
	s.pending++
	s.pendingRequests = append(s.pendingRequests, t)
	s.fleet.ownPending++
	s.fleet.updateWaiting(now, false)
	s.pendingTokens += choice.PrefillTokens
	s.queuedTokens += choice.PrefillTokens
	if len(req.SharedParts) > 0 {
		b.heads.record(now, req.SharedParts[0].ID)
		b.recordHolder(now, choice.CacheSalt, req.sharedID(), choice.Target.Boot(), choice.SaveToStore)
	}
	return t
}

// recordHolder records that a target processes a shared prefix and, if save is
// set, saves it to the cache store.
func (b *Balancer) recordHolder(now time.Duration, salt, id string, boot fleet.Boot, save bool) {
	key := prefixKey(salt, id)
	prefix, ok := b.prefixes.Get(key)
	if !ok {
		prefix = &prefixState{saveRequestedAt: -savedTTL, firstSentAt: now}
		b.prefixes.Add(key, prefix)
	}
	if save {
		prefix.saveRequestedAt = now
	}
	for i := range prefix.holders {
		if prefix.holders[i].boot == boot {
			prefix.holders[i].lastSentAt = now
			return
		}
	}
	if len(prefix.holders) == maxHolders {
		prefix.holders = append(prefix.holders[:0], prefix.holders[1:]...)
	}
	prefix.holders = append(prefix.holders, prefixHolder{boot: boot, firstSentAt: now, lastSentAt: now})
}

// RecordFirstByte records the arrival of the first byte of the response. Calls for
// later bytes record the target's progress.
func (t *TrackedRequest) RecordFirstByte(now time.Duration) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	t.state.recordProgress(now)
	first := !t.firstByteSeen
	if first && t.isPrompt {
		t.balancer.importDelays.record(now, t.importStore, now-t.startedAt-t.expectedTTFB)
	}
	t.endPending(now, false)
	if first {
		t.firstByteAt = now
		t.learnDelay(now)
	}
	if first && t.onlyPending && t.prefillTokens >= minPrefillSampleTokens {
		elapsed := float64(now-t.startedAt-baseTTFB) / float64(time.Millisecond)
		t.balancer.serviceStats(t.service).addPrefillSample(t.prefillTokens / max(1, elapsed))
	}
}

// endPending records that the request is no longer pending. isGivenUp is set if it has
// ended without a first byte.
func (t *TrackedRequest) endPending(now time.Duration, isGivenUp bool) {
	if t.firstByteSeen {
		return
	}
	t.firstByteSeen = true
	t.state.pending--
	if i := slices.Index(t.state.pendingRequests, t); i >= 0 {
		t.state.pendingRequests = slices.Delete(t.state.pendingRequests, i, i+1)
	}
	t.state.fleet.ownPending--
	t.state.fleet.updateWaiting(now, isGivenUp)
	t.state.pendingTokens -= t.prefillTokens
	t.state.queuedTokens = min(t.state.queuedTokens, t.state.pendingTokens)
	if t.state.pending == 0 {
		t.balancer.notifyDrained(now, t.state)
	}
}

// notifyDrained calls the callback set by OnDrained if the target is cordoned
// or loading weights.
func (b *Balancer) notifyDrained(now time.Duration, s *targetState) {
	if b.onDrained != nil && s.changing(now) {
		b.onDrained()
	}
}

// Result describes how a request at a target ended.
type Result int

// Request results.
const (
	Succeeded Result = iota
	// Failed: the target responded with an error, or its response was invalid or
	// incomplete.
	Failed
	// Refused: the target did not run the request.
	Refused
	// Unreachable: no connection to the target could be established.
	Unreachable
	// Replaced: another target uses the address now.
	Replaced
	// Cancelled: the caller cancelled the request or its deadline passed.
	Cancelled
)

// End records the end of the request. Further calls have no effect.
func (t *TrackedRequest) End(now time.Duration, result Result) {
	t.balancer.mu.Lock()
	defer t.balancer.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	firstByteSeen := t.firstByteSeen
	isStalled := !firstByteSeen && t.balancer.stallRule(now).isStalled(t.state)
	if late := now - t.startedAt - t.expectedTTFB; t.isPrompt && !firstByteSeen && result == Cancelled && late > 0 {
		t.balancer.importDelays.record(now, t.importStore, late)
	}
	t.endPending(now, result == Cancelled || result == Failed)
	t.state.inFlight--
	if t.state.inFlight == 0 {
		t.balancer.notifyDrained(now, t.state)
	}
	t.state.decay(now)
	switch result {
	case Succeeded:
		t.state.unreachable = false
		t.state.endedCount++
		t.state.avoidDuration = 0
		t.learnHoldTime(now)
		stats := t.balancer.serviceStats(t.service)
		stats.serviceTime += time.Duration(sampleWeight * float64(now-t.startedAt-stats.serviceTime))
	case Failed, Refused:
		t.state.endedCount++
		t.state.failedCount++
		if result == Failed && isStalled {
			t.state.avoid(now, minStalledAvoidDuration)
		}
	case Unreachable:
		t.state.unreachable, t.state.unreachableAt = true, now
		t.state.avoid(now, minAvoidDuration)
	case Replaced:
		t.state.unreachable, t.state.unreachableAt = true, now
		t.state.avoid(now, maxAvoidDuration)
	case Cancelled:
		if isStalled {
			t.state.avoid(now, minStalledAvoidDuration)
		} else if !firstByteSeen && now-t.startedAt > t.expectedTTFB {
			t.learnDelay(now)
		}
	}
}
