package schedule

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Location says where the router runs.
type Location struct {
	DataCentre string
	Region     string
}

// Policy names the targets to probe for a query and decides by the answers.
type Policy interface {
	// Name is the policy's name in decisions.
	Name() string
	// Candidates returns the targets to probe, in order of preference.
	Candidates(q *Query, now time.Time) []Candidate
	// HintedCandidates returns further targets to probe, as an answer's hints ask.
	HintedCandidates(q *Query, asked []Candidate, answer *Answer, now time.Time) []Candidate
	// Decide filters, scores and orders the candidates by their answers.
	Decide(q *Query, asked []Candidate, answers []Answer, now time.Time) Decision
	// RecordDispatch, Succeeded and Failed tell what became of a choice. A refusal
	// of a healthy target is neither.
	RecordDispatch(q *Query, vmID string, now time.Time)
	RecordSuccess(vmID string)
	RecordFailure(vmID string, now time.Time)
}

// Scheduler is the project's policy. It is safe for concurrent use.
type Scheduler struct {
	settings  Settings
	self      Location
	directory *Directory

	mu        sync.Mutex
	random    *rand.Rand
	hashRates *hashRates
	breakers  *breakers
	recent    *HintTable
	routers   int
}

var _ Policy = (*Scheduler)(nil)

// New returns a Scheduler over a directory. It takes random over.
func New(settings Settings, self Location, directory *Directory, random *rand.Rand) *Scheduler {
	return &Scheduler{
		settings:  settings,
		self:      self,
		directory: directory,
		random:    random,
		hashRates: newHashRates(settings.HotEntries, settings.HotDecay),
		breakers:  newBreakers(settings.Breaker),
		recent:    NewHintTable(settings.HotEntries),
		routers:   1,
	}
}

// SetRouterCount tells how many routers share the traffic, from the platform's list.
func (s *Scheduler) SetRouterCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers = n
}

// Name implements Policy.
func (s *Scheduler) Name() string { return "baobab" }

// Candidates implements Policy.
func (s *Scheduler) Candidates(q *Query, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.choose(q, s.eligible(q, now), now)
	return s.addHints(q, candidates, candidates, s.recent.Lookup(q.Chain, s.settings.MaxHints), now)
}

// HintedCandidates implements Policy. Candidates that hints brought in count against
// MaxHints, so a request probes at most MaxCandidates+MaxHints targets, or its
// whole pool when that is small.
func (s *Scheduler) HintedCandidates(q *Query, asked []Candidate, answer *Answer, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addHints(q, asked, nil, answer.HintVMIDs, now)
}

// addHints appends to out the usable hinted targets that are not in asked.
func (s *Scheduler) addHints(q *Query, asked, out []Candidate, vmIDs []string, now time.Time) []Candidate {
	room := s.settings.MaxHints
	for i := range asked {
		if asked[i].Source == SourceHint {
			room--
		}
	}
	for _, vmID := range vmIDs {
		if room <= 0 {
			break
		}
		isHinted := func(c Candidate) bool { return c.Target.VMID == vmID }
		target, known := s.directory.Lookup(vmID)
		usable := known && target.Pool == q.Pool && target.State == StateLive &&
			!slices.Contains(q.Excluded, vmID) && s.breakers.allows(vmID, now)
		if !usable || slices.ContainsFunc(asked, isHinted) || slices.ContainsFunc(out, isHinted) {
			continue
		}
		out = append(out, Candidate{Target: target, Source: SourceHint})
		room--
	}
	return out
}

// Decide implements Policy: the least score wins, and the candidates' order
// breaks ties.
func (s *Scheduler) Decide(q *Query, asked []Candidate, answers []Answer, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	scored := s.filter(q, asked, answers, now)
	s.scoreAll(q, scored)
	byScore := func(a, b ScoredCandidate) int { return cmp.Compare(a.Score, b.Score) }
	return s.decision(s.Name(), q, scored, byScore)
}

// decision orders the usable candidates and splits off the choices.
func (s *Scheduler) decision(policy string, q *Query, scored []ScoredCandidate, order func(a, b ScoredCandidate) int) Decision {
	d := Decision{Policy: policy, RequestID: q.RequestID, Probed: len(scored)}
	for i := range scored {
		if scored[i].Answer.VMID != "" {
			d.Answered++
		}
	}
	usableFirst := func(a, b ScoredCandidate) int {
		aOut, bOut := a.Rejection != RejectNone, b.Rejection != RejectNone
		switch {
		case aOut && bOut:
			return 0
		case aOut:
			return 1
		case bOut:
			return -1
		}
		return order(a, b)
	}
	slices.SortStableFunc(scored, usableFirst)
	choices := 0
	for choices < min(len(scored), s.settings.MaxTries) && scored[choices].Rejection == RejectNone {
		choices++
	}
	d.Choices, d.Others = scored[:choices:choices], scored[choices:]
	return d
}

// RecordDispatch implements Policy.
func (s *Scheduler) RecordDispatch(q *Query, vmID string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakers.begin(vmID, now)
	s.recent.Remember(q.Chain, vmID)
}

// RecordSuccess implements Policy.
func (s *Scheduler) RecordSuccess(vmID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakers.succeed(vmID)
}

// RecordFailure implements Policy.
func (s *Scheduler) RecordFailure(vmID string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakers.fail(vmID, now)
}
