package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

// eligible returns the targets that may be probed for a query: live targets of
// its pool that are not excluded and whose breaker allows a request. It returns
// targets of the router's own region only, unless there are none or the query
// allows any region.
func (s *Scheduler) eligible(q *Query, now time.Time) []Target {
	all := s.directory.Targets()
	targets := make([]Target, 0, len(all))
	local := 0
	for i := range all {
		t := &all[i]
		if t.Pool != q.Pool || t.State != StateLive || slices.Contains(q.Excluded, t.VMID) || !s.breakers.allow(t.VMID, now) {
			continue
		}
		targets = append(targets, *t)
		if t.Region == s.location.Region {
			local++
		}
	}
	if q.AnyRegion || local == 0 || local == len(targets) {
		return targets
	}
	return slices.DeleteFunc(targets, func(t Target) bool { return t.Region != s.location.Region })
}

// selection collects distinct candidates up to a limit.
type selection struct {
	targets    []Target
	selected   []bool
	candidates []Candidate
	limit      int
	// ranked is a buffer that addByHash reuses.
	ranked []rankedTarget
}

func newSelection(targets []Target, limit int) *selection {
	return &selection{
		targets:    targets,
		selected:   make([]bool, len(targets)),
		candidates: make([]Candidate, 0, min(limit, len(targets))),
		limit:      limit,
	}
}

func (s *selection) full() bool {
	return len(s.candidates) >= s.limit || len(s.candidates) == len(s.targets)
}

func (s *selection) add(i int, source Source) {
	s.selected[i] = true
	s.candidates = append(s.candidates, Candidate{Target: s.targets[i], Source: source})
}

// addByHash adds up to n targets that are not selected yet, in the rendezvous
// order of key.
func (s *selection) addByHash(key uint64, n int, source Source) {
	if n <= 0 || s.full() {
		return
	}
	s.ranked = rendezvousOrder(s.ranked[:0], key, s.targets, min(n+len(s.candidates), len(s.targets)))
	for _, r := range s.ranked {
		if n == 0 || s.full() {
			return
		}
		if !s.selected[r.targetIndex] {
			s.add(r.targetIndex, source)
			n--
		}
	}
}

// addRandom adds up to n targets that are not selected yet, chosen uniformly at
// random.
func (s *selection) addRandom(n int, rng *rand.Rand, source Source) {
	for ; n > 0 && !s.full(); n-- {
		skip := rng.IntN(len(s.targets) - len(s.candidates))
		for i := range s.targets {
			if s.selected[i] {
				continue
			}
			if skip == 0 {
				s.add(i, source)
				break
			}
			skip--
		}
	}
}

// chainLevel is the hash at one position of the chain and the number of
// candidates to select by it.
type chainLevel struct {
	hash   uint64
	count  int
	source Source
}

// chainLevels returns the chain's deepest, middle and shallow levels. Levels that
// coincide in a short chain are merged, and their candidate counts are added.
func (s *Scheduler) chainLevels(chain []uint64) []chainLevel {
	depth := len(chain)
	if depth == 0 {
		return nil
	}
	specs := [...]struct {
		position, count int
		source          Source
	}{
		{depth, s.settings.DeepCandidates, SourceDeep},
		{min(s.settings.MiddleLevel, depth), s.settings.MiddleCandidates, SourceMiddle},
		{min(s.settings.ShallowLevel, depth), s.settings.ShallowCandidates, SourceShallow},
	}
	levels := make([]chainLevel, 0, len(specs))
	for _, spec := range specs {
		hash := chain[max(1, spec.position)-1]
		if n := len(levels); n > 0 && levels[n-1].hash == hash {
			levels[n-1].count += spec.count
			continue
		}
		levels = append(levels, chainLevel{hash: hash, count: spec.count, source: spec.source})
	}
	return levels
}

// selectCandidates selects the targets to probe for a query. It selects some by
// several levels of the query's hash chain and some at random, and adds more for
// hashes with a high request rate. In a small pool it returns all targets.
func (s *Scheduler) selectCandidates(q *Query, targets []Target, now time.Time) []Candidate {
	levels := s.chainLevels(q.Chain)
	for _, l := range levels {
		s.hashRates.observe(l.hash, now)
	}
	if len(targets) <= s.settings.WholePoolTargets {
		return s.wholePool(q, targets)
	}
	selected := newSelection(targets, s.settings.MaxCandidates)
	for _, l := range levels {
		selected.addByHash(l.hash, l.count, l.source)
	}
	random := s.settings.RandomCandidates
	if len(levels) == 0 {
		random += s.settings.DeepCandidates + s.settings.MiddleCandidates + s.settings.ShallowCandidates
	}
	selected.addRandom(random, s.rng, SourceRandom)
	for _, l := range levels {
		selected.addByHash(l.hash, s.hotCandidateCount(l.hash, now), SourceHot)
	}
	return selected.candidates
}

// hotCandidateCount returns the number of additional candidates for a hash,
// in proportion to its request rate in the fleet. The fleet's rate is estimated
// as the local rate times the number of routers, which share the traffic.
func (s *Scheduler) hotCandidateCount(hash uint64, now time.Time) int {
	if s.settings.HotRequestsPerSecond <= 0 {
		return 0
	}
	fleetRate := s.hashRates.rate(hash, now) * float64(max(1, s.routerCount))
	extra := fleetRate / s.settings.HotRequestsPerSecond
	return int(min(extra, float64(s.settings.MaxCandidates)))
}

// wholePool returns every target in the rendezvous order of the deepest hash, or
// in random order if the prompt has no full block.
func (s *Scheduler) wholePool(q *Query, targets []Target) []Candidate {
	selected := newSelection(targets, len(targets))
	key := s.rng.Uint64()
	if n := len(q.Chain); n > 0 {
		key = q.Chain[n-1]
	}
	selected.addByHash(key, len(targets), SourceWhole)
	return selected.candidates
}
