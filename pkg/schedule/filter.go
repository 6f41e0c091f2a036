package schedule

import (
	"slices"
	"time"
)

// filter matches candidates with their probe answers and sets the rejection of
// those that may not serve the query.
func (s *Scheduler) filter(q *Query, probed []Candidate, answers []Answer, now time.Time) []ScoredCandidate {
	scored := make([]ScoredCandidate, len(probed))
	for i := range probed {
		scored[i].Candidate = probed[i]
		vmID := probed[i].Target.VMID
		index := slices.IndexFunc(answers, func(a Answer) bool { return a.VMID == vmID })
		if index >= 0 {
			scored[i].Answer = answers[index]
		}
		scored[i].Rejection = s.rejection(q, &scored[i], index >= 0, now)
	}
	return scored
}

// rejection returns why a candidate may not serve the query, or RejectNone.
func (s *Scheduler) rejection(q *Query, c *ScoredCandidate, answered bool, now time.Time) Rejection {
	vmID := c.Candidate.Target.VMID
	current, known := s.directory.Lookup(vmID)
	switch {
	case slices.Contains(q.Excluded, vmID):
		return RejectExcluded
	case !known || current.State != StateLive:
		return RejectState
	case !s.breakers.allow(vmID, now):
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
