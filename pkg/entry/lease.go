package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

const (
	// renewalsPerLease is how often a lease is renewed within its time.
	renewalsPerLease = 4
	// leaseMarginShare is the part of a lease that its holder leaves unused.
	leaseMarginShare = 6
	// campaignJitter spreads the processes that want to lead.
	campaignJitter = 150 * time.Millisecond
	// releaseTimeout bounds giving up the lease on a stop.
	releaseTimeout = 500 * time.Millisecond
)

// leaseKeeper holds the process's lease in the store, the process's record, and
// the leadership, both under the lease.
type leaseKeeper struct {
	e *Entry

	mu    sync.Mutex
	lease kv.LeaseID
	// until is when the lease may end, on bootTime's clock.
	until      time.Duration
	registered bool
	// fence is the revision of the leader's key; 0 while not leading.
	fence    uint64
	released bool
}

func newLeaseKeeper(e *Entry) *leaseKeeper {
	return &leaseKeeper{e: e}
}

// bootTime is a monotonic clock that goes on while the machine is suspended, so
// that a process that was suspended past its lease knows.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Annotate(err, "reading the boot clock"))
	}
	return time.Duration(ts.Nano())
}

// run keeps the lease until ctx ends.
func (k *leaseKeeper) run(ctx context.Context) {
	every := k.e.settings.LeaseTTL / renewalsPerLease
	for ctx.Err() == nil {
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.e.log.Log(eventlog.DutyFailed, "duty", "lease", "err", err)
		}
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.e.members.changed:
			clock.Sleep(ctx, rand.N(campaignJitter))
		}
		timer.Stop()
	}
}

// step grants or renews the lease, then writes what is missing under it.
func (k *leaseKeeper) step(ctx context.Context) error {
	if k.isReleased() {
		return nil
	}
	if err := k.keep(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := k.register(ctx); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(k.campaign(ctx))
}

func (k *leaseKeeper) keep(ctx context.Context) error {
	lease := k.current()
	began := bootTime()
	if lease == "" {
		granted, err := k.e.platform.Store.Grant(ctx, k.e.settings.LeaseTTL)
		if err != nil {
			return errors.Annotate(err, "granting a lease")
		}
		k.mu.Lock()
		k.lease, k.until, k.registered = granted, began+k.usable(), false
		k.mu.Unlock()
		return nil
	}
	err := k.e.platform.Store.Renew(ctx, lease)
	switch {
	case err == nil:
		k.mu.Lock()
		k.until = began + k.usable()
		k.mu.Unlock()
		return nil
	case errors.Is(err, kv.ErrLeaseExpired):
		k.lost(err)
		return errors.Annotate(err, "renewing the lease")
	default:
		return errors.Annotate(err, "renewing the lease")
	}
}

// usable is the part of the lease's time that its holder relies on.
func (k *leaseKeeper) usable() time.Duration {
	ttl := k.e.settings.LeaseTTL
	return ttl - ttl/leaseMarginShare
}

func (k *leaseKeeper) lost(err error) {
	k.e.log.Log(eventlog.LeaseLost, "err", err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease, k.until, k.registered = "", 0, false
	k.resign("lease expired")
}

// resign ends the leadership; the caller holds the mutex.
func (k *leaseKeeper) resign(reason string) {
	if k.fence == 0 {
		return
	}
	k.e.log.Log(eventlog.LeaderLost, "fence", k.fence, "reason", reason)
	k.fence = 0
}

// register writes the process's record.
func (k *leaseKeeper) register(ctx context.Context) error {
	k.mu.Lock()
	lease, registered := k.lease, k.registered
	k.mu.Unlock()
	if registered {
		return nil
	}
	err := k.write(ctx, k.e.platform.Keys.RoutersPrefix+k.e.settings.VM, k.e.members.self(), lease)
	if err != nil {
		return errors.Annotate(err, "writing the process's record")
	}
	k.mu.Lock()
	k.registered = true
	k.mu.Unlock()
	return nil
}

// write replaces a key of this VM alone.
func (k *leaseKeeper) write(ctx context.Context, key string, record any, lease kv.LeaseID) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	old, err := k.e.platform.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Trace(err)
	}
	_, err = k.e.platform.Store.CompareAndSwap(ctx, kv.Put{Key: key, Value: value, ExpectRevision: old.Revision, Lease: lease})
	return errors.Trace(err)
}

// campaign takes the leadership when nobody has it, and notices when it was
// gained or lost.
func (k *leaseKeeper) campaign(ctx context.Context) error {
	leader, revision, known := k.e.members.currentLeader()
	if !known {
		return nil
	}
	if revision != 0 && leader.Boot == k.e.boot {
		k.gain(revision)
		return nil
	}
	if revision != 0 && leader.VM != k.e.settings.VM {
		k.mu.Lock()
		k.resign("another process leads")
		k.mu.Unlock()
		return nil
	}
	// Nobody leads, or the record is of this machine's process before.
	value, err := json.Marshal(leaderRecord{VM: k.e.settings.VM, Boot: k.e.boot})
	if err != nil {
		return errors.Trace(err)
	}
	fence, err := k.e.platform.Store.CompareAndSwap(ctx, kv.Put{
		Key: k.e.platform.Keys.LeaderKey, Value: value, ExpectRevision: revision, Lease: k.current(),
	})
	switch {
	case err == nil:
		k.gain(fence)
		return nil
	case errors.Is(err, kv.ErrConflict):
		return nil
	case errors.Is(err, kv.ErrLeaseExpired):
		k.lost(err)
		return errors.Trace(err)
	default:
		return errors.Annotate(err, "taking the leadership")
	}
}

func (k *leaseKeeper) gain(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == fence || k.released {
		return
	}
	k.fence = fence
	k.e.log.Log(eventlog.LeaderGained, "fence", fence)
}

func (k *leaseKeeper) current() kv.LeaseID {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease
}

func (k *leaseKeeper) isReleased() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.released
}

// leading returns the fencing token while this process surely holds the lease.
func (k *leaseKeeper) leading() (uint64, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == 0 || bootTime() >= k.until {
		return 0, false
	}
	return k.fence, true
}

// fenced notes that a newer holder has given orders.
func (k *leaseKeeper) fenced(fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fence == fence {
		k.resign("fenced by an engine")
	}
}

// release gives up the leadership and the record, on a stop.
func (k *leaseKeeper) release() {
	k.mu.Lock()
	lease := k.lease
	k.resign("stopping")
	k.released, k.lease, k.until = true, "", 0
	k.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := k.e.platform.Store.Revoke(ctx, lease); err != nil {
		k.e.log.Log(eventlog.DutyFailed, "duty", "release", "err", err)
	}
}
