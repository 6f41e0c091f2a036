package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/idempotency"
	"github.com/baobabhub/baobabhub/pkg/idempotency/store"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
)

const (
	// maxSlotRecords bounds the records of one slot; a day of the stated load
	// has 45,900.
	maxSlotRecords = 1 << 16
	// maxExecutes bounds the at-most-once calls in progress.
	maxExecutes = 1024
	// maxOpening bounds the slots whose records are loaded at one time.
	maxOpening = 4
	// reopenInterval is the time between two attempts to open a slot.
	reopenInterval = 200 * time.Millisecond
	// retireTimeout bounds the writing of outcomes of a slot no longer held.
	// A newer owner ends it earlier.
	retireTimeout = 10 * time.Second
)

// slotRecords are the records of one slot under one epoch.
type slotRecords struct {
	id    uint32
	epoch uint64
	// retired is closed once the slot is no longer held under the epoch.
	retired chan struct{}
	// slot is nil until the records are loaded; records.mu guards it.
	slot *store.Slot
}

// records opens, keeps and closes the records of the slots that the agent
// owns. It is a slotTenant and safe for concurrent use.
type records struct {
	agent   *Agent
	store   kv.Store
	opening chan struct{}
	// calls holds one place for each call in progress.
	calls chan struct{}

	mu    sync.Mutex
	slots map[uint32]*slotRecords
}

var _ slotTenant = (*records)(nil)

func newRecords(agent *Agent, recordStore kv.Store) *records {
	return &records{
		agent:   agent,
		store:   recordStore,
		opening: make(chan struct{}, maxOpening),
		calls:   make(chan struct{}, maxExecutes),
		slots:   make(map[uint32]*slotRecords),
	}
}

// started implements slotTenant. Each epoch has a goroutine of its own.
func (r *records) started(slot ownership.SlotID, epoch uint64) {
	if r.store == nil {
		return
	}
	entry := &slotRecords{id: uint32(slot), epoch: epoch, retired: make(chan struct{})}
	r.mu.Lock()
	if before := r.slots[entry.id]; before != nil {
		close(before.retired)
	}
	r.slots[entry.id] = entry
	r.mu.Unlock()
	go r.keep(entry)
}

// stopped implements slotTenant.
func (r *records) stopped(slot ownership.SlotID, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.slots[uint32(slot)]
	if entry != nil && entry.epoch == epoch {
		delete(r.slots, entry.id)
		close(entry.retired)
	}
}

// keep opens a slot and writes its records until it is retired. A Slot that
// was fenced is dropped; it is opened again only if the guard still holds.
func (r *records) keep(entry *slotRecords) {
	for r.serve(entry) {
		select {
		case <-entry.retired:
			return
		case <-r.agent.work.Done():
			return
		case <-time.After(reopenInterval):
		}
	}
}

// serve opens a slot and runs its log; it says whether to open it once more.
func (r *records) serve(entry *slotRecords) bool {
	ctx, cancel := context.WithCancel(r.agent.work)
	defer cancel()
	slot, log, err := r.open(ctx, entry)
	if err != nil {
		return true
	}
	r.setSlot(entry, slot)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = log.Run(ctx)
	}()
	select {
	case <-ended:
		r.setSlot(entry, nil)
		return true
	case <-entry.retired:
		// Outcomes of calls that were sent before may still be written, as
		// long as no newer owner has fenced the slot.
		drainCtx, stop := context.WithTimeout(ctx, retireTimeout)
		_ = slot.Drain(drainCtx)
		stop()
	}
	cancel()
	<-ended
	return false
}

// open loads a slot's records; it ends when the slot is retired.
func (r *records) open(ctx context.Context, entry *slotRecords) (*store.Slot, *store.Log, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	opened := make(chan struct{})
	defer close(opened)
	go func() {
		select {
		case <-entry.retired:
			cancel()
		case <-opened:
		}
	}()
	select {
	case r.opening <- struct{}{}:
		defer func() { <-r.opening }()
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	limits := idempotency.DefaultLimits()
	limits.MaxRecords = maxSlotRecords
	return store.OpenSlot(ctx, r.store, recordGuard{r.agent}, limits, store.Options{
		Slot:    entry.id,
		Epoch:   entry.epoch,
		OwnerID: r.agent.identity.BootID,
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Now:     time.Now,
		Events:  r.agent.log,
	})
}

func (r *records) setSlot(entry *slotRecords, slot *store.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.slot = slot
}

// find returns the open Slot; nil when it is not open under the epoch.
func (r *records) find(id uint32, epoch uint64) *store.Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.slots[id]
	if entry == nil || entry.epoch != epoch {
		return nil
	}
	return entry.slot
}

// recordGuard asks the ownership of slots before each use.
type recordGuard struct {
	agent *Agent
}

// Holds implements store.OwnershipChecker.
func (g recordGuard) Holds(slot uint32, _ time.Time) (uint64, bool) {
	return g.agent.holds(slot)
}

// DrainRecords waits until the at-most-once calls in progress have ended and
// their outcomes are written, or ctx ends. It is called after Leave and before
// the slots are handed over. It returns the number of calls left.
func (a *Agent) DrainRecords(ctx context.Context) int {
	for len(a.records.calls) > 0 {
		if !clock.Sleep(ctx, drainPoll) {
			break
		}
	}
	a.records.mu.Lock()
	open := make([]*store.Slot, 0, len(a.records.slots))
	for _, entry := range a.records.slots {
		if entry.slot != nil {
			open = append(open, entry.slot)
		}
	}
	a.records.mu.Unlock()
	for _, slot := range open {
		// What is not written is unknown to later attempts, never lost to
		// the caller at hand.
		_ = slot.Drain(ctx)
	}
	return len(a.records.calls)
}
