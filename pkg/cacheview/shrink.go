package cacheview

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// shrinkSlackDivisor sets how far the number of blocks may exceed its limit
// before blocks are removed: by limit/shrinkSlackDivisor.
const shrinkSlackDivisor = 16

// limit returns the maximum number of blocks: the engine's cache size if it is
// known, and Config.MaxBlocks at most.
func (v *View) limit() int {
	if v.totalBlocks > 0 {
		return min(v.totalBlocks, v.cfg.MaxBlocks)
	}
	return v.cfg.MaxBlocks
}

// shrink reduces the number of blocks to the limit once it exceeds the limit by
// more than the slack. It first removes confirmed blocks that are no longer likely
// to be cached, then the least recently used blocks.
func (v *View) shrink() {
	limit := v.limit()
	if v.blockCount <= limit+limit/shrinkSlackDivisor {
		return
	}
	maxLost := v.maxLostEvents()
	v.removeIf(func(_ uint64, state blockState) bool { return !state.unconfirmed() && !v.likelyCached(state, maxLost) })
	if v.blockCount <= limit {
		return
	}
	lastRemoved := v.nthOldest(v.blockCount - limit)
	v.removeIf(func(hash uint64, state blockState) bool { return !lastRemoved.less(lruKey{state.lastUse, hash}) })
}

// lruKey orders blocks by last use and then by hash.
type lruKey struct {
	lastUse uint32
	hash    uint64
}

func (k lruKey) less(other lruKey) bool {
	return k.compare(other) < 0
}

func (k lruKey) compare(other lruKey) int {
	return cmp.Or(cmp.Compare(k.lastUse, other.lastUse), cmp.Compare(k.hash, other.hash))
}

// nthOldest returns the key of the n-th least recently used block, counted from 1.
func (v *View) nthOldest(n int) lruKey {
	keys := make([]lruKey, 0, v.blockCount)
	for _, blocks := range v.blocksByVersion {
		for hash, state := range blocks {
			keys = append(keys, lruKey{state.lastUse, hash})
		}
	}
	slices.SortFunc(keys, lruKey.compare)
	return keys[n-1]
}

// removeIf removes the blocks for which match returns true.
func (v *View) removeIf(match func(hash uint64, state blockState) bool) {
	for version, blocks := range v.blocksByVersion {
		before := len(blocks)
		for hash, state := range blocks {
			if match(hash, state) {
				delete(blocks, hash)
			}
		}
		v.blockCount -= before - len(blocks)
		if len(blocks) == 0 {
			delete(v.blocksByVersion, version)
		}
	}
}

// decayingRate estimates a rate from an exponentially decaying sum.
type decayingRate struct {
	window    time.Duration
	updatedAt time.Time
	sum       float64
}

// add adds n to the sum at the given time.
func (r *decayingRate) add(now time.Time, n float64) {
	r.decay(now)
	r.sum += n
}

// perSecond returns the rate at the given time.
func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.sum / r.window.Seconds()
}

// decay applies the exponential decay since the last update to the sum.
func (r *decayingRate) decay(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.sum *= math.Exp(-elapsed.Seconds() / r.window.Seconds())
		r.updatedAt = now
	}
}
