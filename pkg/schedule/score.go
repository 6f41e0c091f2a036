package schedule

import (
	"math"
	"time"
)

const tokensPerKtoken = 1000

// scoreAll sets the scores of the candidates that passed the filter.
func (s *Scheduler) scoreAll(q *Query, scored []ScoredCandidate) {
	best, second := deepestMatches(scored)
	for i := range scored {
		c := &scored[i]
		if c.Rejection != RejectNone {
			continue
		}
		sourceIndex := best
		if sourceIndex == i {
			sourceIndex = second
		}
		s.score(q, c, scored, sourceIndex)
	}
}

// deepestMatches returns the indices of the two usable candidates with the most
// matched blocks, or -1 where there is none.
func deepestMatches(scored []ScoredCandidate) (best, second int) {
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

// score sets c's expected time to first token and its score. The score weights
// the prefill of missing tokens beyond its cost to this request, because blocks
// added to a full cache evict blocks that another request would have used.
func (s *Scheduler) score(q *Query, c *ScoredCandidate, all []ScoredCandidate, sourceIndex int) {
	perKtoken := c.Answer.PrefillPerKtoken
	c.MissingTokens = missingTokens(q, c.Answer.MatchedBlocks)
	prefillTime := tokenTime(c.MissingTokens, perKtoken)
	fillTime := prefillTime

	if sourceIndex >= 0 {
		source := &all[sourceIndex]
		s.considerImport(q, c, s.settings.EngineImport, source.Candidate.Target.VMID, source.Answer.MatchedBlocks, &fillTime)
	}
	s.considerImport(q, c, s.settings.StoreImport, StoreSource, min(q.StoreBlocks, len(q.Chain)), &fillTime)

	c.TimeToFirstToken = addDurations(addDurations(c.Answer.Wait, fillTime), s.networkDelay(&c.Candidate.Target))
	c.MissingWeight = s.missingWeight(q, &c.Answer)
	c.Score = addDurations(c.TimeToFirstToken, scaleDuration(prefillTime, c.MissingWeight-1))
}

// considerImport makes c import blocks from a source if that takes less time
// than fillTime, and then updates fillTime.
func (s *Scheduler) considerImport(q *Query, c *ScoredCandidate, cost ImportCost, source string, blocks int, fillTime *time.Duration) {
	importedBlocks := blocks - c.Answer.MatchedBlocks
	if !cost.Enabled || importedBlocks <= 0 {
		return
	}
	copyTime := addDurations(cost.Fixed, tokenTime(importedBlocks*q.BlockTokens, cost.PerKtoken))
	total := addDurations(copyTime, tokenTime(missingTokens(q, blocks), c.Answer.PrefillPerKtoken))
	if total >= *fillTime {
		return
	}
	*fillTime = total
	c.ImportFromVMID = source
	c.ImportBlocks = blocks
}

// missingWeight returns a weight between MinMissingWeight and MaxMissingWeight
// that grows with the share of the cache evicted during the prefill of one block.
// That measure is independent of the engine's speed and distinguishes engines
// under cache pressure, so cold prefixes go to the engines whose evicted blocks
// are the oldest.
func (s *Scheduler) missingWeight(q *Query, answer *Answer) float64 {
	blockTime := tokenTime(q.BlockTokens, answer.PrefillPerKtoken)
	evicted := float64(answer.EvictionPPMPerSecond) * blockTime.Seconds()
	pressure := min(1, evicted/max(1, s.settings.FullPressurePPM))
	low, high := s.settings.MinMissingWeight, s.settings.MaxMissingWeight
	return low + pressure*(high-low)
}

// networkDelay returns the round-trip time to a target in excess of that within a
// data centre.
func (s *Scheduler) networkDelay(t *Target) time.Duration {
	switch {
	case t.DataCentre == s.location.DataCentre && t.Region == s.location.Region:
		return 0
	case t.Region == s.location.Region:
		return s.settings.SameRegionRTT
	default:
		return s.settings.OtherRegionRTT
	}
}

// missingTokens returns the number of prompt tokens after the matched blocks. It
// is at least 1, since an engine always computes the last token.
func missingTokens(q *Query, matched int) int {
	matched = min(matched, len(q.Chain))
	return max(1, q.PromptTokens-matched*q.BlockTokens)
}

func tokenTime(tokens int, perKtoken time.Duration) time.Duration {
	return scaleDuration(perKtoken, float64(tokens)/tokensPerKtoken)
}

// addDurations returns the saturating sum. An overflow would turn very large
// durations in an answer into the lowest score.
func addDurations(a, b time.Duration) time.Duration {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// scaleDuration returns the saturating product.
func scaleDuration(d time.Duration, factor float64) time.Duration {
	product := float64(d) * factor
	if product >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(product)
}
