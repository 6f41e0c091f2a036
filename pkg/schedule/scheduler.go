package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Location describes where the router runs.
type Location struct {
	DataCentre string
	Region     string
}

// Policy selects the targets to probe for a query and ranks them by their
// answers.
type Policy interface {
	// Name returns the policy's name as recorded in decisions.
	Name() string
	// Candidates returns the targets to probe, in order of preference.
	Candidates(q *Query, now time.Time) []Candidate
	// HintedCandidates returns additional targets to probe, from the hints in an
	// answer.
	HintedCandidates(q *Query, probed []Candidate, answer *Answer, now time.Time) []Candidate
	// Decide filters, scores and orders the candidates according to their answers.
	Decide(q *Query, probed []Candidate, answers []Answer, now time.Time) Decision
	// RecordDispatch records that the request was sent to a target.
	RecordDispatch(q *Query, vmID string, now time.Time)
	// RecordSuccess records that a dispatch to a target succeeded. A refusal by a
	// healthy target is neither a success nor a failure.
	RecordSuccess(vmID string)
	// RecordFailure records that a dispatch to a target failed.
	RecordFailure(vmID string, now time.Time)
}

// Scheduler is the default Policy. It selects candidates by prefix hash and
// minimizes the expected time to first token, including the cost of evicting
// blocks that other requests use. It is safe for concurrent use.
type Scheduler struct {
	settings  Settings
	location  Location
	directory *Directory

	mu          sync.Mutex
	rng         *rand.Rand
	hashRates   *hashRates
	breakers    *breakers
	hints       *HintTable
	routerCount int
}

var _ Policy = (*Scheduler)(nil)

// New returns a Scheduler for the targets of a directory. The Scheduler becomes
// the owner of rng, which the caller must not use afterwards.
func New(settings Settings, location Location, directory *Directory, rng *rand.Rand) *Scheduler {
	return &Scheduler{
		settings:    settings,
		location:    location,
		directory:   directory,
		rng:         rng,
		hashRates:   newHashRates(settings.HotEntries, settings.HotDecay),
		breakers:    newBreakers(settings.Breaker),
		hints:       NewHintTable(settings.HotEntries),
		routerCount: 1,
	}
}

// SetRouterCount sets the number of routers that share the traffic, as given by the
// platform's list.
func (s *Scheduler) SetRouterCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routerCount = n
}

// Name implements Policy.
func (s *Scheduler) Name() string { return "baobab" }

// Candidates implements Policy.
func (s *Scheduler) Candidates(q *Query, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.selectCandidates(q, s.eligible(q, now), now)
	return s.addHints(q, candidates, candidates, s.hints.Lookup(q.Chain, s.settings.MaxHints), now)
}

// HintedCandidates implements Policy. All candidates from hints count towards
// MaxHints, so a request probes at most MaxCandidates+MaxHints targets, or its
// whole pool if that is small.
func (s *Scheduler) HintedCandidates(q *Query, probed []Candidate, answer *Answer, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addHints(q, probed, nil, answer.HintVMIDs, now)
}

// addHints appends to out the usable hinted targets that are not in probed, up to
// MaxHints per request.
func (s *Scheduler) addHints(q *Query, probed, out []Candidate, vmIDs []string, now time.Time) []Candidate {
	remaining := s.settings.MaxHints
	for i := range probed {
		if probed[i].Source == SourceHint {
			remaining--
		}
	}
	for _, vmID := range vmIDs {
		if remaining <= 0 {
			break
		}
		isSameVM := func(c Candidate) bool { return c.Target.VMID == vmID }
		target, known := s.directory.Lookup(vmID)
		usable := known && target.Pool == q.Pool && target.State == StateLive &&
			!slices.Contains(q.Excluded, vmID) && s.breakers.allow(vmID, now)
		if !usable || slices.ContainsFunc(probed, isSameVM) || slices.ContainsFunc(out, isSameVM) {
			continue
		}
		out = append(out, Candidate{Target: target, Source: SourceHint})
		remaining--
	}
	return out
}

// Decide implements Policy. The lowest score is best, and the order of the
// candidates breaks ties.
func (s *Scheduler) Decide(q *Query, probed []Candidate, answers []Answer, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	scored := s.filter(q, probed, answers, now)
	s.scoreAll(q, scored)
	byScore := func(a, b ScoredCandidate) int { return cmp.Compare(a.Score, b.Score) }
	return s.newDecision(s.Name(), q, scored, byScore)
}

// newDecision sorts the usable candidates before the rejected ones and splits
// them into choices and others.
func (s *Scheduler) newDecision(policy string, q *Query, scored []ScoredCandidate, compare func(a, b ScoredCandidate) int) Decision {
	d := Decision{Policy: policy, RequestID: q.RequestID, Probed: len(scored)}
	for i := range scored {
		if scored[i].Answer.VMID != "" {
			d.Answered++
		}
	}
	usableFirst := func(a, b ScoredCandidate) int {
		aRejected, bRejected := a.Rejection != RejectNone, b.Rejection != RejectNone
		switch {
		case aRejected && bRejected:
			return 0
		case aRejected:
			return 1
		case bRejected:
			return -1
		}
		return compare(a, b)
	}
	slices.SortStableFunc(scored, usableFirst)
	choiceCount := 0
	for choiceCount < min(len(scored), s.settings.MaxTries) && scored[choiceCount].Rejection == RejectNone {
		choiceCount++
	}
	d.Choices, d.Others = scored[:choiceCount:choiceCount], scored[choiceCount:]
	return d
}

// RecordDispatch implements Policy.
func (s *Scheduler) RecordDispatch(q *Query, vmID string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakers.onDispatch(vmID, now)
	s.hints.Record(q.Chain, vmID)
}

// RecordSuccess implements Policy.
func (s *Scheduler) RecordSuccess(vmID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakers.onSuccess(vmID)
}

// RecordFailure implements Policy.
func (s *Scheduler) RecordFailure(vmID string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakers.onFailure(vmID, now)
}
