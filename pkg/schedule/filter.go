package schedule

import (
	"slices"
	"time"
)

// filter joins candidates with their answers and says which may not serve the
// query, and why.
func (s *Scheduler) filter(q *Query, asked []Candidate, answers []Answer, now time.Time) []ScoredCandidate {
	scored := make([]ScoredCandidate, len(asked))
	for i := range asked {
		scored[i].Candidate = asked[i]
		vmID := asked[i].Target.VMID
		at := slices.IndexFunc(answers, func(a Answer) bool { return a.VMID == vmID })
		if at >= 0 {
			scored[i].Answer = answers[at]
		}
		scored[i].Rejection = s.reject(q, &scored[i], at >= 0, now)
	}
	return scored
}

// reject returns why a candidate may not serve the query.
func (s *Scheduler) reject(q *Query, c *ScoredCandidate, answered bool, now time.Time) Rejection {
	vmID := c.Candidate.Target.VMID
	current, known := s.directory.Lookup(vmID)
	switch {
	case slices.Contains(q.Excluded, vmID):
		return RejectExcluded
	case !known || current.State != StateLive:
		return RejectState
	case !s.breakers.allows(vmID, now):
		return RejectBreaker
	case !answered:
		return RejectNoAnswer
	case c.Answer.State != StateLive:
		return RejectState
	case !c.Answer.ServesModel:
		return RejectModel
	case c.Answer.EngineBoot == 0:
		return RejectBootUnknown
	default:
		return RejectNone
	}
}
