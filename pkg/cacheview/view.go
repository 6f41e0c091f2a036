// Package cacheview maintains an agent's view of its engine's prefix cache. The
// view is built from the engine's cache events, which arrive late and with gaps,
// from the agent's own dispatches and from load reports.
//
// A block is confirmed by a Stored event or by a complete answer to a request
// that used it. Each event known to be lost since the confirmation may have
// evicted the block. If events were lost, a confirmed block is reported as cached
// only while, by estimate, it was used later than the blocks that the engine
// currently evicts and its probability of survival is at least
// Config.MinSurvivalProbability.
package cacheview

import (
	"math"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// tick is the resolution of last-use times.
const tick = 20 * time.Millisecond

// Config configures a View.
type Config struct {
	// MaxBlocks is the maximum number of blocks in the view. Once a load report
	// gives the size of the engine's cache, the smaller of the two applies.
	MaxBlocks int
	// MinSurvivalProbability is the minimum estimated probability, from 0 to 1,
	// that a block is still cached after lost events for it to be reported as
	// cached.
	MinSurvivalProbability float64
	// ExpectedTTL is the time after a dispatch for which its unconfirmed blocks
	// count as expected.
	ExpectedTTL time.Duration
	// RateWindow is the averaging time of View.EvictionRate.
	RateWindow time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MaxBlocks:              1 << 18,
		MinSurvivalProbability: 0.5,
		ExpectedTTL:            10 * time.Second,
		RateWindow:             10 * time.Second,
	}
}

// blockState is the state of one block in the view.
type blockState struct {
	// lastUse is the time of the last use in ticks since the view's start.
	lastUse uint32
	// counter is the value of View.lostEvents as of the block's confirmation. If
	// expectedBit is set, the block is not confirmed and the other bits are the
	// number of the dispatch that will store it.
	counter uint32
}

// expectedBit marks a block that was dispatched but is not confirmed as stored.
const expectedBit = 1 << 31

// unconfirmed reports whether the block was dispatched but is not confirmed as
// stored.
func (s blockState) unconfirmed() bool {
	return s.counter&expectedBit != 0
}

// View is the view of one engine's prefix cache. It is safe for concurrent use.
type View struct {
	cfg   Config
	start time.Time

	mu      sync.Mutex
	boot    uint64
	lastSeq uint64
	// totalBlocks is the cache size from the last load report; 0 if unknown.
	totalBlocks int
	suspended   bool

	blocksByVersion map[string]map[uint64]blockState
	blockCount      int
	// lostEvents counts the lost events of all boots.
	lostEvents    uint32
	dispatchCount uint32
	// evictionAge estimates the age of the blocks that the engine currently evicts.
	evictionAge ageEstimator
	// evictedPerEvent is a moving average of the evicted blocks per event.
	evictedPerEvent float64
	evictionRate    decayingRate
}

// New returns an empty view.
func New(cfg Config, now time.Time) *View {
	return &View{
		cfg:             cfg,
		start:           now,
		blocksByVersion: map[string]map[uint64]blockState{},
		evictedPerEvent: 1,
		evictionRate:    decayingRate{window: cfg.RateWindow, updatedAt: now},
	}
}

// ticks returns a time as ticks since the view's start.
func (v *View) ticks(now time.Time) uint32 {
	return uint32(max(now.Sub(v.start)/tick, 0))
}

// Boot returns the engine's boot number; 0 if unknown.
func (v *View) Boot() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boot
}

// Position returns the boot number and the sequence number after which the
// engine's event log is to be read.
func (v *View) Position() (boot, lastSeq uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boot, v.lastSeq
}

// CachedPrefix returns the length of the prefix whose blocks are all reported as
// cached, as the package comment describes. It is 0 while the view is suspended.
func (v *View) CachedPrefix(hashes []uint64, weightsVersion string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.suspended {
		return 0
	}
	blocks := v.blocksByVersion[weightsVersion]
	maxLost := v.maxLostEvents()
	for i, hash := range hashes {
		state, ok := blocks[hash]
		if !ok || !v.likelyCached(state, maxLost) {
			return i
		}
	}
	return len(hashes)
}

// ExpectedPrefix returns the length of the prefix whose blocks are either reported as
// cached or expected to be stored by a dispatch within the last
// Config.ExpectedTTL. It is 0 while the view is suspended.
func (v *View) ExpectedPrefix(now time.Time, hashes []uint64, weightsVersion string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.suspended {
		return 0
	}
	blocks := v.blocksByVersion[weightsVersion]
	maxLost := v.maxLostEvents()
	for i, hash := range hashes {
		state, ok := blocks[hash]
		if !ok || !v.likelyCached(state, maxLost) && !v.recentlyDispatched(state, now) {
			return i
		}
	}
	return len(hashes)
}

// LostSinceConfirmed returns the number of events lost since a block was last
// confirmed; ok is false for an unknown or unconfirmed block.
func (v *View) LostSinceConfirmed(hash uint64, weightsVersion string) (lost int, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	state, ok := v.blocksByVersion[weightsVersion][hash]
	if !ok || state.unconfirmed() {
		return 0, false
	}
	return int(v.lostEvents - state.counter), true
}

// EvictionRate returns the average number of evicted blocks per second over
// Config.RateWindow, including an estimate for lost events.
func (v *View) EvictionRate(now time.Time) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evictionRate.perSecond(now)
}

// Counts holds the sizes of a View.
type Counts struct {
	// Blocks is the number of blocks in the view, unconfirmed ones included.
	Blocks int
	// LostEvents is the number of events known to be lost since the view's start.
	LostEvents int
}

// Counts returns the sizes of the view.
func (v *View) Counts() Counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Counts{Blocks: v.blockCount, LostEvents: int(v.lostEvents)}
}

// ApplyReport applies a load report. A report of an older boot is ignored.
func (v *View) ApplyReport(report engine.LoadReport) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if report.BootID < v.boot {
		return
	}
	v.adoptBoot(report.BootID)
	v.totalBlocks = report.TotalBlocks
	v.shrink()
}

// ResetToBoot clears the view if its boot number differs from boot, even if boot
// is lower. It is for callers that know boot to be the current one, for example
// from a new connection.
func (v *View) ResetToBoot(boot uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if boot != v.boot {
		v.clear(boot)
	}
}

// Suspend makes the view report no cached or expected blocks until the next
// event or heartbeat. It is for engines whose state is uncertain, for example
// after a long silence.
func (v *View) Suspend() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspended = true
}

// adoptBoot clears the view if boot is newer than its own boot.
func (v *View) adoptBoot(boot uint64) {
	if boot > v.boot {
		v.clear(boot)
	}
}

// clear removes the state of earlier boots and sets the boot number.
func (v *View) clear(boot uint64) {
	v.boot, v.lastSeq, v.blockCount, v.evictionAge = boot, 0, 0, ageEstimator{}
	v.blocksByVersion = map[string]map[uint64]blockState{}
}

// maxLostEvents returns the number of lost events that a block survives with a
// probability of at least Config.MinSurvivalProbability, assuming that all
// blocks are equally likely to be evicted.
func (v *View) maxLostEvents() uint32 {
	evictionChance := v.evictedPerEvent / float64(max(v.blockCount, 1))
	if evictionChance >= 1 {
		return 0
	}
	maxLost := math.Log(v.cfg.MinSurvivalProbability) / math.Log1p(-evictionChance)
	return uint32(min(maxLost, math.MaxUint32))
}

// likelyCached reports whether a block is confirmed and counts as cached when at
// most maxLost events have been lost since.
func (v *View) likelyCached(state blockState, maxLost uint32) bool {
	if state.unconfirmed() {
		return false
	}
	lost := v.lostEvents - state.counter
	return lost == 0 || lost <= maxLost && v.evictionAge.newerThanEvicted(state.lastUse)
}

// recentlyDispatched reports whether a block is unconfirmed and was dispatched
// within the last Config.ExpectedTTL.
func (v *View) recentlyDispatched(state blockState, now time.Time) bool {
	age := time.Duration(v.ticks(now)-state.lastUse) * tick
	return state.unconfirmed() && v.ticks(now) >= state.lastUse && age <= v.cfg.ExpectedTTL
}
