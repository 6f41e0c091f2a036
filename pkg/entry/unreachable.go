package entry

import (
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// unreachableRelayTTL is the time for which a hub passes on a report that a
// target is unreachable.
const unreachableRelayTTL = 300 * time.Millisecond

// unreachableReports holds the latest reports of the own group's processes that
// they failed to reach a target, for the other groups.
type unreachableReports struct {
	mu         sync.Mutex
	reportedAt map[fleet.Boot]time.Duration
}

func newUnreachableReports() *unreachableReports {
	return &unreachableReports{reportedAt: map[fleet.Boot]time.Duration{}}
}

// record records a report of a process of the own group.
func (r *unreachableReports) record(now time.Duration, boots []fleet.Boot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, boot := range boots {
		r.reportedAt[boot] = now
	}
}

// recent returns the targets that were reported within unreachableRelayTTL, and
// forgets the others.
func (r *unreachableReports) recent(now time.Duration) []fleet.Boot {
	r.mu.Lock()
	defer r.mu.Unlock()
	var boots []fleet.Boot
	for boot, at := range r.reportedAt {
		if now-at > unreachableRelayTTL {
			delete(r.reportedAt, boot)
			continue
		}
		boots = append(boots, boot)
	}
	return boots
}
