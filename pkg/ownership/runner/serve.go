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

// HandlePromiseRequest answers another agent's question for a promise. Without fresh
// contact it first asks the key-value service itself, for a part of
// Config.ContactLoss.
func (r *Runner) HandlePromiseRequest(ctx context.Context, asker string, slot ownership.SlotID, epoch uint64, duration time.Duration) ownership.PromiseReply {
	if r.ContactAge() >= r.options.Config.ContactLoss {
		r.refresh(ctx, slot)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := r.machine.AskedPromise(slot, epoch, duration, r.now())
	r.options.Log.Log(eventlog.SlotPromise, "slot", slot, "epoch", epoch, "asker", asker,
		"granted", reply.Granted, "contact_age_ms", reply.ContactAge.Milliseconds())
	return reply
}

// refresh reads one record from the key-value service.
func (r *Runner) refresh(ctx context.Context, slot ownership.SlotID) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Config.ContactLoss/3)
	defer cancel()
	entry, err := r.options.Store.Get(ctx, ownership.SlotKey(slot))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.sawRecord(entry)
	}
	if err == nil || errors.Is(err, kv.ErrNotFound) {
		r.machine.SawContact(r.now())
	}
}

// RelayRenewal renews another process's lease. The caller passes the error on.
func (r *Runner) RelayRenewal(ctx context.Context, lease kv.LeaseID) error {
	return r.options.Store.Renew(ctx, lease)
}

// AcceptHandOver takes the levels of slots whose records name this process.
// It returns the slots whose levels it has; a repeated call credits nothing
// again.
func (r *Runner) AcceptHandOver(ctx context.Context, slots []HandedOverSlot) []ownership.SlotID {
	var accepted []ownership.SlotID
	for _, handed := range slots {
		slot, epoch := handed.Record.Slot, handed.Record.Epoch
		if current, held := r.Holds(slot); !held || current < epoch {
			r.refresh(ctx, slot)
		}
		credit, known := r.takeLevels(slot, epoch)
		if credit {
			r.options.SlotHandler.CreditLevels(slot, epoch, handed.Levels)
		}
		if known {
			accepted = append(accepted, slot)
		}
	}
	return accepted
}

// takeLevels says whether the levels of a slot at an epoch are to be credited
// now, and whether they are or were.
func (r *Runner) takeLevels(slot ownership.SlotID, epoch uint64) (credit, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.credited[slot] >= epoch {
		return false, r.credited[slot] == epoch
	}
	held, ok := r.machine.Holds(slot, r.now())
	if !ok || held != epoch {
		return false, false
	}
	r.credited[slot] = epoch
	return true, true
}

// HandOverAll hands all slots over with their levels, for a planned stop. Each
// slot is used until its hand-over is sent. Run must go on meanwhile. At the end,
// or when ctx ends, no slot is used any more and the lease is revoked, so that
// successors take the rest at once.
func (r *Runner) HandOverAll(ctx context.Context) {
	r.mu.Lock()
	r.machine.Leave()
	r.mu.Unlock()
	var unsent []HandedOverSlot
	for {
		// Levels follow their slot at once: until they come, its new owner
		// refuses what the old one would have granted. The new owner may not
		// have seen its record yet; then they are sent again.
		unsent = r.sendLevels(ctx, append(unsent, r.takeHanded()...))
		if (r.owned() == 0 && len(unsent) == 0) || !clock.Sleep(ctx, r.options.Config.Retry/8) {
			break
		}
	}
	r.mu.Lock()
	r.machine.Release()
	lease := r.machine.Lease()
	r.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.options.Config.Retry)
	defer cancel()
	_ = r.options.Store.Revoke(ctx, lease)
}

// takeHanded returns the slots handed over since the last call, with the levels
// that are released for them.
func (r *Runner) takeHanded() []HandedOverSlot {
	r.mu.Lock()
	records := r.handed
	r.handed = nil
	r.mu.Unlock()
	handed := make([]HandedOverSlot, 0, len(records))
	for _, record := range records {
		handed = append(handed, HandedOverSlot{Record: record, Levels: r.options.SlotHandler.ReleaseLevels(record.Slot)})
	}
	return handed
}

// sendLevels passes levels on, to each new owner in one call with a time of its
// own, and returns those that were not taken.
func (r *Runner) sendLevels(ctx context.Context, handed []HandedOverSlot) []HandedOverSlot {
	byVM := map[string][]HandedOverSlot{}
	for _, slot := range handed {
		byVM[slot.Record.Owner.VM] = append(byVM[slot.Record.Owner.VM], slot)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.options.Config.Retry)
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

func (r *Runner) owned() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Owned()
}
