package cacheview

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// evictedPerEventWeight is the weight of one event in the moving average of
// evicted blocks per event.
const evictedPerEventWeight = 0.05

// Outcome is the effect of a cache event on a view.
type Outcome int

// Outcomes of an event.
const (
	// Applied means that the event followed the previous one without a gap.
	Applied Outcome = iota
	// Heartbeat means that the event carried no change.
	Heartbeat
	// Ignored means that the event has an older boot number or that its sequence
	// number is not above the last applied one.
	Ignored
	// AppliedAfterGap means that the event was applied and that events before it
	// were lost.
	AppliedAfterGap
	// Cleared means that the event has a new boot number, which cleared the view
	// before the event was applied.
	Cleared
)

// ApplyEvent applies a cache event or heartbeat: first its evicted blocks, then its
// stored ones.
func (v *View) ApplyEvent(now time.Time, event engine.CacheEvent) Outcome {
	v.mu.Lock()
	defer v.mu.Unlock()
	if event.BootID < v.boot {
		return Ignored
	}
	v.suspended = false
	newBoot := event.BootID > v.boot
	v.adoptBoot(event.BootID)
	switch {
	case event.Seq == 0 && newBoot:
		return Cleared
	case event.Seq == 0:
		return Heartbeat
	case event.Seq <= v.lastSeq:
		return Ignored
	}
	missed := event.Seq - v.lastSeq - 1
	v.recordLost(now, missed)
	v.lastSeq = event.Seq
	v.removeEvicted(now, event)
	v.addStored(now, event)
	v.shrink()
	switch {
	case newBoot:
		return Cleared
	case missed > 0:
		return AppliedAfterGap
	default:
		return Applied
	}
}

// recordLost adds lost events, each of which may have evicted any block of the
// view. It clears the view when the count would reach expectedBit.
func (v *View) recordLost(now time.Time, missed uint64) {
	if missed == 0 {
		return
	}
	if missed >= expectedBit || v.lostEvents+uint32(missed) >= expectedBit {
		boot := v.boot
		v.clear(boot)
		v.lostEvents = 0
		return
	}
	v.lostEvents += uint32(missed)
	v.evictionRate.add(now, float64(missed)*v.evictedPerEvent)
}

// removeEvicted removes an event's evicted blocks and updates the eviction
// statistics.
func (v *View) removeEvicted(now time.Time, event engine.CacheEvent) {
	blocks := v.blocksByVersion[event.WeightsVersion]
	for _, hash := range event.Evicted {
		state, ok := blocks[hash]
		if !ok {
			continue
		}
		if !state.unconfirmed() {
			v.evictionAge.observe(v.ticks(now), state.lastUse)
		}
		delete(blocks, hash)
		v.blockCount--
	}
	evicted := float64(len(event.Evicted))
	v.evictedPerEvent += evictedPerEventWeight * (evicted - v.evictedPerEvent)
	v.evictionRate.add(now, evicted)
	if blocks != nil && len(blocks) == 0 {
		delete(v.blocksByVersion, event.WeightsVersion)
	}
}

// addStored adds an event's stored blocks.
func (v *View) addStored(now time.Time, event engine.CacheEvent) {
	if len(event.Stored) == 0 {
		return
	}
	blocks := v.blocksFor(event.WeightsVersion)
	for _, hash := range event.Stored {
		v.setBlock(blocks, hash, blockState{lastUse: v.ticks(now), counter: v.lostEvents})
	}
}

// blocksFor returns the blocks of a weights version and adds an empty map if
// there is none.
func (v *View) blocksFor(version string) map[uint64]blockState {
	blocks, ok := v.blocksByVersion[version]
	if !ok {
		blocks = map[uint64]blockState{}
		v.blocksByVersion[version] = blocks
	}
	return blocks
}

// setBlock sets the state of one block and updates the block count.
func (v *View) setBlock(blocks map[uint64]blockState, hash uint64, state blockState) {
	before := len(blocks)
	blocks[hash] = state
	v.blockCount += len(blocks) - before
}

// Dispatch identifies a dispatched request in the call to View.RecordCompletion.
type Dispatch struct {
	boot       uint64
	lostEvents uint32
	number     uint32
}

// RecordDispatch records that a request with these full blocks is sent to the
// engine, which uses the cached ones and will store the others. While the
// engine's boot number is unknown, no blocks are recorded.
func (v *View) RecordDispatch(now time.Time, hashes []uint64, weightsVersion string) Dispatch {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dispatchCount = (v.dispatchCount + 1) % expectedBit
	dispatch := Dispatch{boot: v.boot, lostEvents: v.lostEvents, number: v.dispatchCount}
	if len(hashes) == 0 || v.boot == 0 {
		return dispatch
	}
	blocks := v.blocksFor(weightsVersion)
	for _, hash := range hashes {
		state, ok := blocks[hash]
		if !ok {
			state.counter = expectedBit | v.dispatchCount
		}
		state.lastUse = v.ticks(now)
		v.setBlock(blocks, hash, state)
	}
	v.shrink()
	return dispatch
}

// RecordCompletion records that the dispatched request's answer was complete, which
// confirms that its blocks were cached when the answer ended. Lost events count
// from the dispatch, since an event lost in between may have followed the end of
// the answer. A block that an event has evicted since the dispatch is not added
// again. If the engine restarted before the dispatch and the view hasn't seen
// the new boot number yet, the confirmation is of the newer boot.
func (v *View) RecordCompletion(now time.Time, dispatch Dispatch, hashes []uint64, weightsVersion string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if dispatch.boot == 0 || dispatch.boot != v.boot || dispatch.lostEvents > v.lostEvents {
		return
	}
	blocks := v.blocksByVersion[weightsVersion]
	for _, hash := range hashes {
		state, ok := blocks[hash]
		if !ok || state.unconfirmed() && state.counter&^expectedBit > dispatch.number {
			continue
		}
		if state.unconfirmed() || state.counter < dispatch.lostEvents {
			state.counter = dispatch.lostEvents
		}
		state.lastUse = v.ticks(now)
		blocks[hash] = state
	}
}
