package schedule

import (
	"strconv"
	"time"
)

// LogFields returns alternating field names and values for one log line: the
// choice of a try, counted from 0, and every candidate with its reason.
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
	return append(fields, "asked", d.Probed, "answered", d.Answered, "candidates", d.describe())
}

// describe returns one word for each candidate, in the decision's order.
func (d *Decision) describe() []string {
	words := make([]string, 0, len(d.Choices)+len(d.Others))
	for _, list := range [...][]ScoredCandidate{d.Choices, d.Others} {
		for i := range list {
			words = append(words, list[i].describe())
		}
	}
	return words
}

// describe returns "vm:source:blocks=3:wait=1.2ms:score=30ms", or the rejection
// behind the source.
func (s *ScoredCandidate) describe() string {
	word := s.Candidate.Target.VMID + ":" + string(s.Candidate.Source)
	if s.Rejection != RejectNone {
		return word + ":" + string(s.Rejection)
	}
	return word + ":blocks=" + strconv.Itoa(s.Answer.MatchedBlocks) +
		":wait=" + s.Answer.Wait.Round(time.Microsecond).String() +
		":score=" + s.Score.Round(time.Microsecond).String()
}
