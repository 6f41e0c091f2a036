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

// applyRecordUpdate passes a read or watched change of the records to the machine.
func (r *Runner) applyRecordUpdate(update platform.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, entry := range update.Entries {
		r.observeRecord(entry)
	}
	for _, change := range update.Changes {
		if !change.Deleted {
			r.observeRecord(change.Entry)
		}
	}
	r.machine.MarkRecordsComplete(update.Revision + 1)
	r.machine.ObserveContact(r.now())
}

// observeRecord decodes an entry and passes the record to the machine. The
// caller must hold r.mu.
func (r *Runner) observeRecord(entry kv.Entry) {
	record, err := ownership.DecodeRecord(entry)
	if err != nil {
		r.options.Log.Log(eventlog.SlotRecordError, "key", entry.Key, "error", err.Error())
		return
	}
	r.machine.ObserveRecord(record)
}

// applyLeaseUpdate passes a read or watched change of the process leases to the
// machine.
func (r *Runner) applyLeaseUpdate(update platform.Update) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.ObserveContact(r.now())
	if update.Snapshot {
		var leases []ownership.ProcessLease
		for _, entry := range update.Entries {
			if lease, ok := r.decodeProcessLease(entry); ok {
				leases = append(leases, lease)
			}
		}
		r.machine.SetProcessLeases(leases, update.Revision)
		return
	}
	for _, change := range update.Changes {
		if lease, ok := r.decodeProcessLease(change.Entry); ok {
			r.machine.ApplyProcessLeaseChange(lease, change.Deleted, change.Revision)
		}
	}
	r.machine.MarkProcessLeasesComplete(update.Revision)
}

// decodeProcessLease decodes the entry of a process lease. The entry's value is
// empty for a deletion.
func (r *Runner) decodeProcessLease(entry kv.Entry) (ownership.ProcessLease, bool) {
	process, lease, err := ownership.ParseProcessLeaseKey(entry.Key)
	processLease := ownership.ProcessLease{Owner: process, Lease: lease}
	if err == nil && len(entry.Value) > 0 {
		err = json.Unmarshal(entry.Value, &processLease)
	}
	if err != nil {
		r.options.Log.Log(eventlog.SlotRecordError, "key", entry.Key, "error", err.Error())
	}
	return processLease, err == nil
}

// pollMembers reads the VM list periodically until ctx is done.
func (r *Runner) pollMembers(ctx context.Context) {
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

// SetMembers updates the members from a list of VMs, which may be more recent
// than the platform's list. Live VMs with the target role may own slots.
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
	r.machine.SetMembers(members)
}

// probeOwner asks the address of a record's owner which process listens there.
// The owner bound the address before it wrote the record, so a refused
// connection or an answer from another process proves that the owner has
// terminated.
func (r *Runner) probeOwner(ctx context.Context, record ownership.Record) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Config.RetryInterval)
	defer cancel()
	boot, err := r.options.Peers.BootID(ctx, record.Owner.VM, record.Address)
	refused := errors.Is(err, ErrRefused)
	if refused || (err == nil && boot != record.Owner.BootID) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.machine.MarkTerminated(record.Owner)
		r.options.Log.Log(eventlog.SlotOwnerDead, "owner", record.Owner.VM, "boot", record.Owner.BootID)
	}
}

// probeOwners periodically probes suspected owners for proof of termination.
func (r *Runner) probeOwners(ctx context.Context) {
	for clock.Sleep(ctx, r.options.Config.RetryInterval) {
		r.mu.Lock()
		suspects := r.machine.Suspects()
		r.mu.Unlock()
		for _, record := range suspects {
			r.probeOwner(ctx, record)
		}
	}
}
