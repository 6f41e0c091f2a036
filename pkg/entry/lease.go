package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

const (
	// renewalsPerLease is the number of renewals within a lease's time to live.
	renewalsPerLease = 4
	// leaseMarginDivisor determines the safety margin at the end of a lease,
	// during which the holder treats the lease as expired: the lease's time to
	// live divided by leaseMarginDivisor.
	leaseMarginDivisor = 6
	// campaignJitter is the maximum random delay before a campaign; it keeps the
	// candidates from writing at the same time.
	campaignJitter = 150 * time.Millisecond
	// releaseTimeout bounds the revocation of the lease on a stop.
	releaseTimeout = 500 * time.Millisecond
)

// leaseManager maintains the process's lease in the store and the two keys
// bound to it: the process's record and, if it is elected, the leader's key.
type leaseManager struct {
	entry *Entry

	mu    sync.Mutex
	lease kv.LeaseID
	// validUntil is the time, on the boot clock, up to which the lease is certain
	// to be valid.
	validUntil time.Duration
	registered bool
	leadership leadership
	released   bool
}

func newLeaseManager(entry *Entry) *leaseManager {
	m := &leaseManager{entry: entry}
	entry.platform.Eras.OnRestore(m.handleRestore)
	return m
}

// run maintains the lease and the leadership until ctx is cancelled.
func (m *leaseManager) run(ctx context.Context) {
	interval := m.entry.settings.LeaseTTL / renewalsPerLease
	for ctx.Err() == nil {
		if err := m.refresh(ctx); err != nil && ctx.Err() == nil {
			m.entry.log.Log(eventlog.DutyFailed, "duty", "lease", "err", err)
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-m.entry.members.updated:
			clock.Sleep(ctx, rand.N(campaignJitter))
		}
		timer.Stop()
	}
}

// refresh grants or renews the lease, writes the process's record if it is
// missing, and campaigns for the leadership.
func (m *leaseManager) refresh(ctx context.Context) error {
	if err := m.grantOrRenew(ctx); err != nil {
		return errors.Trace(err)
	}
	lease, registered := m.currentLease()
	if lease == "" {
		return nil
	}
	if !registered {
		if err := m.register(ctx, lease); err != nil {
			return errors.Trace(err)
		}
	}
	return errors.Trace(m.campaign(ctx, lease))
}

func (m *leaseManager) grantOrRenew(ctx context.Context) error {
	if m.isReleased() {
		return nil
	}
	lease, _ := m.currentLease()
	if lease == "" {
		return m.grant(ctx)
	}
	startedAt := bootClock()
	err := m.entry.platform.Store.Renew(ctx, lease)
	switch {
	case err == nil:
		m.extend(lease, startedAt)
		return nil
	case errors.Is(err, kv.ErrLeaseExpired):
		m.handleLeaseLoss(lease, err)
		return m.grant(ctx)
	default:
		return errors.Annotate(err, "renewing the lease")
	}
}

// grant requests a new lease. If the process has begun to stop meanwhile, it
// revokes the lease again, since nothing would renew it.
func (m *leaseManager) grant(ctx context.Context) error {
	startedAt := bootClock()
	lease, err := m.entry.platform.Store.Grant(ctx, m.entry.settings.LeaseTTL)
	if err != nil {
		return errors.Annotate(err, "granting a lease")
	}
	if !m.adopt(lease, startedAt) {
		m.revoke(lease)
	}
	return nil
}

// adopt makes a granted lease the current one, unless the process is stopping.
func (m *leaseManager) adopt(lease kv.LeaseID, startedAt time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.released {
		return false
	}
	m.lease, m.validUntil, m.registered = lease, startedAt+m.usableTTL(), false
	return true
}

// extend records a renewal that was sent at startedAt.
func (m *leaseManager) extend(lease kv.LeaseID, startedAt time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease == lease {
		m.validUntil = startedAt + m.usableTTL()
	}
}

// usableTTL returns the lease's time to live without the safety margin.
func (m *leaseManager) usableTTL() time.Duration {
	ttl := m.entry.settings.LeaseTTL
	return ttl - ttl/leaseMarginDivisor
}

// handleLeaseLoss drops a lease that the store no longer has.
func (m *leaseManager) handleLeaseLoss(lease kv.LeaseID, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease {
		return
	}
	m.entry.log.Log(eventlog.LeaseLost, "err", err)
	m.dropLease("lease expired")
}

// dropLease forgets the lease and ends the leadership. The caller must hold
// m.mu.
func (m *leaseManager) dropLease(reason string) {
	m.lease, m.validUntil, m.registered = "", 0, false
	m.resign(reason)
}

// handleRestore drops the lease after the store was restored from an older copy:
// the store may not have it, or may have assigned its number to another process.
// A leader from before the restore may send orders until its lease would have
// expired, so this process sends none until then.
func (m *leaseManager) handleRestore(era, previous uint64) {
	m.entry.log.Log(eventlog.StoreRestored, "era", era, "was", previous)
	m.mu.Lock()
	m.dropLease("the store was restored from an older copy")
	m.leadership.holdUntil(bootClock() + m.entry.settings.LeaseTTL)
	m.mu.Unlock()
	m.entry.directory.RegistryRestored(m.entry.uptime())
	m.entry.members.signalUpdate()
}

// register writes the process's record under the given lease.
func (m *leaseManager) register(ctx context.Context, lease kv.LeaseID) error {
	err := m.writeOwnKey(ctx, m.entry.platform.Keys.RoutersPrefix+m.entry.settings.VM, m.entry.members.ownRecord(), lease)
	if err != nil {
		return errors.Annotate(err, "writing the process's record")
	}
	m.mu.Lock()
	m.registered = m.lease == lease
	m.mu.Unlock()
	return nil
}

// writeOwnKey replaces the value of a key that only this VM writes.
func (m *leaseManager) writeOwnKey(ctx context.Context, key string, record any, lease kv.LeaseID) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	// Usually there is no value yet.
	put := kv.Put{Key: key, Value: value, Lease: lease}
	_, err = m.entry.platform.Store.CompareAndSwap(ctx, put)
	if !errors.Is(err, kv.ErrConflict) {
		return errors.Trace(err)
	}
	old, err := m.entry.platform.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Trace(err)
	}
	put.ExpectRevision = old.Revision
	_, err = m.entry.platform.Store.CompareAndSwap(ctx, put)
	return errors.Trace(err)
}

// currentLease returns the lease, which is empty while there is none, and
// whether the process's record has been written under it.
func (m *leaseManager) currentLease() (lease kv.LeaseID, registered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease, m.registered
}

func (m *leaseManager) isReleased() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released
}

// release resigns the leadership and revokes the lease, which deletes the
// process's record. It is called on a stop.
func (m *leaseManager) release() {
	m.mu.Lock()
	lease := m.lease
	m.dropLease("stopping")
	m.released = true
	m.mu.Unlock()
	if lease != "" {
		m.revoke(lease)
	}
}

func (m *leaseManager) revoke(lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.entry.platform.Store.Revoke(ctx, lease); err != nil {
		m.entry.log.Log(eventlog.DutyFailed, "duty", "release", "err", err)
	}
}
