package ratelimit

import (
	"math/rand/v2"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxKnownLevels bounds the levels that a Chooser remembers.
	maxKnownLevels = 16_384
	// levelTrust is the time after which a level heard of says nothing any more.
	levelTrust = 5 * time.Second
	// unreachableTime is how long a part that didn't answer is asked last.
	unreachableTime = time.Second
)

// Candidate is one part of an account's bucket as a router sees it.
type Candidate struct {
	Slot       uint32
	DataCentre string
	// PartLimit is the limit of the part.
	PartLimit Limit
}

type levelKey struct {
	account string
	slot    uint32
}

type knownLevel struct {
	tokens int64
	at     time.Duration
}

// PartSelector orders the parts of an account's bucket for a router's asks. It is
// soft state: a wrong guess costs a pull or another try, never a token. It is
// not safe for concurrent use.
type PartSelector struct {
	dataCentre string
	levels     *lru.Cache[levelKey, knownLevel]
	// unreachable holds until when a slot is asked last.
	unreachable *lru.Cache[uint32, time.Duration]
}

// NewPartSelector returns a Chooser for a router in a data centre.
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

// RecordLevel notes the level that a part answered with.
func (c *PartSelector) RecordLevel(now time.Duration, account string, slot uint32, level int64) {
	c.levels.Add(levelKey{account, slot}, knownLevel{level, now})
	c.unreachable.Remove(slot)
}

// RecordFailure notes that a slot's owner didn't answer or isn't the owner.
func (c *PartSelector) RecordFailure(now time.Duration, slot uint32) {
	c.unreachable.Add(slot, now+unreachableTime)
}

// Rank returns the candidates in the order to ask them, at most tries of them:
// reachable before unreachable, those that likely hold enough before others;
// among the former the own data centre first, among the latter the fullest.
func (c *PartSelector) Rank(now time.Duration, random *rand.Rand, account string, tokens int64, candidates []Candidate, tries int) []Candidate {
	ranked := make([]rankedCandidate, len(candidates))
	for i, candidate := range candidates {
		until, failed := c.unreachable.Get(candidate.Slot)
		level := c.estimate(now, account, candidate)
		ranked[i] = rankedCandidate{
			Candidate:   candidate,
			unreachable: failed && now < until,
			enough:      level >= float64(tokens),
			local:       candidate.DataCentre == c.dataCentre,
			level:       level,
			tie:         random.Uint64(),
		}
	}
	slices.SortFunc(ranked, compareCandidates)
	ordered := make([]Candidate, 0, min(max(tries, 0), len(ranked)))
	for _, candidate := range ranked[:cap(ordered)] {
		ordered = append(ordered, candidate.Candidate)
	}
	return ordered
}

// estimate moves a level heard of towards half the capacity as it gets old.
func (c *PartSelector) estimate(now time.Duration, account string, candidate Candidate) float64 {
	capacity := float64(candidate.PartLimit.BurstTokens)
	known, found := c.levels.Get(levelKey{account, candidate.Slot})
	if !found {
		return capacity / 2
	}
	age := max(now-known.at, 0)
	accrued := float64(candidate.PartLimit.RateTokensPerSecond) * age.Seconds()
	level := min(float64(known.tokens)+accrued, capacity)
	trust := max(1-float64(age)/float64(levelTrust), 0)
	return trust*level + (1-trust)*capacity/2
}

type rankedCandidate struct {
	Candidate
	unreachable, enough, local bool
	level                      float64
	tie                        uint64
}

func compareCandidates(x, y rankedCandidate) int {
	switch {
	case x.unreachable != y.unreachable:
		return before(y.unreachable)
	case x.enough != y.enough:
		return before(x.enough)
	case x.enough && x.local != y.local:
		return before(x.local)
	case !x.enough && x.level != y.level:
		return before(x.level > y.level)
	}
	return before(x.tie < y.tie)
}

func before(first bool) int {
	if first {
		return -1
	}
	return 1
}
