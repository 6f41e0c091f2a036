package fairqueue

import "time"

// Backlog estimates the prefill tokens that an engine has yet to compute. It
// joins the engine's load report, which lags, with the own dispatches since.
// The running requests bound its memory.
type Backlog struct {
	reported   int64
	reportedAt time.Time
	pending    map[string]dispatch
}

// dispatch is a request sent to the engine that has no first token yet.
type dispatch struct {
	tokens int64
	at     time.Time
}

// NewBacklog returns an empty Backlog.
func NewBacklog() *Backlog {
	return &Backlog{pending: make(map[string]dispatch)}
}

// OnDispatch notes a request sent to the engine with its uncached tokens.
func (b *Backlog) OnDispatch(id string, uncachedTokens int64, now time.Time) {
	b.pending[id] = dispatch{tokens: uncachedTokens, at: now}
}

// OnPrefillEnd notes a request's first token or its end, whichever is first.
func (b *Backlog) OnPrefillEnd(id string) {
	delete(b.pending, id)
}

// OnReport takes in a load report as of takenAt; older ones than the last are ignored.
func (b *Backlog) OnReport(queuedPrefillTokens int64, takenAt time.Time) {
	if takenAt.Before(b.reportedAt) {
		return
	}
	b.reported = queuedPrefillTokens
	b.reportedAt = takenAt
}

// Reset forgets everything, as an engine with a new boot has.
func (b *Backlog) Reset() {
	b.reported = 0
	b.reportedAt = time.Time{}
	clear(b.pending)
}

// Full says whether the engine has enough to prefill, so that the next request
// had better wait in the queue. An engine without any backlog is never full.
func (b *Backlog) Full(maxTokens int64) bool {
	return b.Tokens() >= max(1, maxTokens)
}

// Tokens returns the prefill tokens still to compute. Both the own requests
// without a first token and the report with the dispatches since it are upper
// bounds for an engine that this agent alone feeds; the lower one counts.
func (b *Backlog) Tokens() int64 {
	var all, since int64
	for _, d := range b.pending {
		all += d.tokens
		if d.at.After(b.reportedAt) {
			since += d.tokens
		}
	}
	if b.reportedAt.IsZero() {
		return all
	}
	return min(all, b.reported+since)
}
