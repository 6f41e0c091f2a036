package schedule

import (
	"cmp"
	"time"
)

// BaselineKind names a simpler policy that measurements compare with.
type BaselineKind string

// Baselines.
const (
	// BaselineRandom takes targets at random.
	BaselineRandom BaselineKind = "random"
	// BaselineLeastLoaded probes every target and takes the least wait.
	BaselineLeastLoaded BaselineKind = "least_loaded"
	// BaselinePrefixHash takes the rendezvous order of the deepest hash.
	BaselinePrefixHash BaselineKind = "prefix_hash"
	// BaselineAllProbed probes every target and scores as the Scheduler does.
	BaselineAllProbed BaselineKind = "all_probed"
)

// Baseline is a Policy for measurements. Filter, breakers and tries are the
// Scheduler's, so that only candidates and order differ.
type Baseline struct {
	*Scheduler
	kind BaselineKind
}

var _ Policy = (*Baseline)(nil)

// NewBaseline returns a policy of some kind on top of a Scheduler of its own.
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
		chosen := newSelection(targets, b.settings.MaxTries)
		chosen.addRandom(b.settings.MaxTries, b.random, SourceRandom)
		return chosen.candidates
	case BaselinePrefixHash:
		chosen := newSelection(targets, b.settings.MaxTries)
		if n := len(q.Chain); n > 0 {
			chosen.addByHash(q.Chain[n-1], b.settings.MaxTries, SourceDeep)
		}
		chosen.addRandom(b.settings.MaxTries-len(chosen.candidates), b.random, SourceRandom)
		return chosen.candidates
	default:
		return b.wholePool(q, targets)
	}
}

// HintedCandidates implements Policy; baselines follow no hints.
func (b *Baseline) HintedCandidates(*Query, []Candidate, *Answer, time.Time) []Candidate { return nil }

// Decide implements Policy.
func (b *Baseline) Decide(q *Query, asked []Candidate, answers []Answer, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	scored := b.filter(q, asked, answers, now)
	b.scoreAll(q, scored)
	if b.kind != BaselineAllProbed {
		clearImports(scored)
	}
	return b.decision(b.Name(), q, scored, b.order())
}

// order returns how the kind sorts usable candidates; equals keep their order.
func (b *Baseline) order() func(x, y ScoredCandidate) int {
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

// clearImports takes out the imports that scoring proposed.
func clearImports(scored []ScoredCandidate) {
	for i := range scored {
		scored[i].ImportFromVMID = ""
		scored[i].ImportBlocks = 0
	}
}
