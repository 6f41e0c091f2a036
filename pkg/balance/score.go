package balance

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// baseTTFB is the part of the time to the first byte that does not depend
	// on the prompt.
	baseTTFB = 8 * time.Millisecond
	// excessTTFBPenalty ranks targets whose expected time to the first byte
	// exceeds the request's limit behind all others.
	excessTTFBPenalty = time.Hour
	// crossDataCentrePenalty is the penalty of targets in another data centre,
	// for the network transfer.
	crossDataCentrePenalty = 8 * time.Millisecond
	// staleWeightsPenalty is the penalty of targets whose weights were
	// superseded more than staleWeightsGrace ago.
	staleWeightsPenalty = 120 * time.Millisecond
	// limitedPreference is the preference for a target with a rate limit that allows a
	// request. Otherwise this process's share of the limit might lapse unused.
	limitedPreference = 50 * time.Millisecond
	// duePreference replaces it if it has to be learned whether the target still names
	// its limit.
	duePreference = time.Second
	// failurePenalty is the penalty of a target whose requests all fail; it is
	// scaled by the failure rate.
	failurePenalty = 1500 * time.Millisecond
	// importCost is the cost of importing a token's KV cache entry, relative to
	// computing it.
	importCost = 0.25
	// maxTargetBias is the upper bound of the fixed penalty that a process adds
	// to the score of each target. The penalties differ between processes, so
	// that processes do not all choose the same target based on load reports
	// from peers that are a few hundred milliseconds old.
	maxTargetBias = 40 * time.Millisecond
	// scoreJitter is the range of the random part of a score. It keeps
	// processes with the same load data from choosing the same target.
	scoreJitter = 4 * time.Millisecond
	// nonPrimaryImportCost replaces importCost for candidates other than the
	// primary one, because the primary candidate is more likely to already hold
	// the shared prefix.
	nonPrimaryImportCost = 0.4
	// recomputePenalty is the penalty, relative to the cost of computing a new
	// token, for recomputing a token that another target has already computed.
	recomputePenalty = 12
	// queueExtraWeight is the additional weight of queued work in the score.
	// The time that queued work takes is less predictable than that of the
	// request itself.
	queueExtraWeight = 1.0
	// warmUpDivisor determines the delay that warm-up is expected to add to a
	// request: the target's remaining warm-up time divided by warmUpDivisor.
	warmUpDivisor = 100
	// saveTimeout is the time within which a save to the cache store should
	// complete. A prefix that is still missing after this time is saved again.
	saveTimeout = 500 * time.Millisecond
	// maxSaveDelay is the time after which a shared prefix is saved even if the
	// unshared rest of the prompt is larger.
	maxSaveDelay = 2 * time.Second
	// maxPrefillTime is the time within which an engine is assumed to process a
	// shared prefix.
	maxPrefillTime = 300 * time.Millisecond
	// batchSlowdown is the slowdown of the next token in a full batch, as a
	// fraction of the service time.
	batchSlowdown = 0.3
)

// score returns the choice for candidates[index] and its score, which is the
// expected time to the first byte plus penalties. stored caches by salt what the
// cache stores hold of the request's prompt.
func (b *Balancer) score(now time.Duration, req *Request, candidates []candidate, index int, preferred affinity, stored map[string]storeMatch, remotePenalty time.Duration) (Choice, time.Duration) {
	c := &candidates[index]
	stats := b.serviceStats(req.Service)
	choice := Choice{Target: *c.target, Version: c.version, LoadAge: -1}
	if c.state.loadReportedAt >= 0 {
		choice.LoadAge = now - c.state.loadReportedAt
	}
	work, recomputed := float64(0), float64(0)
	if req.Model != "" {
		work, recomputed = b.prefillWork(now, req, candidates, index, preferred, &choice, stored)
		choice.Primary, choice.RecomputedTokens = index == preferred.primary, int64(recomputed)
	}
	choice.PrefillTokens = work
	e := b.expectedDelay(now, req, c, stats, work)
	choice.estimate = e
	choice.QueuedTokens, choice.DrainRate = e.queuedTokens, e.rate
	expected := e.delay
	if choice.Import == ImportFromStore {
		expected += stored[choice.CacheSalt].importDelay
	}
	expected += c.target.RemainingWarmUp / warmUpDivisor
	choice.ExpectedTTFB = expected
	score := expected - e.delay + e.cost + prefillTime(recomputePenalty*recomputed, e.rate)
	if c.target.DataCentre != b.dataCentre {
		score += remotePenalty
	}
	if b.versionHistory(req.Model).Staleness(now, c.version) > staleWeightsGrace {
		score += staleWeightsPenalty
	}
	switch {
	case c.allowance.Due:
		score -= duePreference
	case c.allowance.Limited:
		score -= limitedPreference
	}
	score += time.Duration(c.state.failureRate(now) * float64(failurePenalty))
	if recomputed > 0 {
		score += maxTargetBias
	}
	return choice, score
}

// spreadPenalty returns the penalty that keeps processes from all choosing the same
// target.
func (b *Balancer) spreadPenalty(req *Request, candidates []candidate, index int, preferred affinity) time.Duration {
	c := &candidates[index]
	if req.Model != "" && b.isAdaptive(b.serviceStats(req.Service)) {
		penalty := b.tieBreak(c)
		if preferred.primary >= 0 && index != preferred.primary {
			penalty += maxTargetBias / 2
		}
		return penalty
	}
	penalty := time.Duration(b.random.Int64N(int64(scoreJitter)))
	if index != preferred.primary {
		penalty += b.targetBias(c.target.ID)
	}
	return penalty
}

// targetBias returns the penalty, at least 0 and less than maxTargetBias, that
// this process always adds to the score of a target that is not the primary
// candidate. It makes processes choose different targets among those with equal
// load.
func (b *Balancer) targetBias(targetID string) time.Duration {
	return time.Duration(xxhash.Sum64String(b.processID+"\x00"+targetID) % uint64(maxTargetBias))
}

// prefillTime returns the time in which tokens are processed at a rate in tokens per
// millisecond.
func prefillTime(tokens, rate float64) time.Duration {
	return time.Duration(tokens / rate * float64(time.Millisecond))
}

// expectedDelay returns the expected delay of a request that adds work tokens to a
// target's queue.
func (b *Balancer) expectedDelay(now time.Duration, req *Request, c *candidate, stats *serviceStats, work float64) estimate {
	if req.Model != "" && b.isAdaptive(stats) {
		return b.estimateDelay(c, stats, req.IsBuffered, work)
	}
	peerLoad := c.state.fleet.peers
	e := estimate{rate: stats.prefillRate}
	e.queuedTokens = c.state.backlog(now, e.rate, peerLoad.Backlog) + peerLoad.Backlog
	e.delay = baseTTFB + prefillTime(e.queuedTokens+work, e.rate) + b.slotWait(c, peerLoad, stats, req.Model != "")
	e.cost = e.delay + prefillTime(queueExtraWeight*e.queuedTokens, e.rate)
	return e
}

// prefillWork returns the number of prompt tokens that the candidate has to
// process, with imported tokens counted at their lower cost, and the number of
// those that another target has already processed. It also fills in the cache
// fields of choice.
func (b *Balancer) prefillWork(now time.Duration, req *Request, candidates []candidate, index int, preferred affinity, choice *Choice, stored map[string]storeMatch) (work, recomputed float64) {
	c := &candidates[index]
	choice.CacheSalt = req.CacheSalt(c.version)
	sharedTokens := float64(req.sharedTokens())
	unsharedTokens := float64(req.PromptTokens) - sharedTokens
	if sharedTokens == 0 {
		return unsharedTokens, 0
	}
	choice.Prefix = prefixKey(choice.CacheSalt, req.sharedID())
	prefix, ok := b.prefixes.Peek(choice.Prefix)
	match, known := stored[choice.CacheSalt]
	if !known {
		match = b.storedParts(now, req, prefix, choice.CacheSalt)
		stored[choice.CacheSalt] = match
	}
	storedTokens := match.tokens
	choice.StoreAddress = match.saveAddress
	choice.SaveToStore = choice.StoreAddress != "" && storedTokens < sharedTokens && prefix.shouldSave(now, unsharedTokens, sharedTokens)
	if home := preferred.headHome; home >= 0 && home != index && candidates[home].version == c.version {
		choice.Import, choice.ImportAddress = ImportFromTarget, candidates[home].target.Address
	}
	if match.busy {
		storedTokens = 0
	}
	if storedTokens > 0 {
		choice.Import, choice.ImportAddress = ImportFromStore, match.address
	}
	if source := prefix.sourceTarget(now, candidates, c); source != nil {
		choice.Import, choice.ImportAddress = ImportFromTarget, source.Address
		storedTokens = sharedTokens
	}
	if ok && prefix.heldBy(now, c) {
		choice.CachedTokens = int64(sharedTokens)
		return unsharedTokens, 0
	}
	missing := sharedTokens - storedTokens
	if index == preferred.primary {
		return unsharedTokens + importCost*sharedTokens, 0
	}
	if missing == 0 {
		return unsharedTokens + nonPrimaryImportCost*sharedTokens, 0
	}
	if primary := &candidates[preferred.primary]; primary.version == c.version {
		choice.Import, choice.ImportAddress = ImportFromTarget, primary.target.Address
	}
	return unsharedTokens + importCost*storedTokens + missing, missing
}

// storeMatch is what the cache stores hold of a request's prompt under one salt.
type storeMatch struct {
	// address is the store that holds the longest leading part, of tokens tokens.
	address string
	tokens  float64
	// importDelay is the estimated delay of an import from that store. busy is set
	// if the import would take longer than processing the tokens.
	importDelay time.Duration
	busy        bool
	// saveAddress is the store to which the prefix is saved; empty if there is
	// none.
	saveAddress string
}

// storedParts returns what the cache stores hold of a request's prompt. A prefix
// is saved to one store only, but its leading parts may be in others as well,
// with other prefixes.
func (b *Balancer) storedParts(now time.Duration, req *Request, prefix *prefixState, salt string) storeMatch {
	if len(req.Stores) == 0 {
		return storeMatch{}
	}
	match := storeMatch{saveAddress: req.Stores[xxhash.Sum64String(req.sharedID())%uint64(len(req.Stores))]}
	if !b.storeView(match.saveAddress).hasEvents && prefix != nil && prefix.savedRecently(now) {
		match.address, match.tokens = match.saveAddress, float64(req.sharedTokens())
		return match
	}
	// Heads are in all stores. Beginning with the store of the whole prefix spreads
	// their imports.
	first := slices.Index(req.Stores, match.saveAddress)
	for i := range req.Stores {
		address := req.Stores[(first+i)%len(req.Stores)]
		if tokens := float64(b.storeView(address).leadingTokens(salt, req.SharedParts)); tokens > match.tokens {
			match.address, match.tokens = address, tokens
		}
	}
	match.importDelay = b.importDelays.of(now, match.address)
	match.busy = match.importDelay > prefillTime(match.tokens, b.serviceStats(req.Service).prefillRate)
	return match
}

// shouldSave reports whether the target should save the request's prompt to
// the cache store. The unshared rest of the prompt is saved too and uses the
// store's bandwidth and memory. If it is larger than the shared prefix, the save
// is therefore deferred to a later request, for at most maxSaveDelay. p is nil
// if this process has not sent a request with the shared prefix yet.
func (p *prefixState) shouldSave(now time.Duration, unsharedTokens, sharedTokens float64) bool {
	if p != nil && now-p.saveRequestedAt <= saveTimeout {
		return false
	}
	return unsharedTokens <= sharedTokens || (p != nil && now-p.firstSentAt > maxSaveDelay)
}

// sourceTarget returns another target from which the candidate can import the
// shared prefix, or nil if there is none. The returned target is assumed to
// have processed the prefix and to still hold it, under the same weights
// version.
func (p *prefixState) sourceTarget(now time.Duration, candidates []candidate, c *candidate) *fleet.Target {
	if p == nil {
		return nil
	}
	for i := len(p.holders) - 1; i >= 0; i-- {
		h := &p.holders[i]
		if age := now - h.firstSentAt; age < maxPrefillTime || now-h.lastSentAt > holderTTL {
			continue
		}
		for j := range candidates {
			if candidates[j].target.Boot() == h.boot && candidates[j].version == c.version && &candidates[j] != c {
				return candidates[j].target
			}
		}
	}
	return nil
}

// savedRecently reports whether the cache store is assumed to hold the prefix
// because this process recently requested a target to save it.
func (p *prefixState) savedRecently(now time.Duration) bool {
	age := now - p.saveRequestedAt
	return age > saveTimeout && age < savedTTL
}

// heldBy reports whether the candidate is assumed to hold the prefix in its
// cache.
func (p *prefixState) heldBy(now time.Duration, c *candidate) bool {
	for _, h := range p.holders {
		if h.boot == c.target.Boot() {
			return now-h.lastSentAt < holderTTL
		}
	}
	return false
}

// slotWait estimates the time that a request waits for a slot. For model
// engines, it includes the slowdown caused by a fuller batch.
func (b *Balancer) slotWait(c *candidate, peerLoad TargetLoad, stats *serviceStats, batched bool) time.Duration {
	slots := float64(max(1, c.target.Slots))
	running := float64(c.state.inFlight + peerLoad.InFlight)
	wait := time.Duration(0)
	if excess := running + 1 - slots; excess > 0 {
		wait = time.Duration(excess / slots * float64(stats.serviceTime))
	}
	if batched {
		return wait + time.Duration(batchSlowdown*running/slots*float64(stats.serviceTime))
	}
	return wait + time.Duration(running/slots/2*float64(stats.serviceTime))
}
