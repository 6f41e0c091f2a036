package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// firstByteBase is the time to the first byte that doesn't depend on the
	// prompt.
	firstByteBase = 8 * time.Millisecond
	// tooLatePenalty puts targets that would answer too late behind all others.
	tooLatePenalty = time.Hour
	// otherCentrePenalty is what bytes between data centres count for.
	otherCentrePenalty = 8 * time.Millisecond
	// oldWeightsPenalty is what older weights count for once newer are due.
	oldWeightsPenalty = 120 * time.Millisecond
	// failurePenalty is the penalty of a target that fails all requests.
	failurePenalty = 1500 * time.Millisecond
	// importShare is the time to import a token against the time to read it.
	importShare = 0.25
	// preferenceSpread is the most that one process prefers one target to
	// another for no other reason than to differ from its peers, whose messages
	// are some hundred milliseconds old.
	preferenceSpread = 40 * time.Millisecond
	// jitter keeps processes with the same view from choosing alike.
	jitter = 4 * time.Millisecond
	// awayImportShare is importShare at targets other than the part's home, which
	// is more likely to hold it already.
	awayImportShare = 0.4
	// rereadCost is what reading a token again, that another target has read,
	// counts for against the time to read it.
	rereadCost = 12
	// queueCaution is how much more than its time a queue counts for, since what
	// is in front of a request varies more than the request itself.
	queueCaution = 1.0
	// coldShare is the part of its remaining warm-up that a request to a cold
	// target is expected to lose.
	coldShare = 100
	// saveRepeat is when a shared part should be in the store; one that isn't
	// is saved again.
	saveRepeat = 500 * time.Millisecond
	// savePatience is how long a shared part waits to be saved along with a
	// small part of a request's own.
	savePatience = 2 * time.Second
	// readTimeLimit is when an engine that got a part should have read it.
	readTimeLimit = 300 * time.Millisecond
	// batchCost is what each request in a full batch adds to the next token's
	// time, as a share of the service time.
	batchCost = 0.3
)

// score returns the choice of a candidate and its score, the expected time to
// the first byte with penalties. home is the index of the shared part's home.
func (b *Balancer) score(now time.Duration, req *Request, candidates []candidate, at, home int) (Choice, time.Duration) {
	c := &candidates[at]
	stats := b.service(req.Service)
	choice := Choice{Target: *c.target, Version: c.version, LoadAge: -1}
	if c.state.loadAt >= 0 {
		choice.LoadAge = now - c.state.loadAt
	}
	work, again := float64(0), float64(0)
	if req.Model != "" {
		work, again = b.promptWork(now, req, candidates, at, home, &choice)
	}
	peers := b.peerShare(c.target.ID)
	choice.PrefillTokens = work
	queued := c.state.backlog(now, stats.prefillRate) + peers.Backlog
	expected := firstByteBase + readTime(queued+work, stats)
	expected += b.slotWait(c, peers, stats, req.Model != "")
	expected += c.target.RemainingWarmUp / coldShare
	choice.ExpectedTTFB = expected
	score := expected + readTime(queueCaution*queued+rereadCost*again, stats)
	if c.target.DataCentre != b.dataCentre {
		score += otherCentrePenalty
	}
	if b.history(req.Model).Staleness(now, c.version) > preferNewAfter {
		score += oldWeightsPenalty
	}
	score += time.Duration(c.state.failureShare(now) * float64(failurePenalty))
	score += b.preference(c.target.ID) + time.Duration(b.random.Int64N(int64(jitter)))
	return choice, score
}

// preference is this process's own share of preferenceSpread for a target. It
// gives each process targets of its own among those that are equally free.
func (b *Balancer) preference(targetID string) time.Duration {
	return time.Duration(xxhash.Sum64String(b.self+"\x00"+targetID) % uint64(preferenceSpread))
}

func readTime(tokens float64, stats *serviceStats) time.Duration {
	return time.Duration(tokens / stats.prefillRate * float64(time.Millisecond))
}

// promptWork returns the prompt tokens that the candidate has to read, with
// tokens to import counted at their lower cost, and of those the ones that
// another target has read before. It fills in the choice.
func (b *Balancer) promptWork(now time.Duration, req *Request, candidates []candidate, at, home int, choice *Choice) (work, again float64) {
	c := &candidates[at]
	choice.CacheSalt = req.CacheSalt(c.version)
	shared := float64(req.sharedTokens())
	own := float64(req.PromptTokens) - shared
	if shared == 0 {
		return own, 0
	}
	known, ok := b.chains.Peek(chainKey(choice.CacheSalt, req.sharedID()))
	stored := b.stored(now, req, known, choice)
	choice.SaveToStore = choice.StoreAddress != "" && stored < shared && known.worthSaving(now, own, shared)
	if stored > 0 {
		choice.Import, choice.ImportAddress = ImportFromStore, choice.StoreAddress
	}
	if source := known.source(now, candidates, c); source != nil {
		choice.Import, choice.ImportAddress = ImportFromTarget, source.Address
		stored = shared
	}
	if ok && known.holds(now, c) {
		choice.CachedTokens = int64(shared)
		return own, 0
	}
	missing := shared - stored
	if at == home {
		return own + importShare*shared, 0
	}
	if missing == 0 {
		return own + awayImportShare*shared, 0
	}
	if candidates[home].version == c.version {
		choice.Import, choice.ImportAddress = ImportFromTarget, candidates[home].target.Address
	}
	return own + importShare*stored + missing, missing
}

// stored returns how many of the shared tokens are in their cache store, and
// fills in the store.
func (b *Balancer) stored(now time.Duration, req *Request, known *chain, choice *Choice) float64 {
	if len(req.Stores) == 0 {
		return 0
	}
	choice.StoreAddress = req.Stores[xxhash.Sum64String(req.sharedID())%uint64(len(req.Stores))]
	view := b.storeView(choice.StoreAddress)
	if !view.followed && known != nil && known.saved(now) {
		return float64(req.sharedTokens())
	}
	return float64(view.tokens(choice.CacheSalt, req.SharedParts))
}

// worthSaving says whether a request's prompt is to be sent to the cache store.
// Its own part goes along and takes the store's link and memory, so a large one
// waits for another request, if one comes soon. A nil chain is a part that this
// process has not sent yet.
func (k *chain) worthSaving(now time.Duration, own, shared float64) bool {
	if k != nil && now-k.savedAt <= saveRepeat {
		return false
	}
	return own <= shared || (k != nil && now-k.since > savePatience)
}

// source returns a target that has had time to read the part and holds it under
// the same weights, other than the candidate itself; nil when none is known.
func (k *chain) source(now time.Duration, candidates []candidate, c *candidate) *fleet.Target {
	if k == nil {
		return nil
	}
	for i := len(k.holders) - 1; i >= 0; i-- {
		h := &k.holders[i]
		if age := now - h.since; age < readTimeLimit || now-h.at > holderMemory {
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

// saved says whether a part that this process had saved should be in the store.
func (k *chain) saved(now time.Duration) bool {
	age := now - k.savedAt
	return age > saveRepeat && age < saveMemory
}

func (k *chain) holds(now time.Duration, c *candidate) bool {
	for _, h := range k.holders {
		if h.boot == c.target.Boot() {
			return now-h.at < holderMemory
		}
	}
	return false
}

// slotWait estimates the wait for a slot, and for model engines the slowdown
// of a fuller batch.
func (b *Balancer) slotWait(c *candidate, peers TargetLoad, stats *serviceStats, batched bool) time.Duration {
	slots := float64(max(1, c.target.Slots))
	running := float64(c.state.running + peers.InFlight)
	wait := time.Duration(0)
	if over := running + 1 - slots; over > 0 {
		wait = time.Duration(over / slots * float64(stats.serviceTime))
	}
	if batched {
		return wait + time.Duration(batchCost*running/slots*float64(stats.serviceTime))
	}
	return wait + time.Duration(running/slots/2*float64(stats.serviceTime))
}
