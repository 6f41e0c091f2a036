package runner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/juju/errors"
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// HandlePromiseRequest handles another agent's request for a promise. If the
// last contact with the key-value service is not recent, it first reads the
// slot's record, which takes at most a third of Config.ContactLossTimeout.
func (r *Runner) HandlePromiseRequest(ctx context.Context, requesterVM string, slot ownership.SlotID, epoch uint64, duration time.Duration) ownership.PromiseReply {
	if r.ContactAge() >= r.options.Config.ContactLossTimeout {
		r.refreshRecord(ctx, slot)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.machine.HandlePromiseRequest(slot, epoch, duration, r.now())
	r.options.Log.Log(eventlog.SlotPromise, "slot", slot, "epoch", epoch, "asker", requesterVM,
		"granted", reply.Granted, "contact_age_ms", reply.ContactAge.Milliseconds())
	return reply
}

// refreshRecord reads one record from the key-value service and passes it to
// the machine.
func (r *Runner) refreshRecord(ctx context.Context, slot ownership.SlotID) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Config.ContactLossTimeout/3)
	defer cancel()
	entry, err := r.options.Store.Get(ctx, ownership.SlotKey(slot))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.observeRecord(entry)
	}
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		r.machine.ObserveContact(r.now())
	}
}

// RelayRenewal renews a lease on behalf of another process. The error of the
// key-value service is returned unchanged.
func (r *Runner) RelayRenewal(ctx context.Context, lease kv.LeaseID) error {
	return r.options.Store.Renew(ctx, lease)
}

// AcceptHandOver credits the handed-over levels of slots that this process
// holds. It returns the slots whose levels have been credited. It is
// idempotent: repeated calls do not credit levels again.
func (r *Runner) AcceptHandOver(ctx context.Context, slots []HandedOverSlot) []ownership.SlotID {
	var accepted []ownership.SlotID
	for _, handedOver := range slots {
		slot, epoch := handedOver.Record.Slot, handedOver.Record.Epoch
		if current, held := r.Holds(slot); !held || current < epoch {
			r.refreshRecord(ctx, slot)
		}
		credit, credited := r.markCredited(slot, epoch)
		if credit {
			r.options.SlotHandler.CreditLevels(slot, epoch, handedOver.Levels)
		}
		if credited {
			accepted = append(accepted, slot)
		}
	}
	return accepted
}

// markCredited marks the levels of a slot at an epoch as credited if the slot
// is held at that epoch. It reports whether the caller must credit them now,
// and whether they are credited, now or by an earlier call.
func (r *Runner) markCredited(slot ownership.SlotID, epoch uint64) (credit, credited bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.creditedEpochs[slot] >= epoch {
		return false, r.creditedEpochs[slot] == epoch
	}
	held, ok := r.machine.Holds(slot, r.now())
	if !ok || held != epoch {
		return false, false
	}
	r.creditedEpochs[slot] = epoch
	return true, true
}

// HandOverAll performs a planned stop: it hands over all slots and their
// levels. It must be called while Run is running. Each slot remains in use until
// its hand-over is sent. When the hand-over is complete or ctx is done,
// HandOverAll ends the use of all slots and revokes the lease, so that successors
// can take over the remaining slots immediately.
func (r *Runner) HandOverAll(ctx context.Context) {
	r.mu.Lock()
	r.machine.BeginDrain()
	r.mu.Unlock()
	var unsent []HandedOverSlot
	for {
		// Send the levels of each slot promptly: until they arrive, the new
		// owner rejects requests that the old owner would have admitted. The
		// new owner may not have read its record yet; in that case the levels
		// are sent again.
		unsent = r.sendLevels(ctx, append(unsent, r.takeHandedOver()...))
		if (r.isHandedOver() && len(unsent) == 0) || !clock.Sleep(ctx, r.options.Config.RetryInterval/8) {
			break
		}
	}
	r.mu.Lock()
	r.machine.ReleaseAll()
	lease := r.machine.Lease()
	r.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.options.Config.RetryInterval)
	defer cancel()
	_ = r.options.Store.Revoke(ctx, lease)
}

// takeHandedOver returns the slots that were handed over since the last call,
// with their released levels.
func (r *Runner) takeHandedOver() []HandedOverSlot {
	r.mu.Lock()
	records := r.handedOver
	r.handedOver = nil
	r.mu.Unlock()
	slots := make([]HandedOverSlot, 0, len(records))
	for _, record := range records {
		slots = append(slots, HandedOverSlot{Record: record, Levels: r.options.SlotHandler.ReleaseLevels(record.Slot)})
	}
	return slots
}

// sendLevels sends the levels to the new owners, with one call per owner, and
// returns the slots whose levels were not accepted. The calls have their own
// timeout and are not cancelled with ctx.
func (r *Runner) sendLevels(ctx context.Context, handedOver []HandedOverSlot) []HandedOverSlot {
	byVM := map[string][]HandedOverSlot{}
	for _, slot := range handedOver {
		byVM[slot.Record.Owner.VM] = append(byVM[slot.Record.Owner.VM], slot)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.options.Config.RetryInterval)
	defer cancel()
	var (
		group  sync.WaitGroup
		mu     sync.Mutex
		unsent []HandedOverSlot
	)
	for vm, slots := range byVM {
		group.Go(func() {
			err := r.options.Peers.HandOver(ctx, vm, slots)
			r.options.Log.Log(eventlog.SlotHandedOver, "peer", vm, "slots", len(slots), "result", resultNames[resultOf(err)])
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				unsent = append(unsent, slots...)
			}
		})
	}
	group.Wait()
	return unsent
}

// isHandedOver reports whether this process owns no slots and holds no levels of slots that it
// has handed over: the record of the last slot may be written while levels are being sent.
func (r *Runner) isHandedOver() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.OwnedCount() == 0 && len(r.handedOver) == 0
}
