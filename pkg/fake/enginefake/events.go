package enginefake

import (
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// loggedEvent is one entry of the cache event log.
type loggedEvent struct {
	event engine.CacheEvent
	// deliverAt is the earliest time at which the entry is delivered.
	deliverAt time.Time
	// lost marks an entry that is never delivered.
	lost bool
}

// pendingChange collects cache changes of one weights version for the next
// event.
type pendingChange struct {
	version string
	stored  []uint64
	evicted []uint64
}

// recordStored adds a stored block, and the block evicted to make room for it
// if any, to the pending change.
func (e *Engine) recordStored(stored, evicted *block) {
	if evicted != nil {
		e.recordEvicted(evicted)
	}
	change := e.pendingChangeFor(stored.key.version)
	change.stored = append(change.stored, stored.key.hash)
}

// recordEvicted adds an evicted block to the pending change. The evictions of
// an event apply before its stores, so the eviction of a block that the pending
// change stores starts a new event.
func (e *Engine) recordEvicted(evicted *block) {
	e.stats.EvictedBlocks++
	change := e.pendingChangeFor(evicted.key.version)
	if slices.Contains(change.stored, evicted.key.hash) {
		e.flushChange()
		change = e.pendingChangeFor(evicted.key.version)
	}
	change.evicted = append(change.evicted, evicted.key.hash)
}

// pendingChangeFor returns the pending change of a weights version, after
// flushing that of any other version.
func (e *Engine) pendingChangeFor(version string) *pendingChange {
	if e.pending != nil && e.pending.version != version {
		e.flushChange()
	}
	if e.pending == nil {
		e.pending = &pendingChange{version: version}
	}
	return e.pending
}

// flushChange appends the pending change, if any, to the event log.
func (e *Engine) flushChange() {
	change := e.pending
	if change == nil {
		return
	}
	e.pending = nil
	e.lastEventSeq++
	e.events = append(e.events, loggedEvent{
		event: engine.CacheEvent{
			BootID:         e.boot,
			Seq:            e.lastEventSeq,
			WeightsVersion: change.version,
			Stored:         change.stored,
			Evicted:        change.evicted,
		},
		deliverAt: time.Now().Add(e.cfg.EventDelay),
		lost:      e.rng.Float64() < e.cfg.EventLoss,
	})
	if excess := len(e.events) - e.cfg.EventRetention; excess > 0 {
		e.events = e.events[excess:]
	}
	e.eventsReady.broadcast()
}

// nextEvent returns the first deliverable event after a sequence number. If
// there is none, ok is false, deliverAt is the delivery time of the next event
// or zero if no event is pending, and logGrown is closed when the log grows.
func (e *Engine) nextEvent(after uint64) (event engine.CacheEvent, ok bool, deliverAt time.Time, logGrown <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	logGrown = e.eventsReady.wait()
	if len(e.events) == 0 || after >= e.lastEventSeq {
		return event, false, deliverAt, logGrown
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
		if time.Now().Before(entry.deliverAt) {
			return event, false, entry.deliverAt, logGrown
		}
		return entry.event, true, deliverAt, logGrown
	}
	return event, false, deliverAt, logGrown
}

// notifier wakes all waiters at once. The engine's mutex guards it.
type notifier struct {
	next chan struct{}
}

// wait returns a channel that is closed by the next broadcast.
func (n *notifier) wait() <-chan struct{} {
	if n.next == nil {
		n.next = make(chan struct{})
	}
	return n.next
}

// broadcast wakes all current waiters.
func (n *notifier) broadcast() {
	if n.next != nil {
		close(n.next)
		n.next = nil
	}
}
