package schedule

import (
	"math"
	"time"
)

const tokensPerKtoken = 1000

// scoreAll fills in the scores of the candidates that passed the filter.
func (s *Scheduler) scoreAll(q *Query, scored []ScoredCandidate) {
	best, second := deepest(scored)
	for i := range scored {
		c := &scored[i]
		if c.Rejection != RejectNone {
			continue
		}
		exporter := best
		if exporter == i {
			exporter = second
		}
		s.score(q, c, scored, exporter)
	}
}

// deepest returns the indices of the two usable candidates that hold most
// blocks; -1 for none.
func deepest(scored []ScoredCandidate) (best, second int) {
	best, second = -1, -1
	for i := range scored {
		if scored[i].Rejection != RejectNone {
			continue
		}
		switch matched := scored[i].Answer.MatchedBlocks; {
		case best < 0 || matched > scored[best].Answer.MatchedBlocks:
			best, second = i, best
		case second < 0 || matched > scored[second].Answer.MatchedBlocks:
			second = i
		}
	}
	return best, second
}

// score sets c's expected time to first token and its score. Missing work
// beyond this request counts too: what is put into a full cache evicts what
// another request would have found there.
func (s *Scheduler) score(q *Query, c *ScoredCandidate, all []ScoredCandidate, exporter int) {
	perKtoken := c.Answer.PrefillPerKtoken
	c.MissingTokens = missing(q, c.Answer.MatchedBlocks)
	recompute := workTime(c.MissingTokens, perKtoken)
	fill := recompute

	if exporter >= 0 {
		source := &all[exporter]
		s.considerImport(q, c, s.settings.EngineImport, source.Candidate.Target.VMID, source.Answer.MatchedBlocks, &fill)
	}
	s.considerImport(q, c, s.settings.StoreImport, StoreSource, min(q.StoreBlocks, len(q.Chain)), &fill)

	c.TimeToFirstToken = addTime(addTime(c.Answer.Wait, fill), s.transit(&c.Candidate.Target))
	c.MissingWeight = s.missingWeight(q, &c.Answer)
	c.Score = addTime(c.TimeToFirstToken, scaleTime(recompute, c.MissingWeight-1))
}

// considerImport makes c import blocks from a source when that beats fill.
func (s *Scheduler) considerImport(q *Query, c *ScoredCandidate, cost ImportCost, source string, blocks int, fill *time.Duration) {
	gained := blocks - c.Answer.MatchedBlocks
	if !cost.Enabled || gained <= 0 {
		return
	}
	copying := addTime(cost.Fixed, workTime(gained*q.BlockTokens, cost.PerKtoken))
	total := addTime(copying, workTime(missing(q, blocks), c.Answer.PrefillPerKtoken))
	if total >= *fill {
		return
	}
	*fill = total
	c.ImportFromVMID = source
	c.ImportBlocks = blocks
}

// missingWeight grows from the least to the greatest weight with the share of
// the cache that is evicted in the time of one block's prefill. That measure is
// free of the engine's speed, and it tells engines under pressure apart, so that
// cold prefixes go where the evicted blocks are the oldest.
func (s *Scheduler) missingWeight(q *Query, answer *Answer) float64 {
	blockTime := workTime(q.BlockTokens, answer.PrefillPerKtoken)
	evicted := float64(answer.EvictionPPMPerSecond) * blockTime.Seconds()
	pressure := min(1, evicted/max(1, s.settings.FullPressurePPM))
	low, high := s.settings.MinMissingWeight, s.settings.MaxMissingWeight
	return low + pressure*(high-low)
}

// transit returns the round trip to a target beyond that inside a data centre.
func (s *Scheduler) transit(t *Target) time.Duration {
	switch {
	case t.DataCentre == s.self.DataCentre && t.Region == s.self.Region:
		return 0
	case t.Region == s.self.Region:
		return s.settings.SameRegionTransit
	default:
		return s.settings.OtherRegionTransit
	}
}

// missing returns the prompt's tokens outside its first matched blocks, at
// least 1 since an engine computes the last token in any case.
func missing(q *Query, matched int) int {
	matched = min(matched, len(q.Chain))
	return max(1, q.PromptTokens-matched*q.BlockTokens)
}

func workTime(tokens int, perKtoken time.Duration) time.Duration {
	return scaleTime(perKtoken, float64(tokens)/tokensPerKtoken)
}

// addTime adds without overflow, so that no absurd answer becomes the least.
func addTime(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// scaleTime multiplies without overflow.
func scaleTime(d time.Duration, factor float64) time.Duration {
	product := float64(d) * factor
	if product >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(product)
}
