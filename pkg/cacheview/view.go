// Package cacheview is an agent's view of its own engine's prefix cache. It is
// built from the engine's cache events, which come late and with gaps, from
// the agent's own dispatches and from load reports.
//
// A block is claimed only while the view can vouch for it. Each claim rests on
// a proof: a Stored event, or an answer that ended with the block in use. Each
// event known to be lost since the proof is a doubt, since it may have evicted
// the block. A doubtful block is claimed only while it was used later than the
// blocks that the engine evicts now, by estimate, and its estimated chance of
// survival is at least Config.MinSurvival.
package cacheview

import (
	"math"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
)

// tick is the resolution of the time of last use.
const tick = 20 * time.Millisecond

// Config bounds a View.
type Config struct {
	// MaxBlocks bounds the blocks kept while no load report gives the size of
	// the engine's cache, and above it.
	MaxBlocks int
	// MinSurvival is the least chance, 0 to 1, that a doubtful block is still
	// cached for it to be claimed.
	MinSurvival float64
	// ExpectedFor is how long a dispatched block counts as expected.
	ExpectedFor time.Duration
	// RateWindow is the averaging time of EvictionRate.
	RateWindow time.Duration
}

// DefaultConfig returns the usual bounds.
func DefaultConfig() Config {
	return Config{
		MaxBlocks:   1 << 18,
		MinSurvival: 0.5,
		ExpectedFor: 10 * time.Second,
		RateWindow:  10 * time.Second,
	}
}

// proof is what the view knows of one block.
type proof struct {
	// lastUse is in ticks since the view's start.
	lastUse uint32
	// mark is the count of lost events at the time of the proof. With
	// expectedBit, there is no proof yet and the rest is the number of the
	// dispatch that will store the block.
	mark uint32
}

// expectedBit marks a block that was dispatched but not seen stored.
const expectedBit = 1 << 31

// expected says whether the block was only dispatched.
func (p proof) expected() bool {
	return p.mark&expectedBit != 0
}

// View is the view of one engine. It is safe for concurrent use.
type View struct {
	cfg   Config
	start time.Time

	mu      sync.Mutex
	boot    uint64
	lastSeq uint64
	// total is the cache size by load report, 0 while unknown.
	total     int
	suspended bool

	versions map[string]map[uint64]proof
	held     int
	// lost counts the lost events of all boots, dispatches the dispatches.
	lost       uint32
	dispatches uint32
	// frontier estimates the last use of the blocks that the engine evicts now.
	frontier frontier
	// evictedPerEvent is a moving average, blocks an event.
	evictedPerEvent float64
	rate            decayingRate
}

// New returns an empty view.
func New(cfg Config, now time.Time) *View {
	return &View{
		cfg:             cfg,
		start:           now,
		versions:        map[string]map[uint64]proof{},
		evictedPerEvent: 1,
		rate:            decayingRate{window: cfg.RateWindow, at: now},
	}
}

// ticks converts a time to the resolution of last use.
func (v *View) ticks(now time.Time) uint32 {
	return uint32(max(now.Sub(v.start)/tick, 0))
}

// Boot returns the engine's boot number, 0 while unknown.
func (v *View) Boot() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boot
}

// Position returns where to follow the event log from.
func (v *View) Position() (boot, lastSeq uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.boot, v.lastSeq
}

// CachedPrefix returns the number of leading blocks that the view vouches for. It
// is 0 while the view is suspended.
func (v *View) CachedPrefix(hashes []uint64, weightsVersion string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.suspended {
		return 0
	}
	blocks := v.versions[weightsVersion]
	allowed := v.allowedDoubt()
	for i, hash := range hashes {
		p, ok := blocks[hash]
		if !ok || !v.vouched(p, allowed) {
			return i
		}
	}
	return len(hashes)
}

// ExpectedPrefix returns the number of leading blocks that the view vouches for or
// that dispatches of the last Config.ExpectedFor will have stored.
func (v *View) ExpectedPrefix(now time.Time, hashes []uint64, weightsVersion string) int {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.suspended {
		return 0
	}
	blocks := v.versions[weightsVersion]
	allowed := v.allowedDoubt()
	for i, hash := range hashes {
		p, ok := blocks[hash]
		if !ok || !v.vouched(p, allowed) && !v.fresh(p, now) {
			return i
		}
	}
	return len(hashes)
}

// Doubt returns the number of lost events since a block's proof, and whether
// the view has a proof of it at all.
func (v *View) Doubt(hash uint64, weightsVersion string) (lost int, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, ok := v.versions[weightsVersion][hash]
	if !ok || p.expected() {
		return 0, false
	}
	return int(v.lost - p.mark), true
}

// EvictionRate returns the evicted blocks a second, those of lost events
// estimated, averaged over Config.RateWindow.
func (v *View) EvictionRate(now time.Time) float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.rate.perSecond(now)
}

// Counts are a view's sizes.
type Counts struct {
	// Blocks are all kept, the expected ones included.
	Blocks int
	// LostEvents counts the events known to be lost since the start.
	LostEvents int
}

// Counts returns the view's sizes.
func (v *View) Counts() Counts {
	v.mu.Lock()
	defer v.mu.Unlock()
	return Counts{Blocks: v.held, LostEvents: int(v.lost)}
}

// ApplyReport takes a load report. A report of an older boot is ignored.
func (v *View) ApplyReport(report engine.LoadReport) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if report.Boot < v.boot {
		return
	}
	v.enter(report.Boot)
	v.total = report.TotalBlocks
	v.shrink()
}

// Reset empties the view for a boot, whatever its number. It is for a caller
// that knows the boot to be the present one, such as from a new connection.
func (v *View) Reset(boot uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if boot != v.boot {
		v.empty(boot)
	}
}

// Suspend makes the view claim nothing until the next event or heartbeat of
// the engine: it has not been heard of for too long.
func (v *View) Suspend() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.suspended = true
}

// enter empties the view when a boot is newer than its own.
func (v *View) enter(boot uint64) {
	if boot > v.boot {
		v.empty(boot)
	}
}

// empty forgets everything of earlier boots.
func (v *View) empty(boot uint64) {
	v.boot, v.lastSeq, v.held, v.frontier = boot, 0, 0, frontier{}
	v.versions = map[string]map[uint64]proof{}
}

// allowedDoubt is the number of lost events after which a block's chance of
// survival, an equal one for all blocks, falls below Config.MinSurvival.
func (v *View) allowedDoubt() uint32 {
	chance := v.evictedPerEvent / float64(max(v.held, 1))
	if chance >= 1 {
		return 0
	}
	allowed := math.Log(v.cfg.MinSurvival) / math.Log1p(-chance)
	return uint32(min(allowed, math.MaxUint32))
}

// vouched says whether a block may be claimed.
func (v *View) vouched(p proof, allowed uint32) bool {
	if p.expected() {
		return false
	}
	doubt := v.lost - p.mark
	return doubt == 0 || doubt <= allowed && v.frontier.passed(p.lastUse)
}

// fresh says whether a block is expected from a recent dispatch.
func (v *View) fresh(p proof, now time.Time) bool {
	age := time.Duration(v.ticks(now)-p.lastUse) * tick
	return p.expected() && v.ticks(now) >= p.lastUse && age <= v.cfg.ExpectedFor
}
