package schedule

import (
	"cmp"
	"time"
)

// BaselineKind names a reference policy for benchmarks.
type BaselineKind string

// Baseline kinds.
const (
	// BaselineRandom selects targets at random.
	BaselineRandom BaselineKind = "random"
	// BaselineLeastLoaded probes every target and prefers the shortest expected
	// wait.
	BaselineLeastLoaded BaselineKind = "least_loaded"
	// BaselinePrefixHash uses the rendezvous order of the prompt's last block hash.
	BaselinePrefixHash BaselineKind = "prefix_hash"
	// BaselineAllProbed probes every target and scores as the Scheduler does.
	BaselineAllProbed BaselineKind = "all_probed"
)

// Baseline is a Policy for benchmarks. It shares the Scheduler's filter, circuit
// breakers and limit on tries, so only the candidates and their order differ.
type Baseline struct {
	*Scheduler
	kind BaselineKind
}

var _ Policy = (*Baseline)(nil)

// NewBaseline returns a policy of the given kind. The Scheduler must not be
// used by another policy.
func NewBaseline(kind BaselineKind, scheduler *Scheduler) *Baseline {
	return &Baseline{Scheduler: scheduler, kind: kind}
}

// Name implements Policy.
func (b *Baseline) Name() string { return string(b.kind) }

// Candidates implements Policy.
func (b *Baseline) Candidates(q *Query, now time.Time) []Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	targets := b.eligible(q, now)
	switch b.kind {
	case BaselineRandom:
		selected := newSelection(targets, b.settings.MaxTries)
		selected.addRandom(b.settings.MaxTries, b.rng, SourceRandom)
		return selected.candidates
	case BaselinePrefixHash:
		selected := newSelection(targets, b.settings.MaxTries)
		if n := len(q.Chain); n > 0 {
			selected.addByHash(q.Chain[n-1], b.settings.MaxTries, SourceDeep)
		}
		selected.addRandom(b.settings.MaxTries-len(selected.candidates), b.rng, SourceRandom)
		return selected.candidates
	default:
		return b.wholePool(q, targets)
	}
}

// HintedCandidates implements Policy. Baselines ignore hints.
func (b *Baseline) HintedCandidates(*Query, []Candidate, *Answer, time.Time) []Candidate { return nil }

// Decide implements Policy.
func (b *Baseline) Decide(q *Query, probed []Candidate, answers []Answer, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	scored := b.filter(q, probed, answers, now)
	b.scoreAll(q, scored)
	if b.kind != BaselineAllProbed {
		clearImports(scored)
	}
	return b.newDecision(b.Name(), q, scored, b.comparison())
}

// comparison returns the function that sorts usable candidates for the kind.
// The sort is stable, so equal candidates keep their order.
func (b *Baseline) comparison() func(x, y ScoredCandidate) int {
	switch b.kind {
	case BaselineAllProbed:
		return func(x, y ScoredCandidate) int { return cmp.Compare(x.Score, y.Score) }
	case BaselineLeastLoaded:
		return func(x, y ScoredCandidate) int {
			return cmp.Or(cmp.Compare(x.Answer.Wait, y.Answer.Wait), cmp.Compare(x.Answer.Queued, y.Answer.Queued))
		}
	default:
		return func(ScoredCandidate, ScoredCandidate) int { return 0 }
	}
}

// clearImports removes the KV cache imports that scoring proposed.
func clearImports(scored []ScoredCandidate) {
	for i := range scored {
		scored[i].ImportFromVMID = ""
		scored[i].ImportBlocks = 0
	}
}
