package enginefake

import (
	"slices"
	"time"
)

// runSteps runs the batch until the engine closes.
func (e *Engine) runSteps() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		lasting, wait := e.planStep()
		if wait != nil {
			select {
			case <-wait:
				continue
			case <-e.done:
				return
			}
		}
		timer.Reset(lasting.time)
		select {
		case <-timer.C:
			e.finishStep(lasting)
		case <-e.done:
			return
		}
	}
}

// share is what one job gets of a step.
type share struct {
	job *job
	// prefill is a number of prompt tokens; 0 for one decoded token.
	prefill int
}

// step is one step of the batch.
type step struct {
	boot   uint64
	time   time.Duration
	shares []share
}

// planStep admits jobs and gives out the token budget. With nothing to do it
// returns a channel that closes when there may be.
func (e *Engine) planStep() (step, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	e.flushChange()
	if e.paused || len(e.running) == 0 {
		return step{}, e.workReady.wait()
	}
	plan := step{boot: e.boot}
	budget := e.cfg.StepTokenBudget
	for _, j := range e.running {
		if j.prefilled >= j.prompt && budget > 0 {
			plan.shares = append(plan.shares, share{job: j})
			budget--
		}
	}
	prefill := 0
	for _, j := range e.running {
		part := min(j.prompt-j.prefilled, budget)
		if part <= 0 {
			continue
		}
		plan.shares = append(plan.shares, share{job: j, prefill: part})
		budget -= part
		prefill += part
	}
	seconds := float64(prefill) / e.cfg.PrefillTokensPerSecond
	plan.time = max(e.cfg.MinStepDuration, time.Duration(seconds*float64(time.Second)))
	return plan, nil
}

// admit moves waiting jobs into the batch by priority and arrival while their
// blocks fit.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxRunning && !e.paused {
		next := e.waiting[0]
		if !e.admitOne(next) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
	}
}

// admitOne takes the leading cached blocks of a job, and reports whether the
// rest of its blocks fit beside what the running jobs still need.
func (e *Engine) admitOne(j *job) bool {
	var leading []*block
	for i := range j.contents {
		b, ok := e.cache.blocks[j.blockKey(i)]
		if !ok {
			break
		}
		leading = append(leading, b)
	}
	for _, b := range leading {
		e.cache.pin(b)
	}
	missing := len(j.contents) - len(leading)
	for _, running := range e.running {
		missing += len(running.contents) - len(running.held)
	}
	if missing > e.cache.available() && len(e.running) > 0 {
		for _, b := range leading {
			e.cache.unpin(b)
		}
		return false
	}
	for i, b := range leading {
		if b.salt != j.req.CacheSalt || b.content != j.contents[i] {
			e.stats.PoisonedHits++
		}
	}
	j.held = leading
	j.cached = len(leading) * j.req.BlockTokens
	j.prefilled = j.cached
	e.stats.CachedTokens += j.cached
	return true
}

// finishStep applies a step after its time has passed.
func (e *Engine) finishStep(done step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if done.boot != e.boot {
		return
	}
	for _, part := range done.shares {
		if part.job.done {
			continue
		}
		if part.prefill > 0 {
			e.prefill(part.job, part.prefill)
		}
		if part.job.prefilled < part.job.prompt {
			continue
		}
		e.decode(part.job)
	}
	e.flushChange()
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.done })
}

// prefill computes prompt tokens and stores the blocks that became full.
func (e *Engine) prefill(j *job, tokens int) {
	j.prefilled += tokens
	e.stats.PrefilledTokens += tokens
	for i := len(j.held); i < len(j.contents) && (i+1)*j.req.BlockTokens <= j.prefilled; i++ {
		b := e.storeBlock(j.blockKey(i), j.contents[i])
		if e.cfg.ComputedBlocks.add(j.blockKey(i), j.contents[i]) {
			e.stats.RecomputedTokens += j.req.BlockTokens
		}
		e.cache.pin(b)
		j.held = append(j.held, b)
	}
}

// storeBlock returns the cached block of a key, stored now if need be. A block
// that finds no room lives outside the cache.
func (e *Engine) storeBlock(key blockKey, content uint64) *block {
	if present, ok := e.cache.blocks[key]; ok {
		return present
	}
	stored, evicted := e.cache.store(key, content)
	if stored == nil {
		return &block{key: key, salt: key.salt, content: content}
	}
	e.noteStored(stored, evicted)
	if e.cfg.BlockStore != nil {
		e.cfg.BlockStore.put(storedBlock{Version: key.version, Salt: key.salt, Hash: key.hash, Content: content})
	}
	return stored
}

// decode adds an answer token; the last one ends the job.
func (e *Engine) decode(j *job) {
	first := len(j.chunks) == 0
	j.produce(e.cfg.ChunkTokens)
	if first && len(e.stats.TimesToFirstToken) < maxFirstTokenTimes {
		e.stats.TimesToFirstToken = append(e.stats.TimesToFirstToken, time.Since(j.arrived))
	}
	if j.done {
		e.release(j)
	}
}

// release gives back the blocks of a job and counts its tokens.
func (e *Engine) release(j *job) {
	for _, b := range slices.Backward(j.held) {
		e.cache.unpin(b)
	}
	j.held = nil
	total := e.stats.UsageBySalt[j.req.CacheSalt]
	usage := j.usage()
	total.PromptTokens += usage.PromptTokens
	total.CachedTokens += usage.CachedTokens
	total.CompletionTokens += usage.CompletionTokens
	e.stats.UsageBySalt[j.req.CacheSalt] = total
	if e.cfg.OnRequestEnd != nil {
		e.cfg.OnRequestEnd(EndedRequest{
			RequestID: baseID(j.req.ID), CacheSalt: j.req.CacheSalt, ArrivedAt: j.arrived, Usage: *usage,
		})
	}
}

// submit takes a job to run.
func (e *Engine) submit(j *job) {
	e.stats.Executions[baseID(j.req.ID)]++
	e.jobs[j.req.ID] = j
	at := len(e.waiting)
	for at > 0 && e.waiting[at-1].req.Priority < j.req.Priority {
		at--
	}
	e.waiting = slices.Insert(e.waiting, at, j)
	e.workReady.broadcast()
}

// cancel ends a job before its answer is whole.
func (e *Engine) cancel(j *job) {
	if j.done {
		return
	}
	j.done, j.broken = true, true
	j.endedAt = time.Now()
	e.stats.Cancelled++
	e.release(j)
	e.waiting = slices.DeleteFunc(e.waiting, func(w *job) bool { return w == j })
	e.running = slices.DeleteFunc(e.running, func(r *job) bool { return r == j })
	j.changed.broadcast()
	e.workReady.broadcast()
}
