package fairqueue

import "time"

// Backlog estimates the prefill tokens that an engine has yet to compute. It
// combines the engine's load reports, which lag, with the dispatches made after
// the latest report. Its memory use is bounded by the number of running requests.
type Backlog struct {
	reportedTokens int64
	reportedAt     time.Time
	pending        map[string]pendingDispatch
}

// pendingDispatch is a request sent to the engine that has no first token yet.
type pendingDispatch struct {
	tokens       int64
	dispatchedAt time.Time
}

// NewBacklog returns an empty Backlog.
func NewBacklog() *Backlog {
	return &Backlog{pending: make(map[string]pendingDispatch)}
}

// OnDispatch records a request that was sent to the engine and its number of
// uncached tokens.
func (b *Backlog) OnDispatch(id string, uncachedTokens int64, now time.Time) {
	b.pending[id] = pendingDispatch{tokens: uncachedTokens, dispatchedAt: now}
}

// OnPrefillEnd records a request's first token or its end, whichever comes first.
func (b *Backlog) OnPrefillEnd(id string) {
	delete(b.pending, id)
}

// OnReport applies a load report taken at takenAt. It ignores reports older than
// the latest.
func (b *Backlog) OnReport(queuedPrefillTokens int64, takenAt time.Time) {
	if takenAt.Before(b.reportedAt) {
		return
	}
	b.reportedTokens = queuedPrefillTokens
	b.reportedAt = takenAt
}

// Reset clears the backlog after an engine restart.
func (b *Backlog) Reset() {
	b.reportedTokens = 0
	b.reportedAt = time.Time{}
	clear(b.pending)
}

// Full reports whether the backlog has reached maxTokens, so that further
// requests should wait in the queue. An empty backlog is never full.
func (b *Backlog) Full(maxTokens int64) bool {
	return b.Tokens() >= max(1, maxTokens)
}

// Tokens returns the estimated number of prefill tokens still to compute. For an
// engine that only this agent sends requests to, there are two upper bounds: the
// tokens of all requests without a first token, and the latest report plus later
// dispatches. Tokens returns the lower one.
func (b *Backlog) Tokens() int64 {
	var pendingTokens, sinceReport int64
	for _, d := range b.pending {
		pendingTokens += d.tokens
		if d.dispatchedAt.After(b.reportedAt) {
			sinceReport += d.tokens
		}
	}
	if b.reportedAt.IsZero() {
		return pendingTokens
	}
	return min(pendingTokens, b.reportedTokens+sinceReport)
}
