package cacheview

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// averageWeight is the weight of one event in the average of evicted blocks.
const averageWeight = 0.05

// Outcome says what an event did to a view.
type Outcome int

// Outcomes of an event.
const (
	// Applied events followed the one before.
	Applied Outcome = iota
	// Heartbeat events carry no change.
	Heartbeat
	// Ignored events are of an older boot or have been passed already.
	Ignored
	// AfterGap events were applied; events before them are lost.
	AfterGap
	// Emptied means that the event's boot is new, which emptied the view.
	Emptied
)

// ApplyEvent takes a cache event. Evicted comes before Stored in one event.
func (v *View) ApplyEvent(now time.Time, event engine.CacheEvent) Outcome {
	v.mu.Lock()
	defer v.mu.Unlock()
	if event.Boot < v.boot {
		return Ignored
	}
	v.suspended = false
	newBoot := event.Boot > v.boot
	v.enter(event.Boot)
	switch {
	case event.Seq == 0 && newBoot:
		return Emptied
	case event.Seq == 0:
		return Heartbeat
	case event.Seq <= v.lastSeq:
		return Ignored
	}
	missed := event.Seq - v.lastSeq - 1
	v.noteLost(now, missed)
	v.lastSeq = event.Seq
	v.evict(now, event)
	v.store(now, event)
	v.shrink()
	switch {
	case newBoot:
		return Emptied
	case missed > 0:
		return AfterGap
	default:
		return Applied
	}
}

// noteLost puts lost events in doubt of every block held.
func (v *View) noteLost(now time.Time, missed uint64) {
	if missed == 0 {
		return
	}
	if missed >= expectedBit || v.lost+uint32(missed) >= expectedBit {
		boot := v.boot
		v.empty(boot)
		v.lost = 0
		return
	}
	v.lost += uint32(missed)
	v.rate.add(now, float64(missed)*v.evictedPerEvent)
}

// evict removes an event's evicted blocks.
func (v *View) evict(now time.Time, event engine.CacheEvent) {
	blocks := v.versions[event.WeightsVersion]
	for _, hash := range event.Evicted {
		p, ok := blocks[hash]
		if !ok {
			continue
		}
		if !p.expected() {
			v.frontier.note(v.ticks(now), p.lastUse)
		}
		delete(blocks, hash)
		v.held--
	}
	evicted := float64(len(event.Evicted))
	v.evictedPerEvent += averageWeight * (evicted - v.evictedPerEvent)
	v.rate.add(now, evicted)
	if blocks != nil && len(blocks) == 0 {
		delete(v.versions, event.WeightsVersion)
	}
}

// store adds an event's stored blocks.
func (v *View) store(now time.Time, event engine.CacheEvent) {
	if len(event.Stored) == 0 {
		return
	}
	blocks := v.blocksOf(event.WeightsVersion)
	for _, hash := range event.Stored {
		v.put(blocks, hash, proof{lastUse: v.ticks(now), mark: v.lost})
	}
}

// blocksOf returns the blocks of a weights version, made if need be.
func (v *View) blocksOf(version string) map[uint64]proof {
	blocks, ok := v.versions[version]
	if !ok {
		blocks = map[uint64]proof{}
		v.versions[version] = blocks
	}
	return blocks
}

// put sets one block's proof.
func (v *View) put(blocks map[uint64]proof, hash uint64, p proof) {
	before := len(blocks)
	blocks[hash] = p
	v.held += len(blocks) - before
}

// Dispatch names a dispatch for Completed.
type Dispatch struct {
	boot     uint64
	lost     uint32
	dispatch uint32
}

// RecordDispatch notes that a request with these full blocks goes to the engine
// now: it uses those that are cached and will store the others. Nothing is
// noted while the engine's boot is unknown.
func (v *View) RecordDispatch(now time.Time, hashes []uint64, weightsVersion string) Dispatch {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.dispatches = (v.dispatches + 1) % expectedBit
	mark := Dispatch{boot: v.boot, lost: v.lost, dispatch: v.dispatches}
	if len(hashes) == 0 || v.boot == 0 {
		return mark
	}
	blocks := v.blocksOf(weightsVersion)
	for _, hash := range hashes {
		p, ok := blocks[hash]
		if !ok {
			p.mark = expectedBit | v.dispatches
		}
		p.lastUse = v.ticks(now)
		v.put(blocks, hash, p)
	}
	v.shrink()
	return mark
}

// RecordCompletion notes that the dispatched request's answer came whole: its blocks
// were cached when the answer ended. Doubts count from the dispatch, since an
// event lost in between may have come after the end. A block that an event has
// evicted since the dispatch is not taken back. When the engine restarted before
// the dispatch and the view has not heard of it, the proof is of the newer boot.
func (v *View) RecordCompletion(now time.Time, mark Dispatch, hashes []uint64, weightsVersion string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if mark.boot == 0 || mark.boot != v.boot || mark.lost > v.lost {
		return
	}
	blocks := v.versions[weightsVersion]
	for _, hash := range hashes {
		p, ok := blocks[hash]
		if !ok || p.expected() && p.mark&^expectedBit > mark.dispatch {
			continue
		}
		if p.expected() || p.mark < mark.lost {
			p.mark = mark.lost
		}
		p.lastUse = v.ticks(now)
		blocks[hash] = p
	}
}
