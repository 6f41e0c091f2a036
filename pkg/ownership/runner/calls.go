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

// resultOf maps an error from the key-value service to a Result.
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

// resultNames maps each Result to its name in the log.
var resultNames = map[ownership.Result]string{
	ownership.ResultOK:      "ok",
	ownership.ResultRefused: "refused",
	ownership.ResultNotSent: "not_sent",
	ownership.ResultUnknown: "unknown",
}

// executeLeaseAction executes OpenLease or RenewLease.
func (r *Runner) executeLeaseAction(ctx context.Context, action ownership.Action) {
	sent := r.now()
	if renew, ok := action.(ownership.RenewLease); ok {
		r.handleLeaseRenewed(renew.Lease, sent, r.options.Store.Renew(ctx, renew.Lease))
		return
	}
	lease, err := r.openLease(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.HandleLeaseOpened(lease, sent, r.now(), resultOf(err))
	if err == nil {
		r.options.Log.Log(eventlog.SlotLease, "lease", lease, "state", "opened")
	}
}

// openLease obtains a lease and writes the process's key, attached to that
// lease. If the write is not confirmed, the lease is abandoned and expires.
func (r *Runner) openLease(ctx context.Context) (kv.LeaseID, error) {
	lease, err := r.options.Store.Grant(ctx, r.options.Config.LeaseTTL)
	if err != nil {
		return "", err
	}
	self := ownership.Process{VM: r.options.Self.VM, BootID: r.options.Self.BootID}
	value, err := json.Marshal(ownership.ProcessLease{Owner: self, Address: r.options.Self.Address, Lease: lease})
	if err != nil {
		return "", errors.Trace(err)
	}
	_, err = platform.CompareAndSwapConfirmed(ctx, r.options.Store, kv.Put{
		Key: ownership.ProcessLeaseKey(self, lease), Value: value, Lease: lease,
	})
	return lease, err
}

func (r *Runner) handleLeaseRenewed(lease kv.LeaseID, sent time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	result := resultOf(err)
	if result == ownership.ResultOK || result == ownership.ResultRefused {
		r.machine.ObserveContact(now)
	}
	r.machine.HandleLeaseRenewed(lease, sent, now, result)
	if result == ownership.ResultRefused {
		r.options.Log.Log(eventlog.SlotLease, "lease", lease, "state", "lapsed")
	}
}

// executeWrite executes WriteRecord. Records of completed hand-overs are queued
// for HandOverAll, which then sends the levels of their slots.
func (r *Runner) executeWrite(ctx context.Context, write ownership.WriteRecord) {
	revision, err := platform.CompareAndSwapConfirmed(ctx, r.options.Store, kv.Put{
		Key: ownership.SlotKey(write.Record.Slot), Value: write.Record.Encode(),
		ExpectRevision: write.ExpectRevision,
	})
	result := resultOf(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machine.HandleRecordWritten(write, revision, r.now(), result)
	if result == ownership.ResultOK && write.Kind == ownership.WriteHandOver {
		write.Record.Revision = revision
		r.handedOver = append(r.handedOver, write.Record)
	}
	r.options.Log.Log(eventlog.SlotWrite, "slot", write.Record.Slot, "epoch", write.Record.Epoch,
		"kind", write.Kind, "owner", write.Record.Owner.VM, "result", resultNames[result])
}

// executePeerAction executes RequestPromise or RelayRenewal.
func (r *Runner) executePeerAction(ctx context.Context, action ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, r.options.Config.ContactLossTimeout)
	defer cancel()
	sent := r.now()
	switch a := action.(type) {
	case ownership.RequestPromise:
		r.requestPromise(ctx, a, sent)
	case ownership.RelayRenewal:
		err := r.options.Peers.RelayRenewal(ctx, a.VM, a.Lease)
		result := ownership.ResultUnknown
		if err == nil || errors.Is(err, kv.ErrLeaseExpired) {
			result = resultOf(err)
		}
		r.mu.Lock()
		r.machine.HandleLeaseRenewed(a.Lease, sent, r.now(), result)
		r.mu.Unlock()
		r.options.Log.Log(eventlog.SlotRelay, "peer", a.VM, "result", resultNames[result])
	}
}

func (r *Runner) requestPromise(ctx context.Context, request ownership.RequestPromise, sent time.Time) {
	reply, err := r.options.Peers.RequestPromise(ctx, request)
	r.mu.Lock()
	var followUps []ownership.Action
	switch {
	case errors.Is(err, ErrRefused):
		r.machine.HandlePromiseConnRefused(request, sent, r.now())
	case err == nil:
		followUps = r.machine.HandlePromiseReply(request, sent, r.now(), reply.Granted, reply.ContactAge)
	}
	r.mu.Unlock()
	for _, action := range followUps {
		r.dispatch(ctx, action)
	}
}

// executeReport passes a report to the SlotHandler and the log.
func (r *Runner) executeReport(_ context.Context, action ownership.Action) {
	switch a := action.(type) {
	case ownership.SlotAcquired:
		r.options.Log.Log(eventlog.SlotStarted, "slot", a.Slot, "epoch", a.Epoch)
		r.options.SlotHandler.SlotAcquired(a.Slot, a.Epoch)
	case ownership.SlotLost:
		r.options.Log.Log(eventlog.SlotStopped, "slot", a.Slot, "epoch", a.Epoch, "reason", a.Reason)
		r.options.SlotHandler.SlotLost(a.Slot, a.Epoch)
	case ownership.HoldExtended:
		r.options.Log.Log(eventlog.SlotExtended, "slot", a.Slot, "epoch", a.Epoch,
			"until_ms", a.Until.Sub(r.now()).Milliseconds())
	}
}
