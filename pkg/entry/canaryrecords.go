package entry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/canary"
	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

const (
	// recordInterval is the interval in which the leader compares the rollouts with the store's
	// records.
	recordInterval = 50 * time.Millisecond
	// recordRetryDelay is the delay after a failed call.
	recordRetryDelay = 150 * time.Millisecond
	// recordReadDelay is the time for which a process without an old target to send requests to
	// waits for its peers to tell it whether the rollout is complete. After that it reads the
	// record itself, at most once in recordReadInterval.
	recordReadDelay    = 300 * time.Millisecond
	recordReadInterval = 2 * time.Second
)

// recordClaim identifies a leadership and an era of the store. What a leader knows of a record is
// no longer valid in another one.
type recordClaim struct {
	fencingToken, era uint64
}

// requestRecords makes the leader compare the records soon.
func (k *canaryKeeper) requestRecords() {
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// runRecords writes the states of the rollouts to the store while this process leads, until ctx is
// cancelled.
func (k *canaryKeeper) runRecords(ctx context.Context) {
	if k == nil {
		return
	}
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		case <-ticker.C:
		}
		for _, r := range k.latest() {
			if err := k.updateRecord(ctx, r); err != nil && ctx.Err() == nil {
				k.entry.log.Log(eventlog.DutyFailed, "duty", "rollout", "err", err)
				clock.Sleep(ctx, recordRetryDelay)
			}
		}
	}
}

func (k *canaryKeeper) latest() []*serviceRollout {
	k.mu.Lock()
	defer k.mu.Unlock()
	rollouts := make([]*serviceRollout, 0, len(k.byService))
	for _, r := range k.byService {
		rollouts = append(rollouts, r)
	}
	return rollouts
}

// updateRecord makes at most one read and one write of a rollout's record.
func (k *canaryKeeper) updateRecord(ctx context.Context, r *serviceRollout) error {
	fencingToken, isLeader := k.entry.lease.leaderFencingToken()
	if !isLeader {
		return k.readIfStranded(ctx, r)
	}
	claim := recordClaim{fencingToken: fencingToken, era: k.entry.platform.Eras.Current()}
	k.mu.Lock()
	isKnown := r.recordClaim == claim
	k.mu.Unlock()
	if !isKnown {
		if err := k.readRecord(ctx, r, claim); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(k.writeRecord(ctx, r, claim))
}

// recordKey returns the key of a rollout's record.
func (k *canaryKeeper) recordKey(order *canary.Order) string {
	return k.entry.platform.Keys.RolloutStatusPrefix + order.Service
}

// readRecord reads a rollout's record and applies it.
func (k *canaryKeeper) readRecord(ctx context.Context, r *serviceRollout, claim recordClaim) error {
	order := k.orderOf(r)
	entry, err := k.entry.platform.Store.Get(ctx, k.recordKey(&order))
	var record canary.Record
	switch {
	case errors.Is(err, kv.ErrNotFound):
	case err != nil:
		return errors.Annotatef(err, "reading the status of the rollout of %q", order.Service)
	default:
		if record, err = k.entry.platform.DecodeRolloutStatus(entry.Value); err != nil {
			// The next write replaces it.
			k.entry.log.Log(eventlog.DutyFailed, "duty", "rollout", "err", err)
		}
		record.Revision = entry.Revision
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	r.record, r.recordClaim = record, claim
	if r.Adopt(&record) {
		k.handleChange(k.entry.uptime(), r, sourceStore)
	}
	return nil
}

func (k *canaryKeeper) orderOf(r *serviceRollout) canary.Order {
	k.mu.Lock()
	defer k.mu.Unlock()
	return r.Order()
}

// dueRecord returns the record that the leader has to write, with the revision that it replaces.
func (k *canaryKeeper) dueRecord(r *serviceRollout) (record canary.Record, ok bool) {
	processes := k.entry.members.processCount()
	k.mu.Lock()
	defer k.mu.Unlock()
	order := r.Order()
	if k.byService[order.Service] != r {
		// A later order has replaced this one.
		return canary.Record{}, false
	}
	state, ok := r.Due(k.entry.uptime(), &r.record, k.runs.inFlightAtOthers(order.Service, order.Target), processes)
	return canary.Record{State: state, Target: order.Target, Revision: r.record.Revision}, ok
}

// writeRecord writes a rollout's state if the record should be another one. After a failure the
// record is read again: the write may have taken effect, or another leader may have written.
func (k *canaryKeeper) writeRecord(ctx context.Context, r *serviceRollout, claim recordClaim) error {
	record, ok := k.dueRecord(r)
	if !ok {
		return nil
	}
	value, err := k.entry.platform.EncodeRolloutStatus(record)
	if err != nil {
		return errors.Trace(err)
	}
	if fencingToken, isLeader := k.entry.lease.leaderFencingToken(); !isLeader || fencingToken != claim.fencingToken {
		return nil
	}
	order := k.orderOf(r)
	revision, err := k.entry.platform.Store.CompareAndSwap(ctx, kv.Put{Key: k.recordKey(&order), Value: value, ExpectRevision: record.Revision})
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		r.recordClaim = recordClaim{}
		return errors.Annotatef(err, "writing the status of the rollout of %q", order.Service)
	}
	record.Revision = revision
	r.record = record
	k.entry.log.Log(eventlog.RolloutRecorded, "service", order.Service, "target", order.Target, "state", record.State.String(),
		"fence", claim.fencingToken, "revision", revision)
	if record.State == canary.Complete && r.Raise(canary.Complete, "") {
		k.handleChange(k.entry.uptime(), r, sourceSelf)
	}
	return nil
}

// readIfStranded reads the record in a process that doesn't lead if it has no target of an old version
// and nobody has told it whether the rollout is complete. It would refuse all requests.
func (k *canaryKeeper) readIfStranded(ctx context.Context, r *serviceRollout) error {
	now := k.entry.uptime()
	k.mu.Lock()
	state, _ := r.State()
	isDue := state == canary.Unknown && now-r.learnedAt >= recordReadDelay && (r.readAt == 0 || now-r.readAt >= recordReadInterval)
	order, withdrawn := r.Order(), k.withdrawn[r.Order().Service]
	k.mu.Unlock()
	if !isDue || k.hasOldTarget(now, &order, withdrawn) {
		return nil
	}
	k.mu.Lock()
	r.readAt = now
	k.mu.Unlock()
	return errors.Trace(k.readRecord(ctx, r, recordClaim{}))
}

// hasOldTarget reports whether a target is listed of a version that the order replaces.
func (k *canaryKeeper) hasOldTarget(now time.Duration, order *canary.Order, withdrawn map[string]bool) bool {
	return slices.ContainsFunc(k.entry.directory.Targets(now), func(t fleet.Target) bool {
		return t.Service == order.Service && t.SoftwareVersion != order.Target && !withdrawn[t.SoftwareVersion]
	})
}

// hasTarget reports whether a target of the ordered version is listed.
func (k *canaryKeeper) hasTarget(now time.Duration, order *canary.Order) bool {
	return slices.ContainsFunc(k.entry.directory.Targets(now), func(t fleet.Target) bool {
		return t.Service == order.Service && t.SoftwareVersion == order.Target
	})
}

// isProcessName reports whether a sender of counts is a process of the own group, not another group.
func isProcessName(sender string) bool { return !strings.HasPrefix(sender, groupPeerName("")) }
