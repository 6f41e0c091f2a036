package enginefake

import (
	"slices"
	"time"
)

// runSteps plans and runs batch steps until the engine closes.
func (e *Engine) runSteps() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		plan, workReady := e.planStep()
		if workReady != nil {
			select {
			case <-workReady:
				continue
			case <-e.done:
				return
			}
		}
		timer.Reset(plan.duration)
		select {
		case <-timer.C:
			e.finishStep(plan)
		case <-e.done:
			return
		}
	}
}

// allocation is one job's part of a step's token budget.
type allocation struct {
	job *job
	// prefillTokens is the number of prompt tokens to compute, or 0 to decode
	// one token.
	prefillTokens int
}

// step is a planned step of the batch.
type step struct {
	boot        uint64
	duration    time.Duration
	allocations []allocation
}

// planStep admits jobs and allocates the token budget. If there is no work, it
// returns a channel that is closed when work may be available.
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
		if j.prefilledTokens >= j.promptTokens && budget > 0 {
			plan.allocations = append(plan.allocations, allocation{job: j})
			budget--
		}
	}
	prefillTokens := 0
	for _, j := range e.running {
		tokens := min(j.promptTokens-j.prefilledTokens, budget)
		if tokens <= 0 {
			continue
		}
		plan.allocations = append(plan.allocations, allocation{job: j, prefillTokens: tokens})
		budget -= tokens
		prefillTokens += tokens
	}
	seconds := float64(prefillTokens) / e.cfg.PrefillTokensPerSecond
	plan.duration = max(e.cfg.MinStepDuration, time.Duration(seconds*float64(time.Second)))
	return plan, nil
}

// admit moves waiting jobs into the batch, in order of priority and arrival,
// as long as their blocks fit into the cache.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.MaxRunning && !e.paused {
		next := e.waiting[0]
		if !e.tryAdmit(next) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, next)
	}
}

// tryAdmit pins the cached prefix of a job and reports whether its other blocks
// fit into the cache together with those that the running jobs still need. If
// the batch is empty, it admits any job.
func (e *Engine) tryAdmit(j *job) bool {
	var prefix []*block
	for i := range j.contentHashes {
		b, ok := e.cache.blocks[j.blockKey(i)]
		if !ok {
			break
		}
		prefix = append(prefix, b)
	}
	for _, b := range prefix {
		e.cache.pin(b)
	}
	needed := len(j.contentHashes) - len(prefix)
	for _, running := range e.running {
		needed += len(running.contentHashes) - len(running.blocks)
	}
	if needed > e.cache.allocatableBlocks() && len(e.running) > 0 {
		for _, b := range prefix {
			e.cache.unpin(b)
		}
		return false
	}
	for i, b := range prefix {
		if b.originSalt != j.req.CacheSalt || b.contentHash != j.contentHashes[i] {
			e.stats.PoisonedHits++
		}
	}
	j.blocks = prefix
	j.cachedTokens = len(prefix) * j.req.BlockTokens
	j.prefilledTokens = j.cachedTokens
	e.stats.CachedTokens += j.cachedTokens
	return true
}

// finishStep applies the results of a step, unless the engine has crashed since
// it was planned.
func (e *Engine) finishStep(plan step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if plan.boot != e.boot {
		return
	}
	for _, alloc := range plan.allocations {
		if alloc.job.done {
			continue
		}
		if alloc.prefillTokens > 0 {
			e.prefill(alloc.job, alloc.prefillTokens)
		}
		if alloc.job.prefilledTokens < alloc.job.promptTokens {
			continue
		}
		e.decode(alloc.job)
	}
	e.flushChange()
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.done })
}

// prefill computes prompt tokens and stores the blocks that they complete.
func (e *Engine) prefill(j *job, tokens int) {
	j.prefilledTokens += tokens
	e.stats.PrefilledTokens += tokens
	for i := len(j.blocks); i < len(j.contentHashes) && (i+1)*j.req.BlockTokens <= j.prefilledTokens; i++ {
		b := e.storeBlock(j.blockKey(i), j.contentHashes[i])
		if e.cfg.ComputedBlocks.record(j.blockKey(i), j.contentHashes[i]) {
			e.stats.RecomputedTokens += j.req.BlockTokens
		}
		e.cache.pin(b)
		j.blocks = append(j.blocks, b)
	}
}

// storeBlock returns the cached block of a key and stores it first if it is
// missing. If every cached block is pinned, it returns a block outside the
// cache.
func (e *Engine) storeBlock(key blockKey, contentHash uint64) *block {
	if cached, ok := e.cache.blocks[key]; ok {
		return cached
	}
	stored, evicted := e.cache.store(key, contentHash)
	if stored == nil {
		return &block{key: key, originSalt: key.salt, contentHash: contentHash}
	}
	e.recordStored(stored, evicted)
	if e.cfg.BlockStore != nil {
		e.cfg.BlockStore.put(exportedBlock{Version: key.version, Salt: key.salt, Hash: key.hash, Content: contentHash})
	}
	return stored
}

// decode adds an answer token and releases the job after its last token.
func (e *Engine) decode(j *job) {
	first := len(j.chunks) == 0
	j.decodeToken(e.cfg.ChunkTokens)
	if first && len(e.stats.TimesToFirstToken) < maxTimesToFirstToken {
		e.stats.TimesToFirstToken = append(e.stats.TimesToFirstToken, time.Since(j.arrivedAt))
	}
	if j.done {
		e.releaseJob(j)
	}
}

// releaseJob unpins the blocks of a job and records its usage. The blocks are
// unpinned last to first, so that eviction starts at the end of the prompt.
func (e *Engine) releaseJob(j *job) {
	for _, b := range slices.Backward(j.blocks) {
		e.cache.unpin(b)
	}
	j.blocks = nil
	saltUsage := e.stats.UsageBySalt[j.req.CacheSalt]
	usage := j.usage()
	saltUsage.PromptTokens += usage.PromptTokens
	saltUsage.CachedTokens += usage.CachedTokens
	saltUsage.CompletionTokens += usage.CompletionTokens
	e.stats.UsageBySalt[j.req.CacheSalt] = saltUsage
	if e.cfg.OnRequestEnd != nil {
		e.cfg.OnRequestEnd(EndedRequest{
			RequestID: baseRequestID(j.req.ID), CacheSalt: j.req.CacheSalt, ArrivedAt: j.arrivedAt, Usage: *usage,
		})
	}
}

// enqueue inserts a job into the waiting jobs, in order of priority and
// arrival.
func (e *Engine) enqueue(j *job) {
	e.stats.Executions[baseRequestID(j.req.ID)]++
	e.jobs[j.req.ID] = j
	index := len(e.waiting)
	for index > 0 && e.waiting[index-1].req.Priority < j.req.Priority {
		index--
	}
	e.waiting = slices.Insert(e.waiting, index, j)
	e.workReady.broadcast()
}

// cancel ends a job before its answer is complete. It does nothing to a job
// that has ended.
func (e *Engine) cancel(j *job) {
	if j.done {
		return
	}
	j.done, j.cancelled = true, true
	j.endedAt = time.Now()
	e.stats.Cancelled++
	e.releaseJob(j)
	e.waiting = slices.DeleteFunc(e.waiting, func(w *job) bool { return w == j })
	e.running = slices.DeleteFunc(e.running, func(r *job) bool { return r == j })
	j.changed.broadcast()
	e.workReady.broadcast()
}
