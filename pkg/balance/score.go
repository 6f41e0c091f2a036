package balance

import (
	"time"
)

const (
	// otherCentrePenalty is what bytes between data centres count for.
	otherCentrePenalty = 8 * time.Millisecond
	// failurePenalty is the penalty of a target that fails all requests.
	failurePenalty = 1500 * time.Millisecond
	// importShare is the time to import a token against the time to read it.
	importShare = 0.25
	// jitter keeps processes with the same view from choosing alike.
	jitter = 4 * time.Millisecond
	// batchCost is what each request in a full batch adds to the next token's
	// time, as a share of the service time.
	batchCost = 0.3
)

// score returns the choice of a candidate and its score, the expected time to
// the first byte with penalties.
func (b *Balancer) score(now time.Duration, req *Request, c *candidate, home bool) (Choice, time.Duration) {
	stats := b.service(req.Service)
	choice := Choice{Target: *c.target, Version: c.version, LoadAge: -1}
	if c.state.loadAt >= 0 {
		choice.LoadAge = now - c.state.loadAt
	}
	work := float64(0)
	if req.Model != "" {
		work = b.promptWork(now, req, c, home, &choice)
	}
	peers := b.peerShare(c.target.ID)
	queued := float64(c.state.unstartedTokens+peers.UnstartedTokens) + work
	expected := time.Duration(queued / stats.prefillRate * float64(time.Millisecond))
	expected += b.slotWait(c, peers, stats, req.Model != "")
	expected += c.target.Cold / 100
	choice.Expected = expected
	score := expected
	if c.target.DataCentre != b.dataCentre {
		score += otherCentrePenalty
	}
	score += time.Duration(c.state.failureShare(now) * float64(failurePenalty))
	score += time.Duration(b.random.Int64N(int64(jitter)))
	return choice, score
}

// promptWork returns the prompt tokens that the candidate has to read, with
// tokens to import counted at their lower cost, and fills in the choice.
func (b *Balancer) promptWork(now time.Duration, req *Request, c *candidate, home bool, choice *Choice) float64 {
	choice.Salt = req.Salt(c.version)
	if req.SharedTokens == 0 {
		return float64(req.PromptTokens)
	}
	known, ok := b.chains.Peek(chainKey(choice.Salt, req.SharedID))
	saved := ok && now-known.savedAt < saveMemory
	choice.Save = !saved
	own := float64(req.PromptTokens - req.SharedTokens)
	switch {
	case ok && known.holds(now, c):
		choice.CachedTokens = req.SharedTokens
		return own
	case saved:
		return own + importShare*float64(req.SharedTokens)
	case home:
		return own + importShare*float64(req.SharedTokens)
	default:
		return own + float64(req.SharedTokens)
	}
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
func (b *Balancer) slotWait(c *candidate, peers Share, stats *serviceStats, batched bool) time.Duration {
	slots := float64(max(1, c.target.Slots))
	running := float64(c.state.running + peers.Running)
	wait := time.Duration(0)
	if over := running + 1 - slots; over > 0 {
		wait = time.Duration(over / slots * float64(stats.serviceTime))
	}
	if batched {
		return wait + time.Duration(batchCost*running/slots*float64(stats.serviceTime))
	}
	return wait + time.Duration(running/slots/2*float64(stats.serviceTime))
}
