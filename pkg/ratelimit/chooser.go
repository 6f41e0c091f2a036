package ratelimit

import (
	"math/rand/v2"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxKnownLevels is the maximum number of levels that are cached. It also
	// bounds the number of slots cached as unreachable.
	maxKnownLevels = 16_384
	// levelMaxAge is the age at which a reported level no longer affects the
	// estimate.
	levelMaxAge = 5 * time.Second
	// unreachableBackoff is the time for which a slot whose owner didn't answer
	// ranks last.
	unreachableBackoff = time.Second
)

// Candidate is one part of an account's bucket, as known to a router.
type Candidate struct {
	Slot       uint32
	DataCentre string
	// PartLimit is the part's share of the bucket's limit.
	PartLimit Limit
}

type levelKey struct {
	account string
	slot    uint32
}

type knownLevel struct {
	tokens     int64
	receivedAt time.Duration
}

// PartSelector ranks the parts of an account's bucket for a router's token
// requests. It holds soft state only: a wrong estimate costs a pull or another
// attempt but never tokens. It is not safe for concurrent use.
type PartSelector struct {
	dataCentre string
	levels     *lru.Cache[levelKey, knownLevel]
	// unreachable holds the time until which a slot ranks last.
	unreachable *lru.Cache[uint32, time.Duration]
}

// NewPartSelector returns a PartSelector without known levels for a router in the
// given data centre.
func NewPartSelector(dataCentre string) *PartSelector {
	levels, err := lru.New[levelKey, knownLevel](maxKnownLevels)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	unreachable, err := lru.New[uint32, time.Duration](maxKnownLevels)
	if err != nil {
		panic(err) // The size is a positive constant.
	}
	return &PartSelector{dataCentre: dataCentre, levels: levels, unreachable: unreachable}
}

// RecordLevel records the level that a part reported in an answer.
func (s *PartSelector) RecordLevel(now time.Duration, account string, slot uint32, level int64) {
	s.levels.Add(levelKey{account, slot}, knownLevel{level, now})
	s.unreachable.Remove(slot)
}

// RecordFailure records that the presumed owner of a slot didn't answer or doesn't
// own the slot.
func (s *PartSelector) RecordFailure(now time.Duration, slot uint32) {
	s.unreachable.Add(slot, now+unreachableBackoff)
}

// Rank returns at most tries candidates, in the order in which to try them.
// Reachable slots precede unreachable ones, and parts that probably hold enough
// tokens precede others. Among parts with enough tokens, those in the router's
// data centre come first; among the others, those with the highest level. Ties
// are broken at random.
func (s *PartSelector) Rank(now time.Duration, rng *rand.Rand, account string, tokens int64, candidates []Candidate, tries int) []Candidate {
	ranked := make([]rankedCandidate, len(candidates))
	for i, candidate := range candidates {
		until, failed := s.unreachable.Get(candidate.Slot)
		level := s.estimatedLevel(now, account, candidate)
		ranked[i] = rankedCandidate{
			Candidate:   candidate,
			unreachable: failed && now < until,
			sufficient:  level >= float64(tokens),
			local:       candidate.DataCentre == s.dataCentre,
			level:       level,
			tieBreaker:  rng.Uint64(),
		}
	}
	slices.SortFunc(ranked, compareCandidates)
	ordered := make([]Candidate, 0, min(max(tries, 0), len(ranked)))
	for _, candidate := range ranked[:cap(ordered)] {
		ordered = append(ordered, candidate.Candidate)
	}
	return ordered
}

// estimatedLevel estimates a part's level from the last reported one and the
// accrual since. As the report ages, the estimate moves towards half the
// capacity, which is also the estimate without a report.
func (s *PartSelector) estimatedLevel(now time.Duration, account string, candidate Candidate) float64 {
	capacity := float64(candidate.PartLimit.BurstTokens)
	last, found := s.levels.Get(levelKey{account, candidate.Slot})
	if !found {
		return capacity / 2
	}
	age := max(now-last.receivedAt, 0)
	accrued := float64(candidate.PartLimit.RateTokensPerSecond) * age.Seconds()
	level := min(float64(last.tokens)+accrued, capacity)
	weight := max(1-float64(age)/float64(levelMaxAge), 0)
	return weight*level + (1-weight)*capacity/2
}

type rankedCandidate struct {
	Candidate
	unreachable, sufficient, local bool
	level                          float64
	tieBreaker                     uint64
}

// compareCandidates compares candidates in the order that PartSelector.Rank
// describes.
func compareCandidates(x, y rankedCandidate) int {
	switch {
	case x.unreachable != y.unreachable:
		return orderFirst(y.unreachable)
	case x.sufficient != y.sufficient:
		return orderFirst(x.sufficient)
	case x.sufficient && x.local != y.local:
		return orderFirst(x.local)
	case !x.sufficient && x.level != y.level:
		return orderFirst(x.level > y.level)
	}
	return orderFirst(x.tieBreaker < y.tieBreaker)
}

func orderFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
