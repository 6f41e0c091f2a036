package schedule

import (
	"strconv"
	"time"
)

// LogFields returns alternating field names and values for one log line: the
// choice for the given try, counted from 0, and a summary of every candidate.
func (d *Decision) LogFields(try int) []any {
	fields := []any{"request_id", d.RequestID, "policy", d.Policy}
	if choice, ok := d.Choice(try); ok {
		fields = append(fields,
			"try", try,
			"target", choice.Candidate.Target.VMID,
			"ttft_us", choice.TimeToFirstToken.Microseconds(),
			"score_us", choice.Score.Microseconds(),
			"missing_tokens", choice.MissingTokens,
			"import_from", choice.ImportFromVMID)
	}
	return append(fields, "asked", d.Probed, "answered", d.Answered, "candidates", d.summaries())
}

// summaries returns one summary per candidate, in the decision's order.
func (d *Decision) summaries() []string {
	summaries := make([]string, 0, len(d.Choices)+len(d.Others))
	for _, list := range [...][]ScoredCandidate{d.Choices, d.Others} {
		for i := range list {
			summaries = append(summaries, list[i].summary())
		}
	}
	return summaries
}

// summary returns a string such as "vm:source:blocks=3:wait=1.2ms:score=30ms",
// or "vm:source:rejection" for a rejected candidate.
func (s *ScoredCandidate) summary() string {
	prefix := s.Candidate.Target.VMID + ":" + string(s.Candidate.Source)
	if s.Rejection != RejectNone {
		return prefix + ":" + string(s.Rejection)
	}
	return prefix + ":blocks=" + strconv.Itoa(s.Answer.MatchedBlocks) +
		":wait=" + s.Answer.Wait.Round(time.Microsecond).String() +
		":score=" + s.Score.Round(time.Microsecond).String()
}
