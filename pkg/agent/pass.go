package agent

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// runningPrompt is a prompt that promptQueue has admitted to the engine. It is used
// by one goroutine.
type runningPrompt struct {
	queue   *promptQueue
	id      string
	request *peerpb.DispatchRequest
	mark    cacheview.Dispatch

	startedAt    time.Time
	firstTokenAt time.Time
	// uncached and ahead are the prefill tokens of this prompt and of the backlog
	// ahead of it, as estimated at its start.
	uncached int64
	ahead    int64
	// tokens is the number of answer tokens after the first chunk.
	tokens int
	// cost is the prompt's work in tokens, or 0 until the engine reports its usage.
	cost int64
}

// onDelta records a part of the answer.
func (p *runningPrompt) onDelta(tokens int) {
	if !p.firstTokenAt.IsZero() {
		p.tokens += tokens
		return
	}
	now := time.Now()
	p.firstTokenAt = now
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	took := now.Sub(p.startedAt)
	prefillTokens := p.uncached + p.ahead
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
	p.queue.view.RecordCompletion(time.Now(), p.mark, p.request.BlockHashes, p.request.WeightsVersion)
}

// release ends the prompt's run. If the engine reported no usage but the answer has
// begun, the client account is charged for the uncached prompt tokens and the
// answer tokens after the first chunk.
func (p *runningPrompt) release() {
	now := time.Now()
	q := p.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if p.cost == 0 && !p.firstTokenAt.IsZero() {
		p.cost = p.uncached + int64(p.tokens)
	}
	if p.tokens > 0 {
		q.limiter.OnTokens(p.tokens, now.Sub(p.firstTokenAt))
	}
	q.backlog.OnPrefillEnd(p.id)
	q.fair.Finish(p.id, p.cost, now)
	q.startReadyLocked(now)
}
