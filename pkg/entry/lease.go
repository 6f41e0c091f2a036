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
	// validUntil is the time, on bootClock, up to which the lease is certain to
	// be valid.
	validUntil time.Duration
	registered bool
	// fencingToken is the revision of the leader's key; 0 while this process is
	// not the leader.
	fencingToken uint64
	released     bool
}

func newLeaseManager(entry *Entry) *leaseManager {
	return &leaseManager{entry: entry}
}

// bootClock returns the time of a monotonic clock that includes suspension of
// the machine, so that a process suspended beyond its lease detects the expiry.
func bootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(errors.Annotate(err, "reading the boot clock"))
	}
	return time.Duration(ts.Nano())
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
	if m.isReleased() {
		return nil
	}
	if err := m.grantOrRenew(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := m.register(ctx); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(m.campaign(ctx))
}

func (m *leaseManager) grantOrRenew(ctx context.Context) error {
	lease := m.currentLease()
	startedAt := bootClock()
	if lease == "" {
		granted, err := m.entry.platform.Store.Grant(ctx, m.entry.settings.LeaseTTL)
		if err != nil {
			return errors.Annotate(err, "granting a lease")
		}
		m.mu.Lock()
		m.lease, m.validUntil, m.registered = granted, startedAt+m.usableTTL(), false
		m.mu.Unlock()
		return nil
	}
	err := m.entry.platform.Store.Renew(ctx, lease)
	switch {
	case err == nil:
		m.mu.Lock()
		m.validUntil = startedAt + m.usableTTL()
		m.mu.Unlock()
		return nil
	case errors.Is(err, kv.ErrLeaseExpired):
		m.handleLeaseLoss(err)
		return errors.Annotate(err, "renewing the lease")
	default:
		return errors.Annotate(err, "renewing the lease")
	}
}

// usableTTL returns the lease's time to live without the safety margin.
func (m *leaseManager) usableTTL() time.Duration {
	ttl := m.entry.settings.LeaseTTL
	return ttl - ttl/leaseMarginDivisor
}

func (m *leaseManager) handleLeaseLoss(err error) {
	m.entry.log.Log(eventlog.LeaseLost, "err", err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease, m.validUntil, m.registered = "", 0, false
	m.resign("lease expired")
}

// resign ends the leadership. The caller must hold m.mu.
func (m *leaseManager) resign(reason string) {
	if m.fencingToken == 0 {
		return
	}
	m.entry.log.Log(eventlog.LeaderLost, "fence", m.fencingToken, "reason", reason)
	m.fencingToken = 0
}

// register writes the process's record unless it exists under the current
// lease.
func (m *leaseManager) register(ctx context.Context) error {
	m.mu.Lock()
	lease, registered := m.lease, m.registered
	m.mu.Unlock()
	if registered {
		return nil
	}
	err := m.writeOwnKey(ctx, m.entry.platform.Keys.RoutersPrefix+m.entry.settings.VM, m.entry.members.ownRecord(), lease)
	if err != nil {
		return errors.Annotate(err, "writing the process's record")
	}
	m.mu.Lock()
	m.registered = true
	m.mu.Unlock()
	return nil
}

// writeOwnKey replaces the value of a key that only this VM writes.
func (m *leaseManager) writeOwnKey(ctx context.Context, key string, record any, lease kv.LeaseID) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Trace(err)
	}
	old, err := m.entry.platform.Store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return errors.Trace(err)
	}
	_, err = m.entry.platform.Store.CompareAndSwap(ctx, kv.Put{Key: key, Value: value, ExpectRevision: old.Revision, Lease: lease})
	return errors.Trace(err)
}

// campaign claims the leadership if there is no leader, and updates this
// process's state when it has gained or lost the leadership.
func (m *leaseManager) campaign(ctx context.Context) error {
	leader, revision, loaded := m.entry.members.currentLeader()
	if !loaded {
		return nil
	}
	if revision != 0 && leader.Boot == m.entry.bootID {
		m.becomeLeader(revision)
		return nil
	}
	if revision != 0 && leader.VM != m.entry.settings.VM {
		m.mu.Lock()
		m.resign("another process leads")
		m.mu.Unlock()
		return nil
	}
	// There is no leader, or the record is of an earlier process on this VM.
	value, err := json.Marshal(leaderRecord{VM: m.entry.settings.VM, Boot: m.entry.bootID})
	if err != nil {
		return errors.Trace(err)
	}
	fencingToken, err := m.entry.platform.Store.CompareAndSwap(ctx, kv.Put{
		Key: m.entry.platform.Keys.LeaderKey, Value: value, ExpectRevision: revision, Lease: m.currentLease(),
	})
	switch {
	case err == nil:
		m.becomeLeader(fencingToken)
		return nil
	case errors.Is(err, kv.ErrConflict):
		return nil
	case errors.Is(err, kv.ErrLeaseExpired):
		m.handleLeaseLoss(err)
		return errors.Trace(err)
	default:
		return errors.Annotate(err, "claiming the leadership")
	}
}

func (m *leaseManager) becomeLeader(fencingToken uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fencingToken == fencingToken || m.released {
		return
	}
	m.fencingToken = fencingToken
	m.entry.log.Log(eventlog.LeaderGained, "fence", fencingToken)
}

func (m *leaseManager) currentLease() kv.LeaseID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lease
}

func (m *leaseManager) isReleased() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.released
}

// leaderFencingToken returns the fencing token if this process is the leader
// and its lease is certain to be valid.
func (m *leaseManager) leaderFencingToken() (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fencingToken == 0 || bootClock() >= m.validUntil {
		return 0, false
	}
	return m.fencingToken, true
}

// handleFencing ends the leadership after an engine has rejected the given
// fencing token because it has already accepted an order with a newer one.
func (m *leaseManager) handleFencing(fencingToken uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fencingToken == fencingToken {
		m.resign("fenced by an engine")
	}
}

// release resigns the leadership and revokes the lease, which deletes the
// process's record. It is called on a stop.
func (m *leaseManager) release() {
	m.mu.Lock()
	lease := m.lease
	m.resign("stopping")
	m.released, m.lease, m.validUntil = true, "", 0
	m.mu.Unlock()
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := m.entry.platform.Store.Revoke(ctx, lease); err != nil {
		m.entry.log.Log(eventlog.DutyFailed, "duty", "release", "err", err)
	}
}
