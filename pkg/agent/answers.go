package agent

import (
	"context"
	"sync"
	"time"
)

// answerKey identifies one attempt of one request.
type answerKey struct {
	requestID string
	attempt   uint32
}

// answerEntry is one answer with the function that cancels its work.
type answerEntry struct {
	log     *answerLog
	cancel  context.CancelFunc
	endedAt time.Time
}

// answerRegistry holds the answers in progress and the recently ended ones.
type answerRegistry struct {
	mu      sync.Mutex
	entries map[answerKey]*answerEntry
	running sync.WaitGroup
}

func newAnswerRegistry() *answerRegistry {
	return &answerRegistry{entries: make(map[answerKey]*answerEntry)}
}

// start returns the entry of an answer and whether it is new. The work of a new
// entry runs under the returned context and must end with a call of finish.
func (a *answerRegistry) start(ctx context.Context, key answerKey, now time.Time) (context.Context, *answerEntry, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry, ok := a.entries[key]; ok {
		return nil, entry, false
	}
	workCtx, cancel := context.WithCancel(ctx)
	entry := &answerEntry{log: newAnswerLog(key.requestID, key.attempt, now), cancel: cancel}
	a.entries[key] = entry
	a.running.Add(1)
	return workCtx, entry, true
}

// finish marks the work of an entry as done and releases its context.
func (a *answerRegistry) finish(entry *answerEntry, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry.cancel()
	entry.endedAt = now
	a.running.Done()
}

func (a *answerRegistry) lookup(key answerKey) (*answerEntry, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	entry, ok := a.entries[key]
	return entry, ok
}

// stallTimeout is the time after which an answer is cancelled whose reader makes
// no progress. It is well above the router's timeout for one write to a slow
// caller.
const stallTimeout = 30 * time.Second

// sweep cancels answers that are orphaned or stalled, and removes answers that
// ended longer than retention ago.
func (a *answerRegistry) sweep(now time.Time, orphanTimeout, retention time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, entry := range a.entries {
		if entry.log.orphanedFor(now) > orphanTimeout || entry.log.stalledFor(now) > stallTimeout {
			entry.cancel()
		}
		if !entry.endedAt.IsZero() && now.Sub(entry.endedAt) > retention {
			delete(a.entries, key)
		}
	}
}

// countUndelivered counts the answers that are in progress or await delivery.
func (a *answerRegistry) countUndelivered(now time.Time, orphanTimeout time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, entry := range a.entries {
		if entry.endedAt.IsZero() || entry.log.awaitsDelivery(now, orphanTimeout) {
			count++
		}
	}
	return count
}

// countInProgress counts the answers whose work has not ended.
func (a *answerRegistry) countInProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	count := 0
	for _, entry := range a.entries {
		if entry.endedAt.IsZero() {
			count++
		}
	}
	return count
}
