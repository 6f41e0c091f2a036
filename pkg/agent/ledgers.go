package agent

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/bundle"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/ownership/runner"
	"github.com/baobabhub/baobabhub/pkg/ratelimit"
)

// ledgers holds the bucket parts of the slots that the agent owns, one ledger
// for each slot. A ledger is used only while the slot is held; one of a slot
// that is lost is kept, since the process may get the slot back before anyone
// else has had it.
type ledgers struct {
	slotCount int
	bundles   *bundle.Store
	log       *eventlog.Logger
	// origin is the zero of the ledgers' monotonic offsets.
	origin time.Time

	mu     sync.Mutex
	bySlot map[uint32]*slotLedger
}

// slotLedger is one slot's parts at one epoch.
type slotLedger struct {
	epoch  uint64
	ledger *ratelimit.Ledger
	// released ledgers were emptied for another owner.
	released bool
}

func newLedgers(slotCount int, bundles *bundle.Store, log *eventlog.Logger) *ledgers {
	return &ledgers{
		slotCount: slotCount, bundles: bundles, log: log,
		origin: time.Now(), bySlot: make(map[uint32]*slotLedger, slotCount),
	}
}

// now is the offset on the process's monotonic clock.
func (l *ledgers) now() time.Duration {
	return time.Since(l.origin)
}

// run follows the limits of the bundles in force until ctx ends.
func (l *ledgers) run(ctx context.Context) {
	changes, stop := l.bundles.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-changes:
			l.setLimits(snapshot)
		}
	}
}

func (l *ledgers) setLimits(snapshot *bundle.Snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for slot, held := range l.bySlot {
		held.ledger.SetLimits(l.now(), l.limits(slot, snapshot))
	}
}

// limits returns the whole limits of the accounts that have a part in a slot.
func (l *ledgers) limits(slot uint32, snapshot *bundle.Snapshot) map[string]ratelimit.Limit {
	limits := make(map[string]ratelimit.Limit)
	for i := range snapshot.Bundle.Accounts {
		account := &snapshot.Bundle.Accounts[i]
		if ratelimit.HoldsPart(slot, account.Name, l.slotCount) {
			limits[account.Name] = ratelimit.Limit{
				RateTokensPerSecond: account.RateTokensPerSecond, BurstTokens: account.BurstTokens,
			}
		}
	}
	return limits
}

// at returns the ledger of a slot that is held at an epoch, opened now if need
// be; nil while no bundle is in force, for a slot without parts, and when the
// epoch has passed.
func (l *ledgers) at(slot uint32, epoch uint64) *ratelimit.Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.bySlot[slot]
	switch {
	case known != nil && known.epoch > epoch:
		return nil
	case known != nil && known.epoch == epoch && !known.released:
		return known.ledger
	case known != nil && known.epoch == epoch:
		return nil
	case known != nil && known.epoch+1 == epoch && !known.released:
		// The process renewed its own record: nobody else has had the slot.
		known.epoch = epoch
		return known.ledger
	}
	return l.open(slot, epoch, known == nil)
}

// open runs with the lock held.
func (l *ledgers) open(slot uint32, epoch uint64, first bool) *ratelimit.Ledger {
	snapshot := l.bundles.Current()
	place, any := ratelimit.PartPositionOf(slot, l.slotCount)
	if snapshot == nil || !any {
		return nil
	}
	// Only a slot that has never had an owner starts with full buckets.
	ledger := ratelimit.NewLedger(place, ratelimit.InitialState{FirstEpoch: first && epoch == firstEpoch})
	ledger.SetLimits(l.now(), l.limits(slot, snapshot))
	l.bySlot[slot] = &slotLedger{epoch: epoch, ledger: ledger}
	l.log.Log(eventlog.PartStarted, "slot", slot, "epoch", epoch, "handed_over", false)
	return ledger
}

// firstEpoch is the epoch of a slot's first owner.
const firstEpoch = 1

// started implements slotTenant.
func (l *ledgers) started(slot ownership.SlotID, epoch uint64) {
	l.at(uint32(slot), epoch)
}

// stopped implements slotTenant. The ledger is kept: it isn't used without a
// look at the ownership, and the slot may come back unused.
func (l *ledgers) stopped(ownership.SlotID, uint64) {}

// release empties a slot's parts for the next owner.
func (l *ledgers) release(slot ownership.SlotID) []runner.BucketLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.bySlot[uint32(slot)]
	if known == nil || known.released {
		return nil
	}
	known.released = true
	var levels []runner.BucketLevel
	for account, tokens := range known.ledger.Stop(l.now()) {
		if tokens > 0 {
			levels = append(levels, runner.BucketLevel{Account: account, Tokens: uint64(tokens)})
		}
	}
	return levels
}

// credit adds the levels of the owner before.
func (l *ledgers) credit(slot ownership.SlotID, epoch uint64, levels []runner.BucketLevel) {
	ledger := l.at(uint32(slot), epoch)
	if ledger == nil {
		return
	}
	handed := make(map[string]int64, len(levels))
	for _, level := range levels {
		handed[level.Account] = int64(level.Tokens)
	}
	ledger.Credit(l.now(), handed)
	l.log.Log(eventlog.PartStarted, "slot", slot, "epoch", epoch, "handed_over", true)
}
