package entry

import (
	"context"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/balance"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
)

const (
	// drainReportTTL is the time for which the leader relies on a peer's report
	// of its load on the engines in turn.
	drainReportTTL = 2 * time.Second
	// minDrainReportInterval is the minimum interval between two such reports; it
	// batches requests that end together.
	minDrainReportInterval = 5 * time.Millisecond
)

// drainTable holds, on the leader, the load that each peer reports for the
// engines that are about to change their weights. A peer reports when it learns
// that an engine with requests of its own is cordoned, and when these requests
// have got their first byte or have ended; a peer without a report has none.
type drainTable struct {
	mu      sync.Mutex
	reports map[string]drainReport
}

type drainReport struct {
	receivedAt time.Duration
	loads      map[balance.TargetKey]balance.TargetLoad
}

func newDrainTable() *drainTable {
	return &drainTable{reports: map[string]drainReport{}}
}

// record replaces a peer's report.
func (t *drainTable) record(now time.Duration, peer string, loads map[balance.TargetKey]balance.TargetLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[peer] = drainReport{receivedAt: now, loads: loads}
}

// load returns the load on an engine over all peers.
func (t *drainTable) load(now time.Duration, boot fleet.Boot) balance.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := balance.KeyOf(boot.ID)
	var sum balance.TargetLoad
	for peer, report := range t.reports {
		if now-report.receivedAt > drainReportTTL {
			delete(t.reports, peer)
			continue
		}
		sum.InFlight += report.loads[key].InFlight
		sum.Pending += report.loads[key].Pending
	}
	return sum
}

// drainReporter reports to the leader this process's load on the engines that are
// about to change their weights.
type drainReporter struct {
	entry     *Entry
	requested chan struct{}
}

func newDrainReporter(entry *Entry) *drainReporter {
	return &drainReporter{entry: entry, requested: make(chan struct{}, 1)}
}

// request sends a report soon. It does not block.
func (d *drainReporter) request() {
	select {
	case d.requested <- struct{}{}:
	default:
	}
}

func (d *drainReporter) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.requested:
		}
		d.send()
		timer := time.NewTimer(minDrainReportInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func (d *drainReporter) send() {
	leader, ok := d.entry.members.leaderAddress()
	if !ok {
		return
	}
	d.entry.gossip.Send(gossip.Message{
		Sender: d.entry.settings.VM, BootID: d.entry.bootID, Partial: true, DrainReport: true,
		TargetLoads: d.entry.balancer.DrainingLoads(d.entry.uptime()),
	}, leader)
}
