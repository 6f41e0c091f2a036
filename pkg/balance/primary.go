package balance

import (
	"math"
	"math/bits"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// headTokensFraction is the fraction of the shared tokens from which the first
	// part of a prompt, the head, counts as a major part of the prefix.
	headTokensFraction = 0.4
	// minHomes is the smallest number of targets that process the prompts with one
	// head. homesPerShare is the number of targets for a head that all prompts
	// have, relative to the number of candidates.
	minHomes      = 8
	homesPerShare = 3.0
	// headShareHalfLife is the half-life of the counts from which a head's share of
	// the prompts is estimated.
	headShareHalfLife = 20 * time.Second
	// headSharePrior is the number of prompts with other heads that is assumed
	// before any have been counted.
	headSharePrior = 50
	// maxHeads is the number of heads whose prompts are counted.
	maxHeads = 4096
)

// headShares estimates which share of the prompts has a given head.
type headShares struct {
	counts *lru.Cache[string, *decayingCount]
	total  decayingCount
}

// decayingCount is a count with half-life headShareHalfLife.
type decayingCount struct {
	count float64
	at    time.Duration
}

func newHeadShares() *headShares {
	counts, err := lru.New[string, *decayingCount](maxHeads)
	if err != nil {
		panic(err)
	}
	return &headShares{counts: counts}
}

func (c *decayingCount) add(now time.Duration, amount float64) float64 {
	c.count = c.count*math.Exp2(-float64(now-c.at)/float64(headShareHalfLife)) + amount
	c.at = now
	return c.count
}

// record counts a prompt with the given head.
func (s *headShares) record(now time.Duration, head string) {
	count, ok := s.counts.Get(head)
	if !ok {
		count = &decayingCount{}
		s.counts.Add(head, count)
	}
	count.add(now, 1)
	s.total.add(now, 1)
}

// share returns the estimated share of the prompts that have the given head.
func (s *headShares) share(now time.Duration, head string) float64 {
	count, ok := s.counts.Peek(head)
	if !ok {
		return 0
	}
	return count.add(now, 0) / (headSharePrior + s.total.add(now, 0))
}

// affinity holds the indexes of the candidates that are preferred because of the
// prompt's shared parts, or -1.
type affinity struct {
	// primary is the primary candidate for the whole shared prefix.
	primary int
	// headHome is the candidate from which the others import the head of the
	// prompt, if no better source is known.
	headHome int
}

// affinity returns the preferred candidates for the request's shared prefix. They
// are determined by rendezvous hashing and therefore the same in all processes.
//
// The targets that process a prompt also process its head, which many prefixes
// share. If the head is a major part of the prefix, its prompts therefore go to
// a few targets only, the homes of the head; the others would each have to
// process the head as well.
func (b *Balancer) affinity(now time.Duration, req *Request, candidates []candidate) affinity {
	if len(req.SharedParts) == 0 {
		return affinity{primary: -1, headHome: -1}
	}
	id := xxhash.Sum64String(req.sharedID())
	count := b.homeCount(now, req, len(candidates))
	if count >= len(candidates) {
		return affinity{primary: highestWeight(id, candidates, nil), headHome: -1}
	}
	homes := headHomes(req.SharedParts[0].ID, candidates, count)
	return affinity{primary: highestWeight(id, candidates, homes), headHome: homes[0]}
}

// homeCount returns the number of targets that process the prompts with the
// request's head. It is a power of two times minHomes, so that processes with
// slightly different estimates agree on it.
func (b *Balancer) homeCount(now time.Duration, req *Request, candidates int) int {
	head := &req.SharedParts[0]
	if len(req.SharedParts) < 2 || float64(head.Tokens) < headTokensFraction*float64(req.sharedTokens()) {
		return candidates
	}
	wanted := b.heads.share(now, head.ID) * homesPerShare * float64(candidates)
	if wanted <= minHomes {
		return minHomes
	}
	return minHomes << bits.Len(uint(wanted/minHomes))
}

// headHomes returns the indexes of the given number of candidates with the
// highest rendezvous weights for a head.
func headHomes(head string, candidates []candidate, count int) []int {
	id := xxhash.Sum64String(head)
	homes := make([]int, 0, count)
	weights := make([]uint64, 0, count)
	for i := range candidates {
		weight := candidates[i].weight(id)
		position := len(homes)
		for position > 0 && weights[position-1] < weight {
			position--
		}
		if position == count {
			continue
		}
		if len(homes) < count {
			homes, weights = append(homes, 0), append(weights, 0)
		}
		copy(homes[position+1:], homes[position:])
		copy(weights[position+1:], weights[position:])
		homes[position], weights[position] = i, weight
	}
	return homes
}

// highestWeight returns the index of the candidate with the highest rendezvous
// weight for id, among the given indexes or, if there are none, all candidates.
func highestWeight(id uint64, candidates []candidate, indexes []int) int {
	best, bestWeight := -1, uint64(0)
	consider := func(i int) {
		if weight := candidates[i].weight(id); best < 0 || weight > bestWeight {
			best, bestWeight = i, weight
		}
	}
	for _, i := range indexes {
		consider(i)
	}
	if len(indexes) > 0 {
		return best
	}
	for i := range candidates {
		consider(i)
	}
	return best
}

// rendezvousWeight mixes the hashes of a prefix and a target.
func rendezvousWeight(id, target uint64) uint64 {
	x := id ^ bits.RotateLeft64(target, 31)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
