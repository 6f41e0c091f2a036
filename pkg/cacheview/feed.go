package cacheview

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

const (
	// lostLogInterval is the minimum time between two log lines about lost events.
	lostLogInterval = time.Second
	// staleChecksPerTimeout is the number of staleness checks per
	// FollowerConfig.StaleAfter.
	staleChecksPerTimeout = 10
)

// updateLoop is the state of the goroutine that applies updates to the view.
type updateLoop struct {
	*Follower
	// lastEventAt is the arrival time of the last event or heartbeat with the
	// view's boot number or a higher one.
	lastEventAt time.Time
	// olderBoot is the boot number of the last event or heartbeat since
	// lastEventAt whose boot number is below the view's; 0 if there is none.
	olderBoot uint64
	stale     bool
	// loggedLost is the number of lost events logged so far.
	loggedLost   int
	lostLoggedAt time.Time
}

// applyUpdates applies queued updates to the view until ctx ends.
func (f *Follower) applyUpdates(ctx context.Context) error {
	loop := updateLoop{Follower: f, lastEventAt: time.Now()}
	ticker := time.NewTicker(f.cfg.StaleAfter / staleChecksPerTimeout)
	defer ticker.Stop()
	for {
		select {
		case u := <-f.updates:
			if u.report != nil {
				loop.applyReport(*u.report)
			} else {
				loop.applyEvent(time.Now(), u.event)
			}
		case <-ticker.C:
			loop.checkStaleness(time.Now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (l *updateLoop) applyReport(report engine.LoadReport) {
	viewBoot := l.view.Boot()
	l.view.ApplyReport(report)
	l.logNewBoot(viewBoot)
}

// applyEvent applies a cache event or heartbeat. Events with a boot number below
// the view's are not applied.
func (l *updateLoop) applyEvent(now time.Time, event engine.CacheEvent) {
	viewBoot := l.view.Boot()
	if event.BootID < viewBoot {
		l.olderBoot = event.BootID
		return
	}
	outcome := l.view.ApplyEvent(now, event)
	l.lastEventAt, l.olderBoot = now, 0
	if outcome == Applied || outcome == AppliedAfterGap {
		l.appliedEvents.Inc(1)
	}
	l.logNewBoot(viewBoot)
	l.clearStale()
	l.reportLost(now, event)
}

// logNewBoot logs an engine restart if the view's boot differs from oldBoot.
func (l *updateLoop) logNewBoot(oldBoot uint64) {
	if boot := l.view.Boot(); boot != oldBoot {
		l.log.Log(eventlog.TargetRestarted, "target", l.cfg.Target, "boot", boot)
	}
}

// clearStale marks the event stream as live again and logs the change.
func (l *updateLoop) clearStale() {
	if l.stale {
		l.stale = false
		l.log.Log(eventlog.TargetHeard, "target", l.cfg.Target, "boot", l.view.Boot())
	}
}

// reportLost adds newly lost events to the metric and logs them, at most once
// per lostLogInterval.
func (l *updateLoop) reportLost(now time.Time, event engine.CacheEvent) {
	lost := l.view.Counts().LostEvents - l.loggedLost
	if lost <= 0 || now.Sub(l.lostLoggedAt) < lostLogInterval {
		return
	}
	l.lostEvents.Inc(int64(lost))
	l.loggedLost += lost
	l.lostLoggedAt = now
	l.log.Log(eventlog.TargetEventsLost, "target", l.cfg.Target, "boot", event.BootID, "seq", event.Seq, "lost", lost)
}

// checkStaleness updates the gauges and suspends the view after StaleAfter
// without events. If all messages in that time carry a lower boot number than
// the view's, the engine has restarted with a lower number; the view is then
// reset to that boot instead.
func (l *updateLoop) checkStaleness(now time.Time) {
	l.viewBlocks.Update(float64(l.view.Counts().Blocks))
	l.evictionRate.Update(l.view.EvictionRate(now))
	l.queueLength.Update(float64(len(l.updates)))
	silence := now.Sub(l.lastEventAt)
	if silence < l.cfg.StaleAfter {
		return
	}
	if l.olderBoot != 0 {
		l.view.ResetToBoot(l.olderBoot)
		l.lastEventAt, l.olderBoot = now, 0
		l.log.Log(eventlog.TargetRestarted, "target", l.cfg.Target, "boot", l.view.Boot())
		return
	}
	if !l.stale {
		l.stale = true
		l.view.Suspend()
		l.suspensions.Inc(1)
		l.log.Log(eventlog.TargetSilent, "target", l.cfg.Target, "boot", l.view.Boot(), "silent_ms", silence.Milliseconds())
	}
}
