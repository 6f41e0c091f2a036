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
	// maxSlotRecords limits the records of one slot. One day at the
	// specified load produces 45,900 records.
	maxSlotRecords = 1 << 16
	// maxExecuteCalls limits the at-most-once calls in progress.
	maxExecuteCalls = 1024
	// maxConcurrentLoads limits the number of slots whose records are loaded at the
	// same time.
	maxConcurrentLoads = 4
	// reopenInterval is the delay between attempts to open a slot.
	reopenInterval = 200 * time.Millisecond
	// retireTimeout limits the time for writing the remaining outcomes of a slot
	// that is no longer held. A newer owner ends the writes earlier.
	retireTimeout = 10 * time.Second
)

// managedSlot holds the records of one slot at one epoch.
type managedSlot struct {
	id    uint32
	epoch uint64
	// retired is closed once the slot is no longer held at the epoch.
	retired chan struct{}
	// slot is nil until the records are loaded. recordManager.mu guards it.
	slot *store.Slot
}

// recordManager opens and closes the idempotency records of the slots that the
// agent owns. It is safe for concurrent use.
type recordManager struct {
	agent   *Agent
	store   kv.Store
	loading chan struct{}
	// calls is a semaphore with one element for each call in progress.
	calls chan struct{}

	mu    sync.Mutex
	slots map[uint32]*managedSlot
}

var _ slotObserver = (*recordManager)(nil)

func newRecordManager(agent *Agent, recordStore kv.Store) *recordManager {
	return &recordManager{
		agent:   agent,
		store:   recordStore,
		loading: make(chan struct{}, maxConcurrentLoads),
		calls:   make(chan struct{}, maxExecuteCalls),
		slots:   make(map[uint32]*managedSlot),
	}
}

// started implements slotObserver. It starts one goroutine for each epoch.
func (r *recordManager) started(slot ownership.SlotID, epoch uint64) {
	if r.store == nil {
		return
	}
	entry := &managedSlot{id: uint32(slot), epoch: epoch, retired: make(chan struct{})}
	r.mu.Lock()
	if previous := r.slots[entry.id]; previous != nil {
		close(previous.retired)
	}
	r.slots[entry.id] = entry
	r.mu.Unlock()
	go r.maintain(entry)
}

// stopped implements slotObserver.
func (r *recordManager) stopped(slot ownership.SlotID, epoch uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.slots[uint32(slot)]
	if entry != nil && entry.epoch == epoch {
		delete(r.slots, entry.id)
		close(entry.retired)
	}
}

// maintain opens a slot and writes its records until the slot is retired. If the
// slot is fenced before that, maintain drops it and retries opening it.
func (r *recordManager) maintain(entry *managedSlot) {
	for r.runSlot(entry) {
		select {
		case <-entry.retired:
			return
		case <-r.agent.workCtx.Done():
			return
		case <-time.After(reopenInterval):
		}
	}
}

// runSlot opens a slot and runs its log. It returns whether to open the slot again.
func (r *recordManager) runSlot(entry *managedSlot) bool {
	ctx, cancel := context.WithCancel(r.agent.workCtx)
	defer cancel()
	slot, log, err := r.openSlot(ctx, entry)
	if err != nil {
		return true
	}
	r.setSlot(entry, slot)
	logEnded := make(chan struct{})
	go func() {
		defer close(logEnded)
		_ = log.Run(ctx)
	}()
	select {
	case <-logEnded:
		r.setSlot(entry, nil)
		return true
	case <-entry.retired:
		// Outcomes of calls sent before this point may still be written until a
		// newer owner fences the slot.
		drainCtx, stop := context.WithTimeout(ctx, retireTimeout)
		_ = slot.Drain(drainCtx)
		stop()
	}
	cancel()
	<-logEnded
	return false
}

// openSlot loads the records of a slot. It is cancelled when the slot is retired.
func (r *recordManager) openSlot(ctx context.Context, entry *managedSlot) (*store.Slot, *store.Log, error) {
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
	case r.loading <- struct{}{}:
		defer func() { <-r.loading }()
	case <-ctx.Done():
		return nil, nil, ctx.Err()
	}
	limits := idempotency.DefaultLimits()
	limits.MaxRecords = maxSlotRecords
	return store.OpenSlot(ctx, r.store, slotOwnership{r.agent}, limits, store.Options{
		Slot:    entry.id,
		Epoch:   entry.epoch,
		OwnerID: r.agent.identity.BootID,
		Random:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Now:     time.Now,
		Events:  r.agent.log,
	})
}

func (r *recordManager) setSlot(entry *managedSlot, slot *store.Slot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.slot = slot
}

// lookup returns the open slot, or nil if it is not open at the epoch.
func (r *recordManager) lookup(id uint32, epoch uint64) *store.Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.slots[id]
	if entry == nil || entry.epoch != epoch {
		return nil
	}
	return entry.slot
}

// slotOwnership implements store.OwnershipChecker for the slots of an agent.
type slotOwnership struct {
	agent *Agent
}

// Holds implements store.OwnershipChecker.
func (o slotOwnership) Holds(slot uint32, _ time.Time) (uint64, bool) {
	return o.agent.holds(slot)
}

// DrainRecords waits until the at-most-once calls in progress have ended and
// their outcomes are written, or until ctx is done. It is called after Leave and
// before the slots are handed over. It returns the number of remaining calls.
func (a *Agent) DrainRecords(ctx context.Context) int {
	for len(a.records.calls) > 0 {
		if !clock.Sleep(ctx, drainPollInterval) {
			break
		}
	}
	a.records.mu.Lock()
	openSlots := make([]*store.Slot, 0, len(a.records.slots))
	for _, entry := range a.records.slots {
		if entry.slot != nil {
			openSlots = append(openSlots, entry.slot)
		}
	}
	a.records.mu.Unlock()
	for _, slot := range openSlots {
		// An outcome that is not written is unknown to later attempts, but the
		// current caller still gets its answer.
		_ = slot.Drain(ctx)
	}
	return len(a.records.calls)
}
