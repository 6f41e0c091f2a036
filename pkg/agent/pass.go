package agent

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// runningPrompt is a prompt that promptQueue has admitted to the engine. It must be
// used by one goroutine only.
type runningPrompt struct {
	queue    *promptQueue
	id       string
	request  *peerpb.DispatchRequest
	dispatch cacheview.Dispatch

	startedAt    time.Time
	firstTokenAt time.Time
	// uncachedTokens is the number of prefill tokens of this prompt, and tokensAhead
	// that of the backlog ahead of it, both estimated at its start.
	uncachedTokens int64
	tokensAhead    int64
	// decodeTokens is the number of answer tokens after the first chunk.
	decodeTokens int
	// cost is the prompt's work in tokens, or 0 until the engine reports its usage.
	cost int64
}

// onDelta records that the engine has sent a number of answer tokens.
func (p *runningPrompt) onDelta(tokens int) {
	if !p.firstTokenAt.IsZero() {
		p.decodeTokens += tokens
		return
	}
	now := time.Now()
	p.firstTokenAt = now
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	took := now.Sub(p.startedAt)
	prefillTokens := p.uncachedTokens + p.tokensAhead
	q.backlog.OnPrefillEnd(p.id)
	if q.backlog.Tokens() == 0 {
		q.busyUntil = now
	}
	q.limiter.OnFirstToken(p.startedAt, took, q.prefill.duration(prefillTokens))
	q.prefill.observe(prefillTokens, took)
	q.startReadyLocked(now)
}

// onDone records the engine's usage report at the end of the answer.
func (p *runningPrompt) onDone(usage engine.Usage) {
	p.cost = max(1, int64(usage.PromptTokens-usage.CachedTokens+usage.CompletionTokens))
	p.queue.view.RecordCompletion(time.Now(), p.dispatch, p.request.BlockHashes, p.request.WeightsVersion)
}

// release removes the prompt from the running ones. If the engine reported no usage
// but the answer has begun, the client account is charged for the uncached prompt
// tokens and the answer tokens after the first chunk.
func (p *runningPrompt) release() {
	now := time.Now()
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if p.cost == 0 && !p.firstTokenAt.IsZero() {
		p.cost = p.uncachedTokens + int64(p.decodeTokens)
	}
	if p.decodeTokens > 0 {
		q.limiter.OnTokens(p.decodeTokens, now.Sub(p.firstTokenAt))
	}
	q.backlog.OnPrefillEnd(p.id)
	q.fairQueue.Finish(p.id, p.cost, now)
	q.startReadyLocked(now)
}
