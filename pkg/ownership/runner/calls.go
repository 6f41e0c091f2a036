package runner

import (
	"context"
	"encoding/json"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/ownership"
	"github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/juju/errors"
)

// resultOf maps an error of the key-value service to a Result.
func resultOf(err error) ownership.Result {
	switch {
	case err == nil:
		return ownership.ResultOK
	case errors.Is(err, kv.ErrBudgetExhausted):
		return ownership.ResultNotSent
	case errors.Is(err, kv.ErrConflict), errors.Is(err, kv.ErrLeaseExpired), errors.Is(err, kv.ErrNotFound):
		return ownership.ResultRefused
	default:
		return ownership.ResultUnknown
	}
}

// resultNames are the results as written to the log.
var resultNames = map[ownership.Result]string{
	ownership.ResultOK:      "ok",
	ownership.ResultRefused: "refused",
	ownership.ResultNotSent: "not_sent",
	ownership.ResultUnknown: "unknown",
}

func (r *Runner) runLease(ctx context.Context, action ownership.Action) {
	sent := r.now()
	if renew, ok := action.(ownership.RenewLease); ok {
		r.leaseRenewed(renew.Lease, sent, r.options.Store.Renew(ctx, renew.Lease))
		return
	}
	lease, err := r.openLease(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.LeaseOpened(lease, sent, r.now(), resultOf(err))
	if err == nil {
		r.options.Log.Log(eventlog.SlotLease, "lease", lease, "state", "opened")
	}
}

// openLease grants a lease and writes the key that is attached to it. A lease
// whose key's write was not confirmed is left to lapse.
func (r *Runner) openLease(ctx context.Context) (kv.LeaseID, error) {
	lease, err := r.options.Store.Grant(ctx, r.options.Config.TTL)
	if err != nil {
		return "", err
	}
	self := ownership.Process{VM: r.options.Self.VM, BootID: r.options.Self.BootID}
	value, err := json.Marshal(ownership.Alive{Owner: self, Address: r.options.Self.Address, Lease: lease})
	if err != nil {
		return "", errors.Trace(err)
	}
	_, err = platform.CompareAndSwapSafe(ctx, r.options.Store, kv.Put{
		Key: ownership.AliveKey(self, lease), Value: value, Lease: lease,
	})
	return lease, err
}

func (r *Runner) leaseRenewed(lease kv.LeaseID, sent time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	result := resultOf(err)
	if result == ownership.ResultOK || result == ownership.ResultRefused {
		r.machine.SawContact(now)
	}
	r.machine.LeaseRenewed(lease, sent, now, result)
	if result == ownership.ResultRefused {
		r.options.Log.Log(eventlog.SlotLease, "lease", lease, "state", "lapsed")
	}
}

func (r *Runner) runWrite(ctx context.Context, write ownership.WriteRecord) {
	revision, err := platform.CompareAndSwapSafe(ctx, r.options.Store, kv.Put{
		Key: ownership.SlotKey(write.Record.Slot), Value: write.Record.Encode(),
		ExpectRevision: write.ExpectRevision,
	})
	result := resultOf(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.RecordWritten(write, revision, r.now(), result)
	if result == ownership.ResultOK && write.Kind == ownership.WriteHandOver {
		write.Record.Revision = revision
		r.handed = append(r.handed, write.Record)
	}
	r.options.Log.Log(eventlog.SlotWrite, "slot", write.Record.Slot, "epoch", write.Record.Epoch,
		"kind", write.Kind, "owner", write.Record.Owner.VM, "result", resultNames[result])
}

// runPromise asks a peer for a promise or for a relayed renewal.
func (r *Runner) runPromise(ctx context.Context, action ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Config.ContactLoss)
	defer cancel()
	sent := r.now()
	switch a := action.(type) {
	case ownership.RequestPromise:
		r.askPromise(ctx, a, sent)
	case ownership.RelayRenewal:
		err := r.options.Peers.RelayRenewal(ctx, a.VM, a.Lease)
		result := ownership.ResultUnknown
		if err == nil || errors.Is(err, kv.ErrLeaseExpired) {
			result = resultOf(err)
		}
		r.mu.Lock()
		r.machine.LeaseRenewed(a.Lease, sent, r.now(), result)
		r.mu.Unlock()
		r.options.Log.Log(eventlog.SlotRelay, "peer", a.VM, "result", resultNames[result])
	}
}

func (r *Runner) askPromise(ctx context.Context, ask ownership.RequestPromise, sent time.Time) {
	reply, err := r.options.Peers.RequestPromise(ctx, ask)
	r.mu.Lock()
	var next []ownership.Action
	switch {
	case errors.Is(err, ErrRefused):
		r.machine.PromiseRefused(ask, sent, r.now())
	case err == nil:
		next = r.machine.PromiseAnswered(ask, sent, r.now(), reply.Granted, reply.ContactAge)
	}
	r.mu.Unlock()
	for _, action := range next {
		r.dispatch(ctx, action)
	}
}

// runReport tells the holder and the log of slots that changed hands.
func (r *Runner) runReport(_ context.Context, action ownership.Action) {
	switch a := action.(type) {
	case ownership.StartUsing:
		r.options.Log.Log(eventlog.SlotStarted, "slot", a.Slot, "epoch", a.Epoch)
		r.options.SlotHandler.SlotAcquired(a.Slot, a.Epoch)
	case ownership.StopUsing:
		r.options.Log.Log(eventlog.SlotStopped, "slot", a.Slot, "epoch", a.Epoch, "reason", a.Reason)
		r.options.SlotHandler.SlotLost(a.Slot, a.Epoch)
	case ownership.Extended:
		r.options.Log.Log(eventlog.SlotExtended, "slot", a.Slot, "epoch", a.Epoch,
			"until_ms", a.Until.Sub(r.now()).Milliseconds())
	}
}
