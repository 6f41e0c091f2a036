package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/juju/errors"
)

func (r *Runner) slotsUpdate(update platform.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range update.Entries {
		r.sawRecord(entry)
	}
	for _, change := range update.Changes {
		if !change.Deleted {
			r.sawRecord(change.Entry)
		}
	}
	r.machine.SlotsComplete(update.Revision + 1)
	r.machine.SawContact(r.now())
}

// sawRecord passes one entry to the machine. The caller locks.
func (r *Runner) sawRecord(entry kv.Entry) {
	record, err := ownership.DecodeRecord(entry)
	if err != nil {
		r.options.Log.Log(eventlog.SlotRecordError, "key", entry.Key, "error", err.Error())
		return
	}
	r.machine.SawRecord(record)
}

func (r *Runner) aliveUpdate(update platform.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.SawContact(r.now())
	if update.Full {
		var processes []ownership.Alive
		for _, entry := range update.Entries {
			if alive, ok := r.decodeAlive(entry); ok {
				processes = append(processes, alive)
			}
		}
		r.machine.SawAlive(processes, update.Revision)
		return
	}
	for _, change := range update.Changes {
		if alive, ok := r.decodeAlive(change.Entry); ok {
			r.machine.SawAliveChange(alive, change.Deleted, change.Revision)
		}
	}
	r.machine.AliveComplete(update.Revision)
}

// decodeAlive reads a lease's key; the value is empty on a deletion.
func (r *Runner) decodeAlive(entry kv.Entry) (ownership.Alive, bool) {
	process, lease, err := ownership.ParseAliveKey(entry.Key)
	alive := ownership.Alive{Owner: process, Lease: lease}
	if err == nil && len(entry.Value) > 0 {
		err = json.Unmarshal(entry.Value, &alive)
	}
	if err != nil {
		r.options.Log.Log(eventlog.SlotRecordError, "key", entry.Key, "error", err.Error())
	}
	return alive, err == nil
}

// readMembers reads the list of VMs periodically.
func (r *Runner) readMembers(ctx context.Context) {
	backoff := platform.Backoff{Min: 100 * time.Millisecond, Max: r.options.ReadPeriod, Random: newRandom()}
	for ctx.Err() == nil {
		wait := r.options.ReadPeriod
		vms, err := r.options.Lister.ListVMs(ctx)
		if err == nil {
			backoff.Reset()
			r.SetMembers(vms)
		} else {
			wait = backoff.Next()
		}
		if !clock.Sleep(ctx, wait) {
			return
		}
	}
}

// SetMembers passes a list of VMs, such as one fresher than the platform's.
// Live VMs that hold targets may own slots.
func (r *Runner) SetMembers(vms []platform.VM) {
	var members []ownership.Member
	for _, vm := range vms {
		if vm.Role == platform.RoleTarget && vm.State == platform.VMLive {
			members = append(members, ownership.Member{
				VM: vm.ID, Address: vm.Address, DataCentre: vm.DataCentre, Region: vm.Region,
			})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.SawMembers(members)
}

// probe asks the address of a record's owner who is there. The record was
// known before, so its owner had bound the address before; an answer of another
// process or a refusal proves that the owner is gone.
func (r *Runner) probe(ctx context.Context, record ownership.Record) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Config.Retry)
	defer cancel()
	boot, err := r.options.Peers.BootID(ctx, record.Owner.VM, record.Address)
	refused := errors.Is(err, ErrRefused)
	if refused || (err == nil && boot != record.Owner.BootID) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.machine.SawDead(record.Owner)
		r.options.Log.Log(eventlog.SlotOwnerDead, "owner", record.Owner.VM, "boot", record.Owner.BootID)
	}
}

// probeOwners looks for proof that owners are dead.
func (r *Runner) probeOwners(ctx context.Context) {
	for clock.Sleep(ctx, r.options.Config.Retry) {
		r.mu.Lock()
		suspects := r.machine.Suspects()
		r.mu.Unlock()
		for _, record := range suspects {
			r.probe(ctx, record)
		}
	}
}
