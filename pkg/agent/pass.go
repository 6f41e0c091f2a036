package agent

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/cacheview"
	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// pass is a prompt's place at the engine. One goroutine uses it.
type pass struct {
	gate    *gate
	id      string
	request *peerpb.DispatchRequest
	mark    cacheview.Dispatch

	startedAt    time.Time
	firstTokenAt time.Time
	// uncached and ahead are the prefill tokens of this prompt and before it, by
	// estimate at the start.
	uncached int64
	ahead    int64
	// tokens counts the answer tokens after the first chunk.
	tokens int
	cost   int64
}

// delta notes a part of the answer.
func (p *pass) delta(tokens int) {
	if !p.firstTokenAt.IsZero() {
		p.tokens += tokens
		return
	}
	now := time.Now()
	p.firstTokenAt = now
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	took := now.Sub(p.startedAt)
	work := p.uncached + p.ahead
	g.backlog.OnPrefillEnd(p.id)
	if g.backlog.Tokens() == 0 {
		g.busyUntil = now
	}
	g.limiter.OnFirstToken(p.startedAt, took, g.prefill.duration(work))
	g.prefill.observe(work, took)
	g.pump(now)
}

// finished notes the whole answer's usage.
func (p *pass) finished(usage engine.Usage) {
	p.cost = max(1, int64(usage.PromptTokens-usage.CachedTokens+usage.CompletionTokens))
	p.gate.view.RecordCompletion(time.Now(), p.mark, p.request.BlockHashes, p.request.WeightsVersion)
}

// leave frees the place. Without the engine's own count, the prompt's share is
// settled with what was seen of it.
func (p *pass) leave() {
	now := time.Now()
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.cost == 0 && !p.firstTokenAt.IsZero() {
		p.cost = p.uncached + int64(p.tokens)
	}
	if p.tokens > 0 {
		g.limiter.OnTokens(p.tokens, now.Sub(p.firstTokenAt))
	}
	g.backlog.OnPrefillEnd(p.id)
	g.queue.Finish(p.id, p.cost, now)
	g.pump(now)
}
