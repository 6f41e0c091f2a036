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

// ledgers holds one rate-limit ledger for each slot that the agent owns. A slot's
// ledger tracks the parts of the client accounts' token buckets that are assigned to
// the slot. It is used only while the agent owns the slot. The ledger of a lost slot
// is kept, since the process may regain the slot before another process owns it.
type ledgers struct {
	slotCount int
	bundles   *bundle.Store
	log       *eventlog.Logger
	// clockStart is the zero point of the monotonic offsets passed to ledgers.
	clockStart time.Time

	mu     sync.Mutex
	bySlot map[uint32]*slotLedger
}

// slotLedger holds the bucket parts of one slot at one epoch.
type slotLedger struct {
	epoch  uint64
	ledger *ratelimit.Ledger
	// released is set once the parts have been emptied for the next owner.
	released bool
}

func newLedgers(slotCount int, bundles *bundle.Store, log *eventlog.Logger) *ledgers {
	return &ledgers{
		slotCount: slotCount, bundles: bundles, log: log,
		clockStart: time.Now(), bySlot: make(map[uint32]*slotLedger, slotCount),
	}
}

// now returns the current offset on the monotonic clock of the process.
func (l *ledgers) now() time.Duration {
	return time.Since(l.clockStart)
}

// run applies the limits of each new bundle until ctx is done.
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
	for slot, entry := range l.bySlot {
		entry.ledger.SetLimits(l.now(), l.limits(slot, snapshot))
	}
}

// limits returns the limits of the accounts that have a bucket part in a slot. Each
// limit applies to the account's whole bucket, not to the part.
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

// get returns the ledger of a slot that the agent owns at an epoch, and creates it
// if necessary. It returns nil if there is no active bundle, if the slot has no
// parts, if the epoch is out of date, or if the ledger was released at this epoch.
func (l *ledgers) get(slot uint32, epoch uint64) *ratelimit.Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.bySlot[slot]
	switch {
	case entry != nil && entry.epoch > epoch:
		return nil
	case entry != nil && entry.epoch == epoch && !entry.released:
		return entry.ledger
	case entry != nil && entry.epoch == epoch:
		return nil
	case entry != nil && entry.epoch+1 == epoch && !entry.released:
		// The process renewed its own record, so no other process has owned the
		// slot in between.
		entry.epoch = epoch
		return entry.ledger
	}
	return l.openLocked(slot, epoch, entry == nil)
}

// openLocked creates the ledger of a slot. firstOpen reports whether the process has
// not had a ledger for the slot before. The caller holds the mutex.
func (l *ledgers) openLocked(slot uint32, epoch uint64, firstOpen bool) *ratelimit.Ledger {
	snapshot := l.bundles.Current()
	position, hasParts := ratelimit.PartPositionOf(slot, l.slotCount)
	if snapshot == nil || !hasParts {
		return nil
	}
	// Buckets start full only in a slot that has never had an owner.
	ledger := ratelimit.NewLedger(position, ratelimit.InitialState{FirstEpoch: firstOpen && epoch == firstEpoch})
	ledger.SetLimits(l.now(), l.limits(slot, snapshot))
	l.bySlot[slot] = &slotLedger{epoch: epoch, ledger: ledger}
	l.log.Log(eventlog.PartStarted, "slot", slot, "epoch", epoch, "handed_over", false)
	return ledger
}

// firstEpoch is the epoch of the first owner of a slot.
const firstEpoch = 1

// started implements slotObserver.
func (l *ledgers) started(slot ownership.SlotID, epoch uint64) {
	l.get(uint32(slot), epoch)
}

// stopped implements slotObserver. It keeps the ledger: ownership is checked before
// each use, and the process may regain the slot before another process owns it.
func (l *ledgers) stopped(ownership.SlotID, uint64) {}

// release empties the bucket parts of a slot and returns their levels for the next
// owner.
func (l *ledgers) release(slot ownership.SlotID) []runner.BucketLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.bySlot[uint32(slot)]
	if entry == nil || entry.released {
		return nil
	}
	entry.released = true
	var levels []runner.BucketLevel
	for account, tokens := range entry.ledger.Stop(l.now()) {
		if tokens > 0 {
			levels = append(levels, runner.BucketLevel{Account: account, Tokens: uint64(tokens)})
		}
	}
	return levels
}

// credit adds the levels that the previous owner handed over.
func (l *ledgers) credit(slot ownership.SlotID, epoch uint64, levels []runner.BucketLevel) {
	ledger := l.get(uint32(slot), epoch)
	if ledger == nil {
		return
	}
	tokens := make(map[string]int64, len(levels))
	for _, level := range levels {
		tokens[level.Account] = int64(level.Tokens)
	}
	ledger.Credit(l.now(), tokens)
	l.log.Log(eventlog.PartStarted, "slot", slot, "epoch", epoch, "handed_over", true)
}
