package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/kv"
)

// leadership is the part of a leaseManager's state that concerns the leader. The
// leaseManager's mutex protects it.
type leadership struct {
	// fencingToken is the revision of the leader's key; 0 while this process is
	// not the leader.
	fencingToken uint64
	// heldUntil is the time, on the boot clock, until which another process may
	// still act as the leader.
	heldUntil time.Duration
}

// holdUntil keeps this process from acting as the leader until the given time on
// the boot clock.
func (l *leadership) holdUntil(until time.Duration) {
	l.heldUntil = max(l.heldUntil, until)
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

// campaign claims the leadership under the given lease if there is no leader,
// and updates this process's state when it has gained or lost the leadership.
func (m *leaseManager) campaign(ctx context.Context, lease kv.LeaseID) error {
	leader, revision, loaded := m.entry.members.currentLeader()
	if !loaded {
		return nil
	}
	if leader.Boot == m.entry.bootID && leader.Lease == lease {
		m.becomeLeader(lease, revision)
		return nil
	}
	if leader.VM != "" && leader.VM != m.entry.settings.VM {
		m.mu.Lock()
		m.resign("another process leads")
		m.mu.Unlock()
		return nil
	}
	if revision == 0 && m.entry.members.yieldsLeadership() {
		return nil
	}
	// There is no leader, or the record is unreadable, of an earlier process on
	// this VM or bound to an earlier lease.
	value, err := json.Marshal(leaderRecord{VM: m.entry.settings.VM, Boot: m.entry.bootID, Lease: lease})
	if err != nil {
		return errors.Trace(err)
	}
	fencingToken, err := m.entry.platform.Store.CompareAndSwap(ctx, kv.Put{
		Key: m.entry.platform.Keys.LeaderKey, Value: value, ExpectRevision: revision, Lease: lease,
	})
	switch {
	case err == nil:
		m.becomeLeader(lease, fencingToken)
		return nil
	case errors.Is(err, kv.ErrConflict):
		return nil
	case errors.Is(err, kv.ErrLeaseExpired):
		m.handleLeaseLoss(lease, err)
		return errors.Trace(err)
	default:
		return errors.Annotate(err, "claiming the leadership")
	}
}

// becomeLeader records the leadership under a lease, unless the lease has been
// dropped meanwhile.
func (m *leaseManager) becomeLeader(lease kv.LeaseID, fencingToken uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lease != lease || m.leadership.fencingToken == fencingToken {
		return
	}
	m.leadership.fencingToken = fencingToken
	m.entry.log.Log(eventlog.LeaderGained, "fence", fencingToken)
}

// resign ends the leadership. The caller must hold m.mu.
func (m *leaseManager) resign(reason string) {
	if m.leadership.fencingToken == 0 {
		return
	}
	m.entry.log.Log(eventlog.LeaderLost, "fence", m.leadership.fencingToken, "reason", reason)
	m.leadership.fencingToken = 0
}

// leaderFencingToken returns the fencing token if this process is the leader,
// its lease is certain to be valid and no earlier leader can still act.
func (m *leaseManager) leaderFencingToken() (uint64, bool) {
	token, remaining := m.leaderClaim()
	return token, remaining > 0
}

// leaderClaim returns the fencing token and the time for which the leadership is
// certain to last without a renewal; 0 if this process must not act as the
// leader.
func (m *leaseManager) leaderClaim() (fencingToken uint64, remaining time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := bootClock()
	if m.leadership.fencingToken == 0 || now < m.leadership.heldUntil || now >= m.validUntil {
		return 0, 0
	}
	return m.leadership.fencingToken, m.validUntil - now
}

// handlePeerClaim handles a peer's message that it acts as the leader for at
// least the given time. The process with the older fencing token yields to the
// one with the newer token, which sends no orders until that time has passed.
func (m *leaseManager) handlePeerClaim(fencingToken uint64, remaining time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.fencingToken != 0 && fencingToken > m.leadership.fencingToken {
		m.resign("a peer has a newer fencing token")
		return
	}
	m.leadership.holdUntil(bootClock() + min(remaining, m.entry.settings.LeaseTTL))
}

// handleFencing ends the leadership after an engine has rejected the given
// fencing token because it has already accepted an order with a newer one.
func (m *leaseManager) handleFencing(fencingToken uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leadership.fencingToken == fencingToken {
		m.resign("fenced by an engine")
	}
}
