package enginefake

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// loggedEvent is one entry of the cache event log.
type loggedEvent struct {
	event engine.CacheEvent
	// due is when the entry may be delivered.
	due  time.Time
	lost bool
}

// pendingChange collects the cache changes of one step for one version.
type pendingChange struct {
	version string
	stored  []uint64
	evicted []uint64
}

// noteStored notes a stored block and what was evicted for it.
func (e *Engine) noteStored(stored, evicted *block) {
	if evicted != nil {
		e.noteEvicted(evicted)
	}
	change := e.changeOf(stored.key.version)
	change.stored = append(change.stored, stored.key.hash)
}

// noteEvicted notes an evicted block. In one event, Evicted comes before
// Stored, so the eviction of a block stored in this step starts a new event.
func (e *Engine) noteEvicted(evicted *block) {
	e.stats.EvictedBlocks++
	change := e.changeOf(evicted.key.version)
	if slices.Contains(change.stored, evicted.key.hash) {
		e.flushChange()
		change = e.changeOf(evicted.key.version)
	}
	change.evicted = append(change.evicted, evicted.key.hash)
}

// changeOf returns the collected changes, of the version alone.
func (e *Engine) changeOf(version string) *pendingChange {
	if e.change != nil && e.change.version != version {
		e.flushChange()
	}
	if e.change == nil {
		e.change = &pendingChange{version: version}
	}
	return e.change
}

// flushChange appends the collected changes to the log.
func (e *Engine) flushChange() {
	change := e.change
	if change == nil {
		return
	}
	e.change = nil
	e.lastSeq++
	e.events = append(e.events, loggedEvent{
		event: engine.CacheEvent{
			BootID:         e.boot,
			Seq:            e.lastSeq,
			WeightsVersion: change.version,
			Stored:         change.stored,
			Evicted:        change.evicted,
		},
		due:  time.Now().Add(e.cfg.EventDelay),
		lost: e.rng.Float64() < e.cfg.EventLoss,
	})
	if surplus := len(e.events) - e.cfg.EventRetention; surplus > 0 {
		e.events = e.events[surplus:]
	}
	e.eventsReady.broadcast()
}

// nextEvent returns the first deliverable entry after a sequence number. When
// there is none it returns the time of the next one, zero for unknown, and a
// channel that closes when the log grows.
func (e *Engine) nextEvent(after uint64) (event engine.CacheEvent, ok bool, due time.Time, wait <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wait = e.eventsReady.wait()
	if len(e.events) == 0 || after >= e.lastSeq {
		return event, false, due, wait
	}
	first := e.events[0].event.Seq
	index := uint64(0)
	if after >= first {
		index = after - first + 1
	}
	for ; index < uint64(len(e.events)); index++ {
		entry := e.events[index]
		if entry.lost {
			continue
		}
		if time.Now().Before(entry.due) {
			return event, false, entry.due, wait
		}
		return entry.event, true, due, wait
	}
	return event, false, due, wait
}

// signal wakes every waiter at once. The engine's mutex guards it.
type signal struct {
	ch chan struct{}
}

// wait returns a channel that closes at the next broadcast.
func (s *signal) wait() <-chan struct{} {
	if s.ch == nil {
		s.ch = make(chan struct{})
	}
	return s.ch
}

// broadcast wakes the waiters.
func (s *signal) broadcast() {
	if s.ch != nil {
		close(s.ch)
		s.ch = nil
	}
}
